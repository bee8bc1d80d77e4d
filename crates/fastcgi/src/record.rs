//! Records (sections 3.3 and 8 of the FastCGI specification).

use bytes::{BufMut, Bytes, BytesMut};
use thiserror::Error;

/// `FCGI_VERSION_1`.
pub const VERSION: u8 = 1;
/// Length of a record header, in bytes.
pub const HEADER_BYTES: usize = 8;
/// Maximum length of the content of a record, in bytes.
pub const MAX_CONTENT_BYTES: usize = 65_535;
/// Maximum length of the content that is written into one record, so that one multiplexed stream does not delay the
/// others for long.
pub const MAX_CHUNK_BYTES: usize = 16 << 10;
/// Request id of management records.
pub const MANAGEMENT_ID: u16 = 0;

/// Type of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The web server begins a request.
    BeginRequest,
    /// The web server aborts a request.
    AbortRequest,
    /// The application has finished a request.
    EndRequest,
    /// Name-value pairs of a request.
    Params,
    /// Body of a request.
    Stdin,
    /// Response to a request.
    Stdout,
    /// Error output of the application.
    Stderr,
    /// Second body of a request to a filter.
    Data,
    /// The web server queries variables of the application.
    GetValues,
    /// Values of the queried variables.
    GetValuesResult,
    /// The application does not know the type of a management record.
    UnknownType,
    /// A type that is not in the specification.
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

    /// Returns the type with this number.
    #[must_use]
    pub fn from_code(code: u8) -> Self {
        let known = usize::from(code).checked_sub(1).and_then(|index| Self::ALL.get(index));
        known.copied().unwrap_or(Self::Other(code))
    }

    /// Returns the type's number on the wire.
    #[must_use]
    pub fn code(self) -> u8 {
        match self {
            Self::Other(code) => code,
            known => Self::ALL.iter().position(|kind| *kind == known).map_or(0, |index| index as u8 + 1),
        }
    }
}

/// A complete record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Type of the record.
    pub kind: Kind,
    /// Id of the request; [`MANAGEMENT_ID`] if the record belongs to none.
    pub id: u16,
    /// Content without padding.
    pub content: Bytes,
}

/// Why bytes are not a valid record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RecordError {
    /// The record has an unsupported version, so that nothing after it can be decoded.
    #[error("unsupported FastCGI version {0}")]
    UnsupportedVersion(u8),
}

/// Decodes records from input that may be split anywhere. Buffers the received part of one record.
#[derive(Debug, Default)]
pub struct RecordDecoder {
    header: [u8; HEADER_BYTES],
    have: usize,
    content: BytesMut,
    /// Number of padding bytes received.
    padding: usize,
    failed: Option<RecordError>,
}

impl RecordDecoder {
    /// Decodes the next record and removes the consumed bytes from the front of `input`. Returns `None` if `input` ends
    /// before the record does.
    ///
    /// # Errors
    /// If the bytes are not a valid record. Every later call then returns the same error.
    pub fn next(&mut self, input: &mut &[u8]) -> Result<Option<Record>, RecordError> {
        if let Some(error) = self.failed {
            return Err(error);
        }
        while self.have < HEADER_BYTES {
            let Some((&byte, rest)) = input.split_first() else { return Ok(None) };
            // The version is checked as soon as the first byte arrives: a peer that does not speak FastCGI may never
            // send a complete header.
            if self.have == 0 && byte != VERSION {
                self.failed = Some(RecordError::UnsupportedVersion(byte));
                return Err(RecordError::UnsupportedVersion(byte));
            }
            self.header[self.have] = byte;
            self.have += 1;
            *input = rest;
        }
        let [_, kind, id_high, id_low, length_high, length_low, padding, _] = self.header;
        let length = usize::from(u16::from_be_bytes([length_high, length_low]));
        let content = input.len().min(length - self.content.len());
        let (content, rest) = input.split_at(content);
        // The buffer grows with the bytes received, not with the stated length.
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
        Ok(Some(Record { kind: Kind::from_code(kind), id: u16::from_be_bytes([id_high, id_low]), content }))
    }

    /// Returns whether no part of a record is buffered. A connection may end only between two records.
    #[must_use]
    pub fn is_at_record_boundary(&self) -> bool {
        self.have == 0
    }
}

