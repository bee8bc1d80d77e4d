//! Name-value pairs (section 3.4), also across the borders of records.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use thiserror::Error;

/// A name and a value.
pub type Pair = (Bytes, Bytes);

/// Pairs that can't be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PairsError {
    /// A pair that claims more than all pairs may have.
    #[error("a pair of {claimed} bytes, where all may have {most}")]
    PairTooLong {
        /// What it claims.
        claimed: u64,
        /// The bound.
        most: usize,
    },
    /// All together are too long.
    #[error("pairs of more than {0} bytes")]
    TooLong(usize),
    /// Too many.
    #[error("more than {0} pairs")]
    TooMany(usize),
    /// The stream ends inside a pair.
    #[error("the pairs end inside one")]
    Cut,
}

/// Makes pairs of a stream of bytes. Holds at most `most_bytes`, whatever lengths are claimed.
#[derive(Debug)]
pub struct Pairs {
    buffer: BytesMut,
    taken: usize,
    most_bytes: usize,
    most_pairs: usize,
    list: Vec<Pair>,
}

impl Pairs {
    /// None yet; at most so many bytes and pairs.
    #[must_use]
    pub fn new(most_bytes: usize, most_pairs: usize) -> Self {
        Self { buffer: BytesMut::new(), taken: 0, most_bytes, most_pairs, list: Vec::new() }
    }

    /// Takes the next part of the stream.
    ///
    /// # Errors
    /// A bound that is passed.
    pub fn feed(&mut self, content: &[u8]) -> Result<(), PairsError> {
        self.taken += content.len();
        if self.taken > self.most_bytes {
            return Err(PairsError::TooLong(self.most_bytes));
        }
        self.buffer.extend_from_slice(content);
        while let Some((name, value, head)) = lengths(&self.buffer) {
            let claimed = u64::from(name) + u64::from(value);
            if claimed > self.most_bytes as u64 {
                return Err(PairsError::PairTooLong { claimed, most: self.most_bytes });
            }
            let (name, value) = (name as usize, value as usize);
            if self.buffer.len() < head + name + value {
                break;
            }
            if self.list.len() == self.most_pairs {
                return Err(PairsError::TooMany(self.most_pairs));
            }
            self.buffer.advance(head);
            let name = self.buffer.split_to(name).freeze();
            let value = self.buffer.split_to(value).freeze();
            self.list.push((name, value));
        }
        Ok(())
    }

    /// All pairs, at the end of the stream.
    ///
    /// # Errors
    /// A pair that is not whole.
    pub fn finish(self) -> Result<Vec<Pair>, PairsError> {
        if self.buffer.is_empty() { Ok(self.list) } else { Err(PairsError::Cut) }
    }
}

/// Lengths of name and value and how many bytes tell them; `None` where these have not come yet.
fn lengths(bytes: &[u8]) -> Option<(u32, u32, usize)> {
    let (name, first) = length(bytes)?;
    let (value, second) = length(&bytes[first..])?;
    Some((name, value, first + second))
}

fn length(bytes: &[u8]) -> Option<(u32, usize)> {
    let &first = bytes.first()?;
    if first < 0x80 {
        return Some((u32::from(first), 1));
    }
    let four = *bytes.first_chunk::<4>()?;
    Some((u32::from_be_bytes(four) & 0x7fff_ffff, 4))
}

/// Writes a pair.
pub fn put(out: &mut BytesMut, name: &[u8], value: &[u8]) {
    for part in [name, value] {
        match u8::try_from(part.len()) {
            Ok(short) if short < 0x80 => out.put_u8(short),
            _ => out.put_u32(part.len() as u32 | 0x8000_0000),
        }
    }
    out.put_slice(name);
    out.put_slice(value);
}
