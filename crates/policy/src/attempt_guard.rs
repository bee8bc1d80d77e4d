//! The one place that decides whether an attempt may be sent at all, whatever the other rules prefer.

use crate::balancer::Balancer;
use crate::endpoints::{Endpoint, EndpointIndex};
use crate::request::{Attempt, Execution, Request};
use crate::{ClassId, DedupScope, Idempotency, Nanos, RequestId};

impl Balancer {
    /// Returns whether a request may have an attempt at an endpoint now. The request must be open and in time
    /// and have attempts left, the endpoint must take requests and not have had one that may have executed,
    /// and the request must have its key's turn. An attempt after one that may have executed must be allowed
    /// by [`Balancer::may_retry_after`].
    pub(crate) fn may_send(&self, id: RequestId, index: EndpointIndex) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let endpoint = &self.endpoints[index];
        let was_tried = |a: &Attempt| a.endpoint == endpoint.id && a.execution != Execution::NotExecuted;
        if request.done
            || !endpoint.ready
            || request.attempts.len() >= self.max_attempts()
            || (request.in_flight > 0 && !self.settings.concurrent_attempts)
            || self.now + self.settings.tick > request.deadline
            || request.attempts.iter().any(was_tried)
        {
            return false;
        }
        let first = request.first_maybe_executed();
        self.has_turn(id, request)
            && first.is_none_or(|first| self.may_retry_after(request.class, first, Some(endpoint)))
    }

    /// The most attempts for one request.
    pub(crate) fn max_attempts(&self) -> usize {
        self.settings.max_attempts as usize
    }

    /// Returns whether a request of which `first` may have executed may have another attempt: at `endpoint`,
    /// or at any if that is `None`.
    pub(crate) fn may_retry_after(
        &self,
        class: ClassId,
        first: &Attempt,
        endpoint: Option<&Endpoint>,
    ) -> bool {
        let is_in_scope = endpoint.is_none_or(|endpoint| match self.class(class).idempotency {
            Idempotency::IdempotencyKey { scope: DedupScope::Zone, .. } => first.zone == endpoint.zone,
            Idempotency::IdempotencyKey { scope: DedupScope::Cell, .. } => first.cell == endpoint.cell,
            _ => true,
        });
        is_in_scope && self.now < self.retry_until(class, first)
    }

    /// Returns until when another attempt may start after `first`, which may have executed. A tenth of the
    /// time that endpoints remember a key is left for the way to the endpoint.
    pub(crate) fn retry_until(&self, class: ClassId, first: &Attempt) -> Nanos {
        match self.class(class).idempotency {
            Idempotency::Idempotent => Nanos::MAX,
            Idempotency::NotIdempotent => 0,
            Idempotency::IdempotencyKey { window, .. } => first.sent_at + window / 10 * 9,
        }
    }

    /// Returns whether a request may be answered with a rejection, which promises that the client may retry.
    pub(crate) fn may_reject(&self, request: &Request) -> bool {
        match self.class(request.class).idempotency {
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: DedupScope::All, .. } => true,
            _ => request.first_maybe_executed().is_none(),
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/attempt_guard.rs"]
mod tests;
