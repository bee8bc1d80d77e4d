//! Request rates towards endpoints in slow start, and promised rates with expiry.

use std::iter::Sum;
use std::ops::{Add, AddAssign};

use pumicehead_policy::Nanos;

/// Number of millionths in one.
const MICRO: u64 = 1_000_000;

/// A rate of requests to an endpoint in slow start, before its warm-up ramp is applied: at a third of the
/// ramp, a third of the rate is used. Stored as an integer in millionths of a request per second, so that
/// sums are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rate(u64);

impl Rate {
    /// No requests.
    pub const ZERO: Self = Self(0);
    /// The maximum rate: a million requests per second, more than a forwarder sends to one endpoint.
    pub const MAX: Self = Self(1_000_000 * MICRO);

    /// Creates a rate from an integral number of requests per second.
    #[must_use]
    pub const fn from_requests_per_second(requests: u32) -> Self {
        Self(requests as u64 * MICRO)
    }

    /// Creates a rate from requests per second. NaN and negative values result in zero, values that are too
    /// large in [`Rate::MAX`].
    #[must_use]
    pub fn from_requests_per_second_f64(requests: f64) -> Self {
        // The cast saturates, and converts NaN to zero.
        Self::from_micro_requests((requests * 1e6) as u64)
    }

    /// Creates a rate from millionths of a request per second. Values that are too large result in
    /// [`Rate::MAX`].
    #[must_use]
    pub fn from_micro_requests(micro_requests: u64) -> Self {
        Self(micro_requests.min(Self::MAX.0))
    }

    /// Returns the rate in millionths of a request per second.
    #[must_use]
    pub fn micro_requests(self) -> u64 {
        self.0
    }

    /// Returns one of `count` equal parts, rounded down, so that the parts never add up to more than the whole.
    /// Zero if `count` is zero.
    #[must_use]
    pub fn split(self, count: u64) -> Self {
        Self(self.0.checked_div(count).unwrap_or(0))
    }

    /// Returns the difference from another rate, or zero if the other one is larger.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns the rate in requests per second.
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

/// Promised rates for one peer and one endpoint, each with an expiry. The largest one that has not expired is
/// in effect: a later, smaller promise does not revoke a larger one, which the peer may still rely on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RatePromises {
    /// Rates with their expiry, in order of strictly decreasing rates and strictly increasing expiry. A promise
    /// that is no larger and expires no later than another one has no effect and is not stored.
    entries: Vec<(Rate, Nanos)>,
}

impl RatePromises {
    /// Adds a promise that expires at `until`.
    pub fn add(&mut self, rate: Rate, until: Nanos) {
        let covers = |&(other, end): &(Rate, Nanos)| other >= rate && end >= until;
        if rate == Rate::ZERO || self.entries.iter().any(covers) {
            return;
        }
        self.entries.retain(|&(other, end)| other > rate || end > until);
        let index = self.entries.partition_point(|&(_, end)| end < until);
        self.entries.insert(index, (rate, until));
    }

    /// Returns the rate that is promised at a time. A promise is no longer in effect at its expiry.
    #[must_use]
    pub fn rate_at(&self, time: Nanos) -> Rate {
        // The first entry that has not expired has the largest rate.
        self.entries.iter().find(|&&(_, end)| end > time).map_or(Rate::ZERO, |&(rate, _)| rate)
    }

    /// Removes expired promises, and returns whether any are left.
    pub fn expire(&mut self, now: Nanos) -> bool {
        self.entries.retain(|&(_, end)| end > now);
        !self.entries.is_empty()
    }
}

#[cfg(test)]
#[path = "../tests/unit/rate_promise.rs"]
mod tests;
