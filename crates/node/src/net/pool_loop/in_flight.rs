//! A request that is not yet finished by the pool's event loop.

use std::rc::Rc;

use pumicehead_policy::Nanos;
use tokio::sync::oneshot;

use super::timers::Timer;
use crate::net::active_requests::RequestIdGuard;
use crate::net::exchange::{FinalResponse, UpstreamRequest, UpstreamResponse};

/// A request that has no final response or still has attempts in flight.
pub(super) struct InFlightRequest {
    pub request: Rc<UpstreamRequest>,
    /// Sends the final response; `None` once it has been given.
    pub responder: Option<oneshot::Sender<FinalResponse>>,
    pub deadline: Nanos,
    /// An endpoint's error response, which becomes the final response if no attempt succeeds.
    pub error_response: Option<UpstreamResponse>,
    /// The sender that cancels an attempt, by attempt number; `None` once the attempt has ended.
    pub attempts: Vec<Option<oneshot::Sender<()>>>,
    /// Held while an attempt is in flight, even after a disconnect, because a second request with the same id could
    /// repeat a side effect that an endpoint is still processing.
    pub id_guard: Rc<RequestIdGuard>,
    /// Whether an endpoint may still be executing an attempt that has ended without its response.
    pub may_still_execute: bool,
    /// Whether the request was overdue while an attempt had not reported its end yet.
    pub awaits_late_attempt: bool,
    /// Timers armed for this request. They are removed together with it, so that they don't wake the loop needlessly.
    pub timers: Vec<Timer>,
}

impl InFlightRequest {
    /// Whether the final response was given and no attempt is in flight.
    pub fn is_done(&self) -> bool {
        self.responder.is_none() && !self.has_attempt()
    }

    /// Whether an attempt is in flight.
    pub fn has_attempt(&self) -> bool {
        self.attempts.iter().any(Option::is_some)
    }

    /// Whether part of the request's body was sent to an endpoint, so that the body can't be sent to another one.
    pub fn upload_has_started(&self) -> bool {
        self.request.upload.as_ref().is_some_and(|upload| upload.has_started())
    }
}
