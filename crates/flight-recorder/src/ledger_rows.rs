//! Keys and rows of the loss ledger's tables.

use crate::event::PoolId;
use crate::loss_cause::MicroWeight;
use crate::slot_table::{Key, Row};
use crate::wire_format::{Reader, put_f32, put_varint};

/// Key of losses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LossKey {
    /// The pool.
    pub pool: PoolId,
    /// Index of the class in the pool.
    pub class: u16,
    /// Code of the cause.
    pub cause: u8,
    /// The endpoint at fault, or [`NO_ENDPOINT`].
    pub endpoint: u32,
}

/// Endpoint id in keys that stands for no endpoint.
pub const NO_ENDPOINT: u32 = u32::MAX;

impl Key for LossKey {
    const OTHER: Self =
        Self { pool: PoolId(u16::MAX), class: u16::MAX, cause: u8::MAX, endpoint: NO_ENDPOINT };

    fn write(&self, out: &mut Vec<u8>) {
        put_varint(out, u64::from(self.pool.0));
        put_varint(out, u64::from(self.class));
        out.push(self.cause);
        put_varint(out, u64::from(self.endpoint));
    }

    fn read(from: &mut Reader<'_>) -> Option<Self> {
        Some(Self {
            pool: PoolId(from.varint_as()?),
            class: from.varint_as()?,
            cause: from.byte()?,
            endpoint: from.varint_as()?,
        })
    }
}

/// Totals of losses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LossTotals {
    /// Number of requests.
    pub requests: u64,
    /// Weight that they lost.
    pub lost: MicroWeight,
}

impl Row for LossTotals {
    fn add(&mut self, other: &Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.lost = self.lost.saturating_add(other.lost);
    }

    fn write(&self, out: &mut Vec<u8>) {
        put_varint(out, self.requests);
        put_varint(out, self.lost);
    }

    fn read(from: &mut Reader<'_>) -> Option<Self> {
        Some(Self { requests: from.varint()?, lost: from.varint()? })
    }
}

/// Key of traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TrafficKey {
    /// The pool.
    pub pool: PoolId,
    /// Index of the class in the pool.
    pub class: u16,
}

impl Key for TrafficKey {
    const OTHER: Self = Self { pool: PoolId(u16::MAX), class: u16::MAX };

    fn write(&self, out: &mut Vec<u8>) {
        put_varint(out, u64::from(self.pool.0));
        put_varint(out, u64::from(self.class));
    }

    fn read(from: &mut Reader<'_>) -> Option<Self> {
        Some(Self { pool: PoolId(from.varint_as()?), class: from.varint_as()? })
    }
}

/// Totals of requests and attempts, counted when they end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficTotals {
    /// Number of requests.
    pub requests: u64,
    /// Weight that they offered.
    pub offered: MicroWeight,
    /// Weight that was earned.
    pub earned: MicroWeight,
    /// Number of successful attempts.
    pub successful_attempts: u64,
    /// Number of attempts that ended with any other outcome.
    pub unsuccessful_attempts: u64,
    /// Duration of successful attempts, in microseconds.
    pub successful_us: u64,
    /// Shortest duration of a successful attempt plus one, in microseconds; 0 if there is none.
    pub min_successful_us_plus_one: u64,
    /// Unused, but part of the file format.
    pub reserved: u64,
}

impl Row for TrafficTotals {
    fn add(&mut self, other: &Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.offered = self.offered.saturating_add(other.offered);
        self.earned = self.earned.saturating_add(other.earned);
        self.successful_attempts = self.successful_attempts.saturating_add(other.successful_attempts);
        self.unsuccessful_attempts = self.unsuccessful_attempts.saturating_add(other.unsuccessful_attempts);
        self.successful_us = self.successful_us.saturating_add(other.successful_us);
        self.reserved = self.reserved.saturating_add(other.reserved);
        self.min_successful_us_plus_one =
            match (self.min_successful_us_plus_one, other.min_successful_us_plus_one) {
                (0, some) | (some, 0) => some,
                (one, other) => one.min(other),
            };
    }

    fn write(&self, out: &mut Vec<u8>) {
        let Self {
            requests,
            offered,
            earned,
            successful_attempts,
            unsuccessful_attempts,
            successful_us,
            min_successful_us_plus_one,
            reserved,
        } = *self;
        [
            requests,
            offered,
            earned,
            successful_attempts,
            unsuccessful_attempts,
            successful_us,
            min_successful_us_plus_one,
            reserved,
        ]
        .iter()
        .for_each(|n| put_varint(out, *n));
    }

    fn read(from: &mut Reader<'_>) -> Option<Self> {
        Some(Self {
            requests: from.varint()?,
            offered: from.varint()?,
            earned: from.varint()?,
            successful_attempts: from.varint()?,
            unsuccessful_attempts: from.varint()?,
            successful_us: from.varint()?,
            min_successful_us_plus_one: from.varint()?,
            reserved: from.varint()?,
        })
    }
}

/// Key of an endpoint's attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointKey {
    /// The pool.
    pub pool: PoolId,
    /// The endpoint's id.
    pub endpoint: u32,
}

impl Key for EndpointKey {
    const OTHER: Self = Self { pool: PoolId(u16::MAX), endpoint: NO_ENDPOINT };

    fn write(&self, out: &mut Vec<u8>) {
        put_varint(out, u64::from(self.pool.0));
        put_varint(out, u64::from(self.endpoint));
    }

    fn read(from: &mut Reader<'_>) -> Option<Self> {
        Some(Self { pool: PoolId(from.varint_as()?), endpoint: from.varint_as()? })
    }
}

/// Totals of an endpoint's attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointTotals {
    /// Number of attempts by the code of their outcome.
    pub attempts_by_outcome: [u64; 8],
    /// Sum of the durations of successful attempts relative to the mean of their class, in thousandths.
    pub relative_latency_permille: u64,
    /// Duration of successful attempts, in microseconds.
    pub successful_us: u64,
    /// Duration of all other attempts, in microseconds: concurrency that was used without a result.
    pub unsuccessful_us: u64,
    /// Time that attempts spent on getting a connection, in microseconds.
    pub connect_us: u64,
    /// Duration of the ejections that were decided in the slot, in microseconds.
    pub ejected_us: u64,
    /// Last known concurrency limit.
    pub concurrency_limit: f32,
}

impl EndpointTotals {
    /// Returns the number of all attempts.
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
        self.successful_us = self.successful_us.saturating_add(other.successful_us);
        self.unsuccessful_us = self.unsuccessful_us.saturating_add(other.unsuccessful_us);
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
            successful_us,
            unsuccessful_us,
            connect_us,
            ejected_us,
            concurrency_limit,
        } = *self;
        attempts_by_outcome
            .iter()
            .chain(&[relative_latency_permille, successful_us, unsuccessful_us, connect_us, ejected_us])
            .for_each(|n| put_varint(out, *n));
        put_f32(out, concurrency_limit);
    }

    fn read(from: &mut Reader<'_>) -> Option<Self> {
        let mut attempts_by_outcome = [0; 8];
        for count in &mut attempts_by_outcome {
            *count = from.varint()?;
        }
        Some(Self {
            attempts_by_outcome,
            relative_latency_permille: from.varint()?,
            successful_us: from.varint()?,
            unsuccessful_us: from.varint()?,
            connect_us: from.varint()?,
            ejected_us: from.varint()?,
            concurrency_limit: from.f32()?,
        })
    }
}
