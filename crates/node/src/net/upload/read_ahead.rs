//! Reads the rest of a streamed request body ahead of the endpoint that it is sent to, as far as there is memory for it, so
//! that the node knows when the last byte arrived although the endpoint reads slowly.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::sync::Arc;
use std::task::{Context, Waker};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::net::counting_stream::CountingStream;
use crate::net::memory_budget::{MemoryBudget, Reservation};

/// Number of bytes that may be read ahead without a reservation.
const UNRESERVED_BYTES: usize = 32 << 10;
/// Number of bytes by which a reservation grows.
const RESERVATION_STEP_BYTES: usize = 64 << 10;
/// Maximum number of bytes that are read ahead.
const MAX_BYTES: usize = 1 << 20;
/// Interval at which the arrival of data is observed while nothing is read.
const ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyEnd {
    /// All of it was read.
    Complete,
    /// The client aborted it.
    Aborted,
    /// It exceeds the size limit.
    TooLong,
}

/// Data that was read and has not been sent.
pub(super) struct ReadAhead {
    pieces: RefCell<VecDeque<Bytes>>,
    size: Cell<usize>,
    memory: Arc<MemoryBudget>,
    reservation: RefCell<Reservation>,
    end: Cell<Option<BodyEnd>>,
    /// Woken when a piece or the end has been read.
    reader: RefCell<Option<Waker>>,
    /// Notified when a piece has been taken.
    taken: Notify,
}

impl ReadAhead {
    /// Returns a buffer that begins with `first`.
    pub fn new(first: Bytes, memory: Arc<MemoryBudget>) -> Self {
        Self {
            size: Cell::new(first.len()),
            pieces: RefCell::new(VecDeque::from([first])),
            reservation: RefCell::new(memory.reservation()),
            memory,
            end: Cell::new(None),
            reader: RefCell::default(),
            taken: Notify::new(),
        }
    }

    /// Returns how the body ended, once that is known. There may still be pieces to take.
    pub fn end(&self) -> Option<BodyEnd> {
        self.end.get()
    }

    /// Whether all pieces of a complete body were taken.
    pub fn is_finished(&self) -> bool {
        self.size.get() == 0 && self.end.get() == Some(BodyEnd::Complete)
    }

    /// Takes the next piece.
    pub fn take(&self) -> Option<Bytes> {
        let piece = self.pieces.borrow_mut().pop_front()?;
        self.size.set(self.size.get() - piece.len());
        self.reservation.borrow_mut().shrink_to(self.size.get());
        self.taken.notify_one();
        Some(piece)
    }

    /// Wakes a task when the next piece or the end has been read.
    pub fn wake_when_read(&self, cx: &Context<'_>) {
        *self.reader.borrow_mut() = Some(cx.waker().clone());
    }

    /// Reads a body of at most `allowed` bytes to its end, which it returns, and observes when its data arrives.
    pub async fn fill(&self, mut body: Incoming, allowed: Option<u64>, client: &CountingStream) -> BodyEnd {
        let mut left = allowed;
        let end = loop {
            let Some(allowed) = left else { break BodyEnd::TooLong };
            if body.is_end_stream() {
                break BodyEnd::Complete;
            }
            while !self.has_room() {
                let _ = timeout(ARRIVAL_CHECK_INTERVAL, self.taken.notified()).await;
                client.observe_arrival();
            }
            let data = match body.frame().await {
                None => break BodyEnd::Complete,
                Some(Err(_)) => break BodyEnd::Aborted,
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            left = allowed.checked_sub(data.len() as u64);
            if left.is_some() {
                self.push(data);
            }
        };
        self.end.set(Some(end));
        self.wake_reader();
        end
    }

    fn push(&self, data: Bytes) {
        if !data.is_empty() {
            self.size.set(self.size.get() + data.len());
            self.pieces.borrow_mut().push_back(data);
        }
        self.wake_reader();
    }

    fn wake_reader(&self) {
        if let Some(reader) = self.reader.borrow_mut().take() {
            reader.wake();
        }
    }

    /// Whether another piece may be read. Reserves memory for it if need be, but no more than half of what there is.
    fn has_room(&self) -> bool {
        let size = self.size.get();
        let wanted = size + RESERVATION_STEP_BYTES;
        size < UNRESERVED_BYTES
            || wanted <= MAX_BYTES
                && !self.memory.is_scarce_for(RESERVATION_STEP_BYTES)
                && self.reservation.borrow_mut().try_grow_to(wanted)
    }
}
