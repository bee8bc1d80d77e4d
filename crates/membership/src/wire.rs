//! Datagrams and frames as bytes. Fields that are not known are skipped here; those of cards stay, since cards are passed on
//! as the bytes that came.

use prost::Message;

use crate::card::stable_hash;
use crate::settings::{MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES};

/// Links of another major version are refused.
pub const MAJOR: u32 = 1;
/// This version; a later one may say more.
pub const MINOR: u32 = 0;

/// What is held of a member, as it travels.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct WireEntry {
    /// The member's own saying, as the bytes that it wrote.
    #[prost(bytes = "vec", tag = "1")]
    pub record: Vec<u8>,
    /// What it is held for.
    #[prost(uint32, tag = "2")]
    pub state: u32,
    /// For how long, in tenths of a second, by the clock of who tells.
    #[prost(uint32, tag = "3")]
    pub age_deciseconds: u32,
    /// Who says so of its own seeing.
    #[prost(fixed64, tag = "4")]
    pub reporter: u64,
    /// Its own kernel said so: it refuses connections.
    #[prost(bool, tag = "5")]
    pub connection_refused: bool,
}

/// What a datagram is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum DatagramKind {
    /// News alone; what a later version sends counts as this.
    Gossip = 0,
    /// Are you there?
    Ping = 1,
    /// Is that one there, as you see it?
    IndirectPing = 2,
    /// I am; or that one is, as I see it.
    Ack = 3,
    /// It does not answer me either.
    Nack = 4,
}

/// A datagram.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Datagram {
    /// The link's version.
    #[prost(uint32, tag = "1")]
    pub protocol_major: u32,
    /// See [`MINOR`].
    #[prost(uint32, tag = "2")]
    pub protocol_minor: u32,
    /// The fleet's name, as a number.
    #[prost(fixed64, tag = "3")]
    pub fleet_id: u64,
    /// Who sends it.
    #[prost(fixed64, tag = "4")]
    pub sender_id: u64,
    /// Its process.
    #[prost(uint64, tag = "5")]
    pub sender_epoch: u64,
    /// What it is.
    #[prost(enumeration = "DatagramKind", tag = "6")]
    pub kind: i32,
    /// Of the question, as who asks counts them.
    #[prost(uint32, tag = "7")]
    pub seq: u32,
    /// Whom the question is about.
    #[prost(fixed64, tag = "8")]
    pub target_id: u64,
    /// Its sender does not know whom it answers, or only an older saying of it.
    #[prost(bool, tag = "9")]
    pub record_unknown: bool,
    /// News.
    #[prost(message, repeated, tag = "10")]
    pub updates: Vec<WireEntry>,
}

/// What a frame of a stream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum FrameKind {
    /// None that this version knows.
    Unknown = 0,
    /// Are you there?
    Ping = 1,
    /// I am.
    Ack = 2,
    /// This is my view's fingerprint, and my own entry.
    Digest = 3,
    /// Mine is the same.
    InSync = 4,
    /// Mine is another; by part it has these.
    PartitionDigests = 5,
    /// My entries of the parts that differ, which are these.
    Entries = 6,
    /// I speak with none like you.
    Reject = 7,
}

/// A frame of a stream.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// The link's version.
    #[prost(uint32, tag = "1")]
    pub protocol_major: u32,
    /// See [`MINOR`].
    #[prost(uint32, tag = "2")]
    pub protocol_minor: u32,
    /// The fleet's name, as a number.
    #[prost(fixed64, tag = "3")]
    pub fleet_id: u64,
    /// Who sends it.
    #[prost(fixed64, tag = "4")]
    pub sender_id: u64,
    /// Its process.
    #[prost(uint64, tag = "5")]
    pub sender_epoch: u64,
    /// What it is.
    #[prost(enumeration = "FrameKind", tag = "6")]
    pub kind: i32,
    /// Of the whole view.
    #[prost(fixed64, tag = "7")]
    pub fingerprint: u64,
    /// Of its parts, or the numbers of those that differ.
    #[prost(fixed64, repeated, tag = "8")]
    pub partitions: Vec<u64>,
    /// Entries.
    #[prost(message, repeated, tag = "9")]
    pub entries: Vec<WireEntry>,
    /// Why it is refused.
    #[prost(string, tag = "10")]
    pub reject_reason: String,
}

/// Why bytes are not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// Longer than any.
    #[error("{0} bytes, more than any message has")]
    TooLong(usize),
    /// No message of this kind.
    #[error("no message: {0}")]
    NoMessage(String),
    /// Of another fleet.
    #[error("of another fleet")]
    Fleet,
    /// Of another major version of the link.
    #[error("of version {0} of the link; this is {MAJOR}")]
    Version(u32),
}

/// A fleet's name as a number.
#[must_use]
pub fn fleet(name: &str) -> u64 {
    stable_hash(&[b"fleet", name.as_bytes()])
}

fn known(major: u32, fleet: u64, own: u64) -> Result<(), ProtocolError> {
    if major != MAJOR {
        return Err(ProtocolError::Version(major));
    }
    if fleet != own {
        return Err(ProtocolError::Fleet);
    }
    Ok(())
}

impl Datagram {
    /// Reads one of this fleet.
    ///
    /// # Errors
    /// Why it is none.
    pub fn from_bytes(bytes: &[u8], own: u64) -> Result<Self, ProtocolError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(ProtocolError::TooLong(bytes.len()));
        }
        let one = Self::decode(bytes).map_err(|error| ProtocolError::NoMessage(error.to_string()))?;
        known(one.protocol_major, one.fleet_id, own)?;
        Ok(one)
    }
}

impl Frame {
    /// Reads one of this fleet.
    ///
    /// # Errors
    /// Why it is none.
    pub fn from_bytes(bytes: &[u8], own: u64) -> Result<Self, ProtocolError> {
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(ProtocolError::TooLong(bytes.len()));
        }
        let one = Self::decode(bytes).map_err(|error| ProtocolError::NoMessage(error.to_string()))?;
        known(one.protocol_major, one.fleet_id, own)?;
        Ok(one)
    }
}
