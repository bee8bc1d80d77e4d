//! Sends an admitted request to its pool and builds the response, for all client protocols.

use std::rc::Rc;

use hyper::Response;
use pumicehead_admin::stats::RequestOutcome;
use pumicehead_flight_recorder::event::ListenerRejection;

use super::DownstreamListener;
use super::request_body::ReceivedBody;
use super::response;
use crate::net::active_requests::RequestIdGuard;
use crate::net::admission::{AdmittedRequest, RequestError, RequestHead};
use crate::net::exchange::FinalResponse;
use crate::net::response_body::{ResponseBody, StreamEnd};

/// An admitted request whose correlation id is reserved for it.
pub(super) struct ClaimedRequest {
    pub admitted: AdmittedRequest,
    id_guard: Rc<RequestIdGuard>,
}

impl DownstreamListener {
    /// Admits a request by its head and reserves its correlation id, before its body is read: meanwhile another request
    /// must not run under that id.
    pub(super) fn admit(&self, head: RequestHead<'_>) -> Result<ClaimedRequest, RequestError> {
        let admitted = self.admission.admit(head)?;
        let id_guard = self.active_requests.claim(&admitted.request.correlation_id);
        let id_guard = id_guard.ok_or(RequestError::DuplicateId)?;
        Ok(ClaimedRequest { admitted, id_guard })
    }

    /// Proxies a request. A request on a connection that is `over_limit` is rejected.
    pub(super) async fn proxy(
        &self,
        claimed: ClaimedRequest,
        body: ReceivedBody,
        over_limit: bool,
    ) -> Response<ResponseBody> {
        let ClaimedRequest { admitted, id_guard } = claimed;
        let AdmittedRequest { pool, mut request, style, requires_empty_body } = admitted;
        let class = request.class;
        if requires_empty_body && !body.is_empty() {
            return response::error(&RequestError::MethodNotAllowed(Vec::new()));
        }
        if let Some(reason) = self.local_rejection(over_limit) {
            pool.record_local_rejection(class, reason);
            self.stats.record_outcome(class, RequestOutcome::Rejected);
            return response::rejection(&style, self.options.get().retry_after);
        }
        (request.upstream.body, request.upstream.upload) = body.into_parts();
        let mut final_response = pool.proxy(request, id_guard).await;
        self.count_outcome(class, &mut final_response);
        response::from_final(&style, final_response)
    }

    /// Returns why a request is rejected without sending it to its pool, or `None` if it is not rejected.
    fn local_rejection(&self, over_limit: bool) -> Option<ListenerRejection> {
        if over_limit {
            return Some(ListenerRejection::ConnectionLimit);
        }
        let is_full = self.active_requests.count() >= self.options.get().max_active_requests;
        (self.is_exiting.get() || is_full).then_some(ListenerRejection::RequestLimit)
    }

    /// Counts the outcome of a request. The outcome of a streamed response is only known at its end.
    fn count_outcome(&self, class: usize, response: &mut FinalResponse) {
        match response {
            FinalResponse::Upstream(upstream) if upstream.body.is_stream() => {
                let stats = self.stats.clone();
                upstream.body.on_end(move |end| match end {
                    StreamEnd::Complete => stats.record_outcome(class, RequestOutcome::Completed),
                    StreamEnd::UpstreamFailed => stats.record_outcome(class, RequestOutcome::Failed),
                    StreamEnd::ClientDisconnected => {}
                });
            }
            response => self.stats.record_outcome(class, response.outcome()),
        }
    }
}
