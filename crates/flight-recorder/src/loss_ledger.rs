//! Exact sums over time in bounded memory. Each table has slots of time that begin at a second's width; where it is full,
//! the width doubles and neighbours are added up, and where one slot alone is too much, what is least goes under "other".
//! Nothing that was added is ever lost from the sum of all rows.

use std::collections::BTreeMap;

use pumicehead_policy::{Nanos, SECOND};

use crate::event::PoolId;
use crate::loss_cause::MicroWeight;
use crate::wire_format::{Reader, put, put_f32};

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
pub struct SlotTable<K, V> {
    start: Nanos,
    width: Nanos,
    most: usize,
    rows: BTreeMap<(u32, K), V>,
}

impl<K: Key, V: Row> SlotTable<K, V> {
    /// Empty, from `start` on, with room for so many rows.
    #[must_use]
    pub fn new(start: Nanos, most: usize) -> Self {
        Self { start, width: SECOND, most: most.max(2), rows: BTreeMap::new() }
    }

    fn slot(&self, at: Nanos) -> u32 {
        u32::try_from(at.saturating_sub(self.start) / self.width).unwrap_or(u32::MAX)
    }

    /// The row of a moment and a key, to be added to.
    pub fn row_mut(&mut self, at: Nanos, key: K) -> &mut V {
        let mut key = key;
        while self.rows.len() >= self.most && !self.rows.contains_key(&(self.slot(at), key)) {
            if self.rows.keys().next_back().is_some_and(|&(slot, _)| slot > 0) || self.slot(at) > 0 {
                self.widen();
            } else if key == K::OTHER || self.rows.contains_key(&(0, K::OTHER)) {
                key = K::OTHER;
                break;
            } else {
                self.fold_into_other();
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
    fn fold_into_other(&mut self) {
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
    pub fn rows_between(&self, from: Nanos, to: Nanos) -> impl Iterator<Item = (Nanos, K, &V)> {
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
    pub endpoint: u32,
}

/// No server.
pub const NO_ENDPOINT: u32 = u32::MAX;

impl Key for LossKey {
    const OTHER: Self =
        Self { pool: PoolId(u16::MAX), class: u16::MAX, cause: u8::MAX, endpoint: NO_ENDPOINT };

    fn write(&self, out: &mut Vec<u8>) {
        put(out, u64::from(self.pool.0));
        put(out, u64::from(self.class));
        out.push(self.cause);
        put(out, u64::from(self.endpoint));
    }

    fn read(from: &mut Reader<'_>) -> Option<Self> {
        Some(Self {
            pool: PoolId(from.small()?),
            class: from.small()?,
            cause: from.byte()?,
            endpoint: from.small()?,
        })
    }
}

/// Losses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LossTotals {
    /// Requests.
    pub requests: u64,
    /// What they lost.
    pub lost: MicroWeight,
}

impl Row for LossTotals {
    fn add(&mut self, other: &Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.lost = self.lost.saturating_add(other.lost);
    }

    fn write(&self, out: &mut Vec<u8>) {
        put(out, self.requests);
        put(out, self.lost);
    }

    fn read(from: &mut Reader<'_>) -> Option<Self> {
        Some(Self { requests: from.number()?, lost: from.number()? })
    }
}

/// What traffic is booked under: a pool and a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TrafficKey {
    /// The pool.
    pub pool: PoolId,
    /// The class, by its place in the pool.
    pub class: u16,
}

impl Key for TrafficKey {
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
pub struct TrafficTotals {
    /// Requests.
    pub requests: u64,
    /// What they were worth.
    pub offered: MicroWeight,
    /// What was earned of it.
    pub earned: MicroWeight,
    /// Attempts that were answered well.
    pub answered_attempts: u64,
    /// Attempts that ended otherwise.
    pub unanswered_attempts: u64,
    /// Microseconds that the answered ones took.
    pub answered_us: u64,
    /// The least of them, and one more; 0 where there is none.
    pub fastest_us_plus_one: u64,
    /// Requests that waited for room, and microseconds of it.
    pub waited: u64,
}

impl Row for TrafficTotals {
    fn add(&mut self, other: &Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.offered = self.offered.saturating_add(other.offered);
        self.earned = self.earned.saturating_add(other.earned);
        self.answered_attempts = self.answered_attempts.saturating_add(other.answered_attempts);
        self.unanswered_attempts = self.unanswered_attempts.saturating_add(other.unanswered_attempts);
        self.answered_us = self.answered_us.saturating_add(other.answered_us);
        self.waited = self.waited.saturating_add(other.waited);
        self.fastest_us_plus_one = match (self.fastest_us_plus_one, other.fastest_us_plus_one) {
            (0, some) | (some, 0) => some,
            (one, other) => one.min(other),
        };
    }

    fn write(&self, out: &mut Vec<u8>) {
        let Self {
            requests,
            offered,
            earned,
            answered_attempts,
            unanswered_attempts,
            answered_us,
            fastest_us_plus_one,
            waited,
        } = *self;
        [
            requests,
            offered,
            earned,
            answered_attempts,
            unanswered_attempts,
            answered_us,
            fastest_us_plus_one,
            waited,
        ]
        .iter()
        .for_each(|n| put(out, *n));
    }

    fn read(from: &mut Reader<'_>) -> Option<Self> {
        Some(Self {
            requests: from.number()?,
            offered: from.number()?,
            earned: from.number()?,
            answered_attempts: from.number()?,
            unanswered_attempts: from.number()?,
            answered_us: from.number()?,
            fastest_us_plus_one: from.number()?,
            waited: from.number()?,
        })
    }
}

/// What a server's work is booked under.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointKey {
    /// The pool.
    pub pool: PoolId,
    /// The server.
    pub endpoint: u32,
}

impl Key for EndpointKey {
    const OTHER: Self = Self { pool: PoolId(u16::MAX), endpoint: NO_ENDPOINT };

    fn write(&self, out: &mut Vec<u8>) {
        put(out, u64::from(self.pool.0));
        put(out, u64::from(self.endpoint));
    }

    fn read(from: &mut Reader<'_>) -> Option<Self> {
        Some(Self { pool: PoolId(from.small()?), endpoint: from.small()? })
    }
}

/// A server's work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointTotals {
    /// Attempts that ended, by the place of their outcome.
    pub attempts_by_outcome: [u64; 8],
    /// Thousandths of what the class takes elsewhere that answered ones took, added up.
    pub relative_latency_permille: u64,
    /// Microseconds of answered ones.
    pub answered_us: u64,
    /// Microseconds of those without an answer: its places were taken for nothing.
    pub unanswered_us: u64,
    /// Microseconds spent on connections.
    pub connect_us: u64,
    /// Microseconds it was set aside for, as far as was decided in the slot.
    pub ejected_us: u64,
    /// The last limit that was seen.
    pub concurrency_limit: f32,
}

impl EndpointTotals {
    /// All attempts.
    #[must_use]
    pub fn attempts(&self) -> u64 {
        self.attempts_by_outcome.iter().fold(0, |sum, n| sum.saturating_add(*n))
    }
}

impl Row for EndpointTotals {
    fn add(&mut self, other: &Self) {
        self.attempts_by_outcome
            .iter_mut()
            .zip(other.attempts_by_outcome)
            .for_each(|(sum, more)| *sum = sum.saturating_add(more));
        self.relative_latency_permille =
            self.relative_latency_permille.saturating_add(other.relative_latency_permille);
        self.answered_us = self.answered_us.saturating_add(other.answered_us);
        self.unanswered_us = self.unanswered_us.saturating_add(other.unanswered_us);
        self.connect_us = self.connect_us.saturating_add(other.connect_us);
        self.ejected_us = self.ejected_us.saturating_add(other.ejected_us);
        if other.concurrency_limit > 0.0 {
            self.concurrency_limit = other.concurrency_limit;
        }
    }

    fn write(&self, out: &mut Vec<u8>) {
        let Self {
            attempts_by_outcome,
            relative_latency_permille,
            answered_us,
            unanswered_us,
            connect_us,
            ejected_us,
            concurrency_limit,
        } = *self;
        attempts_by_outcome
            .iter()
            .chain(&[relative_latency_permille, answered_us, unanswered_us, connect_us, ejected_us])
            .for_each(|n| put(out, *n));
        put_f32(out, concurrency_limit);
    }

    fn read(from: &mut Reader<'_>) -> Option<Self> {
        let mut ended = [0; 8];
        for count in &mut ended {
            *count = from.number()?;
        }
        Some(Self {
            attempts_by_outcome: ended,
            relative_latency_permille: from.number()?,
            answered_us: from.number()?,
            unanswered_us: from.number()?,
            connect_us: from.number()?,
            ejected_us: from.number()?,
            concurrency_limit: from.f32()?,
        })
    }
}

/// All tables.
#[derive(Clone, Debug, PartialEq)]
pub struct LossLedger {
    /// What was lost.
    pub losses: SlotTable<LossKey, LossTotals>,
    /// What was asked and earned.
    pub traffic: SlotTable<TrafficKey, TrafficTotals>,
    /// What servers did.
    pub endpoints: SlotTable<EndpointKey, EndpointTotals>,
    /// How often the node ran out of descriptors: for clients, for servers.
    pub resource_exhaustions: [u64; 2],
}

/// Bytes that rows take with their place in a tree, at most.
const LOSS_ROW: usize = 64;
const FLOW_ROW: usize = 128;
const SERVER_ROW: usize = 208;

impl LossLedger {
    /// Empty, in so many bytes: half for servers, of which there are most, and a quarter for each of the others.
    #[must_use]
    pub fn new(start: Nanos, memory: usize) -> Self {
        Self {
            losses: SlotTable::new(start, memory / 4 / LOSS_ROW),
            traffic: SlotTable::new(start, memory / 4 / FLOW_ROW),
            endpoints: SlotTable::new(start, memory / 2 / SERVER_ROW),
            resource_exhaustions: [0; 2],
        }
    }

    /// Bytes that its rows take.
    #[must_use]
    pub fn memory(&self) -> usize {
        self.losses.len() * LOSS_ROW + self.traffic.len() * FLOW_ROW + self.endpoints.len() * SERVER_ROW
    }

    /// A span widened to where slots of all tables begin.
    #[must_use]
    pub fn aligned(&self, from: Nanos, to: Nanos) -> (Nanos, Nanos) {
        let width = self.losses.width.max(self.traffic.width).max(self.endpoints.width);
        let start = self.losses.start;
        let steps = |at: Nanos| at.saturating_sub(start) / width;
        let begin = start.saturating_add(steps(from).saturating_mul(width));
        let end = start.saturating_add(steps(to.saturating_add(width - 1)).saturating_mul(width));
        (begin, if to == Nanos::MAX { to } else { end.max(begin) })
    }

    /// Appends all of it.
    pub fn write(&self, out: &mut Vec<u8>) {
        self.losses.write(out);
        self.traffic.write(out);
        self.endpoints.write(out);
        self.resource_exhaustions.iter().for_each(|n| put(out, *n));
    }

    /// Reads what was appended.
    pub fn read(from: &mut Reader<'_>) -> Option<Self> {
        Some(Self {
            losses: SlotTable::read(from)?,
            traffic: SlotTable::read(from)?,
            endpoints: SlotTable::read(from)?,
            resource_exhaustions: [from.number()?, from.number()?],
        })
    }
}
