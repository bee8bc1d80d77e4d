//! Cuts a stream into JSON documents, however they are laid out: on a line each, over many lines, several in one piece, or
//! in pieces cut anywhere. It knows strings and brackets; what a document means, and whether it is sound, its reader says.

use bytes::{Buf, BytesMut};
use thiserror::Error;

/// Longest document: far above any real list, it keeps a broken stream from exhausting memory.
const LONGEST: usize = 4 << 20;

/// Why a stream holds no further documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum JsonStreamError {
    /// It is longer than any list.
    #[error("too long")]
    TooLong,
    /// Between two documents there is something that begins none.
    #[error("text outside of an object")]
    NotAnObject,
}

/// Where in a document the stream is.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Position {
    /// Between two.
    #[default]
    Outside,
    /// In one, outside of strings.
    Plain,
    /// In a string.
    Text,
    /// In a string, behind a backslash.
    Escaped,
}

/// The documents of a stream.
#[derive(Default)]
pub struct JsonStream {
    held: BytesMut,
    /// Bytes of `held` that have been looked at.
    seen: usize,
    depth: usize,
    place: Position,
}

impl JsonStream {
    /// Takes a piece: the documents that are whole by now, up to a fault, after which nothing more is to be had.
    pub fn push(&mut self, piece: &[u8]) -> Vec<Result<BytesMut, JsonStreamError>> {
        self.held.extend_from_slice(piece);
        let mut whole = Vec::new();
        while let Some(document) = self.next() {
            let ends = document.is_err();
            whole.push(document);
            if ends {
                break;
            }
        }
        whole
    }

    /// Whether one has begun and not ended.
    pub fn is_inside_document(&self) -> bool {
        self.place != Position::Outside
    }

    fn next(&mut self) -> Option<Result<BytesMut, JsonStreamError>> {
        while let Some(&byte) = self.held.get(self.seen) {
            self.seen += 1;
            self.place = match (self.place, byte) {
                (Position::Outside, b'{') => {
                    self.depth = 1;
                    Position::Plain
                }
                (Position::Outside, byte) if byte.is_ascii_whitespace() => {
                    self.held.advance(1);
                    self.seen = 0;
                    Position::Outside
                }
                (Position::Outside, _) => return Some(Err(JsonStreamError::NotAnObject)),
                (Position::Plain, b'"') => Position::Text,
                (Position::Plain, b'{' | b'[') => {
                    self.depth += 1;
                    Position::Plain
                }
                (Position::Plain, b'}' | b']') => {
                    self.depth -= 1;
                    if self.depth == 0 {
                        self.place = Position::Outside;
                        return Some(Ok(self.held.split_to(std::mem::take(&mut self.seen))));
                    }
                    Position::Plain
                }
                (Position::Text, b'"') => Position::Plain,
                (Position::Text, b'\\') => Position::Escaped,
                (Position::Escaped, _) => Position::Text,
                (place, _) => place,
            };
        }
        (self.held.len() > LONGEST).then_some(Err(JsonStreamError::TooLong))
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/json_stream.rs"]
mod tests;
