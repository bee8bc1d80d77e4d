//! Start and end of attempts, and what is learned from their outcomes.

use crate::balancer::Balancer;
use crate::endpoints::{EndpointIndex, InFlightAttempt};
use crate::hedging::HEDGE_DELAY_LATENCIES;
use crate::outlier_detection::Failure;
use crate::request::{Attempt, Execution};
use crate::timer::Timer;
use crate::{Action, AttemptEnded, AttemptOutcome, ClassId, Idempotency, Nanos, RequestId, seconds};

/// Latency recorded for an attempt that timed out, as a multiple of its duration, since the response would
/// have taken longer.
const TIMEOUT_LATENCY_FACTOR: Nanos = 2;
/// Timeout of an attempt that may be retried, as a multiple of the hedge delay, where two attempts must not
/// be in flight at once.
const TIMEOUT_HEDGE_DELAYS: Nanos = 2;

impl Balancer {
    /// Starts an attempt at an endpoint, if it is permitted.
    pub(crate) fn start_attempt(&mut self, id: RequestId, index: EndpointIndex, actions: &mut Vec<Action>) {
        if !self.may_send(id, index) {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        let (class, relative_cost) = (request.class, request.relative_cost);
        let start_before = request.first_maybe_executed().map(|first| self.retry_until(class, first));
        let has_attempts_left = request.attempts.len() + 1 < self.max_attempts();
        let may_repeat = has_attempts_left && self.class(class).idempotency == Idempotency::Idempotent;
        let expected_latency = self.expected_latency(class, relative_cost);
        self.record_start(id, index, relative_cost, expected_latency);

        let hedge_delay = self.hedge_delay(index, expected_latency);
        // Where two attempts must not be in flight at once, another one is only possible after the first is
        // given up.
        let has_timeout = may_repeat && !self.settings.concurrent_attempts;
        let timeout = has_timeout.then_some(TIMEOUT_HEDGE_DELAYS * hedge_delay);
        let endpoint = self.endpoints[index].id;
        actions.push(Action::StartAttempt { id, endpoint, timeout, start_before });
        if may_repeat && self.settings.concurrent_attempts {
            self.arm(self.now + hedge_delay, Timer::Hedge(id), actions);
        }
    }

    /// Records a started attempt in its request, its endpoint and this node's statistics.
    fn record_start(
        &mut self,
        id: RequestId,
        index: EndpointIndex,
        relative_cost: f64,
        expected_latency: f64,
    ) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let endpoint = &mut self.endpoints[index];
        let attempt = request.attempts.len();
        request.attempts.push(Attempt {
            endpoint: endpoint.id,
            zone: endpoint.zone,
            cell: endpoint.cell,
            sent_at: now,
            execution: Execution::InFlight,
        });
        request.in_flight += 1;
        let in_flight = InFlightAttempt { request: id, attempt, sent_at: now, expected_latency };
        endpoint.in_flight.push_back(in_flight);
        endpoint.sent_rate.add(now, relative_cost);
        endpoint.slow_start.spend(relative_cost);
        let zone = endpoint.zone;
        self.traffic.update_mean(self.subset.in_flight(), now);
        self.traffic.total_in_flight += 1;
        self.reporting.on_attempt_started();
        let locality = self.locality(zone);
        self.subset[locality].in_flight += 1;
    }

    /// Handles the end of an attempt: learns from it and decides how the request continues.
    pub(crate) fn on_attempt_ended(&mut self, ended: &AttemptEnded, actions: &mut Vec<Action>) {
        let (id, number) = (ended.id, usize::from(ended.attempt.0));
        let not_executed = ended.outcome.never_executed(self.settings.rejection_may_execute);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.attempts.get_mut(number);
        let Some(attempt) = attempt.filter(|attempt| attempt.execution == Execution::InFlight) else {
            return;
        };
        attempt.execution = if not_executed { Execution::NotExecuted } else { Execution::MaybeExecuted };
        request.in_flight -= 1;
        let (class, relative_cost, key) = (request.class, request.relative_cost, request.key);
        if let Some(key) = key.filter(|_| ended.outcome.may_still_execute()) {
            let until = self.now + self.settings.key_cooldown;
            self.ordered_keys.start_cooldown(key, until);
            self.arm(until, Timer::KeyCooldown, actions);
        }
        self.traffic.update_mean(self.subset.in_flight(), self.now);
        self.traffic.total_in_flight -= 1;
        self.reporting.on_attempt_ended();
        if let Some(index) = self.endpoints.find(ended.endpoint) {
            self.record_end(index, ended);
            self.learn_outcome(index, class, relative_cost, ended);
            self.close_idle_if_draining(index, actions);
        }
        if ended.final_answer {
            self.end_request(id, None, actions);
        } else {
            self.retry_or_answer(id, actions);
        }
    }

    fn record_end(&mut self, index: EndpointIndex, ended: &AttemptEnded) {
        let number = usize::from(ended.attempt.0);
        let endpoint = &mut self.endpoints[index];
        endpoint.last_attempt_rejected = ended.outcome == AttemptOutcome::Rejected;
        endpoint.in_flight.retain(|other| (other.request, other.attempt) != (ended.id, number));
        let zone = endpoint.zone;
        let locality = self.locality(zone);
        // Attempts at outliers aren't included in the sum; the next refresh corrects it.
        let in_flight = &mut self.subset[locality].in_flight;
        *in_flight = in_flight.saturating_sub(1);
    }

    /// Learns from the outcome of an attempt at an endpoint. Nothing is learned from an attempt that was in
    /// flight during a stall of this process, that a later one has overtaken (the connection was silent, not
    /// the endpoint), or that was cancelled early. A late cancellation counts as a failure; otherwise a hung
    /// endpoint whose attempts are all cancelled for a faster copy would never be noticed.
    fn learn_outcome(
        &mut self,
        index: EndpointIndex,
        class: ClassId,
        relative_cost: f64,
        ended: &AttemptEnded,
    ) {
        let duration = ended.duration;
        if self.now < self.stall.resumed_at + duration {
            return;
        }
        let sent_at = self.now.saturating_sub(duration);
        let expected = self.expected_latency(class, relative_cost);
        let is_overtaken = self.endpoints[index].has_overtaken(sent_at, expected);
        let is_late = seconds(duration) > HEDGE_DELAY_LATENCIES * expected;
        match ended.outcome {
            AttemptOutcome::Success => {
                self.traffic.served.add(self.now, relative_cost);
                let last_sent_at = &mut self.endpoints[index].last_success_sent_at;
                *last_sent_at = sent_at.max(*last_sent_at);
                self.learn_latency(index, class, relative_cost, duration);
                self.learn_success(index);
            }
            AttemptOutcome::Cancelled if is_overtaken || !is_late => {}
            AttemptOutcome::TimedOut if is_overtaken => {}
            AttemptOutcome::Error | AttemptOutcome::Reset | AttemptOutcome::Cancelled => {
                self.learn_failure(index, Failure::Broken);
            }
            AttemptOutcome::TimedOut => {
                self.learn_latency(index, class, relative_cost, TIMEOUT_LATENCY_FACTOR * duration);
                self.learn_failure(index, Failure::Broken);
            }
            // An endpoint that rejects everything may be draining before discovery reports it.
            AttemptOutcome::Rejected => self.learn_failure(index, Failure::Rejected),
            AttemptOutcome::ConnectFailed => self.learn_failure(index, Failure::ConnectFailed),
            AttemptOutcome::NotSent => {}
        }
    }
}
