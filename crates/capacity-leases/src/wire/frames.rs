//! Frames, each consisting of the length of a message and the message.

use bytes::{Buf, Bytes, BytesMut};
use prost::Message as _;
use thiserror::Error;

use super::messages::{Body, Envelope, Hello, MIN_PROTOCOL_VERSION, PROTOCOL_VERSION};

/// Maximum size of a message in bytes. A larger table is sent in several messages.
pub const MAX_FRAME_BYTES: usize = 256 << 10;
/// Size of the length prefix of a frame in bytes.
const LENGTH_BYTES: usize = 4;

/// Why received bytes are not a message of this protocol. The connection has to be closed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// The length of a frame, given in bytes, exceeds [`MAX_FRAME_BYTES`].
    #[error("frame too long: {0} bytes, the maximum is {MAX_FRAME_BYTES}")]
    FrameTooLong(usize),
    /// The bytes of a frame cannot be decoded.
    #[error("malformed message: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// The protocol versions of the two sides are incompatible.
    #[error(
        "incompatible protocol versions: the peer has version {theirs} and requires at least {their_min}, this side has version {PROTOCOL_VERSION} and requires at least {MIN_PROTOCOL_VERSION}"
    )]
    IncompatibleVersion {
        /// Version of the other side.
        theirs: u32,
        /// The oldest version that the other side understands.
        their_min: u32,
    },
}

impl Hello {
    /// Checks that the versions of both sides are compatible.
    ///
    /// # Errors
    /// Returns [`WireError::IncompatibleVersion`] if they are not.
    pub fn check(&self) -> Result<(), WireError> {
        if self.version >= MIN_PROTOCOL_VERSION && self.min_version <= PROTOCOL_VERSION {
            return Ok(());
        }
        Err(WireError::IncompatibleVersion { theirs: self.version, their_min: self.min_version })
    }
}

/// Encodes a message in a frame.
#[must_use]
pub fn encode_frame(body: Body) -> Bytes {
    let envelope = Envelope { body: Some(body) };
    let length = envelope.encoded_len();
    let mut frame = Vec::with_capacity(LENGTH_BYTES + length);
    frame.extend_from_slice(&(length as u32).to_be_bytes());
    frame.extend_from_slice(&envelope.encode_to_vec());
    frame.into()
}

/// Decodes messages from received bytes.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: BytesMut,
}

impl FrameDecoder {
    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete message, if there is one. Messages of unknown kinds are skipped.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a message.
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

    /// Number of buffered bytes that were not decoded yet.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }
}
