//! A planner's view of endpoints, merged from the observations of forwarders. Where they disagree on the
//! process, a drain or the age of an endpoint, the most cautious observation wins; failures and load are
//! summed.
//!
//! The view is built from reports only, so it is complete as soon as a new planner has received one report of
//! each forwarder.

use std::collections::BTreeMap;

use pumicehead_policy::{EndpointId, Nanos, SECOND};
use rustc_hash::FxHashMap;

use crate::ForwarderId;
use crate::wire::EndpointObservation;

/// Time constant of the exponential decay of counts: long enough to detect failures at a few requests per
/// second, short enough to try a recovered endpoint again.
const COUNT_DECAY: Nanos = 4 * SECOND;
/// An endpoint's failure rate is included in the median if its decayed count of responses exceeds this.
const MIN_RESPONSES: f64 = 0.5;
/// Minimum number of failures of an outlier, summed over all forwarders.
const MIN_FAILURES: u64 = 3;
/// Tolerance below [`MIN_FAILURES`], since counts decay.
const FAILURE_TOLERANCE: f64 = 0.5;
/// Minimum failure rate of an outlier.
const MIN_FAILURE_RATE: f64 = 0.5;
/// Minimum ratio of an outlier's failure rate to the median of all endpoints. If most endpoints fail, the
/// cause is not the endpoint.
const MIN_MEDIAN_MULTIPLE: f64 = 2.0;
/// Maximum fraction of the endpoints that is avoided, the worst first. If more were avoided, the others could
/// not take the load.
const MAX_AVOIDED_FRACTION: f64 = 0.25;
/// Time for which a drain is retained after the last observation: longer than a process takes to drain.
const DRAIN_RETENTION: Nanos = 3_600 * SECOND;
/// Fraction of the sum of all concurrency limits at which endpoints count as saturated.
const SATURATION: f64 = 0.9;

/// The merged observations of an endpoint by all forwarders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointHealth {
    /// The latest incarnation of the endpoint that a forwarder knows, as numbered by discovery. It identifies
    /// the process, and is not compared with a clock.
    pub incarnation: u64,
    /// Whether the process is draining. Never reset for the same process.
    pub draining: bool,
    /// The shortest time for which a forwarder has known this process, in nanoseconds.
    pub known_for: Nanos,
    /// Whether the endpoint fails much more often than others, and should not be used for now.
    pub avoid: bool,
    /// Number of attempts in flight, summed over forwarders.
    pub in_flight: u64,
    /// Sum of the concurrency limits of the forwarders.
    pub concurrency_limit: u64,
}

/// The last observation of a forwarder, with its time of arrival.
#[derive(Clone, Debug)]
struct ReceivedObservation {
    received_at: Nanos,
    observation: EndpointObservation,
}

/// Counts that decay exponentially.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingCounts {
    succeeded: f64,
    failed: f64,
    updated_at: Nanos,
}

impl DecayingCounts {
    fn add(&mut self, succeeded: u64, failed: u64, now: Nanos) {
        let decay = self.decay(now);
        self.succeeded = self.succeeded * decay + succeeded as f64;
        self.failed = self.failed * decay + failed as f64;
        self.updated_at = now;
    }

    fn decay(&self, now: Nanos) -> f64 {
        (-(now.saturating_sub(self.updated_at) as f64) / COUNT_DECAY as f64).exp()
    }

    fn responses(&self, now: Nanos) -> f64 {
        (self.succeeded + self.failed) * self.decay(now)
    }

    fn failures(&self, now: Nanos) -> f64 {
        self.failed * self.decay(now)
    }

    fn failure_rate(&self, now: Nanos) -> f64 {
        let responses = self.responses(now);
        if responses > 0.0 { self.failures(now) / responses } else { 0.0 }
    }
}

#[derive(Debug, Default)]
struct EndpointState {
    observations: FxHashMap<ForwarderId, ReceivedObservation>,
    counts: DecayingCounts,
    /// The process to which `counts` and `draining` refer.
    incarnation: u64,
    draining: bool,
    last_observed_at: Nanos,
}

/// A planner's view of endpoints.
#[derive(Debug, Default)]
pub struct EndpointHealthView {
    /// Ordered, so that equal reports result in equal plans.
    endpoints: BTreeMap<EndpointId, EndpointState>,
}

