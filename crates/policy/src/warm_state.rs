//! Learned state, handed over to the next process of the same node.
//!
//! The next process is at once as careful as its predecessor was. State in an endpoint's favour is trusted
//! less the older it is. Slow-start budgets aren't handed over; they are earned from zero.

use serde::{Deserialize, Serialize};

use crate::balancer::Balancer;
use crate::endpoints::Endpoint;
use crate::latency::{ClassLatency, ZoneBaseline};
use crate::outlier_detection::OutlierDetector;
use crate::time::seconds;
use crate::{EndpointId, Nanos};

/// Version of the stored format; other versions are ignored.
const VERSION: u32 = 1;
/// Time constant with which the trust in state in an endpoint's favour decays, in seconds: limits follow the
/// load within some seconds.
const TRUST_S: f64 = 10.0;
/// Maximum number of endpoints in a stored state: far more than a node ever uses.
const MAX_ENDPOINTS: usize = 20_000;
/// Largest plausible limit and mean concurrency.
const MAX_CONCURRENCY: f64 = 10_000.0;
/// Latencies in seconds and mean cost hints in nanoseconds are implausible from this value on.
const MAX_STORED_LATENCY: f64 = 1e6;

/// Stored state of a class, or of a class in one zone. Latencies are in seconds, the cost hint and times in
/// nanoseconds. The serialized names are those of the file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
struct StoredLatency {
    mean: f64,
    #[serde(rename = "calm")]
    baseline_latency: f64,
    #[serde(rename = "calm_at")]
    baseline_updated_at: Nanos,
    #[serde(rename = "steady")]
    slow_mean: f64,
    since: Nanos,
    samples: u32,
    #[serde(rename = "hint")]
    mean_hint: f64,
    hints: u32,
}

/// Stored state of an endpoint's current process. The serialized names are those of the file.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct StoredEndpoint {
    id: u32,
    started_at: Nanos,
    #[serde(rename = "stretch")]
    latency_ratio: f64,
    #[serde(rename = "load")]
    utilization: f64,
    #[serde(rename = "limit")]
    concurrency_limit: f64,
    #[serde(rename = "failures")]
    consecutive_failures: u32,
    #[serde(rename = "broken")]
    failure_rate: f64,
    #[serde(rename = "aside_times")]
    consecutive_ejections: u32,
    #[serde(rename = "aside_until")]
    ejected_until: Nanos,
    #[serde(rename = "trial")]
    on_probation: bool,
}

/// Learned state of a [`Balancer`]. Times are those of [`Balancer::handle`], so both processes must count
/// them from the same point in time; the host must ensure that.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WarmState {
    #[serde(rename = "v")]
    version: u32,
    #[serde(rename = "at")]
    created_at: Nanos,
    classes: Vec<StoredLatency>,
    #[serde(rename = "calms")]
    baselines: Vec<StoredLatency>,
    #[serde(rename = "demand")]
    mean_in_flight: f64,
    #[serde(rename = "servers")]
    endpoints: Vec<StoredEndpoint>,
}

impl StoredLatency {
    fn of_class(class: &ClassLatency) -> Self {
        let &ClassLatency { mean, samples, mean_hint, hints } = class;
        Self { mean, samples, mean_hint, hints, ..Self::default() }
    }

    fn of_zone(zone: &ZoneBaseline) -> Self {
        let &ZoneBaseline { baseline_latency, updated_at, slow_mean, since, samples } = zone;
        let baseline_updated_at = updated_at;
        Self { baseline_latency, baseline_updated_at, slow_mean, since, samples, ..Self::default() }
    }

    fn is_plausible(&self) -> bool {
        let values = [self.mean, self.baseline_latency, self.slow_mean, self.mean_hint];
        values.iter().all(|x| x.is_finite() && (0.0..MAX_STORED_LATENCY).contains(x))
    }

    fn to_class(self) -> ClassLatency {
        let Self { mean, samples, mean_hint, hints, .. } = self;
        ClassLatency { mean, samples, mean_hint, hints }
    }

    fn to_zone(self, now: Nanos) -> ZoneBaseline {
        ZoneBaseline {
            baseline_latency: self.baseline_latency,
            updated_at: self.baseline_updated_at.min(now),
            slow_mean: self.slow_mean,
            since: self.since.min(now),
            samples: self.samples,
        }
    }
}

impl StoredEndpoint {
    fn of(endpoint: &Endpoint) -> Self {
        let OutlierDetector {
            consecutive_failures,
            failure_rate,
            consecutive_ejections,
            ejected_until,
            on_probation,
        } = endpoint.outlier;
        Self {
            id: endpoint.id.0,
            started_at: endpoint.started_at,
            latency_ratio: endpoint.latency_ratio.value,
            utilization: endpoint.utilization,
            concurrency_limit: endpoint.concurrency_limit,
            consecutive_failures,
            failure_rate,
            consecutive_ejections,
            ejected_until,
            on_probation,
        }
    }

