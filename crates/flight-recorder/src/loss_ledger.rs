//! Exact sums over time in bounded memory. Each table has slots of time that begin at a second's width; where it is full,
//! the width doubles and neighbours are added up, and where one slot alone is too much, what is least goes under "other".
//! Nothing that was added is ever lost from the sum of all rows.

use std::collections::BTreeMap;

use pumicehead_policy::{Nanos, SECOND};

use crate::wire_format::{Reader, put, put_f32};
use crate::event::PoolId;
use crate::loss_cause::Micro;

/// Rows that add up.
pub trait Row: Default + Clone {
    /// Adds another one.
    fn add(&mut self, other: &Self);
    /// Appends it.
    fn write(&self, out: &mut Vec<u8>);
    /// Reads it.
    fn read(from: &mut Reader<'_>) -> Option<Self>;
}

/// What rows are about.
pub trait Key: Ord + Copy {
    /// What stands for all that has no row of its own.
    const OTHER: Self;
    /// Appends it.
    fn write(&self, out: &mut Vec<u8>);
    /// Reads it.
    fn read(from: &mut Reader<'_>) -> Option<Self>;
}

/// Rows by slot and key.
#[derive(Clone, Debug, PartialEq)]
pub struct Table<K, V> {
    start: Nanos,
    width: Nanos,
    most: usize,
    rows: BTreeMap<(u32, K), V>,
}

impl<K: Key, V: Row> Table<K, V> {
    /// Empty, from `start` on, with room for so many rows.
    #[must_use]
    pub fn new(start: Nanos, most: usize) -> Self {
        Self { start, width: SECOND, most: most.max(2), rows: BTreeMap::new() }
    }

    fn slot(&self, at: Nanos) -> u32 {
        u32::try_from(at.saturating_sub(self.start) / self.width).unwrap_or(u32::MAX)
    }

    /// The row of a moment and a key, to be added to.
    pub fn at(&mut self, at: Nanos, key: K) -> &mut V {
        let mut key = key;
        while self.rows.len() >= self.most && !self.rows.contains_key(&(self.slot(at), key)) {
            if self.rows.keys().next_back().is_some_and(|&(slot, _)| slot > 0) || self.slot(at) > 0 {
                self.widen();
            } else if key == K::OTHER || self.rows.contains_key(&(0, K::OTHER)) {
                key = K::OTHER;
                break;
            } else {
                self.fold();
            }
        }
        self.rows.entry((self.slot(at), key)).or_default()
    }

    /// Doubles the width of all slots.
    fn widen(&mut self) {
        self.width = self.width.saturating_mul(2);
        for ((slot, key), row) in std::mem::take(&mut self.rows) {
            self.rows.entry((slot / 2, key)).or_default().add(&row);
        }
    }

    /// Puts one row of the first slot under "other".
    fn fold(&mut self) {
        if let Some((_, row)) = self.rows.pop_last() {
            self.rows.entry((0, K::OTHER)).or_default().add(&row);
        }
    }

    /// The width of a slot.
    #[must_use]
    pub fn width(&self) -> Nanos {
        self.width
    }

    /// How many rows there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether nothing was added.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Rows of slots that begin in a span, with the time at which their slot begins.
    pub fn within(&self, from: Nanos, to: Nanos) -> impl Iterator<Item = (Nanos, K, &V)> {
        self.rows.iter().filter_map(move |(&(slot, key), row)| {
            let at = self.start.saturating_add(u64::from(slot).saturating_mul(self.width));
            (from <= at && at < to).then_some((at, key, row))
        })
    }

    /// Appends all of it.
    pub fn write(&self, out: &mut Vec<u8>) {
        put(out, self.start);
        put(out, self.width);
        put(out, self.rows.len() as u64);
        for ((slot, key), row) in &self.rows {
            put(out, u64::from(*slot));
            key.write(out);
            row.write(out);
        }
    }

    /// Reads what was appended.
    pub fn read(from: &mut Reader<'_>) -> Option<Self> {
        let (start, width, count) = (from.number()?, from.number()?, from.small::<usize>()?);
        let mut rows = BTreeMap::new();
        for _ in 0..count {
            rows.insert((from.small()?, K::read(from)?), V::read(from)?);
        }
        (width > 0).then_some(Self { start, width, most: count.max(2), rows })
    }
}

/// What a loss is booked under.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LossKey {
    /// The pool.
    pub pool: PoolId,
    /// The class, by its place in the pool.
    pub class: u16,
    /// The cause's code.
    pub cause: u8,
    /// The server that carries it; `u32::MAX` where none does.
    pub server: u32,
}

/// No server.
pub const NOBODY: u32 = u32::MAX;

impl Key for LossKey {
    const OTHER: Self = Self { pool: PoolId(u16::MAX), class: u16::MAX, cause: u8::MAX, server: NOBODY };

