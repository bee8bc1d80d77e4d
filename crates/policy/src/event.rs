//! Events that a host reports to the decision module.

use std::sync::Arc;

use crate::endpoint_info::EndpointUpdate;
use crate::ids::{AttemptNo, ClassId, EndpointId, RequestId, TenantId, TimerToken};
use crate::outcome::AttemptOutcome;
use crate::time::Nanos;

/// A new request of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct NewRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if there are tenants.
    pub tenant: Option<TenantId>,
    /// Expected processing time on a standard core.
    pub cost_hint: Option<Nanos>,
    /// Its key, if it has one.
    pub key: Option<u64>,
    /// Time at which the client stops waiting.
    pub deadline: Nanos,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnded {
    /// The request.
    pub id: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// The endpoint that the attempt was sent to.
    pub endpoint: EndpointId,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Duration of the attempt.
    pub duration: Nanos,
    /// Whether the request has its final answer, by this attempt or earlier.
    pub final_answer: bool,
}

/// Position of this node in the group of nodes that share the endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeShare {
    /// Index of this node, which determines its position on the ring of endpoints. Any number that no other
    /// node has.
    pub node_index: u32,
    /// Number of nodes, including this one.
    pub node_count: u32,
}

/// Advice of capacity planners, computed from the reports of many nodes. Each advice replaces the previous
/// one, except that endpoints marked as draining stay marked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CapacityAdvice {
    /// Age of the advice on arrival.
    pub age: Nanos,
    /// Validity period. The advice loses weight in the second half of it.
    pub valid_for: Nanos,
    /// Endpoints to avoid while the advice is valid.
    pub avoid: Arc<[EndpointId]>,
    /// Endpoints that drain, with the start time of the draining process.
    pub draining: Arc<[(EndpointId, Nanos)]>,
    /// Rates that this node has lent to others on endpoints in slow start, in requests per second before the
    /// warm-up fraction is applied.
    pub lent: Arc<[(EndpointId, f64)]>,
    /// Rates granted to this node on such endpoints, in the same unit, for `granted_for` from arrival.
    pub granted: Arc<[(EndpointId, f64)]>,
    /// How long the grants are valid. They expire on their own, however late the next advice arrives.
    pub granted_for: Nanos,
}

/// An event for [`Balancer::handle`](crate::Balancer::handle).
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoints changed, or discovery failed.
    EndpointsUpdated(EndpointUpdate),
    /// A new request of a client, which must get exactly one final answer.
    Request(NewRequest),
    /// The response to an attempt has started to stream to the client, which gets no other response.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnded),
    /// The client has disconnected and needs no answer any more.
    ClientDisconnected(RequestId),
    /// A timer has fired.
    TimerFired(TimerToken),
    /// New advice of the capacity planners.
    CapacityAdvice(CapacityAdvice),
    /// Number of nodes that share the endpoints, and index of this node, in place of
    /// [`Settings::node_count`](crate::Settings::node_count) and
    /// [`Settings::node_index`](crate::Settings::node_index).
    NodeShare(NodeShare),
    /// A load report of another node.
    LoadReport {
        /// Index of the sender.
        from: u32,
        /// The body that it sent with [`Action::SendLoadReport`](crate::Action::SendLoadReport).
        body: Vec<u8>,
    },
}
