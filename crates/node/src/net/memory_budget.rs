//! The node's memory for long bodies.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// Bodies up to this size need no reservation; longer ones reserve in steps of it. In bytes.
pub const SMALL_BODY_BYTES: usize = 64 << 10;

/// Memory that is left for bodies longer than [`SMALL_BODY_BYTES`], until they are written to their clients. Atomic only
/// since the body of an HTTP message has to be `Send`; one thread uses it.
pub struct MemoryBudget(AtomicUsize);

/// A reserved part of the budget, returned when it is dropped.
pub struct Reservation {
    budget: Arc<MemoryBudget>,
    size: usize,
}

impl MemoryBudget {
    /// A budget of `size` bytes.
    pub fn new(size: usize) -> Arc<Self> {
        Arc::new(Self(AtomicUsize::new(size)))
    }

    /// Returns a reservation of nothing.
    pub fn reservation(self: &Arc<Self>) -> Reservation {
        Reservation { budget: self.clone(), size: 0 }
    }
}

impl Reservation {
    /// Returns a body that holds this reservation until it is dropped.
    pub fn attach_to(self, body: Bytes) -> Bytes {
        if self.size > 0 { Bytes::from_owner(ReservedBytes { body, _reservation: self }) } else { body }
    }

    /// Grows to `size` bytes; returns whether the budget allows it.
    pub fn try_grow_to(&mut self, size: usize) -> bool {
        let more = size.saturating_sub(self.size);
        let Some(left) = self.budget.0.load(Ordering::Relaxed).checked_sub(more) else { return false };
        self.budget.0.store(left, Ordering::Relaxed);
        self.size += more;
        true
    }

    /// Grows in steps of [`SMALL_BODY_BYTES`] where a body of `size` bytes needs it; returns whether the budget allows it.
    pub fn try_grow_to_fit(&mut self, size: usize) -> bool {
        size <= SMALL_BODY_BYTES.max(self.size) || self.try_grow_to(size.next_multiple_of(SMALL_BODY_BYTES))
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.0.fetch_add(self.size, Ordering::Relaxed);
    }
}

/// A body that holds its reservation.
struct ReservedBytes {
    body: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
