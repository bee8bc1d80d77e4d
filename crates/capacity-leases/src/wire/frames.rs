//! Frames: a message after its length.

use bytes::{Buf, Bytes, BytesMut};
use prost::Message as _;
use thiserror::Error;

use super::messages::{Body, Envelope, Hello, MIN_PROTOCOL_VERSION, PROTOCOL_VERSION};

/// Longest message, in bytes. A larger table is sent in several messages.
pub const MAX_FRAME_BYTES: usize = 256 << 10;
/// Size of a frame's length, in bytes.
const LENGTH_BYTES: usize = 4;

/// Why bytes are not a message of this protocol. The connection can't go on.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// The length of a frame exceeds [`MAX_FRAME_BYTES`]; the length in bytes.
    #[error("a frame of {0} bytes, where {MAX_FRAME_BYTES} are allowed")]
    FrameTooLong(usize),
    /// The bytes of a frame can't be decoded.
    #[error("not a message: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// The versions of the two sides are too far apart.
    #[error(
        "version {theirs} (at least {their_min}) and our {PROTOCOL_VERSION} (at least {MIN_PROTOCOL_VERSION}) don't go together"
    )]
    IncompatibleVersion {
        /// Version of the other side.
        theirs: u32,
        /// The oldest version that the other side understands.
        their_min: u32,
    },
}

impl Hello {
    /// Checks that both sides understand each other.
    ///
    /// # Errors
    /// The versions, if they don't.
    pub fn check(&self) -> Result<(), WireError> {
        if self.version >= MIN_PROTOCOL_VERSION && self.min_version <= PROTOCOL_VERSION {
            return Ok(());
        }
        Err(WireError::IncompatibleVersion { theirs: self.version, their_min: self.min_version })
    }
}

/// Encodes a message in its frame.
#[must_use]
pub fn encode_frame(body: Body) -> Bytes {
    let envelope = Envelope { body: Some(body) };
    let length = envelope.encoded_len();
    let mut frame = Vec::with_capacity(LENGTH_BYTES + length);
    frame.extend_from_slice(&(length as u32).to_be_bytes());
    frame.extend_from_slice(&envelope.encode_to_vec());
    frame.into()
}

/// Decodes received bytes to messages.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: BytesMut,
}

impl FrameDecoder {
    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole message, if there is one. Messages of unknown kinds are skipped.
    ///
    /// # Errors
    /// Bytes that are not a message.
    pub fn next_message(&mut self) -> Result<Option<Body>, WireError> {
        while let Some(length) = self.buffer.first_chunk::<LENGTH_BYTES>() {
            let length = u32::from_be_bytes(*length) as usize;
            if length > MAX_FRAME_BYTES {
                return Err(WireError::FrameTooLong(length));
            }
            if self.buffer.len() < LENGTH_BYTES + length {
                return Ok(None);
            }
            self.buffer.advance(LENGTH_BYTES);
            let envelope = Envelope::decode(self.buffer.split_to(length).freeze())?;
            if let Some(body) = envelope.body {
                return Ok(Some(body));
            }
        }
        Ok(None)
    }

    /// Bytes of an incomplete message.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }
}
