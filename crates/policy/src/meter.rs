//! Plain arithmetic: spans, fading sums, spread bits. Decides nothing.

use crate::interface::{Nanos, SECOND};

/// A span in seconds.
#[must_use]
pub fn seconds(span: Nanos) -> f64 {
    span as f64 / SECOND as f64
}

/// Seconds as a span; negative ones are none.
#[must_use]
pub fn nanos(seconds: f64) -> Nanos {
    (seconds.max(0.0) * SECOND as f64) as Nanos
}

/// Spreads the bits of a number (the finalizer of a 64-bit hash).
#[must_use]
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A node's place on a ring of so many. Multiples of the golden ratio are spread evenly, and so is any run of
/// them, such as the nodes of one zone.
#[must_use]
pub fn ring(node: u32, of: usize) -> usize {
    ((f64::from(node) * 0.618_033_988_749_895).fract() * of as f64) as usize
}

/// A sum that fades over `MEMORY_MS`, read as a rate a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate<const MEMORY_MS: u32> {
    sum: f64,
    at: Nanos,
    since: Nanos,
}

impl<const MEMORY_MS: u32> Rate<MEMORY_MS> {
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
