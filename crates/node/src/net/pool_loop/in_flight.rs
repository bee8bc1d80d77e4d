//! A request that a pool's event loop has not finished.

use std::rc::Rc;

use pumicehead_policy::Nanos;
use tokio::sync::oneshot;

use super::timers::Timer;
use crate::net::active_requests::RequestIdGuard;
use crate::net::exchange::{FinalResponse, UpstreamRequest, UpstreamResponse};

/// A request that has no final response, or of which an attempt is in flight.
pub(super) struct InFlightRequest {
    pub request: Rc<UpstreamRequest>,
    /// Taken by the final response.
    pub responder: Option<oneshot::Sender<FinalResponse>>,
    pub deadline: Nanos,
    /// An endpoint's error response: the final response where no attempt succeeds.
    pub error_response: Option<UpstreamResponse>,
    /// By attempt number, the sender that cancels it; `None` once it has ended.
    pub attempts: Vec<Option<oneshot::Sender<()>>>,
    /// Held while an attempt is in flight, after a disconnect too: a second request under the id would repeat an effect
    /// that an endpoint still works on.
    pub _id_guard: Rc<RequestIdGuard>,
    /// Timers that were armed for this request. They are removed with it, so that they don't wake the loop for nothing.
    pub timers: Vec<Timer>,
}

impl InFlightRequest {
    /// Whether the final response was given and no attempt is in flight.
    pub fn is_done(&self) -> bool {
        self.responder.is_none() && self.attempts.iter().all(Option::is_none)
    }

    /// Whether part of the request's body was sent to an endpoint: it can't be sent to another one.
    pub fn upload_has_started(&self) -> bool {
        self.request.upload.as_ref().is_some_and(|upload| upload.has_started())
    }
}