    fn write(&self, out: &mut Vec<u8>) {
        put(out, u64::from(self.pool.0));
        put(out, u64::from(self.class));
        out.push(self.cause);
        put(out, u64::from(self.server));
    }

    fn read(from: &mut Reader<'_>) -> Option<Self> {
        Some(Self {
            pool: PoolId(from.small()?),
            class: from.small()?,
            cause: from.byte()?,
            server: from.small()?,
        })
    }
}

/// Losses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Loss {
    /// Requests.
    pub count: u64,
    /// What they lost.
    pub lost: Micro,
}

impl Row for Loss {
    fn add(&mut self, other: &Self) {
        self.count = self.count.saturating_add(other.count);
        self.lost = self.lost.saturating_add(other.lost);
    }

    fn write(&self, out: &mut Vec<u8>) {
        put(out, self.count);
        put(out, self.lost);
    }

    fn read(from: &mut Reader<'_>) -> Option<Self> {
        Some(Self { count: from.number()?, lost: from.number()? })
    }
}

/// What traffic is booked under: a pool and a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FlowKey {
    /// The pool.
    pub pool: PoolId,
    /// The class, by its place in the pool.
    pub class: u16,
}

impl Key for FlowKey {
    const OTHER: Self = Self { pool: PoolId(u16::MAX), class: u16::MAX };

    fn write(&self, out: &mut Vec<u8>) {
        put(out, u64::from(self.pool.0));
        put(out, u64::from(self.class));
    }

    fn read(from: &mut Reader<'_>) -> Option<Self> {
        Some(Self { pool: PoolId(from.small()?), class: from.small()? })
    }
}

/// Traffic, booked at its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flow {
    /// Requests.
    pub count: u64,
    /// What they were worth.
    pub asked: Micro,
    /// What was earned of it.
    pub earned: Micro,
    /// Attempts that were answered well.
    pub answered: u64,
    /// Attempts that ended otherwise.
    pub unanswered: u64,
    /// Microseconds that the answered ones took.
    pub took: u64,
    /// The least of them, and one more; 0 where there is none.
    pub least: u64,
    /// Requests that waited for room, and microseconds of it.
    pub waited: u64,
}

impl Row for Flow {
    fn add(&mut self, other: &Self) {
        self.count = self.count.saturating_add(other.count);
        self.asked = self.asked.saturating_add(other.asked);
        self.earned = self.earned.saturating_add(other.earned);
        self.answered = self.answered.saturating_add(other.answered);
        self.unanswered = self.unanswered.saturating_add(other.unanswered);
        self.took = self.took.saturating_add(other.took);
        self.waited = self.waited.saturating_add(other.waited);
        self.least = match (self.least, other.least) {
            (0, some) | (some, 0) => some,
            (one, other) => one.min(other),
        };
    }

    fn write(&self, out: &mut Vec<u8>) {
        let Self { count, asked, earned, answered, unanswered, took, least, waited } = *self;
        [count, asked, earned, answered, unanswered, took, least, waited].iter().for_each(|n| put(out, *n));
    }

    fn read(from: &mut Reader<'_>) -> Option<Self> {
        Some(Self {
            count: from.number()?,
            asked: from.number()?,
            earned: from.number()?,
            answered: from.number()?,
            unanswered: from.number()?,
            took: from.number()?,
            least: from.number()?,
            waited: from.number()?,
        })
    }
}

/// What a server's work is booked under.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerKey {
    /// The pool.
    pub pool: PoolId,
    /// The server.
    pub server: u32,
}

impl Key for ServerKey {
    const OTHER: Self = Self { pool: PoolId(u16::MAX), server: NOBODY };

    fn write(&self, out: &mut Vec<u8>) {
        put(out, u64::from(self.pool.0));
        put(out, u64::from(self.server));
    }

    fn read(from: &mut Reader<'_>) -> Option<Self> {
        Some(Self { pool: PoolId(from.small()?), server: from.small()? })
    }
}

