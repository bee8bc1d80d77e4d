//! Datagrams and stream frames as protobuf messages. Unknown fields are skipped, except in records, whose bytes are forwarded
//! as received.

use prost::Message;

use crate::record::stable_hash;
use crate::settings::{MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES};

/// Major version of the protocol. Messages with another major version are rejected.
pub const MAJOR: u32 = 1;
/// Minor version of the protocol. A later one may add fields and kinds of messages.
pub const MINOR: u32 = 0;
/// Bytes before an embedded entry: one for the tag, up to three for the length.
const TAG_AND_LENGTH_BYTES: usize = 4;

/// Identifies a fleet: a hash of its name. Members reject messages of other fleets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FleetId(pub u64);

impl FleetId {
    /// Returns the id of the fleet with this name.
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        Self(stable_hash(&[b"fleet", name.as_bytes()]))
    }
}

/// An entry of a member table.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct WireEntry {
    /// The member's record, in the bytes that the member encoded.
    #[prost(bytes = "vec", tag = "1")]
    pub record: Vec<u8>,
    /// Code of the member's state.
    #[prost(uint32, tag = "2")]
    pub state: u32,
    /// Time since the member entered its state, in tenths of a second on the sender's clock.
    #[prost(uint32, tag = "3")]
    pub age_deciseconds: u32,
    /// Id of the member that observed the state.
    #[prost(fixed64, tag = "4")]
    pub reporter: u64,
    /// Whether the member's address refused connections.
    #[prost(bool, tag = "5")]
    pub connection_refused: bool,
}

impl WireEntry {
    /// Maximum size of the entry embedded in a message, including tag and length.
    pub(crate) fn embedded_len(&self) -> usize {
        self.encoded_len() + TAG_AND_LENGTH_BYTES
    }
}

/// Kind of a datagram. All kinds can carry piggybacked updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum DatagramKind {
    /// Only carries updates. A kind unknown to this version is treated as this one.
    Gossip = 0,
    /// A direct probe.
    Ping = 1,
    /// A request to ping the target on the sender's behalf.
    IndirectPing = 2,
    /// The response to a ping or an indirect ping: the target is alive.
    Ack = 3,
    /// The response to an indirect ping: the target did not answer in time.
    Nack = 4,
}

/// A datagram.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct Datagram {
    /// See [`MAJOR`].
    #[prost(uint32, tag = "1")]
    pub protocol_major: u32,
    /// See [`MINOR`].
    #[prost(uint32, tag = "2")]
    pub protocol_minor: u32,
    /// See [`FleetId`].
    #[prost(fixed64, tag = "3")]
    pub fleet_id: u64,
    /// Member id of the sender.
    #[prost(fixed64, tag = "4")]
    pub sender_id: u64,
    /// Epoch of the sender.
    #[prost(uint64, tag = "5")]
    pub sender_epoch: u64,
    /// See [`DatagramKind`].
    #[prost(enumeration = "DatagramKind", tag = "6")]
    pub kind: i32,
    /// Sequence number of the probe, assigned by the member that pings.
    #[prost(uint32, tag = "7")]
    pub seq: u32,
    /// Member id of the probe's target.
    #[prost(fixed64, tag = "8")]
    pub target_id: u64,
    /// In an ack: the sender does not know the current record of the member that pinged it.
    #[prost(bool, tag = "9")]
    pub record_unknown: bool,
    /// Piggybacked updates.
    #[prost(message, repeated, tag = "10")]
    pub updates: Vec<WireEntry>,
}

/// Kind of a stream frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum FrameKind {
    /// A kind unknown to this version.
    Unknown = 0,
    /// A probe over a stream.
    Ping = 1,
    /// The response to a probe over a stream.
    Ack = 2,
    /// Starts a push/pull exchange: the fingerprint of the sender's table and its own entry.
    Digest = 3,
    /// The response to a digest if the fingerprints are equal.
    InSync = 4,
    /// The response to a digest if the fingerprints differ: the digests of all partitions.
    PartitionDigests = 5,
    /// The sender's entries in the partitions that differ.
    Entries = 6,
    /// The request was rejected: it is too long or malformed, or of another fleet or major version.
    Reject = 7,
}

/// A stream frame.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// See [`MAJOR`].
    #[prost(uint32, tag = "1")]
    pub protocol_major: u32,
    /// See [`MINOR`].
    #[prost(uint32, tag = "2")]
    pub protocol_minor: u32,
    /// See [`FleetId`].
    #[prost(fixed64, tag = "3")]
    pub fleet_id: u64,
    /// Member id of the sender.
    #[prost(fixed64, tag = "4")]
    pub sender_id: u64,
    /// Epoch of the sender.
    #[prost(uint64, tag = "5")]
    pub sender_epoch: u64,
    /// See [`FrameKind`].
    #[prost(enumeration = "FrameKind", tag = "6")]
    pub kind: i32,
    /// Fingerprint of the sender's table.
    #[prost(fixed64, tag = "7")]
    pub fingerprint: u64,
    /// In [`FrameKind::PartitionDigests`], the digests of all partitions; in [`FrameKind::Entries`], the indices of the
    /// partitions that differ.
    #[prost(fixed64, repeated, tag = "8")]
    pub partitions: Vec<u64>,
    /// Entries of the sender's table.
    #[prost(message, repeated, tag = "9")]
    pub entries: Vec<WireEntry>,
    /// In [`FrameKind::Reject`], the reason.
    #[prost(string, tag = "10")]
    pub reject_reason: String,
}

/// Why received bytes are rejected. For a rejected stream frame, the text is sent to the peer in [`Frame::reject_reason`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// The message exceeds the maximum size of a datagram or frame.
    #[error("{length} bytes, more than any message has")]
    TooLong {
        /// Length in bytes.
        length: usize,
    },
    /// The bytes are not a message.
    #[error("no message: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// The message is of another fleet.
    #[error("of another fleet")]
    OtherFleet,
    /// The message has another major version.
    #[error("of version {major} of the link; this is {MAJOR}")]
    UnsupportedVersion {
        /// The message's major version.
        major: u32,
    },
}

fn check_header(major: u32, fleet_id: u64, own_fleet: FleetId) -> Result<(), ProtocolError> {
    if major != MAJOR {
        return Err(ProtocolError::UnsupportedVersion { major });
    }
    if FleetId(fleet_id) != own_fleet {
        return Err(ProtocolError::OtherFleet);
    }
    Ok(())
}

fn decode<M: Message + Default>(bytes: &[u8], max_length: usize) -> Result<M, ProtocolError> {
    if bytes.len() > max_length {
        return Err(ProtocolError::TooLong { length: bytes.len() });
    }
    Ok(M::decode(bytes)?)
}

impl Datagram {
    /// Decodes a datagram of this fleet.
    ///
    /// # Errors
    /// See [`ProtocolError`].
    pub fn from_bytes(bytes: &[u8], own_fleet: FleetId) -> Result<Self, ProtocolError> {
        let datagram: Self = decode(bytes, MAX_DATAGRAM_BYTES)?;
        check_header(datagram.protocol_major, datagram.fleet_id, own_fleet)?;
        Ok(datagram)
    }
}

impl Frame {
    /// Decodes a stream frame of this fleet.
    ///
    /// # Errors
    /// See [`ProtocolError`].
    pub fn from_bytes(bytes: &[u8], own_fleet: FleetId) -> Result<Self, ProtocolError> {
        let frame: Self = decode(bytes, MAX_FRAME_BYTES)?;
        check_header(frame.protocol_major, frame.fleet_id, own_fleet)?;
        Ok(frame)
    }
}