/// Appends a record to `out`, padded to a multiple of eight bytes as section 3.3 recommends. `content` is cut to
/// [`MAX_CONTENT_BYTES`] bytes.
pub fn put_record(out: &mut BytesMut, kind: Kind, id: u16, content: &[u8]) {
    let content = &content[..content.len().min(MAX_CONTENT_BYTES)];
    let padding = content.len().wrapping_neg() % 8;
    out.reserve(HEADER_BYTES + content.len() + padding);
    out.put_slice(&[VERSION, kind.code()]);
    out.put_u16(id);
    out.put_u16(content.len() as u16);
    out.put_slice(&[padding as u8, 0]);
    out.put_slice(content);
    out.put_bytes(0, padding);
}

/// Appends a part of a stream to `out`. Empty content appends no record, because an empty record ends the stream.
pub fn put_stream(out: &mut BytesMut, kind: Kind, id: u16, content: &[u8]) {
    content.chunks(MAX_CHUNK_BYTES).for_each(|chunk| put_record(out, kind, id, chunk));
}

/// Appends the empty record that ends a stream.
pub fn put_stream_end(out: &mut BytesMut, kind: Kind, id: u16) {
    put_record(out, kind, id, &[]);
}

/// Role of the application in a request (section 5.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Responds to requests.
    Responder,
    /// Decides whether requests are authorized.
    Authorizer,
    /// Responds with a filtered version of a file that the web server sends.
    Filter,
    /// A role that is not in the specification.
    Other(u16),
}

impl Role {
    /// Returns the role's number on the wire.
    #[must_use]
    pub fn code(self) -> u16 {
        match self {
            Self::Responder => 1,
            Self::Authorizer => 2,
            Self::Filter => 3,
            Self::Other(code) => code,
        }
    }

    fn from_code(code: u16) -> Self {
        match code {
            1 => Self::Responder,
            2 => Self::Authorizer,
            3 => Self::Filter,
            code => Self::Other(code),
        }
    }
}

/// Content of `FCGI_BEGIN_REQUEST`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Begin {
    /// Requested role of the application.
    pub role: Role,
    /// Whether the connection stays open after this request (`FCGI_KEEP_CONN`).
    pub keep: bool,
}

impl Begin {
    /// Decodes the content of a record; `None` if it is too short.
    #[must_use]
    pub fn decode(content: &[u8]) -> Option<Self> {
        let [role_high, role_low, flags, _, _, _, _, _] = *content.first_chunk::<8>()?;
        Some(Self { role: Role::from_code(u16::from_be_bytes([role_high, role_low])), keep: flags & 1 == 1 })
    }

    /// Encodes the content of a record.
    #[must_use]
    pub fn encode(self) -> [u8; 8] {
        let [high, low] = self.role.code().to_be_bytes();
        [high, low, u8::from(self.keep), 0, 0, 0, 0, 0]
    }
}

/// Protocol status of a finished request (section 5.5).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolStatus {
    /// The request was completed.
    Complete,
    /// Rejected: the connection accepts one request at a time.
    CantMultiplex,
    /// Rejected: the application is overloaded.
    Overloaded,
    /// Rejected: the application does not support the role.
    UnknownRole,
    /// A status that is not in the specification.
    Other(u8),
}

impl ProtocolStatus {
    /// Returns the status' number on the wire.
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

    fn from_code(code: u8) -> Self {
        match code {
            0 => Self::Complete,
            1 => Self::CantMultiplex,
            2 => Self::Overloaded,
            3 => Self::UnknownRole,
            code => Self::Other(code),
        }
    }
}

/// Content of `FCGI_END_REQUEST`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct End {
    /// Application status, like the exit status of a program: 0 is success.
    pub application: u32,
    /// Protocol status.
    pub protocol: ProtocolStatus,
}

impl End {
    /// Decodes the content of a record; `None` if it is too short.
    #[must_use]
    pub fn decode(content: &[u8]) -> Option<Self> {
        let [a, b, c, d, protocol, _, _, _] = *content.first_chunk::<8>()?;
        Some(Self {
            application: u32::from_be_bytes([a, b, c, d]),
            protocol: ProtocolStatus::from_code(protocol),
        })
    }

    /// Encodes the content of a record.
    #[must_use]
    pub fn encode(self) -> [u8; 8] {
        let [a, b, c, d] = self.application.to_be_bytes();
        [a, b, c, d, self.protocol.code(), 0, 0, 0]
    }
}
