//! Memory for long answers, of which a node has a bounded part.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// Answers take memory of the room for long ones from here on, in steps of as much.
pub const SMALL_BODY_BYTES: usize = 64 << 10;

/// Memory for the parts of answers that are longer than [`SMALL_BODY_BYTES`], until they are written to their clients. Counted
/// atomically only since the body of a message must be `Send`.
pub struct MemoryBudget(AtomicUsize);

/// A part of the room.
pub struct Reservation {
    room: Arc<MemoryBudget>,
    size: usize,
}

impl MemoryBudget {
    /// So many bytes.
    pub fn new(size: usize) -> Arc<Self> {
        Arc::new(Self(AtomicUsize::new(size)))
    }

    /// A part of it that is empty yet.
    pub fn reservation(self: &Arc<Self>) -> Reservation {
        Reservation { room: self.clone(), size: 0 }
    }
}

impl Reservation {
    /// Its bytes.
    pub fn size(&self) -> usize {
        self.size
    }

    /// A body that holds this part until it is written.
    pub fn attach_to(self, body: Bytes) -> Bytes {
        if self.size > 0 { Bytes::from_owner(ReservedBytes { body, _part: self }) } else { body }
    }

    /// Grows to a size; tells whether there was room.
    pub fn try_grow(&mut self, size: usize) -> bool {
        let more = size.saturating_sub(self.size);
        let Some(left) = self.room.0.load(Ordering::Relaxed).checked_sub(more) else { return false };
        self.room.0.store(left, Ordering::Relaxed);
        self.size += more;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.room.0.fetch_add(self.size, Ordering::Relaxed);
    }
}

/// A body that holds its part of the room.
struct ReservedBytes {
    body: Bytes,
    _part: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
