//! Lateness of the run's own event loop.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::{Nanos, clock};

/// Largest lateness since the last call of [`Self::take`]. Clones share the value.
#[derive(Clone, Debug, Default)]
pub struct LatenessGauge(Arc<AtomicU64>);

impl LatenessGauge {
    /// Records that something that was due at `due` happens now.
    pub fn record(&self, due: Nanos) {
        let late_us = clock::now().saturating_sub(due) / 1_000;
        self.0.fetch_max(late_us, Ordering::Relaxed);
    }

    /// Returns the largest lateness since the last call, in microseconds.
    #[must_use]
    pub fn take(&self) -> u64 {
        self.0.swap(0, Ordering::Relaxed)
    }
}