impl EndpointHealthView {
    /// Adds an observation of a forwarder. Its counts are totals since the start of the forwarder, so that a
    /// lost observation is covered by the next one.
    pub fn observe(
        &mut self,
        forwarder: ForwarderId,
        endpoint: EndpointId,
        observation: &EndpointObservation,
        now: Nanos,
    ) {
        let state = self.endpoints.entry(endpoint).or_default();
        let last = state.observations.get(&forwarder).map(|received| &received.observation);
        let last = last.filter(|last| last.incarnation == observation.incarnation);
        // The first totals of a forwarder are ignored, since the period that they cover is unknown.
        let (succeeded, failed) = last.map_or((0, 0), |last| {
            (
                observation.succeeded.saturating_sub(last.succeeded),
                observation.failed.saturating_sub(last.failed),
            )
        });
        if observation.incarnation > state.incarnation {
            // A new process: counts and drain referred to the previous one.
            *state = EndpointState {
                observations: std::mem::take(&mut state.observations),
                incarnation: observation.incarnation,
                ..EndpointState::default()
            };
        }
        if observation.incarnation == state.incarnation {
            state.counts.add(succeeded, failed, now);
            state.draining |= observation.draining;
        }
        state.last_observed_at = now;
        let received = ReceivedObservation { received_at: now, observation: observation.clone() };
        state.observations.insert(forwarder, received);
    }

    /// Removes the observations of a forwarder, either of one endpoint or of all.
    pub fn remove_observations(&mut self, forwarder: ForwarderId, endpoint: Option<EndpointId>) {
        match endpoint {
            Some(endpoint) => {
                if let Some(state) = self.endpoints.get_mut(&endpoint) {
                    state.observations.remove(&forwarder);
                }
            }
            None => {
                for state in self.endpoints.values_mut() {
                    state.observations.remove(&forwarder);
                }
            }
        }
    }

    /// Removes observations that arrived before a time, and endpoints without observations. Endpoints with a
    /// drain are retained for longer.
    pub fn expire(&mut self, before: Nanos) {
        self.endpoints.retain(|_, state| {
            state.observations.retain(|_, received| received.received_at >= before);
            let keeps_drain =
                state.draining && state.last_observed_at.saturating_add(DRAIN_RETENTION) >= before;
            !state.observations.is_empty() || keeps_drain
        });
    }

    /// Returns all endpoints with their merged observations.
    #[must_use]
    pub fn merged(&self, now: Nanos) -> BTreeMap<EndpointId, EndpointHealth> {
        let mut merged: BTreeMap<_, _> =
            self.endpoints.iter().map(|(&id, state)| (id, state.merged(now))).collect();
        for id in self.outliers(now) {
            if let Some(health) = merged.get_mut(&id) {
                health.avoid = true;
            }
        }
        merged
    }

    /// Returns the endpoints that fail much more often than others, the worst first, up to
    /// [`MAX_AVOIDED_FRACTION`] of all.
    fn outliers(&self, now: Nanos) -> Vec<EndpointId> {
        let median = self.median_failure_rate(now);
        let mut outliers: Vec<_> = self
            .endpoints
            .iter()
            .filter_map(|(&id, state)| {
                let (rate, failures) = (state.counts.failure_rate(now), state.counts.failures(now));
                let fails = failures + FAILURE_TOLERANCE >= MIN_FAILURES as f64 && rate >= MIN_FAILURE_RATE;
                (fails && rate >= MIN_MEDIAN_MULTIPLE * median).then_some((rate, id))
            })
            .collect();
        outliers.sort_by(|one, other| other.0.total_cmp(&one.0).then(one.1.cmp(&other.1)));
        outliers.truncate((self.endpoints.len() as f64 * MAX_AVOIDED_FRACTION) as usize);
        outliers.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns the median over endpoints rather than attempts, since an endpoint that fails fast receives most
    /// of the attempts.
    fn median_failure_rate(&self, now: Nanos) -> f64 {
        let observed = self.endpoints.values().filter(|state| state.counts.responses(now) > MIN_RESPONSES);
        let mut rates: Vec<f64> = observed.map(|state| state.counts.failure_rate(now)).collect();
        rates.sort_by(f64::total_cmp);
        rates.get(rates.len() / 2).copied().unwrap_or_default()
    }

    /// Whether the endpoints that take requests, which are neither draining nor avoided, are saturated by all
    /// forwarders together.
    #[must_use]
    pub fn is_saturated(&self, now: Nanos) -> bool {
        let merged = self.merged(now);
        let usable = || merged.values().filter(|health| !health.draining && !health.avoid);
        let in_flight: u64 = usable().map(|health| health.in_flight).sum();
        let limit: u64 = usable().map(|health| health.concurrency_limit).sum();
        limit > 0 && in_flight as f64 >= SATURATION * limit as f64
    }
}

impl EndpointState {
    fn merged(&self, now: Nanos) -> EndpointHealth {
        // Observations of an earlier process are ignored.
        let current = || {
            let received = self.observations.values();
            received.filter(|received| received.observation.incarnation == self.incarnation)
        };
        let known_for = |received: &ReceivedObservation| {
            let age = now.saturating_sub(received.received_at);
            received.observation.known_for.saturating_add(age)
        };
        EndpointHealth {
            incarnation: self.incarnation,
            draining: self.draining,
            known_for: current().map(known_for).min().unwrap_or_default(),
            avoid: false,
            in_flight: current().map(|received| u64::from(received.observation.in_flight)).sum(),
            concurrency_limit: current()
                .map(|received| u64::from(received.observation.concurrency_limit))
                .sum(),
        }
    }
}
