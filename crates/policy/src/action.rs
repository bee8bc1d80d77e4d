//! What the decision module has its host do.

use std::sync::Arc;

use crate::ids::{AttemptNo, EndpointId, RequestId, TimerToken};
use crate::time::Nanos;

/// What a host is to do; the actions of one event in their order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    StartAttempt {
        /// The request.
        id: RequestId,
        /// Where to.
        endpoint: EndpointId,
        /// Its timeout; `None` is until the request's deadline.
        timeout: Option<Nanos>,
        /// An attempt that is not on its way by then must not be sent: endpoints may have forgotten the one
        /// that it repeats.
        start_before: Option<Nanos>,
    },
    /// Final answer: nothing was executed, the client may retry.
    Reject {
        /// The request.
        id: RequestId,
        /// When to retry at the earliest, from now.
        retry_after: Option<Nanos>,
    },
    /// Final answer: it failed, and may have been executed.
    Fail(RequestId),
    /// Abandon an attempt.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Report [`Event::TimerFired`](crate::Event::TimerFired) at or after a time.
    ArmTimer {
        /// When.
        at: Nanos,
        /// Handed back.
        token: TimerToken,
    },
    /// Send a load report to another node; it may be lost.
    SendLoadReport {
        /// Its index.
        to: u32,
        /// At most 256 bytes.
        body: Arc<[u8]>,
    },
    /// Close the idle connections to an endpoint.
    CloseIdleConnections(EndpointId),
    /// Poll discovery and watch for updates from now on.
    Subscribe,
}
