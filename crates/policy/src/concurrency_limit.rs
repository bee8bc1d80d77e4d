//! Concurrency limits of endpoints, learned from latency.
//!
//! The utilization of an endpoint is its latency divided by a target between the latency without load and the
//! class's objective. All limits follow the utilization of all endpoints. In addition, the limit of a single
//! endpoint follows the difference between its utilization and that of all endpoints.

use crate::balancer::Balancer;
use crate::decision_event::{DecisionEvent, LimitChangeReason};
use crate::endpoints::EndpointIndex;
use crate::traffic_stats::RATE_MEMORY_S;
use crate::{ClassId, Nanos, seconds};

/// Concurrency of an endpoint over all nodes until its limit is learned. If it is too low, requests that
/// could be served are rejected for as long as limits take to rise; if it is too high, it is corrected twice
/// as fast.
pub(crate) const INITIAL_ENDPOINT_LIMIT: f64 = 6.0;
/// Minimum concurrency of an endpoint over all nodes, so that a limit can still be learned upward.
pub(crate) const MIN_ENDPOINT_LIMIT: f64 = 1.0;
/// Maximum limit of an endpoint for one node.
pub(crate) const MAX_LIMIT: f64 = 1e4;
/// Target latency as a fraction of the objective; the rest is left for this node's queue.
const TARGET_PER_OBJECTIVE: f64 = 0.25;
/// Bounds of the target latency, as multiples of the latency without load.
const MIN_TARGET_PER_BASELINE: f64 = 1.4;
const MAX_TARGET_PER_BASELINE: f64 = 1.6;
/// Maximum target as a fraction of the objective, for a baseline that was only ever measured under load.
const MAX_TARGET_PER_OBJECTIVE: f64 = 0.6;
/// Rate at which limits rise at a utilization of 0, in factors of e per second.
const INCREASE_PER_S: f64 = 1.25;
/// Rate at which limits fall at a utilization of 2. Higher, since overload costs more than waiting, and
/// limits that rise faster than the latency by which they are judged lead to overload.
const DECREASE_PER_S: f64 = 2.5;
/// Rate at which limits below the initial one rise.
const FAST_INCREASE_PER_S: f64 = 5.0;
/// Number of samples within [`RATE_MEMORY_S`] that have half of the full weight.
const HALF_CONFIDENCE_SAMPLES: f64 = 10.0;
/// Maximum utilization that a sample can show.
const MAX_UTILIZATION: f64 = 4.0;
/// Bounds of the weight of a sample in an endpoint's utilization; between them, the weight is the time
/// between two samples in seconds.
const MIN_ENDPOINT_WEIGHT: f64 = 0.02;
const MAX_ENDPOINT_WEIGHT: f64 = 0.3;
/// Bounds of the weight of a sample in the utilization of all endpoints.
const MIN_NODE_WEIGHT: f64 = 0.01;
const MAX_NODE_WEIGHT: f64 = 0.1;
/// Minimum sample rate per second from which the time between samples is computed.
const MIN_SAMPLE_RATE: f64 = 0.1;
/// Bounds of the time for which one sample moves its endpoint's limit, in seconds.
const MIN_STEP_S: f64 = 0.01;
const MAX_STEP_S: f64 = 0.5;
/// Factor applied to a limit after an attempt that was rejected, or that failed through the endpoint's own
/// fault.
const FAILURE_FACTOR: f64 = 0.85;
/// Limits may rise if this fraction of the node's capacity is in use.
const MIN_USE_FOR_INCREASE: f64 = 0.7;
/// Utilization of all endpoints before the first sample.
const INITIAL_UTILIZATION: f64 = 0.5;

/// The utilization of all endpoints, and the time up to which it has been applied to the limits.
pub(crate) struct ConcurrencyLimiter {
    /// Smoothed latency relative to its target.
    pub utilization: f64,
    updated_at: Nanos,
    applied_until: Nanos,
}

impl Default for ConcurrencyLimiter {
    fn default() -> Self {
        Self { utilization: INITIAL_UTILIZATION, updated_at: 0, applied_until: 0 }
    }
}

impl ConcurrencyLimiter {
    /// Adds the utilization of a sample; `samples_per_s` is the rate of samples.
    fn observe(&mut self, utilization: f64, samples_per_s: f64, now: Nanos) {
        let weight = (1.0 / samples_per_s.max(MIN_SAMPLE_RATE)).clamp(MIN_NODE_WEIGHT, MAX_NODE_WEIGHT);
        self.updated_at = now;
        self.utilization += weight * (utilization - self.utilization);
    }

    /// Returns the time for which the utilization has not been applied to the limits yet, in seconds, and
    /// marks it as applied.
    fn take_step_s(&mut self) -> f64 {
        let step = seconds(self.updated_at.saturating_sub(self.applied_until)).min(MAX_STEP_S);
        self.applied_until = self.updated_at;
        step
    }
}

/// Returns the confidence in a number of samples, from 0 to 1; few samples are mostly noise.
fn confidence(samples: f64) -> f64 {
    samples / (samples + HALF_CONFIDENCE_SAMPLES)
}

/// Returns the rate at which limits follow an error, which is positive if they should rise.
fn gain_per_s(error: f64) -> f64 {
    if error < 0.0 { DECREASE_PER_S } else { INCREASE_PER_S }
}

/// Returns the factor by which limits change within a time in seconds.
fn limit_factor(gain_per_s: f64, step_s: f64, error: f64) -> f64 {
    (gain_per_s * step_s * error.max(-1.0)).exp()
}

