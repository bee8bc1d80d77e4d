//! Outlier detection: ejection of endpoints after failures, probation afterwards, and panic mode.

use crate::EndpointId;
use crate::balancer::Balancer;
use crate::decision_event::DecisionEvent;
use crate::endpoints::EndpointIndex;
use crate::{Idempotency, Nanos, RequestId, nanos};

/// An endpoint is an outlier if an attempt has been in flight for this multiple of its expected latency.
const HUNG_LATENCY_RATIO: f64 = 5.0;
/// First and longest ejection before jitter, in seconds. Each consecutive ejection is twice as long as the
/// previous one.
const BASE_EJECTION_S: f64 = 0.5;
const MAX_EJECTION_S: f64 = 8.0;
/// Maximum number of doublings of an ejection.
const MAX_EJECTION_DOUBLINGS: u32 = 6;
/// Minimum number of consecutive failures that eject an endpoint.
const MIN_CONSECUTIVE_FAILURES: u32 = 3;
/// More consecutive failures are needed if they occur by chance with a higher probability than this, given
/// the rate at which attempts fail at other endpoints.
const MAX_CHANCE_PROBABILITY: f64 = 1e-3;
/// Bounds of the failure rate from which that probability is computed.
const MIN_COMMON_FAILURE_RATE: f64 = 1e-6;
const MAX_COMMON_FAILURE_RATE: f64 = 0.9;
/// Weight of an attempt in an endpoint's failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.1;
/// A failure rate above this multiple of the common one is the endpoint's own fault ...
const OWN_FAULT_MULTIPLE: f64 = 2.0;
/// ... entirely so if it is higher by at least this much.
const OWN_FAULT_RANGE: f64 = 0.25;
/// Minimum latency ratio of an endpoint after a failure that is its own fault, so that fast failures don't
/// look like low latency.
const FAILURE_LATENCY_RATIO: f64 = 3.0;

/// Kind of failure with which an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The endpoint accepted the attempt and gave no usable response.
    Broken,
    /// The endpoint rejected the attempt.
    Rejected,
    /// No connection could be established.
    ConnectFailed,
}

impl Failure {
    /// Returns the number of consecutive failures that it counts as.
    fn count(self) -> u32 {
        match self {
            Self::Broken | Self::Rejected => 1,
            Self::ConnectFailed => 2,
        }
    }

    /// Returns the degree, from 0 to 1, to which the endpoint itself caused the failure. Broken attempts
    /// count only as far as the endpoint breaks more of them than others do: a fault of the network or of one
    /// kind of request affects all endpoints alike and must not lower their limits.
    fn fault(self, failure_rate: f64, common_failure_rate: f64) -> f64 {
        match self {
            Self::Rejected | Self::ConnectFailed => 1.0,
            Self::Broken => {
                let excess = failure_rate - OWN_FAULT_MULTIPLE * common_failure_rate;
                (excess / OWN_FAULT_RANGE).clamp(0.0, 1.0)
            }
        }
    }
}

/// Failures and ejections of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct OutlierDetector {
    pub consecutive_failures: u32,
    /// Fraction of its attempts that failed.
    pub failure_rate: f64,
    pub consecutive_ejections: u32,
    pub ejected_until: Nanos,
    /// Whether it was ejected and has not answered since.
    pub on_probation: bool,
}

impl OutlierDetector {
    /// Discards state that only applies to an earlier process.
    pub fn on_restart(&mut self) {
        self.consecutive_failures = 0;
        self.ejected_until = 0;
        self.on_probation = false;
    }

    /// Records a success. Returns whether it ends the endpoint's probation.
    pub fn record_success(&mut self) -> bool {
        self.failure_rate -= FAILURE_RATE_WEIGHT * self.failure_rate;
        self.consecutive_failures = 0;
        let is_reinstated = std::mem::take(&mut self.on_probation);
        if !is_reinstated {
            self.consecutive_ejections = 0;
        }
        is_reinstated
    }

    /// Records a failure. Returns the degree, from 0 to 1, to which the endpoint itself caused it.
    pub fn record_failure(&mut self, failure: Failure, common_failure_rate: f64) -> f64 {
        self.failure_rate += FAILURE_RATE_WEIGHT * (1.0 - self.failure_rate);
        self.consecutive_failures += failure.count();
        failure.fault(self.failure_rate, common_failure_rate)
    }

    /// Ejects the endpoint if it has had too many consecutive failures, or has failed on probation. Returns
    /// the duration of the ejection; `jitter` is a factor of that duration.
    pub fn eject_if_due(&mut self, common_failure_rate: f64, jitter: f64, now: Nanos) -> Option<Nanos> {
        let is_due = self.consecutive_failures >= failures_to_eject(common_failure_rate) || self.on_probation;
        if !is_due || now < self.ejected_until {
            return None;
        }
        let doublings = 1u32 << self.consecutive_ejections.min(MAX_EJECTION_DOUBLINGS);
        let duration_s = (BASE_EJECTION_S * f64::from(doublings)).min(MAX_EJECTION_S) * jitter;
        let duration = nanos(duration_s);
        self.ejected_until = now + duration;
        self.consecutive_ejections += 1;
        self.on_probation = true;
        Some(duration)
    }

