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
/// Maximum length of an encoded record in bytes, including fields of later versions.
pub const MAX_RECORD_BYTES: usize = 1_024;
/// Epochs and incarnations are less than this, so that a member can always refute a forged record with a higher incarnation.
pub const VERSION_LIMIT: u64 = 1 << 62;
/// Keys of [`stable_hash`]. All members have to use the same keys.
const HASH_KEYS: (u64, u64) = (0x7075_6d69_6365, 0x6d65_6d62_6572);

/// Identifies a member: a hash of its name, which is the same in all processes and versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u64);

impl MemberId {
    /// Returns the id of the member with this name.
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        Self(stable_hash(&[name.as_bytes()]))
    }
}

/// Returns a 64-bit hash that is the same in all processes and versions. Each part is hashed together with its length.
#[must_use]
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(HASH_KEYS.0, HASH_KEYS.1);
    for part in parts {
        hasher.write(&(part.len() as u64).to_le_bytes());
        hasher.write(part);
    }
    hasher.finish()
}

/// Identifies one process of a member. A later start has a higher epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

/// SWIM's incarnation number. The process raises it whenever it changes its record, for instance to refute a suspicion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// Orders the records of a member. Only the member itself publishes higher versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordVersion {
    /// The process that published the record.
    pub epoch: Epoch,
    /// The incarnation within that process.
    pub incarnation: Incarnation,
}

impl fmt::Display for RecordVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}.{}", self.epoch.0, self.incarnation.0)
    }
}

/// Lifecycle phase announced by a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// The member has not completed a push/pull exchange with the fleet yet.
    Joining,
    /// The member is in service.
    Serving,
    /// The member is being drained by an operator.
    LameDuck,
}

impl Phase {
    /// The name used in reports.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Joining => "joining",
            Self::Serving => "serving",
            Self::LameDuck => "lameduck",
        }
    }
}

/// What a member publishes about itself, as a protobuf message.
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
    /// Minor version of the protocol that the member speaks.
    #[prost(uint32, tag = "7")]
    pub protocol_minor: u32,
    /// Utilization in eighths.
    #[prost(uint32, tag = "8")]
    pub load_eighths: u32,
    /// Code of the phase; see [`MemberRecord::phase`].
    #[prost(uint32, tag = "9")]
    pub phase: u32,
    /// The member's node number, starting at 1; 0 while it has none.
    #[prost(uint32, tag = "10")]
    pub node_number: u32,
    /// Names of the requests that other members may send to this one.
    #[prost(string, repeated, tag = "11")]
    pub capabilities: Vec<String>,
}

/// Why a record is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The record is longer than [`MAX_RECORD_BYTES`].
    #[error("member record too long: {length} bytes, the maximum is {MAX_RECORD_BYTES}")]
    TooLong {
        /// Length in bytes.
        length: usize,
    },
    /// The bytes are not an encoded record.
    #[error("malformed member record: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// A string is too long or contains control characters or spaces, the name is empty, or there are more than
    /// [`MAX_CAPABILITIES`] capabilities.
    #[error(
        "invalid {field} in member record: strings have at most {MAX_TEXT_BYTES} bytes without spaces and control characters, the name is not empty, and there are at most {MAX_CAPABILITIES} capabilities"
    )]
    Text {
        /// The invalid field.
        field: &'static str,
    },
    /// The address is not an IP address with a nonzero port, or is unspecified, broadcast or multicast.
    #[error("invalid address in member record: expected a unicast IP address with a nonzero port")]
    Address,
    /// A number is not less than [`VERSION_LIMIT`].
    #[error("invalid {field} in member record: it must be less than {VERSION_LIMIT}")]
    Number {
        /// The invalid field.
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

    /// Checks strings, address, epoch and incarnation.
    ///
    /// # Errors
    /// Returns the first invalid field.
    pub fn validate(&self) -> Result<(), RecordError> {
        if self.name.is_empty() || !is_valid_text(&self.name) {
            return Err(RecordError::Text { field: "name" });
        }
        for (field, text) in [("zone", &self.zone), ("program_version", &self.program_version)] {
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

    /// Returns the parsed address, or `None` if it is malformed, has port 0, or is unspecified, broadcast or multicast.
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

    /// The announced phase. A code unknown to this version counts as serving.
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
