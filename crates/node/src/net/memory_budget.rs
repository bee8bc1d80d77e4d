//! The node's memory budget for long bodies.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// Bodies up to this size, in bytes, need no reservation. Reservations that grow while a body is read grow in steps
/// of this size.
pub const SMALL_BODY_BYTES: usize = 64 << 10;

/// Memory that is left for bodies longer than [`SMALL_BODY_BYTES`], in bytes. A body holds its memory until it has
/// been written to its client. Atomic only because the body of an HTTP message has to be `Send`; a single thread uses
/// it.
pub struct MemoryBudget(AtomicUsize);

/// A reserved part of the budget, which is released on drop.
pub struct Reservation {
    budget: Arc<MemoryBudget>,
    size: usize,
}

impl MemoryBudget {
    /// Returns a budget of `size` bytes.
    pub fn new(size: usize) -> Arc<Self> {
        Arc::new(Self(AtomicUsize::new(size)))
    }

    /// Returns an empty reservation.
    pub fn reservation(self: &Arc<Self>) -> Reservation {
        Reservation { budget: self.clone(), size: 0 }
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
        let Some(left) = self.budget.0.load(Ordering::Relaxed).checked_sub(more) else { return false };
        self.budget.0.store(left, Ordering::Relaxed);
        self.size += more;
        true
    }

    /// Grows the reservation, in steps of [`SMALL_BODY_BYTES`], if a body of `size` bytes needs it; returns whether
    /// the budget allows it.
    pub fn try_grow_to_fit(&mut self, size: usize) -> bool {
        size <= SMALL_BODY_BYTES.max(self.size) || self.try_grow_to(size.next_multiple_of(SMALL_BODY_BYTES))
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.0.fetch_add(self.size, Ordering::Relaxed);
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
