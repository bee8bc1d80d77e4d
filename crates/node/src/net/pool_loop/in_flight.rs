//! A request that an event loop has in hand, and what the loop waits for.

use std::rc::Rc;

use pumicehead_policy::Nanos;
use tokio::sync::oneshot;

use crate::net::exchange::{FinalResponse, UpstreamRequest, UpstreamResponse};
use crate::net::pool_handle::RequestIdGuard;

/// What a loop waits for.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    Policy(u64),
    RequestOverdue(u32),
    SweepIdleConnections,
    RetryWatch,
    ClearEndpoints,
}

/// A request in hand.
pub(super) struct InFlightRequest {
    pub call: Rc<UpstreamRequest>,
    /// Taken by the final answer.
    pub answer: Option<oneshot::Sender<FinalResponse>>,
    pub deadline: Nanos,
    /// A server's own words on how it failed: the client gets them if nothing better comes.
    pub error: Option<UpstreamResponse>,
    /// By attempt number, while it is out.
    pub attempts: Vec<Option<oneshot::Sender<()>>>,
    /// Taken for as long as an attempt is out: a second request under it, once the client of the first has left, would be
    /// a second effect at a server that still works on it.
    pub _name: Rc<RequestIdGuard>,
    /// What is armed for it, or has fired: dropped with it. Most requests end long before any of it is due, and
    /// each would wake the loop for nothing.
    pub timers: Vec<(Nanos, TimerKind)>,
}

impl InFlightRequest {
    pub fn is_over(&self) -> bool {
        self.answer.is_none() && self.attempts.iter().all(Option::is_none)
    }
}
