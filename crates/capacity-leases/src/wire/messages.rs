//! The messages and their fields.

use bytes::Bytes;

/// Version of this protocol.
pub const PROTOCOL_VERSION: u32 = 1;
/// The oldest version that this one understands.
pub const MIN_PROTOCOL_VERSION: u32 = 1;

/// The first message of each side on a connection.
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
    /// Duration of a lease in nanoseconds, which must be the same on both sides; see
    /// [`LeaseTerms`](crate::lease_terms::LeaseTerms).
    #[prost(uint64, tag = "4")]
    pub lease_ns: u64,
    /// Duration of a loan in nanoseconds, which must be the same on both sides.
    #[prost(uint64, tag = "5")]
    pub loan_ns: u64,
}

/// Changes to a table.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct TableChanges {
    /// Whether the table is cleared before the changes are applied.
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
    /// An encoded message, in the bytes that its sender encoded.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}

/// A report of a forwarder to a planner.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Report {
    /// Number of the report.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Id of the planner whose plan was last accepted, or 0 if none was.
    #[prost(fixed64, tag = "2")]
    pub planner: u64,
    /// Number of the last accepted plan.
    #[prost(uint64, tag = "3")]
    pub last_plan: u64,
    /// Rates that the forwarder lends.
    #[prost(message, repeated, tag = "4")]
    pub lent: Vec<Grant>,
    /// Changes to the forwarder's table of [`EndpointObservation`]s.
    #[prost(message, optional, tag = "5")]
    pub endpoints: Option<TableChanges>,
    /// Whether the forwarder has lost its replica of the planner's table and requests the whole table.
    #[prost(bool, tag = "6")]
    pub requests_resync: bool,
}

/// A plan of a planner for a forwarder.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Plan {
    /// Number of the plan.
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
    /// Changes to the planner's table of advice on endpoints.
    #[prost(message, optional, tag = "5")]
    pub endpoints: Option<TableChanges>,
    /// Whether the planner has lost its replica of the forwarder's table and requests the whole table.
    #[prost(bool, tag = "6")]
    pub requests_resync: bool,
}

/// A forwarder's observations of an endpoint: a value in the table of its reports.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EndpointObservation {
    /// Incarnation of the endpoint, as numbered by discovery. It identifies the process, and is not compared
    /// with a clock.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// How long the forwarder has known this process, in nanoseconds; the maximum value if the process is
    /// older than the forwarder.
    #[prost(uint64, tag = "2")]
    pub known_for: u64,
    /// Whether the endpoint is draining.
    #[prost(bool, tag = "3")]
    pub draining: bool,
    /// Number of attempts at this process that succeeded since the forwarder's start.
    #[prost(uint64, tag = "4")]
    pub succeeded: u64,
    /// Number of attempts at this process that failed since the forwarder's start.
    #[prost(uint64, tag = "5")]
    pub failed: u64,
    /// Number of attempts in flight.
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
    /// The rate in millionths of a request per second.
    #[prost(uint64, tag = "2")]
    pub micro_requests_per_s: u64,
}

/// A message of any kind.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Envelope {
    /// The message; `None` if its kind is unknown to this version.
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
