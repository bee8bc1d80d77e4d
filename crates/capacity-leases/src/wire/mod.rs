//! Messages between forwarders and planners: Protocol Buffers (proto3), each in a frame of its length in four
//! bytes, most significant byte first, and its bytes.
//!
//! A reader skips fields that it does not know, so versions mix; a field's number never gets another meaning.
//! A peer that a reader can't work with is refused by [`MIN_PROTOCOL_VERSION`].

mod conversions;
mod frames;
mod messages;

pub use frames::{FrameDecoder, MAX_FRAME_BYTES, WireError, encode_frame};
pub use messages::{
    Body, EndpointObservation, Envelope, Grant, Hello, MIN_PROTOCOL_VERSION, PROTOCOL_VERSION, Plan, Report,
    TableChanges, TableEntry,
};