    fn is_plausible(&self) -> bool {
        let values = [self.latency_ratio, self.utilization, self.concurrency_limit, self.failure_rate];
        values.iter().all(|x| x.is_finite() && *x >= 0.0) && self.concurrency_limit <= MAX_CONCURRENCY
    }

    /// Applies the stored state to an endpoint. `trust` is the weight of state in its favour, from 0 to 1.
    fn restore(&self, endpoint: &mut Endpoint, trust: f64, now: Nanos) {
        endpoint.concurrency_limit = endpoint.concurrency_limit.max(self.concurrency_limit * trust);
        endpoint.utilization = self.utilization;
        let ratio_trust = if self.latency_ratio > 1.0 { 1.0 } else { trust };
        endpoint.latency_ratio.value = 1.0 + (self.latency_ratio - 1.0) * ratio_trust;
        endpoint.outlier = OutlierDetector {
            consecutive_failures: self.consecutive_failures,
            failure_rate: self.failure_rate,
            consecutive_ejections: self.consecutive_ejections,
            ejected_until: self.ejected_until.min(OutlierDetector::latest_ejection_end(now)),
            on_probation: self.on_probation,
        };
    }
}

impl WarmState {
    /// Returns the age of the state.
    #[must_use]
    pub fn age(&self, now: Nanos) -> Nanos {
        now.saturating_sub(self.created_at)
    }

    fn is_plausible(&self) -> bool {
        self.version == VERSION
            && self.endpoints.len() <= MAX_ENDPOINTS
            && self.classes.iter().chain(&self.baselines).all(StoredLatency::is_plausible)
            && self.mean_in_flight.is_finite()
            && (0.0..=MAX_CONCURRENCY).contains(&self.mean_in_flight)
    }
}

impl Balancer {
    /// Returns the state learned by `now`.
    #[must_use]
    pub fn warm_state(&self, now: Nanos) -> WarmState {
        let used = self.endpoints.iter().filter(|e| e.ready && e.concurrency_limit > 0.0);
        WarmState {
            version: VERSION,
            created_at: now,
            classes: self.latencies.classes.iter().map(StoredLatency::of_class).collect(),
            baselines: self.latencies.baselines.iter().map(StoredLatency::of_zone).collect(),
            mean_in_flight: self.traffic.mean_in_flight,
            endpoints: used.take(MAX_ENDPOINTS).map(StoredEndpoint::of).collect(),
        }
    }

    /// Restores the state learned by another process, for the classes and endpoints from which this one has
    /// had no response yet. A state that doesn't match the settings or is implausible is ignored as a whole,
    /// and so is each single endpoint that is implausible. May be called again as more endpoints become
    /// known.
    pub fn restore_warm_state(&mut self, state: &WarmState, now: Nanos) {
        let matches_settings = state.classes.len() == self.latencies.classes.len()
            && state.baselines.len() == self.latencies.baselines.len();
        if !matches_settings || !state.is_plausible() {
            return;
        }
        let trust = (-seconds(state.age(now)) / TRUST_S).exp();
        self.restore_latencies(state, now);
        if self.traffic.arrivals.get_uncorrected(now) == 0.0 && self.traffic.mean_in_flight == 0.0 {
            self.traffic.mean_in_flight = state.mean_in_flight * trust;
            self.traffic.mean_updated_at = now;
        }
        for stored in state.endpoints.iter().filter(|stored| stored.is_plausible()) {
            let Some(index) = self.endpoints.find(EndpointId(stored.id)) else { continue };
            let endpoint = &mut self.endpoints[index];
            let is_same_process = stored.started_at == endpoint.started_at;
            let is_known = endpoint.last_success_sent_at > 0 || endpoint.outlier.consecutive_failures > 0;
            if is_same_process && !is_known {
                stored.restore(endpoint, trust, now);
            }
        }
        // Makes the next event recompute the sums over endpoints.
        self.subset.refreshed_at = 0;
    }

    fn restore_latencies(&mut self, state: &WarmState, now: Nanos) {
        for (class, stored) in self.latencies.classes.iter_mut().zip(&state.classes) {
            if class.samples == 0 && stored.samples > 0 {
                *class = stored.to_class();
            }
        }
        for (zone, stored) in self.latencies.baselines.iter_mut().zip(&state.baselines) {
            if zone.samples == 0 && stored.samples > 0 {
                *zone = stored.to_zone(now);
            }
        }
    }
}
