//! Memory budgets of the node: one for long bodies, one for requests and one for responses that are read completely.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{Notify, Semaphore};

/// Bodies up to this size, in bytes, need no reservation. Reservations that grow while a body is read grow in steps
/// of this size.
pub const SMALL_BODY_BYTES: usize = 64 << 10;

/// An amount of memory that can be reserved. A body holds its memory until it has been written to its peer.
pub struct MemoryBudget {
    /// Size of the budget in bytes.
    size: usize,
    /// One permit for each byte that is not reserved.
    unreserved: Semaphore,
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
        let unreserved = Semaphore::new(size.min(Semaphore::MAX_PERMITS));
        Arc::new(Self { size, unreserved, released: Notify::new() })
    }

    /// Returns an empty reservation.
    pub fn reservation(self: &Arc<Self>) -> Reservation {
        Reservation { budget: self.clone(), size: 0 }
    }

    /// Whether less than half of the memory would be left after a reservation of `size` bytes.
    pub fn is_scarce_for(&self, size: usize) -> bool {
        self.unreserved.available_permits() < self.size / 2 + size
    }

    /// Waits for a reservation of `size` bytes, in the order of the calls.
    pub async fn reserve(self: &Arc<Self>, size: u32) -> Reservation {
        let mut reservation = self.reservation();
        if let Ok(permits) = self.unreserved.acquire_many(size).await {
            permits.forget();
            reservation.size = size as usize;
        }
        reservation
    }

    /// Waits until a reservation releases memory.
    pub async fn released(&self) {
        self.released.notified().await;
    }

    fn release(&self, size: usize) {
        if size > 0 {
            self.unreserved.add_permits(size);
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
        let Ok(permits) = u32::try_from(more) else { return false };
        let Ok(acquired) = self.budget.unreserved.try_acquire_many(permits) else { return false };
        acquired.forget();
        self.size += more;
        true
    }

    /// Moves up to `size` bytes into a reservation of their own.
    #[must_use]
    pub fn split_off(&mut self, size: usize) -> Self {
        let size = size.min(self.size);
        self.size -= size;
        Self { budget: self.budget.clone(), size }
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
