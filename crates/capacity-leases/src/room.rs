//! Rates at which a cold server may be asked, and promises about them that end by themselves.

use std::iter::Sum;
use std::ops::{Add, AddAssign};

use pumicehead_policy::Nanos;

/// So much work for a cold server, in millionths of a request a second, before its ramp: at a third of its ramp a third
/// of it. Whole numbers, so that sums of many are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rate(u64);

impl Rate {
    /// Nothing.
    pub const NONE: Self = Self(0);
    /// More than any forwarder sends to one server: a million requests a second.
    pub const MOST: Self = Self(1_000_000_000_000);

    /// So many whole requests a second.
    #[must_use]
    pub const fn of(requests: u32) -> Self {
        Self(requests as u64 * 1_000_000)
    }

    /// From requests a second; what is no number, or less than nothing, is nothing.
    #[must_use]
    pub fn per_second(requests: f64) -> Self {
        // A cast of what is out of range ends at the range.
        Self::from_raw((requests * 1e6) as u64)
    }

    /// From a number off the wire; too large a one is the largest.
    #[must_use]
    pub fn from_raw(raw: u64) -> Self {
        Self(raw.min(Self::MOST.0))
    }

    /// For the wire.
    #[must_use]
    pub fn raw(self) -> u64 {
        self.0
    }

    /// One of so many equal parts, rounded down so that all of them are never more than this.
    #[must_use]
    pub fn split(self, count: u64) -> Self {
        Self(self.0.checked_div(count).unwrap_or(0))
    }

    /// What is left without another.
    #[must_use]
    pub fn less(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// In requests a second.
    #[must_use]
    pub fn requests(self) -> f64 {
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
        parts.fold(Self::NONE, Add::add)
    }
}

/// Promises of one kind to one peer, of which the largest that has not ended holds: a later, smaller one says
/// nothing of the larger one before it, which the peer may still go by.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// Amounts fall and ends rise, strictly: whatever is smaller and ends earlier than another says nothing.
    entries: Vec<(Rate, Nanos)>,
}

impl Standing {
    /// One more promise, until a time.
    pub fn add(&mut self, amount: Rate, until: Nanos) {
        let says_nothing = |&(other, end): &(Rate, Nanos)| other >= amount && end >= until;
        if amount == Rate::NONE || self.entries.iter().any(says_nothing) {
            return;
        }
        self.entries.retain(|&(other, end)| other > amount || end > until);
        let place = self.entries.partition_point(|&(_, end)| end < until);
        self.entries.insert(place, (amount, until));
    }

    /// What is promised at a time, and at all times before it that are not over: an entry counts up to, and not at, its
    /// end.
    #[must_use]
    pub fn at(&self, time: Nanos) -> Rate {
        // The first that lasts is the largest that does.
        self.entries.iter().find(|&&(_, end)| end > time).map_or(Rate::NONE, |&(amount, _)| amount)
    }

    /// Forgets what has ended; tells whether anything is left.
    pub fn expire(&mut self, now: Nanos) -> bool {
        self.entries.retain(|&(_, end)| end > now);
        !self.entries.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parts_never_add_up_to_more_than_what_was_split() {
        let whole = Rate::per_second(5_200.0);
        for count in [1, 3, 7, 1_250, 10_000, 1 << 41] {
            let part = whole.split(count);
            assert!(u128::from(part.raw()) * u128::from(count) <= u128::from(whole.raw()), "{count}");
        }
        assert_eq!(whole.split(0), Rate::NONE);
        assert_eq!(Rate::from_raw(u64::MAX), Rate::MOST);
        assert_eq!(Rate::from_raw(3).less(Rate::from_raw(5)), Rate::NONE);
        for wrong in [f64::NAN, -1.0, f64::NEG_INFINITY] {
            assert_eq!(Rate::per_second(wrong), Rate::NONE);
        }
        assert_eq!(Rate::per_second(f64::INFINITY), Rate::MOST);
        assert_eq!(Rate::per_second(0.25).requests(), 0.25);
    }

    #[test]
    fn the_largest_promise_holds_until_its_own_end() {
        let part = Rate::from_raw;
        let mut standing = Standing::default();
        standing.add(part(10), 100);
        standing.add(part(4), 200);
        standing.add(part(3), 150);
        assert_eq!([0, 99, 100, 199, 200].map(|t| standing.at(t)), [10, 10, 4, 4, 0].map(part));
        standing.add(part(4), 300);
        assert_eq!((standing.entries.len(), standing.at(299)), (2, part(4)));
        standing.add(part(20), 300);
        assert_eq!((standing.entries.len(), standing.at(0)), (1, part(20)));
        // Of two that end at once the larger holds, in whichever order they came.
        standing.add(part(5), 300);
        assert_eq!((standing.entries.len(), standing.at(0)), (1, part(20)));
        assert!(!standing.expire(300));
    }
}
