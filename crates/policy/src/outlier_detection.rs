//! Which endpoints get no attempts for now: ejection after failures, probation afterwards, and panic mode.

use crate::EndpointId;
use crate::balancer::Balancer;
use crate::decision_event::DecisionEvent;
use crate::endpoints::EndpointIndex;
use crate::{Idempotency, Nanos, RequestId, nanos};

/// An attempt in flight for this multiple of its expected latency makes its endpoint an outlier.
const HUNG_LATENCY_RATIO: f64 = 5.0;
/// First and longest ejection, in seconds, before jitter; each ejection in a row is twice as long as the
/// last.
const BASE_EJECTION_S: f64 = 0.5;
const MAX_EJECTION_S: f64 = 8.0;
/// Doublings of the ejection that are counted.
const MAX_EJECTION_DOUBLINGS: u32 = 6;
/// Least failures in a row that eject an endpoint.
const MIN_CONSECUTIVE_FAILURES: u32 = 3;
/// More failures in a row are needed where chance alone brings them about with a higher probability than
/// this, by the rate at which attempts fail at other endpoints.
const MAX_CHANCE_PROBABILITY: f64 = 1e-3;
/// Bounds of the failure rate by which that is computed.
const MIN_COMMON_FAILURE_RATE: f64 = 1e-6;
const MAX_COMMON_FAILURE_RATE: f64 = 0.9;
/// Weight of an attempt in an endpoint's failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.1;
/// A failure rate over this multiple of the common one is the endpoint's own fault ...
const OWN_FAULT_MULTIPLE: f64 = 2.0;
/// ... in full from so much above it on.
const OWN_FAULT_RANGE: f64 = 0.25;
/// Least latency ratio of an endpoint after a failure that is its own fault, so that failing fast doesn't
/// look like being fast.
const FAILURE_LATENCY_RATIO: f64 = 3.0;

/// What kind of failure an attempt ended with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The endpoint took the attempt and gave no usable response.
    Broken,
    /// The endpoint rejected the attempt.
    Rejected,
    /// No connection could be made.
    ConnectFailed,
}

impl Failure {
    /// How many failures in a row it counts for.
    fn count(self) -> u32 {
        match self {
            Self::Broken | Self::Rejected => 1,
            Self::ConnectFailed => 2,
        }
    }

    /// How far it is the endpoint's own fault, from 0 to 1. Broken attempts count only as far as the endpoint
    /// breaks more of them than others do: a fault of the network or of one kind of request concerns all
    /// endpoints alike and must not lower their limits.
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

/// The failures and ejections of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct OutlierDetector {
    pub consecutive_failures: u32,
    /// Fraction of its attempts that failed.
    pub failure_rate: f64,
    pub consecutive_ejections: u32,
    pub ejected_until: Nanos,
    /// It was ejected and hasn't answered since.
    pub on_probation: bool,
}

impl OutlierDetector {
    /// Forgets what holds for an earlier process only.
    pub fn on_restart(&mut self) {
        self.consecutive_failures = 0;
        self.ejected_until = 0;
        self.on_probation = false;
    }

    /// Learns from a success; returns whether it ends the endpoint's probation.
    pub fn record_success(&mut self) -> bool {
        self.failure_rate -= FAILURE_RATE_WEIGHT * self.failure_rate;
        self.consecutive_failures = 0;
        let is_reinstated = std::mem::take(&mut self.on_probation);
        if !is_reinstated {
            self.consecutive_ejections = 0;
        }
        is_reinstated
    }

    /// Learns from a failure; returns how far it is the endpoint's own fault, from 0 to 1.
    pub fn record_failure(&mut self, failure: Failure, common_failure_rate: f64) -> f64 {
        self.failure_rate += FAILURE_RATE_WEIGHT * (1.0 - self.failure_rate);
        self.consecutive_failures += failure.count();
        failure.fault(self.failure_rate, common_failure_rate)
    }

    /// Ejects the endpoint if it has failed too often in a row, or on probation; returns for how long.
    /// `jitter` is the factor of that time.
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

    /// The latest time until which an endpoint may be ejected at `now`, but for jitter.
    pub fn latest_ejection_end(now: Nanos) -> Nanos {
        now.saturating_add(nanos(MAX_EJECTION_S))
    }
}

/// Failures in a row that eject an endpoint, where attempts at others fail at a rate.
fn failures_to_eject(common_failure_rate: f64) -> u32 {
    let rate = common_failure_rate.clamp(MIN_COMMON_FAILURE_RATE, MAX_COMMON_FAILURE_RATE);
    let beyond_chance = (MAX_CHANCE_PROBABILITY.ln() / rate.ln()).ceil() as u32;
    MIN_CONSECUTIVE_FAILURES.max(beyond_chance)
}

/// Outliers among the endpoints in use.
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
    /// endpoint gives no samples, so the age of what is in flight counts as its latency.
    pub(crate) fn is_outlier(&self, index: EndpointIndex) -> bool {
        let endpoint = &self.endpoints[index];
        self.now < endpoint.outlier.ejected_until
            || endpoint.oldest_in_flight_ratio(self.now) > HUNG_LATENCY_RATIO
    }

    /// Whether an endpoint gets nothing new for now: it is unknown, not ready, ejected or silent.
    #[must_use]
    pub fn avoids(&self, id: EndpointId) -> bool {
        let is_avoided = |index| !self.endpoints[index].ready || self.is_outlier(index);
        self.endpoints.find(id).is_none_or(is_avoided)
    }

    /// Enters or leaves panic mode. If most endpoints in use look like outliers the cause lies elsewhere, and
    /// all of them are used.
    pub(crate) fn update_panic_mode(&mut self, count: OutlierCount) {
        let panic_mode = count.is_majority();
        if panic_mode != self.panic_mode {
            self.panic_mode = panic_mode;
            let OutlierCount { outliers, total } = count;
            self.decision_log.push(DecisionEvent::OutlierRatio { outliers, total, panic_mode });
        }
    }

    /// Returns whether an endpoint on probation may get an attempt of this request: one at a time, and only a
    /// request that may be retried elsewhere. An endpoint that only rejected may get any request, since
    /// nothing else may be waiting behind those that can't be retried.
    pub(crate) fn may_probe(&self, index: EndpointIndex, id: RequestId) -> bool {
        let endpoint = &self.endpoints[index];
        let idempotency = self.class(self.requests[&id].class).idempotency;
        let is_risky = idempotency == Idempotency::NotIdempotent && !endpoint.last_attempt_rejected;
        endpoint.in_flight.is_empty() && !is_risky
    }

    /// Learns from a success of an endpoint.
    pub(crate) fn learn_success(&mut self, index: EndpointIndex) {
        let endpoint = &mut self.endpoints[index];
        if endpoint.outlier.record_success() {
            self.decision_log.push(DecisionEvent::Reinstated { endpoint: endpoint.id });
        }
    }

    /// Learns from a failure of an endpoint: its limit falls as far as the failure is its own, and it may be
    /// ejected.
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

    /// The mean failure rate of the other endpoints in use, or of this one if there is none.
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
