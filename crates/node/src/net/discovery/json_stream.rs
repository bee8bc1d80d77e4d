//! Splits a stream of bytes into JSON objects, whatever the layout: one a line, over many lines, several in one piece, or
//! in pieces cut anywhere. Only strings and brackets are parsed; the reader parses the objects.

use bytes::{Buf, BytesMut};
use thiserror::Error;

/// Longest object. Far above any real list; it keeps a broken stream from exhausting memory.
const MAX_OBJECT_BYTES: usize = 4 << 20;

/// Why a stream holds no further objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum JsonStreamError {
    /// An object is longer than [`MAX_OBJECT_BYTES`].
    #[error("too long")]
    TooLong,
    /// Something other than an object stands between two objects.
    #[error("text outside of an object")]
    NotAnObject,
}

/// Where in the stream the next byte is.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Position {
    /// Between two objects.
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
    /// Number of bytes of the buffer that were parsed.
    parsed: usize,
    /// Number of brackets that are open.
    depth: usize,
    position: Position,
}

impl JsonStream {
    /// Takes a piece of the stream; returns the objects that are complete now. An error is the last entry.
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

    /// Whether an object has begun and not ended.
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
