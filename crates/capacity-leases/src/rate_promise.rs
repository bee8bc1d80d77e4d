//! Request rates towards endpoints in slow start, and promises of rates that expire.

use std::iter::Sum;
use std::ops::{Add, AddAssign};

use pumicehead_policy::Nanos;

/// Millionths in a whole.
const MICRO: u64 = 1_000_000;

/// A rate of requests to an endpoint in slow start, before its warm-up ramp: at a third of the ramp, a third
/// of the rate. In whole millionths of a request a second, so that sums are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rate(u64);

impl Rate {
    /// No requests.
    pub const ZERO: Self = Self(0);
    /// The largest rate: a million requests a second, more than a forwarder sends to one endpoint.
    pub const MAX: Self = Self(1_000_000 * MICRO);

    /// A rate of whole requests a second.
    #[must_use]
    pub const fn from_requests_per_second(requests: u32) -> Self {
        Self(requests as u64 * MICRO)
    }

    /// A rate in requests a second; not a number or a negative one is zero, too large a one is [`Rate::MAX`].
    #[must_use]
    pub fn from_requests_per_second_f64(requests: f64) -> Self {
        // The cast saturates.
        Self::from_micro_requests((requests * 1e6) as u64)
    }

    /// A rate in millionths of a request a second; too large a one is [`Rate::MAX`].
    #[must_use]
    pub fn from_micro_requests(micro_requests: u64) -> Self {
        Self(micro_requests.min(Self::MAX.0))
    }

    /// In millionths of a request a second.
    #[must_use]
    pub fn micro_requests(self) -> u64 {
        self.0
    }

    /// One of `count` equal parts, rounded down, so that all parts together are never more than the whole.
    /// Zero for no parts.
    #[must_use]
    pub fn split(self, count: u64) -> Self {
        Self(self.0.checked_div(count).unwrap_or(0))
    }

    /// The difference to another rate; zero if the other one is larger.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// In requests a second.
    #[must_use]
    pub fn requests_per_second(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl Add for Rate {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Rate {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sum for Rate {
    fn sum<I: Iterator<Item = Self>>(parts: I) -> Self {
        parts.fold(Self::ZERO, Add::add)
    }
}

/// Promises of rates to one peer for one endpoint. The largest one that has not ended holds: a later, smaller
/// promise does not revoke a larger one, which the peer may still rely on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RatePromises {
    /// Rates with their ends. Rates fall and ends rise strictly: others that are smaller and end earlier have
    /// no effect.
    entries: Vec<(Rate, Nanos)>,
}

impl RatePromises {
    /// Adds a promise that ends at `until`.
    pub fn add(&mut self, rate: Rate, until: Nanos) {
        let covers = |&(other, end): &(Rate, Nanos)| other >= rate && end >= until;
        if rate == Rate::ZERO || self.entries.iter().any(covers) {
            return;
        }
        self.entries.retain(|&(other, end)| other > rate || end > until);
        let index = self.entries.partition_point(|&(_, end)| end < until);
        self.entries.insert(index, (rate, until));
    }

    /// The rate that is promised at a time. A promise holds before its end, and not at it.
    #[must_use]
    pub fn rate_at(&self, time: Nanos) -> Rate {
        // The first entry that has not ended is the largest one.
        self.entries.iter().find(|&&(_, end)| end > time).map_or(Rate::ZERO, |&(rate, _)| rate)
    }

    /// Removes promises that have ended, and returns whether any are left.
    pub fn expire(&mut self, now: Nanos) -> bool {
        self.entries.retain(|&(_, end)| end > now);
        !self.entries.is_empty()
    }
}

#[cfg(test)]
#[path = "../tests/unit/rate_promise.rs"]
mod tests;
