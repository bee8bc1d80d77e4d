//! Name-value pairs (section 3.4 of the FastCGI specification), which may span several records.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use thiserror::Error;

/// A name and a value.
pub type Pair = (Bytes, Bytes);

/// Why a stream of pairs is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PairsError {
    /// The stated length of one pair exceeds the limit for all pairs.
    #[error("name-value pair of {stated} bytes exceeds the limit of {max} bytes for all pairs")]
    PairTooLong {
        /// Stated length of the pair, in bytes.
        stated: u64,
        /// Maximum length of all pairs, in bytes.
        max: usize,
    },
    /// The stream is longer than the limit, in bytes.
    #[error("name-value pairs exceed {0} bytes")]
    TooLong(usize),
    /// There are more pairs than the limit.
    #[error("more than {0} name-value pairs")]
    TooMany(usize),
    /// The stream ends inside a pair.
    #[error("the stream ends inside a name-value pair")]
    Truncated,
}

/// Decodes pairs from a stream of bytes. Buffers at most `max_bytes` bytes, regardless of the lengths that the stream
/// states.
#[derive(Debug)]
pub struct PairDecoder {
    buffer: BytesMut,
    received: usize,
    max_bytes: usize,
    max_pairs: usize,
    pairs: Vec<Pair>,
}

impl PairDecoder {
    /// Creates a decoder that accepts at most `max_bytes` bytes and `max_pairs` pairs.
    #[must_use]
    pub fn new(max_bytes: usize, max_pairs: usize) -> Self {
        Self { buffer: BytesMut::new(), received: 0, max_bytes, max_pairs, pairs: Vec::new() }
    }

    /// Decodes the next part of the stream.
    ///
    /// # Errors
    /// If a limit is exceeded.
    pub fn feed(&mut self, content: &[u8]) -> Result<(), PairsError> {
        self.received += content.len();
        if self.received > self.max_bytes {
            return Err(PairsError::TooLong(self.max_bytes));
        }
        self.buffer.extend_from_slice(content);
        while let Some((name, value, prefix)) = lengths(&self.buffer) {
            let stated = u64::from(name) + u64::from(value);
            if stated > self.max_bytes as u64 {
                return Err(PairsError::PairTooLong { stated, max: self.max_bytes });
            }
            let (name, value) = (name as usize, value as usize);
            if self.buffer.len() < prefix + name + value {
                break;
            }
            if self.pairs.len() == self.max_pairs {
                return Err(PairsError::TooMany(self.max_pairs));
            }
            self.buffer.advance(prefix);
            let name = self.buffer.split_to(name).freeze();
            let value = self.buffer.split_to(value).freeze();
            self.pairs.push((name, value));
        }
        Ok(())
    }

    /// Returns all pairs at the end of the stream.
    ///
    /// # Errors
    /// If the last pair is incomplete.
    pub fn finish(self) -> Result<Vec<Pair>, PairsError> {
        if self.buffer.is_empty() { Ok(self.pairs) } else { Err(PairsError::Truncated) }
    }
}

/// Returns the lengths of name and value, and the number of bytes that encode them; `None` if these bytes are
/// incomplete.
fn lengths(bytes: &[u8]) -> Option<(u32, u32, usize)> {
    let (name, first) = length(bytes)?;
    let (value, second) = length(&bytes[first..])?;
    Some((name, value, first + second))
}

/// Decodes one length and returns it with the number of bytes that encode it: one byte below 128, else four.
fn length(bytes: &[u8]) -> Option<(u32, usize)> {
    let &first = bytes.first()?;
    if first < 0x80 {
        return Some((u32::from(first), 1));
    }
    let four = *bytes.first_chunk::<4>()?;
    Some((u32::from_be_bytes(four) & 0x7fff_ffff, 4))
}

/// Appends a pair to `out`.
pub fn put_pair(out: &mut BytesMut, name: &[u8], value: &[u8]) {
    for part in [name, value] {
        match u8::try_from(part.len()) {
            Ok(short) if short < 0x80 => out.put_u8(short),
            _ => out.put_u32(part.len() as u32 | 0x8000_0000),
        }
    }
    out.put_slice(name);
    out.put_slice(value);
}
