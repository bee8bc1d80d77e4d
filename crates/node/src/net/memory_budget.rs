//! Memory budgets of the node: one for long bodies, one for requests that are being received.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use tokio::sync::Notify;

/// Bodies up to this size, in bytes, need no reservation. Reservations that grow while a body is read grow in steps
/// of this size.
pub const SMALL_BODY_BYTES: usize = 64 << 10;

/// An amount of memory that can be reserved. A body holds its memory until it has been written to its peer.
pub struct MemoryBudget {
    /// Bytes that are not reserved. Atomic only because the body of an HTTP message has to be `Send`; a single thread
    /// uses it.
    left: AtomicUsize,
    /// Wakes one task that waits for memory.
    released: Notify,
}

/// A reserved part of the budget, which is released on drop.
pub struct Reservation {
    budget: Arc<MemoryBudget>,
    size: usize,
}

impl MemoryBudget {
    /// Returns a budget of `size` bytes.
    pub fn new(size: usize) -> Arc<Self> {
        Arc::new(Self { left: AtomicUsize::new(size), released: Notify::new() })
    }

    /// Returns an empty reservation.
    pub fn reservation(self: &Arc<Self>) -> Reservation {
        Reservation { budget: self.clone(), size: 0 }
    }

    /// Waits until a reservation releases memory.
    pub async fn released(&self) {
        self.released.notified().await;
    }

    fn release(&self, size: usize) {
        if size > 0 {
            self.left.fetch_add(size, Ordering::Relaxed);
            self.released.notify_one();
        }
    }
}

impl Reservation {
    /// Returns a body that holds this reservation until it is dropped.
    pub fn attach_to(self, body: Bytes) -> Bytes {
        if self.size > 0 { Bytes::from_owner(ReservedBytes { body, _reservation: self }) } else { body }
    }

    /// Grows the reservation to at least `size` bytes; returns whether the budget allows it.
    pub fn try_grow_to(&mut self, size: usize) -> bool {
        let more = size.saturating_sub(self.size);
        let Some(left) = self.budget.left.load(Ordering::Relaxed).checked_sub(more) else { return false };
        self.budget.left.store(left, Ordering::Relaxed);
        self.size += more;
        true
    }

    /// Releases what exceeds `size` bytes.
    pub fn shrink_to(&mut self, size: usize) {
        let released = self.size.saturating_sub(size);
        self.size -= released;
        self.budget.release(released);
    }

    /// Whether any memory is reserved.
    pub fn is_empty(&self) -> bool {
        self.size == 0
    }

    /// Grows the reservation, in steps of [`SMALL_BODY_BYTES`], if a body of `size` bytes needs it; returns whether
    /// the budget allows it.
    pub fn try_grow_to_fit(&mut self, size: usize) -> bool {
        size <= SMALL_BODY_BYTES.max(self.size) || self.try_grow_to(size.next_multiple_of(SMALL_BODY_BYTES))
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.release(self.size);
    }
}

/// A body together with its reservation.
struct ReservedBytes {
    body: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
