//! Events of a history. The serde attributes hold the stored names.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{ClientOutcome, ListedHealth, MemberState, ProcessState, ReadFailure, RequestClass};
use crate::Nanos;

/// An event with its timestamp.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Nanoseconds since the start of the run.
    pub at: Nanos,
    /// Kind of the event, with its data.
    #[serde(flatten)]
    pub kind: EventKind,
}

/// Kind of an event. Nodes and endpoints are numbered from 0.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum EventKind {
    /// A client sent a request.
    #[serde(rename = "asked")]
    RequestStarted {
        /// Id of the request, unique in the run.
        id: u64,
        /// Its class.
        class: RequestClass,
        /// The node that it was sent to.
        node: usize,
        /// The request's deadline, in milliseconds after the event.
        #[serde(rename = "patience_ms")]
        deadline_ms: u64,
    },
    /// A request ended from the view of its client.
    #[serde(rename = "ended")]
    RequestEnded {
        /// Id of the request.
        id: u64,
        /// How it ended.
        #[serde(flatten)]
        outcome: ClientOutcome,
    },
    /// A client sent a request once more, because the node closed the reused connection on which it was sent.
    #[serde(rename = "resent")]
    RequestResent {
        /// Id of the request.
        id: u64,
    },
    /// An endpoint received a complete request and executes it.
    #[serde(rename = "effect")]
    RequestExecuted {
        /// Id of the request.
        id: u64,
        /// The endpoint.
        #[serde(rename = "server")]
        endpoint: usize,
        /// How often the endpoint's process was started before.
        #[serde(rename = "epoch")]
        incarnation: u32,
        /// The `Via` header, which names the node.
        via: String,
    },
    /// An endpoint wrote the head of a response that it writes in bursts.
    #[serde(rename = "begun")]
    ResponseBegun {
        /// Id of the request.
        id: u64,
        /// The endpoint.
        #[serde(rename = "server")]
        endpoint: usize,
        /// Whether it will write the whole response.
        #[serde(rename = "sound")]
        is_sound: bool,
    },
    /// An endpoint rejected a request without executing it.
    #[serde(rename = "turned_away")]
    RequestRejected {
        /// The endpoint.
        #[serde(rename = "server")]
        endpoint: usize,
    },
    /// Discovery sent a node an endpoint's health, in a list or a watch.
    #[serde(rename = "told")]
    DiscoveryUpdate {
        /// The node.
        node: usize,
        /// The endpoint.
        #[serde(rename = "server")]
        endpoint: usize,
        /// The endpoint's health in the list.
        #[serde(rename = "listed")]
        health: ListedHealth,
    },
    /// The process of a node changed its state.
    #[serde(rename = "node")]
    NodeState {
        /// The node.
        node: usize,
        /// Its new state.
        state: ProcessState,
    },
    /// The process of an endpoint changed its state.
    #[serde(rename = "server")]
    EndpointState {
        /// The endpoint.
        #[serde(rename = "server")]
        endpoint: usize,
        /// How often its process was started before.
        #[serde(rename = "epoch")]
        incarnation: u32,
        /// Its new state.
        state: ProcessState,
    },
    /// A fault begins or ends.
    Fault {
        /// Index of the fault in the scenario.
        #[serde(rename = "number")]
        index: usize,
        /// Description of the fault.
        text: String,
        /// Whether it begins.
        begins: bool,
        /// Nodes whose processes or links it affects.
        nodes: Vec<usize>,
        /// Whether the affected links are those from clients.
        #[serde(rename = "clients")]
        affects_clients: bool,
        /// Endpoints that give wrong responses while it lasts.
        #[serde(default, rename = "liars")]
        misbehaving: Vec<usize>,
        /// Nodes at which it holds idle connections open.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        crowded: Vec<usize>,
    },
    /// A node's view of the membership changed.
    #[serde(rename = "view")]
    MembershipView {
        /// The node.
        node: usize,
        /// Fingerprint of the view: equal views have equal fingerprints.
        fingerprint: String,
        /// State of each node in the view.
        #[serde(rename = "holds")]
        members: BTreeMap<usize, MemberState>,
    },
    /// A recording that a node wrote was read with the proxy program.
    #[serde(rename = "recording")]
    RecordingRead {
        /// The node.
        node: usize,
        /// File name of the recording.
        file: String,
        /// Whether a fault changed the file.
        #[serde(rename = "harmed")]
        damaged: bool,
        /// Why it could not be read; `None` if it could.
        #[serde(rename = "failed")]
        failure: Option<ReadFailure>,
    },
    /// A node's process exited although the run had not stopped it, or did not start again.
    #[serde(rename = "crashed")]
    NodeCrashed {
        /// The node.
        node: usize,
        /// Its exit status, or why it did not start.
        text: String,
    },
    /// Resources that a node holds.
    #[serde(rename = "held")]
    ResourceUsage {
        /// The node.
        node: usize,
        /// Open file descriptors.
        descriptors: u64,
        /// Resident memory, in KiB.
        memory_kib: u64,
    },
    /// Largest lateness of the run's own event loop since the last such event.
    #[serde(rename = "lag")]
    HarnessLag {
        /// Lateness in microseconds.
        #[serde(rename = "most_us")]
        max_us: u64,
    },
}
