//! What a host reports to the decision module.

use std::sync::Arc;

use crate::endpoint_info::EndpointUpdate;
use crate::ids::{AttemptNo, ClassId, EndpointId, RequestId, TenantId, TimerToken};
use crate::outcome::AttemptOutcome;
use crate::time::Nanos;

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct NewRequest {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are tenants.
    pub tenant: Option<TenantId>,
    /// Expected processing time on a standard core.
    pub cost_hint: Option<Nanos>,
    /// Its key, where requests carry one.
    pub key: Option<u64>,
    /// When the client stops waiting.
    pub deadline: Nanos,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnded {
    /// The request.
    pub id: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// The endpoint that it went to.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// How long it took.
    pub duration: Nanos,
    /// Whether the request has its final answer, by this or before.
    pub final_answer: bool,
}

/// This node's part in the group of nodes that share the endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeShare {
    /// Index of this node: its position on the ring of endpoints. Any number that no other node has.
    pub node_index: u32,
    /// Number of nodes, this one among them.
    pub node_count: u32,
}

/// Advice of capacity planners, from what many nodes report. Each replaces the one before.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CapacityAdvice {
    /// Its age when it arrives.
    pub age: Nanos,
    /// How long it is valid; in the second half of that it loses weight.
    pub valid_for: Nanos,
    /// Endpoints to avoid for now.
    pub avoid: Arc<[EndpointId]>,
    /// Endpoints that drain, with the start time of the process that is meant.
    pub draining: Arc<[(EndpointId, Nanos)]>,
    /// Rate that this node has lent to others on endpoints in slow start, in requests a second before the
    /// warm-up fraction is applied.
    pub lent: Arc<[(EndpointId, f64)]>,
    /// Rate that it has been granted on such endpoints, in the same unit, for `granted_for` from its arrival.
    pub granted: Arc<[(EndpointId, f64)]>,
    /// How long the grants hold; they end by themselves, however late the next advice is.
    pub granted_for: Nanos,
}

/// What a host reports to [`Balancer::handle`](crate::Balancer::handle).
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoints changed, or discovery failed.
    EndpointsUpdated(EndpointUpdate),
    /// A client's request, which is owed one final answer.
    Request(NewRequest),
    /// The response to an attempt began to stream to the client, which gets no other.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// The client disconnected; it needs no answer any more.
    ClientDisconnected(RequestId),
    /// A timer fired.
    TimerFired(TimerToken),
    /// Advice of capacity planners.
    CapacityAdvice(CapacityAdvice),
    /// How many nodes share the endpoints, in place of [`Settings::node_count`](crate::Settings::node_count)
    /// and [`Settings::node_index`](crate::Settings::node_index).
    NodeShare(NodeShare),
    /// Another node's load report.
    LoadReport {
        /// Its index.
        from: u32,
        /// What it sent by [`Action::SendLoadReport`](crate::Action::SendLoadReport).
        body: Vec<u8>,
    },
}
