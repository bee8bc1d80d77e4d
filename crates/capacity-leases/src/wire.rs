//! What the two levels say to each other: messages of Protocol Buffers (proto3 encoding), each in a frame: its length in
//! four bytes, the most significant first, and its bytes.
//!
//! Fields that a reader does not know are skipped, so versions mix; a field's number is never used for another meaning. A
//! reader that can't go on at all with a peer says so by [`LEAST_VERSION`].

use bytes::{Buf, Bytes, BytesMut};
use prost::Message as _;
use thiserror::Error;

use crate::holder::{Granting, Lending};
use crate::room::Rate;
use crate::sync::Delta;
use crate::{PlanNo, PlannerId, ReportNo};
use pumicehead_policy::EndpointId;

/// This version.
pub const VERSION: u32 = 1;
/// The oldest that this one understands.
pub const LEAST_VERSION: u32 = 1;
/// Longest message: a whole table of the largest fleet goes in pieces of less.
pub const LONGEST_FRAME: usize = 256 << 10;

/// The first message on a connection, by either side.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Hello {
    /// The sender's version.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The oldest that it understands.
    #[prost(uint32, tag = "2")]
    pub least_version: u32,
    /// Of the sender's process.
    #[prost(fixed64, tag = "3")]
    pub id: u64,
    /// [`crate::terms::Terms`] of the fleet, in nanoseconds; they must be the same on both sides.
    #[prost(uint64, tag = "4")]
    pub lease: u64,
    /// In nanoseconds.
    #[prost(uint64, tag = "5")]
    pub loan: u64,
}

/// Changes of a table.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Changes {
    /// Everything before is gone.
    #[prost(bool, tag = "1")]
    pub whole: bool,
    /// New or other entries.
    #[prost(message, repeated, tag = "2")]
    pub set: Vec<Entry>,
    /// Entries that are gone.
    #[prost(uint32, repeated, tag = "3")]
    pub gone: Vec<u32>,
    /// Of the whole table.
    #[prost(fixed64, tag = "4")]
    pub digest: u64,
}

/// An entry of a table.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Entry {
    /// A server.
    #[prost(uint32, tag = "1")]
    pub key: u32,
    /// A message of its own, as its writer made it.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}

/// What a forwarder says.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Report {
    /// Its number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The planner that it knows on this connection; 0 where it has heard no plan.
    #[prost(fixed64, tag = "2")]
    pub planner: u64,
    /// The last plan that it has heard.
    #[prost(uint64, tag = "3")]
    pub heard: u64,
    /// What it lends.
    #[prost(message, repeated, tag = "4")]
    pub lent: Vec<Grant>,
    /// What it knows of servers.
    #[prost(message, optional, tag = "5")]
    pub servers: Option<Changes>,
    /// Its table of the plan is lost: the whole is asked for.
    #[prost(bool, tag = "6")]
    pub lost: bool,
}

/// What a planner says.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Plan {
    /// Its number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The last report that it has taken in.
    #[prost(uint64, tag = "2")]
    pub answers: u64,
    /// The process.
    #[prost(fixed64, tag = "3")]
    pub planner: u64,
    /// Rights to ask cold servers, all that there are.
    #[prost(message, repeated, tag = "4")]
    pub grants: Vec<Grant>,
    /// What it advises on servers.
    #[prost(message, optional, tag = "5")]
    pub servers: Option<Changes>,
    /// Its table of reports is lost: the whole is asked for.
    #[prost(bool, tag = "6")]
    pub lost: bool,
}

/// What a forwarder has seen of a server: an entry of the table in its reports.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Sighting {
    /// When its process started, as the list of servers says; tells processes apart, and is compared with no clock.
    #[prost(fixed64, tag = "1")]
    pub born: u64,
    /// For how long the forwarder has known this process, in nanoseconds; without end where it was there before it.
    #[prost(uint64, tag = "2")]
    pub known_for: u64,
    /// It heard that it is draining.
    #[prost(bool, tag = "3")]
    pub draining: bool,
    /// Attempts that this process has answered, since the forwarder's start.
    #[prost(uint64, tag = "4")]
    pub answered: u64,
    /// Attempts that failed there.
    #[prost(uint64, tag = "5")]
    pub failed: u64,
    /// Attempts out.
    #[prost(uint32, tag = "6")]
    pub out: u32,
    /// How many the forwarder would have out there at the most, by what it has learned.
    #[prost(uint32, tag = "7")]
    pub places: u32,
}

/// A right to ask a cold server.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Grant {
    /// Which.
    #[prost(uint32, tag = "1")]
    pub server: u32,
    /// In millionths of a request a second.
    #[prost(uint64, tag = "2")]
    pub rate: u64,
}

/// A message.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Envelope {
    /// What it is; none where its sender is newer.
    #[prost(oneof = "Body", tags = "1, 2, 3")]
    pub body: Option<Body>,
}

