//! Exponentially decaying rates.

use crate::time::{Nanos, seconds};

/// An exponentially decaying sum with the time constant `MEMORY_MS`, read as a rate per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingRate<const MEMORY_MS: u32> {
    sum: f64,
    at: Nanos,
    since: Nanos,
}

impl<const MEMORY_MS: u32> DecayingRate<MEMORY_MS> {
    const MEMORY_S: f64 = MEMORY_MS as f64 / 1000.0;

    /// Adds an amount.
    pub fn add(&mut self, now: Nanos, amount: f64) {
        if self.since == 0 {
            self.since = now;
        }
        self.sum = self.decayed(now) + amount;
        self.at = now;
    }

    /// Excludes a span in which nothing could be counted from the rate.
    pub fn exclude_span(&mut self, span: Nanos) {
        if self.since > 0 {
            self.at += span;
            self.since += span;
        }
    }

    fn decayed(&self, now: Nanos) -> f64 {
        self.sum * (-seconds(now.saturating_sub(self.at)) / Self::MEMORY_S).exp()
    }

    /// Returns the rate. Until the time constant has passed it is the rate since the first count; otherwise
    /// the queue of a node that has just started would seem to drain hardly at all.
    #[must_use]
    pub fn get(&self, now: Nanos) -> f64 {
        let age = seconds(now.saturating_sub(self.since)).max(0.5);
        self.decayed(now) / (Self::MEMORY_S * (1.0 - (-age / Self::MEMORY_S).exp()))
    }

    /// Returns the rate without the correction for the time since the first count: too low at first, never
    /// too high for long.
    #[must_use]
    pub fn get_uncorrected(&self, now: Nanos) -> f64 {
        self.decayed(now) / Self::MEMORY_S
    }
}
