//! Rates over a decaying memory.

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

    /// Counts an amount.
    pub fn add(&mut self, now: Nanos, amount: f64) {
        if self.since == 0 {
            self.since = now;
        }
        self.sum = self.decayed(now) + amount;
        self.at = now;
    }

    /// Leaves a span in which nothing could be counted out of the rate.
    pub fn skip(&mut self, span: Nanos) {
        if self.since > 0 {
            self.at += span;
            self.since += span;
        }
    }

    fn decayed(&self, now: Nanos) -> f64 {
        self.sum * (-seconds(now.saturating_sub(self.at)) / Self::MEMORY_S).exp()
    }

    /// Returns the rate. Until the memory is filled it is the rate since the first count, else the queue of a
    /// node that has just started would look as if it hardly drained.
    #[must_use]
    pub fn get(&self, now: Nanos) -> f64 {
        let age = seconds(now.saturating_sub(self.since)).max(0.5);
        self.decayed(now) / (Self::MEMORY_S * (1.0 - (-age / Self::MEMORY_S).exp()))
    }

    /// Returns the rate as if the memory were filled: too low at first, never too high for long.
    #[must_use]
    pub fn low(&self, now: Nanos) -> f64 {
        self.decayed(now) / Self::MEMORY_S
    }
}
