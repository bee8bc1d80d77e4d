//! Rates that forget: an exponentially decaying sum, read as a rate a second.

use crate::time::{Nanos, seconds};

/// A sum that decays over `MEMORY_MS`, read as a rate a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingRate<const MEMORY_MS: u32> {
    sum: f64,
    at: Nanos,
    since: Nanos,
}

impl<const MEMORY_MS: u32> DecayingRate<MEMORY_MS> {
    const MEMORY_S: f64 = MEMORY_MS as f64 / 1000.0;

    /// Counts `amount`.
    pub fn add(&mut self, now: Nanos, amount: f64) {
        if self.since == 0 {
            self.since = now;
        }
        self.sum = self.faded(now) + amount;
        self.at = now;
    }

    /// Time in which nothing could be counted does not count.
    pub fn skip(&mut self, span: Nanos) {
        if self.since > 0 {
            self.at += span;
            self.since += span;
        }
    }

    fn faded(&self, now: Nanos) -> f64 {
        self.sum * (-seconds(now.saturating_sub(self.at)) / Self::MEMORY_S).exp()
    }

    /// A memory that is still short counts for its own length, or a node just started would take its
    /// queue for one that hardly drains.
    #[must_use]
    pub fn get(&self, now: Nanos) -> f64 {
        let age = seconds(now.saturating_sub(self.since)).max(0.5);
        self.faded(now) / (Self::MEMORY_S * (1.0 - (-age / Self::MEMORY_S).exp()))
    }

    /// The same, but a memory that is still short counts as full: never above the true rate for long.
    #[must_use]
    pub fn low(&self, now: Nanos) -> f64 {
        self.faded(now) / Self::MEMORY_S
    }
}
