//! Adapter between the simulator's binary protocol and the decision module. It makes no decisions of its own.
//!
//! - [`FrameDecoder`] decodes frames into the events of the decision module's instances.
//! - [`Instances`] hosts the instances.
//! - [`ReplyEncoder`] encodes their actions and log lines as a reply frame.
//!
//! A frame consists of a header and records, each with a code, a length and fields, little-endian and without padding.
//! Every length and index is checked when it is read. If it is out of bounds, the result is a [`WireError`], which
//! names the record and, if one is affected, the field.

mod decoder;
mod error;
mod event_records;
mod field_reader;
mod frame;
mod instances;
mod record_kind;
mod reply_encoder;

pub use decoder::{Batch, FrameDecoder, InstanceInput};
pub use error::WireError;
pub use frame::read_frame;
pub use instances::Instances;
pub use reply_encoder::ReplyEncoder;

/// Number that identifies an instance in the protocol.
pub type InstanceId = u32;
