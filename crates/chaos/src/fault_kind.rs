//! Faults that a scenario can inject. The keywords of scenario files are in the serde attributes.

use serde::{Deserialize, Serialize};

use crate::link::{ConnectPolicy, LinkConditions};

/// A fault with its start and duration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// Start, in seconds after the fault-free time at the beginning.
    #[serde(rename = "at_s")]
    pub start_s: f64,
    /// Duration, in seconds.
    #[serde(default, rename = "for_s")]
    pub duration_s: f64,
    /// Kind of the fault, with its targets.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// One side of the links that a fault affects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkSide {
    /// All clients.
    Clients,
    /// These nodes.
    Nodes(Vec<usize>),
    /// These endpoints.
    #[serde(rename = "servers")]
    Endpoints(Vec<usize>),
    /// Discovery.
    Discovery,
}

/// What happens to a node's files while its process is down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FileFault {
    /// They are left unchanged.
    #[default]
    #[serde(rename = "kept")]
    Intact,
    /// They are removed, as if the node restarted on another machine.
    #[serde(rename = "gone")]
    Removed,
    /// Each is truncated at a random byte.
    #[serde(rename = "cut")]
    Truncated,
    /// Some random bytes of each are overwritten.
    #[serde(rename = "flipped")]
    BytesFlipped,
}

/// Kind of wrong responses of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Misbehavior {
    /// It reports requests as not executed that it has executed.
    #[serde(rename = "denies")]
    DeniesExecution,
    /// It sends the response to another request.
    #[serde(rename = "swaps")]
    WrongResponse,
    /// It sends bytes that are not HTTP, or a response shorter than its stated length.
    #[serde(rename = "garbles")]
    MalformedResponse,
}

