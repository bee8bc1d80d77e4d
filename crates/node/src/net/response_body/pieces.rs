//! Bodies in pieces of one size, each with its own part of the body's reservation. The size is that of the HTTP library's
//! read buffers, so that buffers that are freed are used again: whole bodies of many sizes would fragment the heap.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};

use crate::net::memory_budget::Reservation;

/// Maximum size of a piece in bytes.
const PIECE_BYTES: usize = 8 << 10;

/// Pieces of a body.
#[derive(Default)]
pub struct BodyPieces {
    pieces: VecDeque<Bytes>,
    /// Number of bytes in all pieces.
    len: usize,
}

impl BodyPieces {
    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Removes the first piece.
    pub fn pop(&mut self) -> Option<Bytes> {
        let piece = self.pieces.pop_front()?;
        self.len -= piece.len();
        Some(piece)
    }

    fn push(&mut self, piece: Bytes) {
        self.len += piece.len();
        self.pieces.push_back(piece);
    }
}

impl From<Bytes> for BodyPieces {
    fn from(piece: Bytes) -> Self {
        let mut pieces = Self::default();
        if !piece.is_empty() {
            pieces.push(piece);
        }
        pieces
    }
}

/// Copies a body into pieces while it is received.
pub struct PieceBuffer {
    complete: BodyPieces,
    last: BytesMut,
    reservation: Reservation,
}

impl PieceBuffer {
    /// Returns an empty buffer for a body for which `reservation` has memory.
    pub fn new(reservation: Reservation) -> Self {
        Self { complete: BodyPieces::default(), last: BytesMut::new(), reservation }
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.complete.len() + self.last.len()
    }

    /// Appends bytes.
    pub fn push(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            if self.last.capacity() == 0 {
                self.last.reserve(PIECE_BYTES);
            }
            let (part, rest) = data.split_at(data.len().min(PIECE_BYTES - self.last.len()));
            self.last.extend_from_slice(part);
            if self.last.len() == PIECE_BYTES {
                self.complete_piece();
            }
            data = rest;
        }
    }

    /// Returns the pieces, and releases what is left of the reservation.
    pub fn finish(mut self) -> BodyPieces {
        if !self.last.is_empty() {
            self.complete_piece();
        }
        self.complete
    }

    fn complete_piece(&mut self) {
        let piece = std::mem::take(&mut self.last).freeze();
        let reservation = self.reservation.split_off(PIECE_BYTES);
        self.complete.push(reservation.attach_to(piece));
    }
}