impl Balancer {
    /// Updates the utilization of an endpoint and of all endpoints with a latency, and adjusts the endpoint's
    /// limit by the difference between the two. `latency` is scaled to a request of mean cost, `baseline` is
    /// the latency without load; both are in seconds.
    ///
    /// A sample has the weight of the mean time between two samples. The time since the last sample can't be
    /// used: at a limit of one or two it equals the latency, and slow responses would count most.
    pub(crate) fn adjust_endpoint_limit(
        &mut self,
        index: EndpointIndex,
        class: ClassId,
        latency: f64,
        baseline: f64,
    ) {
        let min_limit = MIN_ENDPOINT_LIMIT / self.nodes_per_endpoint();
        let utilization = (latency / self.target_latency(class, baseline)).min(MAX_UTILIZATION);
        let endpoint = &mut self.endpoints[index];
        let samples = endpoint.sent_rate.get(self.now) * RATE_MEMORY_S;
        let gap_s = RATE_MEMORY_S / samples.max(MIN_SAMPLE_RATE);
        let weight = gap_s.clamp(MIN_ENDPOINT_WEIGHT, MAX_ENDPOINT_WEIGHT);
        endpoint.utilization += weight * (utilization - endpoint.utilization);
        self.limiter.observe(utilization, self.traffic.served.get(self.now), self.now);
        let error = (self.limiter.utilization - endpoint.utilization) * confidence(samples);
        let (id, from) = (endpoint.id, endpoint.concurrency_limit);
        let factor = limit_factor(gain_per_s(error), gap_s.clamp(MIN_STEP_S, MAX_STEP_S), error);
        let to = (from * factor).clamp(min_limit, MAX_LIMIT);
        endpoint.concurrency_limit = to;
        self.trace(|_| DecisionEvent::LimitChanged {
            endpoint: id,
            from: from as f32,
            to: to as f32,
            reason: LimitChangeReason::ComparedLatency,
        });
    }

    /// Returns the latency up to which an endpoint is not overloaded, in seconds. A zone more distant than
    /// the nearest one is allowed the difference, since fewer requests wouldn't make the distance shorter.
    fn target_latency(&self, class: ClassId, baseline: f64) -> f64 {
        let objective = seconds(self.class(class).latency_objective);
        let nearest = self.latencies.nearest_baseline(class, baseline);
        (TARGET_PER_OBJECTIVE * objective)
            .clamp(MIN_TARGET_PER_BASELINE * baseline, MAX_TARGET_PER_BASELINE * baseline)
            .min(MAX_TARGET_PER_OBJECTIVE * objective + baseline - nearest)
    }

    /// Adjusts all limits by the utilization of all endpoints: down if it is over 1, slowly up if it is under
    /// 1 and the node's capacity is in use. Based on time instead of the samples of an endpoint, which are
    /// rare if a node uses many endpoints.
    pub(crate) fn adjust_all_limits(&mut self) {
        let step_s = self.limiter.take_step_s();
        let error = 1.0 - self.limiter.utilization;
        let in_flight = self.traffic.total_in_flight as f64;
        let is_used = !self.queue.is_empty() || in_flight >= MIN_USE_FOR_INCREASE * self.subset.limit;
        if error >= 0.0 && !is_used {
            return;
        }
        // With few samples per endpoint, utilization shows an overload late.
        let samples = self.traffic.arrivals.get(self.now) * RATE_MEMORY_S / self.subset.width.max(1) as f64;
        let factor = limit_factor(confidence(samples) * gain_per_s(error), step_s, error);
        self.trace(|balancer| DecisionEvent::AllLimitsChanged {
            factor: factor as f32,
            utilization: balancer.limiter.utilization as f32,
        });
        self.scale_limits(factor, step_s, error);
    }

    /// Scales the limits of the endpoints in use. If few nodes share an endpoint, their limits together start
    /// below its initial limit; without overload they are raised to it quickly.
    fn scale_limits(&mut self, factor: f64, step_s: f64, error: f64) {
        let nodes = self.nodes_per_endpoint();
        let (min_limit, initial_limit) = (MIN_ENDPOINT_LIMIT / nodes, INITIAL_ENDPOINT_LIMIT / nodes);
        let fast_factor = if nodes < INITIAL_ENDPOINT_LIMIT {
            (FAST_INCREASE_PER_S * step_s * error.max(0.0)).exp()
        } else {
            1.0
        };
        for index in self.subset.active() {
            let limit = &mut self.endpoints[index].concurrency_limit;
            let factor = if *limit < initial_limit { factor.max(fast_factor) } else { factor };
            *limit = (*limit * factor).clamp(min_limit, MAX_LIMIT);
        }
    }

    /// Lowers an endpoint's limit after a failure. `fault` is the degree, from 0 to 1, to which the endpoint
    /// itself caused the failure. Returns the event to record.
    pub(crate) fn lower_limit_after_failure(&mut self, index: EndpointIndex, fault: f64) -> DecisionEvent {
        let min_limit = MIN_ENDPOINT_LIMIT / self.nodes_per_endpoint();
        let endpoint = &mut self.endpoints[index];
        let from = endpoint.concurrency_limit;
        let to = (from * FAILURE_FACTOR.powf(fault)).max(min_limit);
        endpoint.concurrency_limit = to;
        DecisionEvent::LimitChanged {
            endpoint: endpoint.id,
            from: from as f32,
            to: to as f32,
            reason: LimitChangeReason::Failure,
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/concurrency_limit.rs"]
mod tests;
