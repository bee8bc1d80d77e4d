//! The mandatory check before every attempt: whether it may be sent at all, regardless of what other rules
//! prefer.

use crate::balancer::Balancer;
use crate::endpoints::{Endpoint, EndpointIndex};
use crate::request::{Attempt, Execution, Request};
use crate::{ClassId, DedupScope, Idempotency, Nanos, RequestId};

impl Balancer {
    /// Returns whether a request may have an attempt at an endpoint now. The request must be open, in time
    /// and below the maximum number of attempts, and must not have an attempt in flight unless concurrent
    /// attempts are allowed. The endpoint must be ready and must not have had an attempt of this request that
    /// may have executed. The request must have its key's turn. After an attempt that may have executed,
    /// [`Balancer::may_retry_after`] must allow another one.
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

    /// Returns the maximum number of attempts per request.
    pub(crate) fn max_attempts(&self) -> usize {
        self.settings.max_attempts as usize
    }

    /// Returns whether a request may have another attempt after `first`, which may have executed: at
    /// `endpoint`, or at any endpoint if that is `None`.
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
    /// time for which endpoints remember a key is reserved for transit to the endpoint.
    pub(crate) fn retry_until(&self, class: ClassId, first: &Attempt) -> Nanos {
        match self.class(class).idempotency {
            Idempotency::Idempotent => Nanos::MAX,
            Idempotency::NotIdempotent => 0,
            Idempotency::IdempotencyKey { window, .. } => first.sent_at + window / 10 * 9,
        }
    }

    /// Returns whether a request may be answered with a rejection, which tells the client that it may retry.
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
