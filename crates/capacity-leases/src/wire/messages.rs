//! The messages and their fields.

use bytes::Bytes;

/// Version of this protocol.
pub const PROTOCOL_VERSION: u32 = 1;
/// The oldest version that this one understands.
pub const MIN_PROTOCOL_VERSION: u32 = 1;

/// The first message on a connection, from either side.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Hello {
    /// Version of the sender.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The oldest version that the sender understands.
    #[prost(uint32, tag = "2")]
    pub min_version: u32,
    /// Id of the sender's process.
    #[prost(fixed64, tag = "3")]
    pub process_id: u64,
    /// Duration of a lease, in nanoseconds; the same on both sides, as in
    /// [`LeaseTerms`](crate::lease_terms::LeaseTerms).
    #[prost(uint64, tag = "4")]
    pub lease_ns: u64,
    /// Duration of a loan, in nanoseconds; the same on both sides.
    #[prost(uint64, tag = "5")]
    pub loan_ns: u64,
}

/// Changes of a table.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct TableChanges {
    /// Whether the table is emptied before the changes are applied.
    #[prost(bool, tag = "1")]
    pub replaces_all: bool,
    /// New and changed entries.
    #[prost(message, repeated, tag = "2")]
    pub set: Vec<TableEntry>,
    /// Keys of removed entries.
    #[prost(uint32, repeated, tag = "3")]
    pub removed: Vec<u32>,
    /// Digest of the whole table after the changes.
    #[prost(fixed64, tag = "4")]
    pub digest: u64,
}

/// An entry of a table.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct TableEntry {
    /// Number of the endpoint.
    #[prost(uint32, tag = "1")]
    pub key: u32,
    /// An encoded message, as its writer made it.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}

/// A report of a forwarder.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Report {
    /// Number of the message.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Id of the planner whose plan was last accepted on this connection; 0 where there is none.
    #[prost(fixed64, tag = "2")]
    pub planner: u64,
    /// Number of that plan.
    #[prost(uint64, tag = "3")]
    pub last_plan: u64,
    /// Rates that the forwarder lends.
    #[prost(message, repeated, tag = "4")]
    pub lent: Vec<Grant>,
    /// Changes of its table of [`EndpointObservation`]s.
    #[prost(message, optional, tag = "5")]
    pub endpoints: Option<TableChanges>,
    /// Whether the sender has lost the table of the plans and requests the whole.
    #[prost(bool, tag = "6")]
    pub requests_resync: bool,
}

/// A plan of a planner.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Plan {
    /// Number of the message.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Number of the last report that the planner has accepted.
    #[prost(uint64, tag = "2")]
    pub answered_report: u64,
    /// Id of the planner's process.
    #[prost(fixed64, tag = "3")]
    pub planner: u64,
    /// All rates that the forwarder is granted.
    #[prost(message, repeated, tag = "4")]
    pub grants: Vec<Grant>,
    /// Changes of its table of advice on endpoints.
    #[prost(message, optional, tag = "5")]
    pub endpoints: Option<TableChanges>,
    /// Whether the sender has lost the table of the reports and requests the whole.
    #[prost(bool, tag = "6")]
    pub requests_resync: bool,
}

/// What a forwarder has observed of an endpoint: an entry of the table in its reports.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EndpointObservation {
    /// Start of the endpoint's process, as discovery numbers starts. It identifies the process, and is not
    /// compared with a clock.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// How long the forwarder has known this process, in nanoseconds; the maximum where the process is older
    /// than the forwarder.
    #[prost(uint64, tag = "2")]
    pub known_for: u64,
    /// Whether the endpoint is draining.
    #[prost(bool, tag = "3")]
    pub draining: bool,
    /// Attempts that succeeded at this process, since the forwarder's start.
    #[prost(uint64, tag = "4")]
    pub succeeded: u64,
    /// Attempts that failed at this process, since the forwarder's start.
    #[prost(uint64, tag = "5")]
    pub failed: u64,
    /// Attempts in flight.
    #[prost(uint32, tag = "6")]
    pub in_flight: u32,
    /// The forwarder's concurrency limit for the endpoint.
    #[prost(uint32, tag = "7")]
    pub concurrency_limit: u32,
}

/// A rate of requests to an endpoint in slow start.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Grant {
    /// Number of the endpoint.
    #[prost(uint32, tag = "1")]
    pub endpoint: u32,
    /// The rate in millionths of a request a second.
    #[prost(uint64, tag = "2")]
    pub micro_requests_per_s: u64,
}

/// A message of any kind.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Envelope {
    /// The message; `None` for a kind that only newer versions know.
    #[prost(oneof = "Body", tags = "1, 2, 3")]
    pub body: Option<Body>,
}

/// The kinds of messages.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum Body {
    /// The first message.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// From a forwarder.
    #[prost(message, tag = "2")]
    Report(Report),
    /// From a planner.
    #[prost(message, tag = "3")]
    Plan(Plan),
}
