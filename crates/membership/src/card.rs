//! What a member says of itself.

use std::fmt;
use std::hash::Hasher;
use std::net::SocketAddr;

use prost::Message;
use siphasher::sip::SipHasher13;

/// Longest name, zone and version of a program, in bytes.
pub const MAX_TEXT_BYTES: usize = 64;
/// Most things that a card offers.
pub const MAX_CAPABILITIES: usize = 16;
/// Longest card, with fields that this version does not know.
pub const MAX_RECORD_BYTES: usize = 1_024;
/// A stamp's numbers are below this: one that a liar raised to the most could never be answered by a higher one.
pub const VERSION_LIMIT: u64 = 1 << 62;

/// A member's name as a number; the same in all processes and versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u64);

impl MemberId {
    /// Of a name.
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        Self(stable_hash(&[name.as_bytes()]))
    }
}

/// The same for the same parts, everywhere and for good.
#[must_use]
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x7075_6d69_6365, 0x6d65_6d62_6572);
    for part in parts {
        hasher.write(&(part.len() as u64).to_le_bytes());
        hasher.write(part);
    }
    hasher.finish()
}

/// A process of a member: higher for one that started later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

/// How often a process has said something new of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// Which saying of a member is meant. Only the member itself raises it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordVersion {
    /// Of its process.
    pub epoch: Epoch,
    /// Of its saying.
    pub incarnation: Incarnation,
}

/// How far a member is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// It has not heard from anybody yet.
    Joining,
    /// At work.
    Serving,
    /// It is being emptied by staff.
    LameDuck,
}

impl Phase {
    /// In a word.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Joining => "joining",
            Self::Serving => "serving",
            Self::LameDuck => "lameduck",
        }
    }
}

/// What a member says of itself, as it travels.
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct MemberRecord {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its process.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Its saying.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Where it is reached, for datagrams and streams alike.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Its zone.
    #[prost(string, tag = "5")]
    pub zone: String,
    /// The version of its program.
    #[prost(string, tag = "6")]
    pub program_version: String,
    /// The minor version of its link.
    #[prost(uint32, tag = "7")]
    pub protocol_minor: u32,
    /// How much it has to do, in eighths.
    #[prost(uint32, tag = "8")]
    pub load_eighths: u32,
    /// How far it is; see [`MemberRecord::phase`].
    #[prost(uint32, tag = "9")]
    pub phase: u32,
    /// Its number among the members, from 1; 0: none yet.
    #[prost(uint32, tag = "10")]
    pub node_number: u32,
    /// What others may ask of it.
    #[prost(string, repeated, tag = "11")]
    pub capabilities: Vec<String>,
}

/// Why a card is not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// No message of this kind, or longer than any.
    #[error("no card: {0}")]
    Bytes(String),
    /// A text that can't be one of a card.
    #[error(
        "the card's {0} is longer than {MAX_TEXT_BYTES} bytes, is empty or holds other than printable characters"
    )]
    Text(&'static str),
    /// An address that is none.
    #[error("the card's address is none that can be reached")]
    Address,
    /// A number over its bound.
    #[error("the card's {0} is over its bound")]
    Number(&'static str),
}

impl MemberRecord {
    /// Reads one, and looks whether it can be.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, RecordError> {
        if bytes.len() > MAX_RECORD_BYTES {
            return Err(RecordError::Bytes(format!("{} bytes", bytes.len())));
        }
        let card = Self::decode(bytes).map_err(|error| RecordError::Bytes(error.to_string()))?;
        card.validate()?;
        Ok(card)
    }

    /// Whether it can be.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn validate(&self) -> Result<(), RecordError> {
        let fits =
            |text: &str| text.len() <= MAX_TEXT_BYTES && !text.chars().any(|c| c.is_control() || c == ' ');
        if self.name.is_empty() || !fits(&self.name) {
            return Err(RecordError::Text("name"));
        }
        for (name, text) in [("zone", &self.zone), ("program", &self.program_version)] {
            if !fits(text) {
                return Err(RecordError::Text(name));
            }
        }
        if self.capabilities.len() > MAX_CAPABILITIES || !self.capabilities.iter().all(|offer| fits(offer)) {
            return Err(RecordError::Text("offers"));
        }
        if self.socket_address().is_none() {
            return Err(RecordError::Address);
        }
        for (name, number) in [("epoch", self.epoch), ("incarnation", self.incarnation)] {
            if number >= VERSION_LIMIT {
                return Err(RecordError::Number(name));
            }
        }
        Ok(())
    }

    /// Its name as a number.
    #[must_use]
    pub fn id(&self) -> MemberId {
        MemberId::from_name(&self.name)
    }

    /// Which saying this is.
    #[must_use]
    pub fn version(&self) -> RecordVersion {
        RecordVersion { epoch: Epoch(self.epoch), incarnation: Incarnation(self.incarnation) }
    }

    /// Where it is reached; `None` for what can't be: no address, port 0, or an address of many.
    #[must_use]
    pub fn socket_address(&self) -> Option<SocketAddr> {
        let address: SocketAddr = self.address.parse().ok()?;
        let ip = address.ip();
        let of_many = match ip {
            std::net::IpAddr::V4(ip) => ip.is_broadcast() || ip.is_multicast(),
            std::net::IpAddr::V6(ip) => ip.is_multicast(),
        };
        (address.port() != 0 && !ip.is_unspecified() && !of_many).then_some(address)
    }

    /// How far it is; a phase of a later version counts as at work.
    #[must_use]
    pub fn phase(&self) -> Phase {
        match self.phase {
            1 => Phase::Joining,
            2 => Phase::LameDuck,
            _ => Phase::Serving,
        }
    }

    /// Sets how far it is.
    pub fn set_phase(&mut self, phase: Phase) {
        self.phase = match phase {
            Phase::Serving => 0,
            Phase::Joining => 1,
            Phase::LameDuck => 2,
        };
    }
}

impl fmt::Display for RecordVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}.{}", self.epoch.0, self.incarnation.0)
    }
}
