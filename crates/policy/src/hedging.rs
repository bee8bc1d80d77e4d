//! Hedged requests: a second attempt while the first one is slow.

use crate::balancer::Balancer;
use crate::endpoints::EndpointIndex;
use crate::request::Request;
use crate::retry::RETRY_COST;
use crate::timer::Timer;
use crate::{Action, Nanos, RequestId, nanos};

/// Hedge delay as a multiple of the expected latency.
pub(crate) const HEDGE_DELAY_LATENCIES: f64 = 3.0;
/// Bounds of the endpoint's latency ratio by which the hedge delay is scaled.
const MIN_DELAY_RATIO: f64 = 1.0;
const MAX_DELAY_RATIO: f64 = 2.0;
/// A hedge is only sent if this multiple of the expected latency is left until the response has no value any
/// more.
const MIN_TIME_LEFT_LATENCIES: f64 = 0.7;

impl Balancer {
    /// Returns the delay from the start of an attempt to its hedge. `expected_latency` is in seconds.
    pub(crate) fn hedge_delay(&self, index: EndpointIndex, expected_latency: f64) -> Nanos {
        let ratio = self.endpoints[index].selection_latency_ratio(self.now);
        let ratio = ratio.clamp(MIN_DELAY_RATIO, MAX_DELAY_RATIO);
        nanos(HEDGE_DELAY_LATENCIES * expected_latency * ratio)
    }

    /// Hedges an idempotent request whose attempt is slow, if capacity and retry budget allow it. Otherwise
    /// tries again after the expected latency, as long as a hedge can be useful.
    pub(crate) fn on_hedge_timer(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.done || request.in_flight != 1 {
            return;
        }
        let expected = self.expected_latency(request.class, request.relative_cost);
        if !self.has_time_for_hedge(request, expected) {
            return;
        }
        if let Some(index) = if self.may_hedge(expected) { self.select_endpoint(id) } else { None } {
            self.retry_budget.spend(RETRY_COST);
            self.start_attempt(id, index, actions);
        } else {
            self.arm(self.now + nanos(expected), Timer::Hedge(id), actions);
        }
    }

    fn has_time_for_hedge(&self, request: &Request, expected_latency: f64) -> bool {
        self.now + nanos(MIN_TIME_LEFT_LATENCIES * expected_latency) <= self.useful_until(request)
    }

    /// Returns whether hedging is allowed: the queue is empty, there is capacity and retry budget, and this
    /// process has not just resumed from a stall, which makes all attempts look old.
    fn may_hedge(&self, expected_latency: f64) -> bool {
        self.queue.is_empty()
            && self.has_capacity()
            && self.retry_budget.allows(RETRY_COST)
            && self.now >= self.stall.resumed_at + nanos(expected_latency)
    }
}
