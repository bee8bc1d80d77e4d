//! Logs and counts what becomes of responses that are not complete in time.

use pumicehead_admin::stats::{ResponseCounters, increment};
use pumicehead_config::model::Address;
use pumicehead_flight_recorder::bounded_text::escape;
use tracing::{debug, info, warn};

use crate::net::exchange::UpstreamRequest;
use crate::net::response_commit::CommitReason;

/// Header field with the id of a request.
const CORRELATION_ID: &str = "x-correlation-id";

/// Reports on the response to an attempt.
pub struct ResponseReport<'a> {
    request: &'a UpstreamRequest,
    endpoint: &'a Address,
    counters: &'a ResponseCounters,
}

impl<'a> ResponseReport<'a> {
    /// Returns the report on the response of an endpoint to a request.
    #[must_use]
    pub fn new(request: &'a UpstreamRequest, endpoint: &'a Address, counters: &'a ResponseCounters) -> Self {
        Self { request, endpoint, counters }
    }

    /// Reports that a response of which `bytes` of the body have been received is passed on.
    pub fn committed(&self, bytes: usize, reason: CommitReason) {
        increment(match reason {
            CommitReason::TooLong => &self.counters.committed_too_long,
            CommitReason::NoMemory => &self.counters.committed_without_memory,
            CommitReason::AttemptOver => &self.counters.committed_at_deadline,
        });
        let endpoint = self.endpoint;
        if reason == CommitReason::AttemptOver {
            info!(target: "response", id = %self.id(), %endpoint, bytes, %reason, "incomplete response passed on");
        } else {
            debug!(target: "response", id = %self.id(), %endpoint, bytes, %reason, "incomplete response passed on");
        }
    }

    /// Reports that a response of which `bytes` have been received is dropped in favor of another attempt.
    pub fn replaced(&self, bytes: u64) {
        increment(&self.counters.replaced);
        let (endpoint, reason) = (self.endpoint, CommitReason::AttemptOver);
        info!(target: "response", id = %self.id(), %endpoint, bytes, %reason, "incomplete response dropped for another attempt");
    }

    /// Reports that a response of which `bytes` of the body were passed on ended before it was complete.
    pub fn incomplete(&self, bytes: u64) {
        increment(&self.counters.incomplete);
        let endpoint = self.endpoint;
        warn!(target: "response", id = %self.id(), %endpoint, bytes, "response ended before it was complete");
    }

    fn id(&self) -> String {
        let value = self.request.headers.get(CORRELATION_ID).and_then(|value| value.to_str().ok());
        value.map_or_else(String::new, escape)
    }
}
