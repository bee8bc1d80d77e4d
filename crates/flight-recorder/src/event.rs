//! Recorded events.

use pumicehead_policy::decision_event::DecisionEvent;
use pumicehead_policy::{AttemptNo, AttemptOutcome, EndpointId, EndpointState, Nanos, RequestId};

use crate::bounded_text::BoundedName;

/// A pool, by its place in the head of a dump.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolId(pub u16);

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// With a server's answer.
    Served,
    /// With a server's answer that speaks of a fault.
    ServedError,
    /// Rejected: it may come again.
    Rejected,
    /// Failed.
    Failed,
    /// Failed since its time was up.
    DeadlineExceeded,
    /// Its body was too slow, too long or broke off.
    BodyFailed,
    /// The client had left.
    ClientDisconnected,
}

/// Why a front turned a request away that no pool has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerRejection {
    /// The node holds as many requests as it may.
    RequestLimit,
    /// There is no place for another connection.
    ConnectionLimit,
}

/// What a node ran out of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExhaustedResource {
    /// The system gives no descriptor for a client's connection.
    DownstreamConnection,
    /// No place for another connection to a server.
    UpstreamConnection,
}

/// An event of a pool.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request came.
    RequestAdmitted {
        /// The pool's number for it.
        id: RequestId,
        /// Its class, by its place in the pool.
        class: u16,
        /// Its tenant, where there are tenants.
        tenant: Option<u32>,
        /// How long its client waits from now on.
        client_timeout: Nanos,
        /// How long it took the client to send it.
        upload_time: Nanos,
        /// What its client calls it.
        name: BoundedName,
        /// The revision of the configuration that it was admitted under; none on nodes that have but one, and in
        /// recordings of versions that did not record it.
        revision: Option<u64>,
    },
    /// What the module says of its reasons.
    Decision(DecisionEvent),
    /// An attempt began.
    AttemptStarted {
        /// Of this request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// To this server.
        endpoint: EndpointId,
        /// It is given up after so long.
        timeout: Option<Nanos>,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Of this request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// At this server.
        endpoint: EndpointId,
        /// How.
        outcome: AttemptOutcome,
        /// It took so long.
        duration: Nanos,
        /// Of this, to get a connection.
        connect_time: Nanos,
        /// It went over a connection that had been idle for so long; none where that was new, or nothing was sent.
        connection_idle: Option<Nanos>,
    },
    /// The answer of an attempt began to pass through.
    ResponseStarted {
        /// Of this request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// The final answer.
    RequestEnded {
        /// Of this request.
        id: RequestId,
        /// How.
        outcome: RequestOutcome,
    },
    /// The list spoke of a server.
    EndpointStateChanged {
        /// Which.
        endpoint: EndpointId,
        /// What it said.
        state: EndpointState,
    },
    /// Advice was heard.
    CapacityAdvice {
        /// Servers to avoid.
        endpoints_to_avoid: u32,
        /// Rights lent and granted.
        lease_grants: u32,
    },
    /// A front turned a request away.
    RejectedByListener {
        /// Its class, by its place in the pool.
        class: u16,
        /// Why.
        reason: ListenerRejection,
    },
    /// The node ran out of something.
    ResourceExhausted(ExhaustedResource),
    /// The fleet's view says how many nodes share the servers.
    NodeShareChanged {
        /// So many.
        nodes: u32,
        /// This one's number among them.
        node_index: u32,
    },
    /// A member of the fleet is held for something else: states by their numbers, alive 0, stalled 1, suspect 2, dead 3, left 4.
    MemberStateChanged {
        /// Which.
        name: BoundedName,
        /// Before; `None`: it was not known.
        from: Option<u8>,
        /// Now.
        to: u8,
    },
}

impl Event {
    /// The request that it is about.
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
