//! Recorded events.

use pumicehead_policy::decision_event::DecisionEvent;
use pumicehead_policy::{AttemptNo, AttemptOutcome, EndpointId, EndpointState, Nanos, RequestId};

use crate::bounded_text::BoundedName;

/// Index of a pool in a recording's header.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolId(pub u16);

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// With a successful response of an endpoint.
    Served,
    /// With an error response of an endpoint.
    ServedError,
    /// Rejected without execution; the client may retry.
    Rejected,
    /// With an error of the proxy.
    Failed,
    /// Its deadline was exceeded.
    DeadlineExceeded,
    /// Its body was too slow, too long or cut off.
    BodyFailed,
    /// The client disconnected.
    ClientDisconnected,
}

/// Why a listener rejected a request before it reached a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerRejection {
    /// The node's limit of concurrent requests was reached.
    RequestLimit,
    /// The node's limit of connections was reached.
    ConnectionLimit,
}

/// A resource that a node ran out of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExhaustedResource {
    /// File descriptors for connections from clients.
    DownstreamConnection,
    /// File descriptors for connections to endpoints.
    UpstreamConnection,
}

/// A recorded event of a pool.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request was admitted to the pool.
    RequestAdmitted {
        /// Its id in the pool.
        id: RequestId,
        /// Index of its class in the pool.
        class: u16,
        /// Its tenant, if tenants are configured.
        tenant: Option<u32>,
        /// How long its client will wait from admission on.
        client_timeout: Nanos,
        /// How long the client took to send it.
        upload_time: Nanos,
        /// The request id that its client sent.
        name: BoundedName,
        /// Revision of the configuration at admission; `None` on nodes without revisions and in recordings of
        /// versions that did not record it.
        revision: Option<u64>,
    },
    /// A decision of the balancer, with its reasons.
    Decision(DecisionEvent),
    /// An attempt was sent.
    AttemptStarted {
        /// The request's id.
        id: RequestId,
        /// Number of the attempt.
        attempt: AttemptNo,
        /// Endpoint that it was sent to.
        endpoint: EndpointId,
        /// Timeout of the attempt.
        timeout: Option<Nanos>,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request's id.
        id: RequestId,
        /// Number of the attempt.
        attempt: AttemptNo,
        /// Endpoint that it was sent to.
        endpoint: EndpointId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Time from its start to its end.
        duration: Nanos,
        /// Part of the duration that was spent on getting a connection.
        connect_time: Nanos,
        /// How long the reused connection had been idle; `None` for a new connection, or if nothing was sent.
        connection_idle: Option<Nanos>,
    },
    /// The proxy started to forward the response of an attempt to the client.
    ResponseStarted {
        /// The request's id.
        id: RequestId,
        /// Number of the attempt.
        attempt: AttemptNo,
    },
    /// A request ended.
    RequestEnded {
        /// The request's id.
        id: RequestId,
        /// How it ended.
        outcome: RequestOutcome,
    },
    /// Discovery changed the state of an endpoint.
    EndpointStateChanged {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its new state.
        state: EndpointState,
    },
    /// Capacity advice was received.
    CapacityAdvice {
        /// Number of endpoints to avoid.
        endpoints_to_avoid: u32,
        /// Number of leases lent and granted.
        lease_grants: u32,
    },
    /// A listener rejected a request.
    RejectedByListener {
        /// Index of its class in the pool.
        class: u16,
        /// Why it was rejected.
        reason: ListenerRejection,
    },
    /// The node ran out of a resource.
    ResourceExhausted(ExhaustedResource),
    /// The number of nodes that share the endpoints, or this node's index among them, changed.
    NodeShareChanged {
        /// Number of nodes.
        nodes: u32,
        /// Index of this node.
        node_index: u32,
    },
    /// The membership state of a node changed: alive 0, stalled 1, suspect 2, dead 3, left 4.
    MemberStateChanged {
        /// Name of the node.
        name: BoundedName,
        /// State before; `None` for a new member.
        from: Option<u8>,
        /// State now.
        to: u8,
    },
}

impl Event {
    /// Returns the request that the event is about, if any.
    #[must_use]
    pub fn request(&self) -> Option<RequestId> {
        match *self {
            Self::RequestAdmitted { id, .. }
            | Self::AttemptStarted { id, .. }
            | Self::AttemptEnded { id, .. }
            | Self::ResponseStarted { id, .. }
            | Self::RequestEnded { id, .. }
            | Self::Decision(
                DecisionEvent::Classified { id, .. }
                | DecisionEvent::Queued { id, .. }
                | DecisionEvent::EndpointSelected { id, .. }
                | DecisionEvent::NoEndpointAvailable { id, .. }
                | DecisionEvent::AnsweredWithoutEndpoint { id, .. },
            ) => Some(id),
            _ => None,
        }
    }
}