    /// Returns the latest time until which an endpoint may be ejected at `now`, without jitter.
    pub fn latest_ejection_end(now: Nanos) -> Nanos {
        now.saturating_add(nanos(MAX_EJECTION_S))
    }
}

/// Returns the number of consecutive failures that eject an endpoint if attempts at others fail at this rate.
fn failures_to_eject(common_failure_rate: f64) -> u32 {
    let rate = common_failure_rate.clamp(MIN_COMMON_FAILURE_RATE, MAX_COMMON_FAILURE_RATE);
    let beyond_chance = (MAX_CHANCE_PROBABILITY.ln() / rate.ln()).ceil() as u32;
    MIN_CONSECUTIVE_FAILURES.max(beyond_chance)
}

/// Number of outliers among the endpoints in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct OutlierCount {
    pub outliers: u32,
    pub total: u32,
}

impl OutlierCount {
    pub fn add(&mut self, is_outlier: bool) {
        self.outliers += u32::from(is_outlier);
        self.total += 1;
    }

    fn is_majority(self) -> bool {
        self.outliers * 2 > self.total
    }
}

impl Balancer {
    /// Returns whether an endpoint is ejected, or has been silent for so long that it may be hung. A hung
    /// endpoint yields no samples, so the age of attempts in flight counts as its latency.
    pub(crate) fn is_outlier(&self, index: EndpointIndex) -> bool {
        let endpoint = &self.endpoints[index];
        self.now < endpoint.outlier.ejected_until
            || endpoint.oldest_in_flight_ratio(self.now) > HUNG_LATENCY_RATIO
    }

    /// Returns whether an endpoint gets no new attempts for now: it is unknown, not ready, ejected or silent.
    #[must_use]
    pub fn is_unavailable(&self, id: EndpointId) -> bool {
        let is_avoided = |index| !self.endpoints[index].ready || self.is_outlier(index);
        self.endpoints.find(id).is_none_or(is_avoided)
    }

    /// Enters or leaves panic mode. If most endpoints in use look like outliers, the cause lies elsewhere,
    /// and all of them are used.
    pub(crate) fn update_panic_mode(&mut self, count: OutlierCount) {
        let panic_mode = count.is_majority();
        if panic_mode != self.panic_mode {
            self.panic_mode = panic_mode;
            let OutlierCount { outliers, total } = count;
            self.decision_log.push(DecisionEvent::OutlierRatio { outliers, total, panic_mode });
        }
    }

    /// Returns whether an endpoint on probation may get an attempt of this request: only one at a time, and
    /// only of a request that may be retried elsewhere. An endpoint that rejected its last attempt may get
    /// any request, since possibly only requests that can't be retried are waiting.
    pub(crate) fn may_probe(&self, index: EndpointIndex, id: RequestId) -> bool {
        let endpoint = &self.endpoints[index];
        let idempotency = self.class(self.requests[&id].class).idempotency;
        let is_risky = idempotency == Idempotency::NotIdempotent && !endpoint.last_attempt_rejected;
        endpoint.in_flight.is_empty() && !is_risky
    }

    /// Records a success of an endpoint.
    pub(crate) fn learn_success(&mut self, index: EndpointIndex) {
        let endpoint = &mut self.endpoints[index];
        if endpoint.outlier.record_success() {
            self.decision_log.push(DecisionEvent::Reinstated { endpoint: endpoint.id });
        }
    }

    /// Records a failure of an endpoint. Its limit falls as far as the failure is its own fault, and it may
    /// be ejected.
    pub(crate) fn learn_failure(&mut self, index: EndpointIndex, failure: Failure) {
        let jitter = 0.5 + self.random();
        let common = self.common_failure_rate(index);
        let fault = self.endpoints[index].outlier.record_failure(failure, common);
        let limit_changed = self.lower_limit_after_failure(index, fault);
        let endpoint = &mut self.endpoints[index];
        endpoint.latency_ratio.raise_to(FAILURE_LATENCY_RATIO * fault, self.now);
        if let Some(duration) = endpoint.outlier.eject_if_due(common, jitter, self.now) {
            self.decision_log.push(DecisionEvent::Ejected { endpoint: endpoint.id, duration });
        }
        self.trace(|_| limit_changed);
    }

    /// Returns the mean failure rate of the other endpoints in use, or of this one if there are no others.
    fn common_failure_rate(&self, index: EndpointIndex) -> f64 {
        let others = self.subset.active().filter(|&other| other != index);
        let (sum, count) = others.fold((0.0, 0.0), |(sum, count), other| {
            (sum + self.endpoints[other].outlier.failure_rate, count + 1.0)
        });
        if count > 0.0 { sum / count } else { self.endpoints[index].outlier.failure_rate }
    }
}

#[cfg(test)]
#[path = "../tests/unit/outlier_detection.rs"]
mod tests;