/// Kind of a fault, with its targets and parameters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind", deny_unknown_fields)]
pub enum FaultKind {
    /// Nodes get SIGKILL, and are started again at the end of the fault.
    Kill {
        /// The nodes.
        nodes: Vec<usize>,
        /// What happens to their files before they are started again.
        #[serde(default, rename = "files")]
        file_fault: FileFault,
    },
    /// Nodes get SIGTERM and are started again, one after another over the duration of the fault.
    #[serde(rename = "roll")]
    RollingRestart {
        /// The nodes.
        nodes: Vec<usize>,
    },
    /// Nodes are killed and restarted repeatedly until the end of the fault.
    #[serde(rename = "loop")]
    CrashLoop {
        /// The nodes.
        nodes: Vec<usize>,
        /// Seconds from one kill to the next.
        #[serde(rename = "every_s")]
        interval_s: f64,
    },
    /// Nodes are paused (SIGSTOP); their kernel still accepts connections.
    #[serde(rename = "stall")]
    Pause {
        /// The nodes.
        nodes: Vec<usize>,
    },
    /// Nodes are paused for a share of every 100 ms.
    #[serde(rename = "slow")]
    Throttle {
        /// The nodes.
        nodes: Vec<usize>,
        /// Share of the time that they are paused, between 0 and 1.
        #[serde(rename = "share")]
        paused_share: f64,
    },
    /// No file of these nodes can grow, as on a full disk. They are asked to write a recording at the start and the end.
    #[serde(rename = "full")]
    DiskFull {
        /// The nodes.
        nodes: Vec<usize>,
    },
    /// Nodes are asked to write a recording at the start of the fault.
    #[serde(rename = "record")]
    WriteRecording {
        /// The nodes.
        nodes: Vec<usize>,
    },
    /// The conditions of links between two sides change.
    Link {
        /// The side that opens connections.
        from: LinkSide,
        /// The side that accepts them.
        to: LinkSide,
        /// What happens to new connections.
        #[serde(default, rename = "door")]
        connect_policy: ConnectPolicy,
        /// Conditions from the opening side to the accepting one.
        #[serde(default, rename = "there")]
        forward: LinkConditions,
        /// Conditions from the accepting side to the opening one.
        #[serde(default, rename = "back")]
        reverse: LinkConditions,
        /// Whether open connections are reset at the end, as by a middlebox that lost its connection table.
        #[serde(default, rename = "forgets")]
        reset_at_end: bool,
    },
    /// Nodes of different groups can't reach each other; a node in no group reaches all. Several partitions at once can make
    /// reachability non-transitive.
    Partition {
        /// The groups.
        groups: Vec<Vec<usize>>,
    },
    /// Endpoints are paused (SIGSTOP).
    #[serde(rename = "server_stall")]
    EndpointPause {
        /// The endpoints.
        #[serde(rename = "servers")]
        endpoints: Vec<usize>,
    },
    /// Endpoints are killed, and restarted at the end of the fault. Each then warms up, and discovery lists its new start time.
    #[serde(rename = "server_kill")]
    EndpointKill {
        /// The endpoints.
        #[serde(rename = "servers")]
        endpoints: Vec<usize>,
    },
    /// Service times of endpoints are longer.
    #[serde(rename = "server_slow")]
    EndpointSlow {
        /// The endpoints.
        #[serde(rename = "servers")]
        endpoints: Vec<usize>,
        /// Factor on the service time.
        factor: f64,
    },
    /// Endpoints give wrong responses.
    #[serde(rename = "server_lie")]
    EndpointMisbehave {
        /// The endpoints.
        #[serde(rename = "servers")]
        endpoints: Vec<usize>,
        /// Kind of the responses.
        #[serde(rename = "lie")]
        misbehavior: Misbehavior,
    },
    /// Endpoints write their responses in bursts with pauses, generated from the scenario's seed.
    #[serde(rename = "server_bursts")]
    EndpointBursts {
        /// The endpoints.
        #[serde(rename = "servers")]
        endpoints: Vec<usize>,
    },
    /// Nodes get SIGTERM, SIGHUP and SIGTERM again, are killed as early as the platform may, and are started again at the end.
    #[serde(rename = "term")]
    Terminate {
        /// The nodes.
        nodes: Vec<usize>,
    },
    /// Connections that send nothing, or half a request, are held open at nodes.
    #[serde(rename = "crowd")]
    ConnectionFlood {
        /// The nodes.
        nodes: Vec<usize>,
        /// Number of connections at each node.
        connections: usize,
    },
    /// Discovery lists endpoints as draining until the end of the fault.
    #[serde(rename = "drain")]
    EndpointDrain {
        /// The endpoints.
        #[serde(rename = "servers")]
        endpoints: Vec<usize>,
    },
    /// Clients send more requests.
    #[serde(rename = "burst")]
    LoadBurst {
        /// Factor on the request rate.
        factor: f64,
    },
}

impl FaultKind {
    /// Returns the nodes whose processes or links the fault affects. A link fault has nodes on at least one side; if both
    /// sides are nodes, those that open connections are returned. Empty for all other kinds,
    /// partitions and full disks included.
    #[must_use]
    pub fn nodes(&self) -> &[usize] {
        match self {
            Self::Kill { nodes, .. }
            | Self::RollingRestart { nodes }
            | Self::Terminate { nodes }
            | Self::CrashLoop { nodes, .. }
            | Self::Pause { nodes }
            | Self::Throttle { nodes, .. }
            | Self::Link { from: LinkSide::Nodes(nodes), .. }
            | Self::Link { to: LinkSide::Nodes(nodes), .. } => nodes,
            _ => &[],
        }
    }

    /// Returns the endpoints that give wrong responses.
    #[must_use]
    pub fn misbehaving_endpoints(&self) -> &[usize] {
        if let Self::EndpointMisbehave { endpoints, .. } = self { endpoints } else { &[] }
    }

    /// Returns the nodes at which the fault holds idle connections open.
    #[must_use]
    pub fn crowded_nodes(&self) -> &[usize] {
        if let Self::ConnectionFlood { nodes, .. } = self { nodes } else { &[] }
    }

    /// Returns whether the affected links are those from clients.
    #[must_use]
    pub fn affects_clients(&self) -> bool {
        matches!(self, Self::Link { from: LinkSide::Clients, .. })
    }
}
