//! Actions that the decision module requests from its host.

use std::sync::Arc;

use crate::ids::{AttemptNo, EndpointId, RequestId, TimerToken};
use crate::time::Nanos;

/// An action for the host. The actions of one event must be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    StartAttempt {
        /// The request.
        id: RequestId,
        /// The endpoint that it is sent to.
        endpoint: EndpointId,
        /// Timeout of the attempt; `None` means the request's deadline.
        timeout: Option<Nanos>,
        /// Time from which the attempt must not be sent any more: endpoints may then have forgotten the
        /// attempt that it repeats.
        start_before: Option<Nanos>,
    },
    /// Give the request its final answer, a rejection: the client may safely retry.
    Reject {
        /// The request.
        id: RequestId,
        /// Minimum delay before the client retries.
        retry_after: Option<Nanos>,
    },
    /// Give the request its final answer, a failure: it may have been executed.
    Fail(RequestId),
    /// Cancel an attempt in flight.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Report [`Event::TimerFired`](crate::Event::TimerFired) at or after a given time.
    ArmTimer {
        /// Earliest time to report it.
        at: Nanos,
        /// Token to pass back with the event.
        token: TimerToken,
    },
    /// Send a load report to another node; delivery is best effort.
    SendLoadReport {
        /// Index of the receiving node.
        to: u32,
        /// Encoded report, at most 256 bytes.
        body: Arc<[u8]>,
    },
    /// Close the idle connections to an endpoint.
    CloseIdleConnections(EndpointId),
    /// Poll discovery, then watch it for updates.
    Subscribe,
}
