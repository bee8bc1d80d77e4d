//! The record that a member publishes about itself, and the identifiers in it.

use std::fmt;
use std::hash::Hasher;
use std::net::{IpAddr, SocketAddr};

use prost::Message;
use siphasher::sip::SipHasher13;

/// Maximum length of a name, zone, program version or capability, in bytes.
pub const MAX_TEXT_BYTES: usize = 64;
/// Maximum number of capabilities in a record.
pub const MAX_CAPABILITIES: usize = 16;
/// Maximum length of an encoded record in bytes, fields of later versions included.
pub const MAX_RECORD_BYTES: usize = 1_024;
/// Epochs and incarnations stay below this, so that a member can always refute a forged record with a higher incarnation.
pub const VERSION_LIMIT: u64 = 1 << 62;
/// Keys of [`stable_hash`]. All members have to use the same.
const HASH_KEYS: (u64, u64) = (0x7075_6d69_6365, 0x6d65_6d62_6572);

/// Identifies a member: a hash of its name, equal in all processes and versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u64);

impl MemberId {
    /// The id of the member with this name.
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        Self(stable_hash(&[name.as_bytes()]))
    }
}

/// A 64-bit hash that is the same in all processes and versions; every part is hashed with its length.
#[must_use]
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(HASH_KEYS.0, HASH_KEYS.1);
    for part in parts {
        hasher.write(&(part.len() as u64).to_le_bytes());
        hasher.write(part);
    }
    hasher.finish()
}

/// Identifies one process run of a member: higher for a later start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

/// SWIM's incarnation number: how often the process has changed its record, for instance to refute a suspicion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// Orders the records of a member. Only the member itself raises it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordVersion {
    /// The process run that published the record.
    pub epoch: Epoch,
    /// The incarnation within that run.
    pub incarnation: Incarnation,
}

impl fmt::Display for RecordVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}.{}", self.epoch.0, self.incarnation.0)
    }
}

/// Lifecycle phase that a member announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// Started, but has not completed an exchange with the fleet yet.
    Joining,
    /// In service.
    Serving,
    /// Being drained by an operator.
    LameDuck,
}

impl Phase {
    /// The name in reports.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Joining => "joining",
            Self::Serving => "serving",
            Self::LameDuck => "lameduck",
        }
    }
}

/// What a member publishes about itself, as a message on the wire.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct MemberRecord {
    /// The member's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// See [`Epoch`].
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// See [`Incarnation`].
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Address for datagrams and streams.
    #[prost(string, tag = "4")]
    pub address: String,
    /// The member's zone.
    #[prost(string, tag = "5")]
    pub zone: String,
    /// Version of the member's program.
    #[prost(string, tag = "6")]
    pub program_version: String,
    /// Minor version of the protocol that it speaks.
    #[prost(uint32, tag = "7")]
    pub protocol_minor: u32,
    /// Utilization, in eighths.
    #[prost(uint32, tag = "8")]
    pub load_eighths: u32,
    /// Encoded phase; see [`MemberRecord::phase`].
    #[prost(uint32, tag = "9")]
    pub phase: u32,
    /// The member's number among the nodes, from 1; 0 while it has none.
    #[prost(uint32, tag = "10")]
    pub node_number: u32,
    /// Requests that other members may send it.
    #[prost(string, repeated, tag = "11")]
    pub capabilities: Vec<String>,
}

/// Why a record is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// Longer than [`MAX_RECORD_BYTES`].
    #[error("the member record has {length} bytes, more than {MAX_RECORD_BYTES}")]
    TooLong {
        /// Its length in bytes.
        length: usize,
    },
    /// Not an encoded record.
    #[error("malformed member record: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// A text is empty, too long, or holds control characters or spaces.
    #[error(
        "the member record's {field} is longer than {MAX_TEXT_BYTES} bytes, is empty or holds other than printable characters"
    )]
    Text {
        /// Which text.
        field: &'static str,
    },
    /// Not an IP address with a port, or one that cannot be reached.
    #[error("the member record's address is none that can be reached")]
    Address,
    /// A number is at or over [`VERSION_LIMIT`].
    #[error("the member record's {field} is over its bound")]
    Number {
        /// Which number.
        field: &'static str,
    },
}

impl MemberRecord {
    /// Decodes and validates a record.
    ///
    /// # Errors
    /// See [`RecordError`].
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, RecordError> {
        if bytes.len() > MAX_RECORD_BYTES {
            return Err(RecordError::TooLong { length: bytes.len() });
        }
        let record = Self::decode(bytes)?;
        record.validate()?;
        Ok(record)
    }

    /// Checks texts, address and numbers.
    ///
    /// # Errors
    /// The first field that is invalid.
    pub fn validate(&self) -> Result<(), RecordError> {
        if self.name.is_empty() || !is_valid_text(&self.name) {
            return Err(RecordError::Text { field: "name" });
        }
        for (field, text) in [("zone", &self.zone), ("program", &self.program_version)] {
            if !is_valid_text(text) {
                return Err(RecordError::Text { field });
            }
        }
        if self.capabilities.len() > MAX_CAPABILITIES
            || !self.capabilities.iter().all(|text| is_valid_text(text))
        {
            return Err(RecordError::Text { field: "capabilities" });
        }
        if self.socket_address().is_none() {
            return Err(RecordError::Address);
        }
        for (field, number) in [("epoch", self.epoch), ("incarnation", self.incarnation)] {
            if number >= VERSION_LIMIT {
                return Err(RecordError::Number { field });
            }
        }
        Ok(())
    }

    /// The member's id.
    #[must_use]
    pub fn id(&self) -> MemberId {
        MemberId::from_name(&self.name)
    }

    /// The record's version.
    #[must_use]
    pub fn version(&self) -> RecordVersion {
        RecordVersion { epoch: Epoch(self.epoch), incarnation: Incarnation(self.incarnation) }
    }

    /// The parsed address; `None` without a port, or where it is unspecified, broadcast or multicast.
    #[must_use]
    pub fn socket_address(&self) -> Option<SocketAddr> {
        let address: SocketAddr = self.address.parse().ok()?;
        let ip = address.ip();
        let is_multi_recipient = match ip {
            IpAddr::V4(ip) => ip.is_broadcast() || ip.is_multicast(),
            IpAddr::V6(ip) => ip.is_multicast(),
        };
        (address.port() != 0 && !ip.is_unspecified() && !is_multi_recipient).then_some(address)
    }

    /// The announced phase; one of a later version counts as serving.
    #[must_use]
    pub fn phase(&self) -> Phase {
        match self.phase {
            1 => Phase::Joining,
            2 => Phase::LameDuck,
            _ => Phase::Serving,
        }
    }

    /// Sets the announced phase.
    pub fn set_phase(&mut self, phase: Phase) {
        self.phase = match phase {
            Phase::Serving => 0,
            Phase::Joining => 1,
            Phase::LameDuck => 2,
        };
    }
}

fn is_valid_text(text: &str) -> bool {
    text.len() <= MAX_TEXT_BYTES && !text.chars().any(|c| c.is_control() || c == ' ')
}
