//! A weighted sample of items in bounded memory that favours new ones: an item that is [`DECAY_TIME_CONSTANT`] older counts
//! with 1/e, about a third, of the weight.
//!
//! Each item draws a priority of `ln(weight) + time / DECAY_TIME_CONSTANT + G` with `G` from the Gumbel distribution, and the
//! items with the highest priorities are kept: sampling without replacement by weight (Efraimidis and Spirakis, 2006, in
//! logarithms) with forward decay (Cormode et al., 2009). Priorities need no update as time passes.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use pumicehead_policy::{Nanos, SECOND};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Time in which the effective weight of an item falls to 1/e, about a third.
pub const DECAY_TIME_CONSTANT: Nanos = 300 * SECOND;

#[derive(Debug)]
struct Item<T> {
    priority: f64,
    size: usize,
    item: T,
}

impl<T> PartialEq for Item<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for Item<T> {}

impl<T> PartialOrd for Item<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Item<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.priority.total_cmp(&other.priority)
    }
}

/// A weighted sample of items.
#[derive(Debug)]
pub struct Reservoir<T> {
    /// Heap with the lowest priority on top.
    items: BinaryHeap<Reverse<Item<T>>>,
    max_size: usize,
    size: usize,
    rng: Pcg64Mcg,
}

impl<T> Reservoir<T> {
    /// Creates a sample of at most `max_size` bytes.
    #[must_use]
    pub fn new(max_size: usize, seed: u64) -> Self {
        Self { items: BinaryHeap::new(), max_size, size: 0, rng: Pcg64Mcg::seed_from_u64(seed) }
    }

    /// Draws the priority of an item with a weight; `None` if it would not be kept, so that callers need not build
    /// the item.
    pub fn draw(&mut self, weight: f64, at: Nanos, size: usize) -> Option<f64> {
        if !(weight > 0.0 && weight.is_finite()) || size > self.max_size {
            return None;
        }
        // Never 0 or 1, for which the priority would not be finite.
        let uniform = ((self.rng.next_u64() >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
        let priority = weight.ln() + at as f64 / DECAY_TIME_CONSTANT as f64 - (-uniform.ln()).ln();
        let full = self.size + size > self.max_size;
        let is_kept = !full || self.items.peek().is_none_or(|Reverse(lowest)| lowest.priority < priority);
        is_kept.then_some(priority)
    }

    /// Adds an item, then drops the items with the lowest priorities until the size limit is met.
    pub fn keep(&mut self, priority: f64, size: usize, item: T) {
        self.size += size;
        self.items.push(Reverse(Item { priority, size, item }));
        while self.size > self.max_size
            && let Some(Reverse(lowest)) = self.items.pop()
        {
            self.size -= lowest.size;
        }
    }

    /// Returns the items with their priorities, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (f64, &T)> {
        self.items.iter().map(|Reverse(item)| (item.priority, &item.item))
    }

    /// Returns the sum of the sizes that callers stated for the items, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.size
    }
}
