//! Adapter between the simulator's binary wire and the decision module. Makes no decisions of its own.
//!
//! - [`FrameDecoder`] turns frames into the events of the decision module's instances.
//! - [`Instances`] hosts the instances.
//! - [`ReplyEncoder`] turns their actions and log lines into a reply frame.
//!
//! A frame is little-endian without padding: a header, then records of a code, a length and fields.
//! Every length and index is checked when it is read; whatever does not fit is a [`WireError`] that
//! names the record and the field.

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

/// Number of an instance on the wire.
pub type InstanceId = u32;
