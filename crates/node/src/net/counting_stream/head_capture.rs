//! Captures the heads of HTTP requests as they were received. The HTTP library drops a `Content-Length` next to a
//! `Transfer-Encoding`, so request smuggling can't be detected in the header fields that it returns.

use thiserror::Error;
use tokio::time::Instant;

use crate::net::header_fields::MAX_HEAD_BYTES;
use crate::net::memory_budget::Reservation;

/// Heads up to this size need no reservation.
const UNRESERVED_HEAD_BYTES: usize = 8 << 10;
/// Memory that a longer head reserves: this copy, whose capacity may be twice its length, and that of the HTTP library.
const LONG_HEAD_RESERVATION_BYTES: usize = 3 * MAX_HEAD_BYTES;

/// The memory for requests is exhausted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("no memory left for a head longer than {UNRESERVED_HEAD_BYTES} bytes")]
pub(super) struct HeadMemoryExhausted;

/// The head of the next request.
pub(super) struct HeadCapture {
    head: Vec<u8>,
    /// Number of bytes of the last request's body that have not been received yet.
    body_bytes_remaining: u64,
    /// When the first byte of `head` was received.
    started_at: Option<Instant>,
    /// When bytes were last received.
    last_read_at: Option<Instant>,
    /// Memory for a long head.
    reservation: Reservation,
}

impl HeadCapture {
    /// Returns an empty capture; a long head is reserved in `reservation`.
    pub fn new(reservation: Reservation) -> Self {
        Self { head: Vec::new(), body_bytes_remaining: 0, started_at: None, last_read_at: None, reservation }
    }

    /// Handles bytes that were read.
    ///
    /// # Errors
    /// The head is long, and the memory for requests is exhausted.
    pub fn on_read(&mut self, bytes: &[u8]) -> Result<(), HeadMemoryExhausted> {
        self.last_read_at = Some(Instant::now());
        let skipped = bytes.len().min(usize::try_from(self.body_bytes_remaining).unwrap_or(usize::MAX));
        self.body_bytes_remaining -= skipped as u64;
        let rest = &bytes[skipped..];
        if !rest.is_empty() && self.head.is_empty() {
            self.started_at = self.last_read_at;
        }
        if self.head.len() + rest.len() > UNRESERVED_HEAD_BYTES
            && !self.reservation.try_grow_to(LONG_HEAD_RESERVATION_BYTES)
        {
            return Err(HeadMemoryExhausted);
        }
        self.head.extend_from_slice(rest);
        Ok(())
    }

    /// Returns when bytes were last received.
    pub fn last_read_at(&self) -> Option<Instant> {
        self.last_read_at
    }

    /// Returns the number of bytes of the last request's body that have not been read yet.
    pub fn body_bytes_remaining(&self) -> u64 {
        self.body_bytes_remaining
    }

    /// Whether memory is reserved for a long head.
    pub fn holds_memory(&self) -> bool {
        !self.reservation.is_empty()
    }

    /// Returns when the first byte of a head that was not taken yet was received.
    pub fn started_at(&self) -> Option<Instant> {
        self.started_at
    }

    /// Takes the complete head.
    pub fn take_head(&mut self) -> Vec<u8> {
        let rest = self.head.split_off(head_end(&self.head));
        self.restart(rest.is_empty());
        std::mem::replace(&mut self.head, rest)
    }

    /// Skips the body of the request whose head was taken.
    pub fn skip_body(&mut self, length: u64) {
        let mut received = std::mem::take(&mut self.head);
        let body_received = received.len().min(usize::try_from(length).unwrap_or(usize::MAX));
        self.body_bytes_remaining = length - body_received as u64;
        // The buffer is split off so that an idle connection holds no buffer.
        self.head = received.split_off(body_received);
        self.restart(self.head.is_empty());
        if self.head.len() <= UNRESERVED_HEAD_BYTES {
            self.reservation.shrink_to(0);
        }
    }

    fn restart(&mut self, is_empty: bool) {
        self.started_at = (!is_empty).then(Instant::now);
    }
}

/// Returns the length of the first head including its empty line, or the length of all bytes if the head is
/// incomplete. Empty lines before a request are allowed (RFC 9112 section 2.2).
fn head_end(bytes: &[u8]) -> usize {
    let mut end = 0;
    let mut has_begun = false;
    for line in bytes.split_inclusive(|&byte| byte == b'\n') {
        end += line.len();
        let is_empty = matches!(line, [b'\n'] | [b'\r', b'\n']);
        if has_begun && is_empty {
            break;
        }
        has_begun |= !is_empty;
    }
    end
}
