//! Hedged requests: a second attempt beside one that takes long.

use crate::balancer::Balancer;
use crate::endpoints::EndpointIndex;
use crate::request::Request;
use crate::retry::RETRY_COST;
use crate::timer::Timer;
use crate::{Action, Nanos, RequestId, nanos};

/// A hedge is sent after this multiple of the expected latency.
pub(crate) const HEDGE_DELAY_LATENCIES: f64 = 3.0;
/// Least and largest latency ratio of the endpoint that the delay is scaled with.
const MIN_DELAY_RATIO: f64 = 1.0;
const MAX_DELAY_RATIO: f64 = 2.0;
/// Share of the expected latency that must be left before the response has lost its value.
const MIN_TIME_LEFT_LATENCIES: f64 = 0.7;

impl Balancer {
    /// Returns how long after the start of an attempt a second one may be sent. `expected_latency` is in
    /// seconds.
    pub(crate) fn hedge_delay(&self, index: EndpointIndex, expected_latency: f64) -> Nanos {
        let ratio = self.endpoints[index].selection_latency_ratio(self.now);
        let ratio = ratio.clamp(MIN_DELAY_RATIO, MAX_DELAY_RATIO);
        nanos(HEDGE_DELAY_LATENCIES * expected_latency * ratio)
    }

    /// Sends a second attempt of an idempotent request that takes too long, if there are capacity and budget;
    /// else looks again after the expected latency.
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

    /// Returns whether hedges are allowed: nothing is queued, there are capacity and retry budget, and this
    /// process hasn't just resumed after a stall, which makes all attempts look old.
    fn may_hedge(&self, expected_latency: f64) -> bool {
        self.queue.is_empty()
            && self.has_capacity()
            && self.retry_budget.allows(RETRY_COST)
            && self.now >= self.stall.resumed_at + nanos(expected_latency)
    }
}