/// A server's work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Served {
    /// Attempts that ended, by the place of their outcome.
    pub ended: [u64; 8],
    /// Thousandths of what the class takes elsewhere that answered ones took, added up.
    pub stretch: u64,
    /// Microseconds of answered ones.
    pub good: u64,
    /// Microseconds of those without an answer: its places were taken for nothing.
    pub bad: u64,
    /// Microseconds spent on connections.
    pub dial: u64,
    /// Microseconds it was set aside for, as far as was decided in the slot.
    pub aside: u64,
    /// The last limit that was seen.
    pub limit: f32,
}

impl Served {
    /// All attempts.
    #[must_use]
    pub fn attempts(&self) -> u64 {
        self.ended.iter().fold(0, |sum, n| sum.saturating_add(*n))
    }
}

impl Row for Served {
    fn add(&mut self, other: &Self) {
        self.ended.iter_mut().zip(other.ended).for_each(|(sum, more)| *sum = sum.saturating_add(more));
        self.stretch = self.stretch.saturating_add(other.stretch);
        self.good = self.good.saturating_add(other.good);
        self.bad = self.bad.saturating_add(other.bad);
        self.dial = self.dial.saturating_add(other.dial);
        self.aside = self.aside.saturating_add(other.aside);
        if other.limit > 0.0 {
            self.limit = other.limit;
        }
    }

    fn write(&self, out: &mut Vec<u8>) {
        let Self { ended, stretch, good, bad, dial, aside, limit } = *self;
        ended.iter().chain(&[stretch, good, bad, dial, aside]).for_each(|n| put(out, *n));
        put_f32(out, limit);
    }

    fn read(from: &mut Reader<'_>) -> Option<Self> {
        let mut ended = [0; 8];
        for count in &mut ended {
            *count = from.number()?;
        }
        Some(Self {
            ended,
            stretch: from.number()?,
            good: from.number()?,
            bad: from.number()?,
            dial: from.number()?,
            aside: from.number()?,
            limit: from.f32()?,
        })
    }
}

/// All tables.
#[derive(Clone, Debug, PartialEq)]
pub struct Accounts {
    /// What was lost.
    pub losses: Table<LossKey, Loss>,
    /// What was asked and earned.
    pub flows: Table<FlowKey, Flow>,
    /// What servers did.
    pub servers: Table<ServerKey, Served>,
    /// How often the node ran out of descriptors: for clients, for servers.
    pub short: [u64; 2],
}

/// Bytes that rows take with their place in a tree, at most.
const LOSS_ROW: usize = 64;
const FLOW_ROW: usize = 128;
const SERVER_ROW: usize = 208;

impl Accounts {
    /// Empty, in so many bytes: half for servers, of which there are most, and a quarter for each of the others.
    #[must_use]
    pub fn new(start: Nanos, memory: usize) -> Self {
        Self {
            losses: Table::new(start, memory / 4 / LOSS_ROW),
            flows: Table::new(start, memory / 4 / FLOW_ROW),
            servers: Table::new(start, memory / 2 / SERVER_ROW),
            short: [0; 2],
        }
    }

    /// Bytes that its rows take.
    #[must_use]
    pub fn memory(&self) -> usize {
        self.losses.len() * LOSS_ROW + self.flows.len() * FLOW_ROW + self.servers.len() * SERVER_ROW
    }

    /// A span widened to where slots of all tables begin.
    #[must_use]
    pub fn aligned(&self, from: Nanos, to: Nanos) -> (Nanos, Nanos) {
        let width = self.losses.width.max(self.flows.width).max(self.servers.width);
        let start = self.losses.start;
        let steps = |at: Nanos| at.saturating_sub(start) / width;
        let begin = start.saturating_add(steps(from).saturating_mul(width));
        let end = start.saturating_add(steps(to.saturating_add(width - 1)).saturating_mul(width));
        (begin, if to == Nanos::MAX { to } else { end.max(begin) })
    }

    /// Appends all of it.
    pub fn write(&self, out: &mut Vec<u8>) {
        self.losses.write(out);
        self.flows.write(out);
        self.servers.write(out);
        self.short.iter().for_each(|n| put(out, *n));
    }

    /// Reads what was appended.
    pub fn read(from: &mut Reader<'_>) -> Option<Self> {
        Some(Self {
            losses: Table::read(from)?,
            flows: Table::read(from)?,
            servers: Table::read(from)?,
            short: [from.number()?, from.number()?],
        })
    }
}
