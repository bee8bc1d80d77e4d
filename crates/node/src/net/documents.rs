//! Cuts a stream into JSON documents, however they are laid out: on a line each, over many lines, several in one piece, or
//! in pieces cut anywhere. It knows strings and brackets; what a document means, and whether it is sound, its reader says.

use bytes::{Buf, BytesMut};
use thiserror::Error;

/// Longest document: far above any real list, it keeps a broken stream from exhausting memory.
const LONGEST: usize = 4 << 20;

/// Why a stream holds no further documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Fault {
    /// It is longer than any list.
    #[error("too long")]
    TooLong,
    /// Between two documents there is something that begins none.
    #[error("text outside of an object")]
    Outside,
}

/// Where in a document the stream is.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Place {
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
pub struct Documents {
    held: BytesMut,
    /// Bytes of `held` that have been looked at.
    seen: usize,
    depth: usize,
    place: Place,
}

impl Documents {
    /// Takes a piece: the documents that are whole by now, up to a fault, after which nothing more is to be had.
    pub fn take(&mut self, piece: &[u8]) -> Vec<Result<BytesMut, Fault>> {
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
    pub fn is_inside(&self) -> bool {
        self.place != Place::Outside
    }

    fn next(&mut self) -> Option<Result<BytesMut, Fault>> {
        while let Some(&byte) = self.held.get(self.seen) {
            self.seen += 1;
            self.place = match (self.place, byte) {
                (Place::Outside, b'{') => {
                    self.depth = 1;
                    Place::Plain
                }
                (Place::Outside, byte) if byte.is_ascii_whitespace() => {
                    self.held.advance(1);
                    self.seen = 0;
                    Place::Outside
                }
                (Place::Outside, _) => return Some(Err(Fault::Outside)),
                (Place::Plain, b'"') => Place::Text,
                (Place::Plain, b'{' | b'[') => {
                    self.depth += 1;
                    Place::Plain
                }
                (Place::Plain, b'}' | b']') => {
                    self.depth -= 1;
                    if self.depth == 0 {
                        self.place = Place::Outside;
                        return Some(Ok(self.held.split_to(std::mem::take(&mut self.seen))));
                    }
                    Place::Plain
                }
                (Place::Text, b'"') => Place::Plain,
                (Place::Text, b'\\') => Place::Escaped,
                (Place::Escaped, _) => Place::Text,
                (place, _) => place,
            };
        }
        (self.held.len() > LONGEST).then_some(Err(Fault::TooLong))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const STREAM: &str = "\n{\"seq\":1}\n\n  {\n  \"seq\": 2,\n\n  \"hosts\": [\n    {\"host\": \"a}\\\"]{\"}\n  ]\n}{\"seq\":3}\r\n\t{}";

    fn all(pieces: &[&[u8]]) -> Vec<Vec<u8>> {
        let mut documents = Documents::default();
        let whole = pieces.iter().flat_map(|piece| documents.take(piece));
        let whole = whole.map(|document| document.unwrap().to_vec()).collect();
        assert!(!documents.is_inside());
        whole
    }

    /// Guards lists that come indented, with empty lines inside, several in one piece, and cut at every byte.
    #[test]
    fn documents_are_found_however_they_are_cut() {
        let stream = STREAM.as_bytes();
        let whole = all(&[stream]);
        assert_eq!(whole.len(), 4);
        assert!(whole[1].starts_with(b"{\n") && whole[1].ends_with(b"\n}"));
        for at in 0..=stream.len() {
            assert_eq!(all(&[&stream[..at], &stream[at..]]), whole, "cut at {at}");
        }
        assert_eq!(all(&stream.chunks(1).collect::<Vec<_>>()), whole);
    }

    /// Guards the memory of a node from a list without an end, and its list from what is none.
    #[test]
    fn what_is_no_document_is_a_fault() {
        let mut documents = Documents::default();
        let taken = documents.take(b"{} nonsense {}");
        assert_eq!(taken.len(), 2);
        assert_eq!(taken[1], Err(Fault::Outside));
        let mut documents = Documents::default();
        assert!(documents.take(b"{\"hosts\":[").is_empty() && documents.is_inside());
        let piece = vec![b' '; 1 << 20];
        let fault = (0..5).find_map(|_| documents.take(&piece).pop());
        assert_eq!(fault, Some(Err(Fault::TooLong)));
    }
}
