//! Admission of new requests: they are dispatched, queued or rejected.

use crate::balancer::Balancer;
use crate::decision_event::{DecisionEvent, RejectionReason};
use crate::priority::PriorityTier;
use crate::request::Request;
use crate::timer::Timer;
use crate::{Action, Nanos, NewRequest, RequestId, nanos, seconds};

/// New requests of the lower tiers are rejected if the expected wait exceeds this fraction of their time
/// left.
const MAX_WAIT_SHARE: f64 = 0.3;
/// Minimum of the random factor by which that threshold is multiplied ...
const MIN_THRESHOLD_FACTOR: f64 = 0.7;
/// ... and the range of that factor, so that nodes neither reject in step nor admit all at once.
const THRESHOLD_JITTER: f64 = 0.3;
/// Number of ticks before its deadline at which a queued request is rejected at the latest.
const DEADLINE_MARGIN_TICKS: Nanos = 2;

impl Balancer {
    /// Classifies a new request, queues it, and dispatches it if there is capacity. Otherwise it stays queued
    /// until its time is nearly over; a request of a lower tier is rejected at once if it would wait too
    /// long.
    pub(crate) fn on_request(&mut self, new: &NewRequest, actions: &mut Vec<Action>) {
        let id = new.id;
        let Some(request) = self.classify(new) else { return };
        let key = request.key;
        self.requests.insert(id, request);
        if let Some(key) = key {
            self.ordered_keys.push(key, id);
            self.enqueue_next_of_key(key);
        } else {
            self.enqueue(id);
        }
        self.dispatch(actions);
        let Some(request) = self.requests.get(&id).filter(|request| request.attempts.is_empty()) else {
            return;
        };
        let may_be_shed = request.queued.is_some() && request.tier.may_be_shed();
        if may_be_shed && self.is_wait_too_long(id) {
            self.answer(id, RejectionReason::ExpectedWaitTooLong, actions);
        } else {
            let queued = self.queue.len() as u32;
            self.trace(|_| DecisionEvent::Queued { id, queued });
            self.arm_queue_timeout(id, actions);
        }
    }

    /// Counts a new request, and returns it with its tier, cost and deadlines; `None` if its class is
    /// unknown.
    fn classify(&mut self, new: &NewRequest) -> Option<Request> {
        let NewRequest { id, class, tenant, cost_hint, key, deadline } = *new;
        let class_settings = self.settings.classes.get(usize::from(class.0))?;
        let objective = class_settings.latency_objective
            + (class_settings.objective_per_work * cost_hint.unwrap_or(0) as f64) as Nanos;
        let mut priority_weight = class_settings.priority_weight;
        let key = key.filter(|_| class_settings.ordered_by_key);
        let relative_cost = cost_hint.map_or(1.0, |hint| self.latencies.learn_hint(class, hint));
        self.traffic.arrivals.add(self.now, 1.0);
        self.retry_budget.earn();
        if tenant.is_some_and(|tenant| self.is_over_share(tenant)) {
            priority_weight *= self.settings.over_share_weight;
        }
        let tier = PriorityTier::classify(priority_weight, &self.settings.classes);
        let objective_deadline = self.now + objective;
        self.trace(|_| DecisionEvent::Classified {
            id,
            tier: tier.index() as u8,
            priority_weight: priority_weight as f32,
            objective_deadline,
        });
        Some(Request {
            class,
            priority_weight,
            tier,
            relative_cost,
            objective_deadline,
            deadline,
            attempts: Vec::new(),
            in_flight: 0,
            queued: None,
            done: false,
            key,
        })
    }

    /// Returns whether a queued request must be rejected because its wait would take too large a fraction of
    /// its time left. Never true while this process recovers from a stall, when the length of the queue says
    /// nothing about how fast it drains.
    fn is_wait_too_long(&mut self, id: RequestId) -> bool {
        if self.stall.is_recovering(self.now) {
            return false;
        }
        let factor = MIN_THRESHOLD_FACTOR + THRESHOLD_JITTER * self.random();
        self.requests.get(&id).is_some_and(|request| self.wait_share(request) > MAX_WAIT_SHARE * factor)
    }

    /// Returns the expected wait of a request's tier as a fraction of the time that the request can wait.
    pub(crate) fn wait_share(&self, request: &Request) -> f64 {
        let wait = self.queue.expected_wait(request.tier, self.now);
        let until = request.objective_deadline.min(request.deadline);
        let left = seconds(until.saturating_sub(self.now));
        let left = left - self.expected_latency(request.class, request.relative_cost);
        if left > 0.0 { wait / left } else { f64::INFINITY }
    }

    /// Returns the time until which a response has a value.
    pub(crate) fn useful_until(&self, request: &Request) -> Nanos {
        let has_late_value = self.class(request.class).late_weight > 0.0;
        if has_late_value { request.deadline } else { request.objective_deadline.min(request.deadline) }
    }

    /// Returns the time at which a queued request has no time left to meet its objective. Applies even if a
    /// late response has a value: served late, the request would take the place of one that can still be in
    /// time.
    pub(crate) fn queue_deadline(&self, request: &Request) -> Nanos {
        let expected = nanos(self.expected_latency(request.class, request.relative_cost));
        let tick_margin = DEADLINE_MARGIN_TICKS * self.settings.tick;
        let margin = expected.max(tick_margin);
        let latest = request.deadline.saturating_sub(tick_margin);
        request.objective_deadline.saturating_sub(margin).min(latest).max(self.now + 1).min(latest)
    }

    pub(crate) fn arm_queue_timeout(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(request) = self.requests.get(&id) {
            self.arm(self.queue_deadline(request), Timer::QueueTimeout(id), actions);
        }
    }

    /// Answers a request, whatever its tier, that is still queued or still waits for its key's turn when its
    /// time is nearly over.
    pub(crate) fn on_queue_timeout(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let waits_for_turn = request.key.is_some() && request.attempts.is_empty();
        if request.queued.is_some() {
            self.answer(id, RejectionReason::QueueTimeout, actions);
        } else if waits_for_turn {
            self.answer(id, RejectionReason::KeyOrderTimeout, actions);
        }
    }

    /// Records that requests are being rejected for overload.
    pub(crate) fn begin_overload(&mut self) {
        if !std::mem::replace(&mut self.overloaded, true) {
            let queued = self.queue.len() as u32;
            self.decision_log.push(DecisionEvent::OverloadStarted { queued });
        }
    }

    pub(crate) fn end_overload_when_queue_is_empty(&mut self) {
        if self.overloaded && self.queue.is_empty() {
            self.overloaded = false;
            self.decision_log.push(DecisionEvent::OverloadEnded);
        }
    }
}
