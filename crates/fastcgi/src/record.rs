//! Records (section 3.3 and 8 of the specification).

use bytes::{BufMut, Bytes, BytesMut};
use thiserror::Error;

/// `FCGI_VERSION_1`.
pub const VERSION: u8 = 1;
/// Bytes of a record's header.
pub const HEADER: usize = 8;
/// Most bytes of a record's content.
pub const LONGEST_CONTENT: usize = 65_535;
/// Most content that is written in one record: a reader of several streams is not kept waiting for one.
pub const CHUNK: usize = 16 << 10;
/// The id of management records.
pub const MANAGEMENT: u16 = 0;

/// A record's type.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// A web server begins a request.
    BeginRequest,
    /// It takes no interest in one any more.
    AbortRequest,
    /// An application has done with one.
    EndRequest,
    /// Name-value pairs of a request.
    Params,
    /// Its body.
    Stdin,
    /// Its answer.
    Stdout,
    /// What an application says of errors.
    Stderr,
    /// A second body, for filters.
    Data,
    /// A web server asks for variables.
    GetValues,
    /// The variables.
    GetValuesResult,
    /// A management record was of no known type.
    UnknownType,
    /// A type that the specification does not have.
    Other(u8),
}

impl Kind {
    const ALL: [Self; 11] = [
        Self::BeginRequest,
        Self::AbortRequest,
        Self::EndRequest,
        Self::Params,
        Self::Stdin,
        Self::Stdout,
        Self::Stderr,
        Self::Data,
        Self::GetValues,
        Self::GetValuesResult,
        Self::UnknownType,
    ];

    /// By its number.
    #[must_use]
    pub fn of(code: u8) -> Self {
        let known = usize::from(code).checked_sub(1).and_then(|place| Self::ALL.get(place));
        known.copied().unwrap_or(Self::Other(code))
    }

    /// Its number.
    #[must_use]
    pub fn code(self) -> u8 {
        match self {
            Self::Other(code) => code,
            known => Self::ALL.iter().position(|kind| *kind == known).map_or(0, |place| place as u8 + 1),
        }
    }
}

/// A whole record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its type.
    pub kind: Kind,
    /// The request it belongs to; [`MANAGEMENT`] is none.
    pub id: u16,
    /// Its content, without padding.
    pub content: Bytes,
}

/// Bytes that are no record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RecordError {
    /// Another version: nothing that follows can be read.
    #[error("a record of version {0}")]
    Version(u8),
}

/// Makes records of bytes, however these are split. Holds what has come of one record.
#[derive(Debug, Default)]
pub struct Decoder {
    header: [u8; HEADER],
    have: usize,
    content: BytesMut,
    /// Bytes of padding that have come.
    padding: usize,
    failed: Option<RecordError>,
}

impl Decoder {
    /// The next record; what it takes of `input` is removed there. `None` where `input` ends first.
    ///
    /// # Errors
    /// Bytes that are no record; then always the same.
    pub fn next(&mut self, input: &mut &[u8]) -> Result<Option<Record>, RecordError> {
        if let Some(error) = self.failed {
            return Err(error);
        }
        while self.have < HEADER {
            let Some((&byte, rest)) = input.split_first() else { return Ok(None) };
            // The first byte tells: what is no FastCGI need not send eight.
            if self.have == 0 && byte != VERSION {
                self.failed = Some(RecordError::Version(byte));
                return Err(RecordError::Version(byte));
            }
            self.header[self.have] = byte;
            self.have += 1;
            *input = rest;
        }
        let [_, kind, id_high, id_low, length_high, length_low, padding, _] = self.header;
        let length = usize::from(u16::from_be_bytes([length_high, length_low]));
        let content = input.len().min(length - self.content.len());
        let (content, rest) = input.split_at(content);
        // Grows with what has come, not with what is claimed.
        self.content.extend_from_slice(content);
        let skipped = if self.content.len() == length {
            rest.len().min(usize::from(padding) - self.padding)
        } else {
            0
        };
        *input = &rest[skipped..];
        self.padding += skipped;
        if self.content.len() < length || self.padding < usize::from(padding) {
            return Ok(None);
        }
        self.have = 0;
        self.padding = 0;
        let content = std::mem::take(&mut self.content).freeze();
        Ok(Some(Record { kind: Kind::of(kind), id: u16::from_be_bytes([id_high, id_low]), content }))
    }

