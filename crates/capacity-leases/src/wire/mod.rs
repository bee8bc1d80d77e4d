//! Messages between forwarders and planners, encoded with Protocol Buffers (proto3). Each message is sent in a
//! frame: its length in four bytes in network byte order, followed by its bytes.
//!
//! Receivers skip unknown fields, so that versions can be mixed, and the number of a field is never reused
//! with another meaning. Incompatible peers are rejected by the [`MIN_PROTOCOL_VERSION`] of either side.

mod conversions;
mod frames;
mod messages;

pub use frames::{FrameDecoder, MAX_FRAME_BYTES, WireError, encode_frame};
pub use messages::{
    Body, EndpointObservation, Envelope, Grant, Hello, MIN_PROTOCOL_VERSION, PROTOCOL_VERSION, Plan, Report,
    TableChanges, TableEntry,
};
