//! Retries: whether a request gets another attempt after an unsuccessful one.
//!
//! A request whose body has been partly sent to an endpoint can't be retried; the host answers it from that
//! attempt alone.

use crate::balancer::Balancer;
use crate::decision_event::{NoRetryReason, RejectionReason};
use crate::request::Request;
use crate::request_queue::DISPATCH_INTERVAL;
use crate::timer::Timer;
use crate::{Action, RequestId};

/// Initial number of tokens.
const INITIAL_TOKENS: f64 = 2.0;
/// Tokens that each request earns. Far less than the cost of a retry, since retries and hedges must not
/// multiply an overload.
const TOKENS_PER_REQUEST: f64 = 0.1;
/// Maximum number of accumulated tokens.
const MAX_TOKENS: f64 = 10.0;
/// Cost of a retry or a hedge, in tokens.
pub(crate) const RETRY_COST: f64 = 1.0;
/// Cost of a retry in tokens if no attempt was executed.
const UNEXECUTED_RETRY_COST: f64 = 0.3;

/// Token bucket that limits retries and hedges to a fraction of all requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: INITIAL_TOKENS }
    }
}

impl RetryBudget {
    /// Adds the tokens that one request earns.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    pub fn allows(&self, cost: f64) -> bool {
        self.tokens >= cost
    }

    pub fn spend(&mut self, cost: f64) {
        self.tokens -= cost;
    }
}

impl Balancer {
    /// Decides how a request continues after an unsuccessful attempt: it is retried, waits for capacity or
    /// for another attempt, or is answered.
    pub(crate) fn retry_or_answer(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.done {
            return self.end_request(id, None, actions);
        }
        if request.in_flight > 0 || request.queued.is_some() {
            return;
        }
        let is_unexecuted = request.first_maybe_executed().is_none();
        let cost = if is_unexecuted { UNEXECUTED_RETRY_COST } else { RETRY_COST };
        if let Some(reason) = self.no_retry_reason(request, cost) {
            return self.answer(id, RejectionReason::NoRetry(reason), actions);
        }
        let retry_at = self.queue_deadline(request).min(self.now + DISPATCH_INTERVAL);
        if let Some(index) = if self.has_capacity() { self.select_endpoint(id) } else { None } {
            self.retry_budget.spend(cost);
            self.start_attempt(id, index, actions);
        } else if is_unexecuted {
            self.enqueue(id);
            self.arm_queue_timeout(id, actions);
        } else {
            self.arm(retry_at, Timer::Retry(id), actions);
        }
    }

    /// Returns why a request may not be retried, if so; `cost` is in tokens of the budget. No time is left
    /// from the moment at which a queued request is answered: after that, nothing would decide about a
    /// waiting request any more.
    fn no_retry_reason(&self, request: &Request, cost: f64) -> Option<NoRetryReason> {
        let first = request.first_maybe_executed();
        if request.attempts.len() >= self.max_attempts() {
            Some(NoRetryReason::AttemptsExhausted)
        } else if first.is_some_and(|first| !self.may_retry_after(request.class, first, None)) {
            Some(NoRetryReason::NotIdempotent)
        } else if self.now + 1 >= self.queue_deadline(request) {
            Some(NoRetryReason::NoTimeLeft)
        } else if !self.retry_budget.allows(cost) {
            Some(NoRetryReason::RetryBudgetSpent)
        } else {
            None
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/retry.rs"]
mod tests;