/// What a message is.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum Body {
    /// The first one.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// By a forwarder.
    #[prost(message, tag = "2")]
    Report(Report),
    /// By a planner.
    #[prost(message, tag = "3")]
    Plan(Plan),
}

/// Bytes that are no message. The connection can't go on.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// A frame of too many bytes; not one of them was waited for.
    #[error("a frame of {0} bytes, where {LONGEST_FRAME} are allowed")]
    TooLong(usize),
    /// No message of this protocol.
    #[error("not a message: {0}")]
    Malformed(String),
    /// The other side is too old or too new.
    #[error(
        "version {theirs} (at least {least}) and our {VERSION} (at least {LEAST_VERSION}) don't go together"
    )]
    Version {
        /// Theirs.
        theirs: u32,
        /// The oldest that they understand.
        least: u32,
    },
}

impl Hello {
    /// Whether both sides understand each other.
    ///
    /// # Errors
    /// The versions, where not.
    pub fn check(&self) -> Result<(), WireError> {
        if self.version >= LEAST_VERSION && self.least_version <= VERSION {
            return Ok(());
        }
        Err(WireError::Version { theirs: self.version, least: self.least_version })
    }
}

/// A message in its frame.
#[must_use]
pub fn frame(body: Body) -> Bytes {
    let envelope = Envelope { body: Some(body) };
    let length = envelope.encoded_len();
    let mut out = Vec::with_capacity(4 + length);
    out.extend_from_slice(&(length as u32).to_be_bytes());
    out.extend_from_slice(&envelope.encode_to_vec());
    out.into()
}

/// Cuts what comes in into messages.
#[derive(Debug, Default)]
pub struct Frames {
    bytes: BytesMut,
}

impl Frames {
    /// More has come.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole message; messages of kinds that are not known are passed over.
    ///
    /// # Errors
    /// What is none.
    pub fn next_message(&mut self) -> Result<Option<Body>, WireError> {
        while let Some(head) = self.bytes.first_chunk::<4>() {
            let length = u32::from_be_bytes(*head) as usize;
            if length > LONGEST_FRAME {
                return Err(WireError::TooLong(length));
            }
            if self.bytes.len() < 4 + length {
                return Ok(None);
            }
            self.bytes.advance(4);
            let envelope = Envelope::decode(self.bytes.split_to(length).freeze());
            let envelope = envelope.map_err(|error| WireError::Malformed(error.to_string()))?;
            if let Some(body) = envelope.body {
                return Ok(Some(body));
            }
        }
        Ok(None)
    }

    /// Bytes that wait for the rest of their message.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.bytes.len()
    }
}

impl From<&(EndpointId, Rate)> for Grant {
    fn from(&(server, rate): &(EndpointId, Rate)) -> Self {
        Self { server: server.0, rate: rate.raw() }
    }
}

impl Grant {
    /// The server and the rate.
    #[must_use]
    pub fn read(&self) -> (EndpointId, Rate) {
        (EndpointId(self.server), Rate::from_raw(self.rate))
    }
}

impl From<&Lending> for Report {
    fn from(lending: &Lending) -> Self {
        let (planner, heard) = lending.heard.unwrap_or((PlannerId(0), PlanNo(0)));
        Self {
            number: lending.number.0,
            planner: planner.0,
            heard: heard.0,
            lent: lending.lent.iter().map(Grant::from).collect(),
            ..Self::default()
        }
    }
}

impl From<&Report> for Lending {
    fn from(report: &Report) -> Self {
        let heard = (PlannerId(report.planner), PlanNo(report.heard));
        Self {
            number: ReportNo(report.number),
            heard: (report.planner != 0).then_some(heard),
            lent: report.lent.iter().map(Grant::read).collect(),
        }
    }
}

impl From<&Granting> for Plan {
    fn from(granting: &Granting) -> Self {
        Self {
            number: granting.number.0,
            answers: granting.answers.0,
            planner: granting.planner.0,
            grants: granting.grants.iter().map(Grant::from).collect(),
            ..Self::default()
        }
    }
}

impl From<&Plan> for Granting {
    fn from(plan: &Plan) -> Self {
        Self {
            planner: PlannerId(plan.planner),
            number: PlanNo(plan.number),
            answers: ReportNo(plan.answers),
            grants: plan.grants.iter().map(Grant::read).collect(),
        }
    }
}

impl From<Delta> for Changes {
    fn from(delta: Delta) -> Self {
        let set = delta.set.into_iter().map(|(key, value)| Entry { key, value });
        Self { whole: delta.whole, set: set.collect(), gone: delta.gone, digest: delta.digest }
    }
}

impl From<Changes> for Delta {
    fn from(changes: Changes) -> Self {
        let set = changes.set.into_iter().map(|entry| (entry.key, entry.value));
        Self { whole: changes.whole, set: set.collect(), gone: changes.gone, digest: changes.digest }
    }
}
