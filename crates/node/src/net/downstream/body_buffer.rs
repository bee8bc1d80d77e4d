//! Buffers the body of a request within the memory that the node has for requests.

use bytes::{Bytes, BytesMut};
use tokio::time::{Instant, timeout_at};

use super::connection::DownstreamConnection;
use super::connection_budget::ConnectionBudget;
use crate::net::admission::RequestError;
use crate::net::counting_stream::MAX_UNRESERVED_READ_BYTES;
use crate::net::header_fields::MAX_HEAD_BYTES;
use crate::net::memory_budget::Reservation;

/// Bodies up to this size need no reservation, so that they never wait for memory.
const UNRESERVED_BODY_BYTES: usize = 4 << 10;
/// Maximum size of the HTTP library's read buffer, which is kept until the body is dropped.
const MAX_READ_BUFFER_BYTES: usize = MAX_HEAD_BYTES;

/// The connection that a body is received on.
#[derive(Clone, Copy)]
pub struct BodySource<'a> {
    /// The connection.
    pub connection: &'a DownstreamConnection,
    /// The connections and the memory of the node.
    pub budget: &'a ConnectionBudget,
    /// When a request that waits for memory is rejected.
    pub due: Instant,
}

/// Whether a body waited for memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryWait {
    /// There was memory, or none was needed.
    None,
    /// All memory was reserved.
    Waited,
}

/// The buffered part of a body.
pub struct BodyBuffer<'a> {
    source: BodySource<'a>,
    bytes: BytesMut,
    /// Maximum size of the body in bytes, or its stated length.
    expected_size: usize,
    reservation: Reservation,
}

impl<'a> BodyBuffer<'a> {
    /// Returns an empty buffer for a body of `expected_size` bytes, and marks its connection as receiving.
    pub fn new(source: BodySource<'a>, expected_size: usize) -> Self {
        let reservation = source.budget.request_reservation();
        source.connection.start_receiving();
        source.connection.stream.set_max_read(MAX_UNRESERVED_READ_BYTES);
        Self { source, bytes: BytesMut::new(), expected_size, reservation }
    }

    /// Returns an empty buffer for a body of `expected_size` bytes, for which `reservation` has [`reservation_for`] as
    /// much.
    pub fn reserved(source: BodySource<'a>, expected_size: usize, reservation: Reservation) -> Self {
        let mut buffer = Self::new(source, expected_size);
        buffer.reservation = reservation;
        buffer.use_reservation();
        buffer
    }

    /// Allocates the whole body, since growing its buffer step by step would need up to twice its size, and reads as
    /// much at a time as the HTTP library does.
    fn use_reservation(&mut self) {
        self.source.connection.stream.set_max_read(usize::MAX);
        let mut bytes = BytesMut::with_capacity(self.expected_size);
        bytes.extend_from_slice(&self.bytes);
        self.bytes = bytes;
    }

    /// Waits for memory if a body with a stated length needs a reservation, before any part of it is read.
    ///
    /// # Errors
    /// There was no memory in time.
    pub async fn prepare(&mut self) -> Result<MemoryWait, RequestError> {
        self.reserve_for(self.expected_size).await
    }

    /// Returns the number of buffered bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Appends a part of the body. Waits for memory if the body needs a reservation.
    ///
    /// # Errors
    /// There was no memory in time.
    pub async fn push(&mut self, data: &[u8]) -> Result<MemoryWait, RequestError> {
        let waited = self.reserve_for(self.bytes.len() + data.len()).await?;
        self.bytes.extend_from_slice(data);
        Ok(waited)
    }

    /// Returns the buffered bytes, which hold their memory until they are dropped.
    #[must_use]
    pub fn finish(mut self) -> Bytes {
        let size = self.bytes.len();
        self.reservation.shrink_to(reservation_for(size));
        let unused = self.source.budget.request_reservation();
        let reservation = std::mem::replace(&mut self.reservation, unused);
        reservation.attach_to(std::mem::take(&mut self.bytes).freeze())
    }

    /// Reserves memory for the whole body if `size` bytes need a reservation and there is none yet.
    async fn reserve_for(&mut self, size: usize) -> Result<MemoryWait, RequestError> {
        if size <= UNRESERVED_BODY_BYTES || !self.reservation.is_empty() {
            return Ok(MemoryWait::None);
        }
        let BodySource { connection, budget, due } = self.source;
        let size = reservation_for(self.expected_size);
        let mut wait = MemoryWait::None;
        if !self.reservation.try_grow_to(size) {
            // A client can't be blamed for a pause in which nothing is read.
            connection.set_busy();
            let reserved = timeout_at(due, budget.reserve_request_memory(size, connection)).await;
            self.reservation = reserved.map_err(|_| RequestError::NoMemory)?;
            wait = MemoryWait::Waited;
        }
        connection.holds_body_memory.set(true);
        connection.start_receiving();
        self.use_reservation();
        Ok(wait)
    }
}

impl Drop for BodyBuffer<'_> {
    fn drop(&mut self) {
        self.source.connection.holds_body_memory.set(false);
        self.source.connection.set_busy();
    }
}

/// Returns the memory that a body of `size` bytes takes, with the read buffer of its connection.
pub fn reservation_for(size: usize) -> usize {
    size + size.min(MAX_READ_BUFFER_BYTES)
}
