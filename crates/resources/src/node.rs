//! The node itself: listeners, limits, logging and recording, and the cluster that it belongs to.

use std::net::SocketAddr;
use std::path::PathBuf;

use pumicehead_policy::Nanos;

use crate::name::Name;
use crate::pool::Protocol;

/// An address on which the node accepts connections of clients.
#[derive(Clone, Debug, PartialEq)]
pub struct Listener {
    /// Name of the listener.
    pub name: Name,
    /// Address that it is bound to; port 0 stands for any free port.
    pub address: SocketAddr,
    /// Protocol of its clients.
    pub protocol: Protocol,
}

/// Limits of the node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Limits {
    /// Memory for bodies and connections, in bytes.
    pub memory_bytes: u64,
    /// File descriptors that the node may have open.
    pub max_descriptors: usize,
    /// Requests without a response that the node may hold at once.
    pub max_active_requests: usize,
    /// Longest body of a request, in bytes.
    pub max_request_body_bytes: u64,
    /// Longest body of a response, in bytes.
    pub max_response_body_bytes: u64,
    /// Time within which a client must send a whole request, in nanoseconds.
    pub request_timeout: Nanos,
    /// Time after which an idle client connection is closed, in nanoseconds.
    pub idle_timeout: Nanos,
    /// Longest delay before a retry that a rejection asks of a client, in nanoseconds.
    pub max_retry_after: Nanos,
}

/// What the node logs and records, and where it can be queried.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Observability {
    /// Address of the admin listener, if there is one.
    pub admin_address: Option<SocketAddr>,
    /// Log levels, for all targets or by target.
    pub log_filter: String,
    /// Whether log lines are JSON.
    pub log_json: bool,
    /// Memory of the flight recorder, in bytes; 0 disables it.
    pub recorder_bytes: u64,
    /// Directory to which recordings are written on a signal or in a crash; empty for none.
    pub recording_directory: PathBuf,
}

/// The cluster of nodes that this node is a member of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cluster {
    /// Name of the cluster; members of other clusters are rejected.
    pub name: String,
    /// Address on which this node listens for datagrams and streams; port 0 stands for any free port.
    pub bind_address: SocketAddr,
    /// Address at which other members reach this node, if it differs from `bind_address`.
    pub advertise_address: Option<SocketAddr>,
    /// Members that this node contacts to join; empty for the first member.
    pub seeds: Vec<SocketAddr>,
    /// Names of members, each with the address at which this node reaches it instead of the advertised one.
    pub peer_addresses: Vec<(String, SocketAddr)>,
}

/// The settings of the node itself; a configuration has exactly one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Node {
    /// Name of the node.
    pub name: Name,
    /// All zones; the number of a zone is its position.
    pub zones: Vec<Name>,
    /// Zone of the node, one of `zones`.
    pub zone: Name,
    /// Number of nodes that send to the same endpoints.
    pub node_count: u32,
    /// Index of this node among them, from 0.
    pub node_index: u32,
    /// Limits.
    pub limits: Limits,
    /// Logging, recording and the admin listener.
    pub observability: Observability,
    /// The cluster that the node is a member of, if any.
    pub cluster: Option<Cluster>,
}
