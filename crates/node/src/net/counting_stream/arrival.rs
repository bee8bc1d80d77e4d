//! Observes when data arrived on a connection, whether or not it was read at that time.

use std::cell::Cell;

use tokio::time::Instant;

/// How much data has arrived on a connection, and when the last of it did.
pub(super) struct ArrivalMonitor {
    bytes: Cell<u64>,
    last_at: Cell<Instant>,
}

impl ArrivalMonitor {
    /// Returns a monitor of a connection that is established now.
    pub fn new() -> Self {
        Self { bytes: Cell::new(0), last_at: Cell::new(Instant::now()) }
    }

    /// Records that `bytes` have arrived in total.
    pub fn observe(&self, bytes: u64) {
        if bytes > self.bytes.get() {
            self.bytes.set(bytes);
            self.last_at.set(Instant::now());
        }
    }

    /// Returns when data was last observed to have arrived.
    pub fn last_at(&self) -> Instant {
        self.last_at.get()
    }
}
