//! Keys and rows of the loss ledger's tables.

use crate::event::PoolId;
use crate::loss_cause::MicroWeight;
use crate::slot_table::{Key, Row};
use crate::wire_format::{Reader, put, put_f32};

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
