//! Splits a stream of bytes into JSON objects, regardless of layout and chunk boundaries: an object may span several
//! lines or chunks, and a line or chunk may contain several objects. Only strings and brackets are parsed; the caller
//! parses the objects.

use bytes::{Buf, BytesMut};
use thiserror::Error;

/// Maximum size of an object, in bytes. Far above the size of real lists; it prevents a malformed stream from
/// exhausting memory.
const MAX_OBJECT_BYTES: usize = 4 << 20;

/// Why no further objects can be read from a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum JsonStreamError {
    /// An object is longer than [`MAX_OBJECT_BYTES`].
    #[error("object longer than {MAX_OBJECT_BYTES} bytes")]
    TooLong,
    /// There is something other than whitespace outside of objects.
    #[error("text outside of an object")]
    NotAnObject,
}

/// Parser state at the next byte of the stream.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Position {
    /// Outside of objects.
    #[default]
    Outside,
    /// In an object, outside of strings.
    Object,
    /// In a string.
    String,
    /// In a string, after a backslash.
    Escape,
}

/// A stream of JSON objects.
#[derive(Default)]
pub struct JsonStream {
    buffer: BytesMut,
    /// Number of bytes of the buffer that have been parsed.
    parsed: usize,
    /// Number of open brackets.
    depth: usize,
    position: Position,
}

impl JsonStream {
    /// Adds a chunk of the stream; returns the objects that it completes. An error is always the last entry.
    pub fn push(&mut self, piece: &[u8]) -> Vec<Result<BytesMut, JsonStreamError>> {
        self.buffer.extend_from_slice(piece);
        let mut objects = Vec::new();
        while let Some(object) = self.next() {
            let is_error = object.is_err();
            objects.push(object);
            if is_error {
                break;
            }
        }
        objects
    }

    /// Whether the stream is inside an object.
    pub fn is_inside_object(&self) -> bool {
        self.position != Position::Outside
    }

    fn next(&mut self) -> Option<Result<BytesMut, JsonStreamError>> {
        while let Some(&byte) = self.buffer.get(self.parsed) {
            self.parsed += 1;
            self.position = match (self.position, byte) {
                (Position::Outside, b'{') => {
                    self.depth = 1;
                    Position::Object
                }
                (Position::Outside, byte) if byte.is_ascii_whitespace() => {
                    self.buffer.advance(1);
                    self.parsed = 0;
                    Position::Outside
                }
                (Position::Outside, _) => return Some(Err(JsonStreamError::NotAnObject)),
                (Position::Object, b'"') => Position::String,
                (Position::Object, b'{' | b'[') => {
                    self.depth += 1;
                    Position::Object
                }
                (Position::Object, b'}' | b']') => {
                    self.depth -= 1;
                    if self.depth == 0 {
                        self.position = Position::Outside;
                        return Some(Ok(self.buffer.split_to(std::mem::take(&mut self.parsed))));
                    }
                    Position::Object
                }
                (Position::String, b'"') => Position::Object,
                (Position::String, b'\\') => Position::Escape,
                (Position::Escape, _) => Position::String,
                (position, _) => position,
            };
        }
        (self.buffer.len() > MAX_OBJECT_BYTES).then_some(Err(JsonStreamError::TooLong))
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/json_stream.rs"]
mod tests;