    /// Whether no part of a record has come: a connection may end here and nowhere else.
    #[must_use]
    pub fn is_between(&self) -> bool {
        self.have == 0
    }
}

/// Writes a record; `content` has at most [`LONGEST_CONTENT`] bytes, what is longer is cut. Padded to eight bytes, as
/// section 3.3 recommends.
pub fn put(out: &mut BytesMut, kind: Kind, id: u16, content: &[u8]) {
    let content = &content[..content.len().min(LONGEST_CONTENT)];
    let padding = content.len().wrapping_neg() % 8;
    out.reserve(HEADER + content.len() + padding);
    out.put_slice(&[VERSION, kind.code()]);
    out.put_u16(id);
    out.put_u16(content.len() as u16);
    out.put_slice(&[padding as u8, 0]);
    out.put_slice(content);
    out.put_bytes(0, padding);
}

/// Writes a part of a stream. Nothing is written for nothing: an empty record would end the stream.
pub fn put_stream(out: &mut BytesMut, kind: Kind, id: u16, content: &[u8]) {
    content.chunks(CHUNK).for_each(|chunk| put(out, kind, id, chunk));
}

/// Ends a stream.
pub fn put_stream_end(out: &mut BytesMut, kind: Kind, id: u16) {
    put(out, kind, id, &[]);
}

/// What an application is to be to a request (section 5.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Answers requests.
    Responder,
    /// Says whether requests are allowed.
    Authorizer,
    /// Answers with a file that it is sent, changed.
    Filter,
    /// Not in the specification.
    Other(u16),
}

impl Role {
    /// Its number.
    #[must_use]
    pub fn code(self) -> u16 {
        match self {
            Self::Responder => 1,
            Self::Authorizer => 2,
            Self::Filter => 3,
            Self::Other(code) => code,
        }
    }

    fn of(code: u16) -> Self {
        match code {
            1 => Self::Responder,
            2 => Self::Authorizer,
            3 => Self::Filter,
            code => Self::Other(code),
        }
    }
}

/// The content of `FCGI_BEGIN_REQUEST`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Begin {
    /// The role asked for.
    pub role: Role,
    /// The connection stays after this request.
    pub keep: bool,
}

impl Begin {
    /// From a record's content; `None` where that is too short.
    #[must_use]
    pub fn read(content: &[u8]) -> Option<Self> {
        let [role_high, role_low, flags, _, _, _, _, _] = *content.first_chunk::<8>()?;
        Some(Self { role: Role::of(u16::from_be_bytes([role_high, role_low])), keep: flags & 1 == 1 })
    }

    /// As a record's content.
    #[must_use]
    pub fn content(self) -> [u8; 8] {
        let [high, low] = self.role.code().to_be_bytes();
        [high, low, u8::from(self.keep), 0, 0, 0, 0, 0]
    }
}

/// How a request ended, as far as the protocol is concerned (section 5.5).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolStatus {
    /// It was carried out.
    Complete,
    /// This connection takes one request at a time.
    CantMultiplex,
    /// The application has no room.
    Overloaded,
    /// It does not have that role.
    UnknownRole,
    /// Not in the specification.
    Other(u8),
}

impl ProtocolStatus {
    /// Its number.
    #[must_use]
    pub fn code(self) -> u8 {
        match self {
            Self::Complete => 0,
            Self::CantMultiplex => 1,
            Self::Overloaded => 2,
            Self::UnknownRole => 3,
            Self::Other(code) => code,
        }
    }

    fn of(code: u8) -> Self {
        match code {
            0 => Self::Complete,
            1 => Self::CantMultiplex,
            2 => Self::Overloaded,
            3 => Self::UnknownRole,
            code => Self::Other(code),
        }
    }
}

/// The content of `FCGI_END_REQUEST`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct End {
    /// As of a program's exit; 0 is no failure.
    pub application: u32,
    /// Of the protocol.
    pub protocol: ProtocolStatus,
}

impl End {
    /// From a record's content; `None` where that is too short.
    #[must_use]
    pub fn read(content: &[u8]) -> Option<Self> {
        let [a, b, c, d, protocol, _, _, _] = *content.first_chunk::<8>()?;
        Some(Self { application: u32::from_be_bytes([a, b, c, d]), protocol: ProtocolStatus::of(protocol) })
    }

    /// As a record's content.
    #[must_use]
    pub fn content(self) -> [u8; 8] {
        let [a, b, c, d] = self.application.to_be_bytes();
        [a, b, c, d, self.protocol.code(), 0, 0, 0]
    }
}
