//! Latencies of classes and endpoints, in seconds: smoothed means, baselines without load, and peak-sensitive
//! latency ratios of endpoints.

use crate::balancer::Balancer;
use crate::endpoints::{Endpoint, EndpointIndex, InFlightAttempt};
use crate::{ClassId, Nanos, Settings, ZoneId, nanos, seconds};

/// Mean latency of a class before its first sample, as a fraction of its objective.
const INITIAL_MEAN_PER_OBJECTIVE: f64 = 0.2;
/// Fraction of a latency that doesn't depend on the cost of the request.
const FIXED_COST_FRACTION: f64 = 0.5;
/// Minimum weight of a sample in a class's mean latency.
const MIN_MEAN_WEIGHT: f64 = 0.03;
/// Minimum weight of a sample in a class's mean cost hint.
const MIN_HINT_WEIGHT: f64 = 0.01;
/// Minimum cost, relative to the class's mean, that a hint can give.
const MIN_RELATIVE_COST: f64 = 0.05;
/// Maximum cost, relative to the class's mean, that a hint can give.
const MAX_RELATIVE_COST: f64 = 30.0;
/// Samples are capped at this multiple of the class's mean.
const MAX_SAMPLE_OVER_MEAN: f64 = 5.0;
/// Time constant, in seconds, of the slow mean, whose recent minimum the baseline tracks.
const SLOW_MEAN_S: f64 = 15.0;
/// Maximum weight of a sample in the slow mean, and maximum weight with which the baseline falls.
const MAX_SLOW_MEAN_WEIGHT: f64 = 0.03;
const MAX_BASELINE_FALL_WEIGHT: f64 = 0.02;
/// Time constant with which the baseline rises, in seconds. Long, since otherwise an overload would be taken
/// for the normal state.
const BASELINE_RISE_S: f64 = 300.0;
/// Number of samples, and time in seconds, until which the baseline equals the slow mean.
const BASELINE_MIN_SAMPLES: u32 = 30;
const BASELINE_MIN_S: f64 = SLOW_MEAN_S / 3.0;
/// Weight of a sample above an endpoint's latency ratio: peaks take effect at once.
const RISE_WEIGHT: f64 = 0.4;
/// Bounds of the weight of a sample below the ratio; between them, the weight is the time since the last
/// sample in seconds.
const MIN_FALL_WEIGHT: f64 = 0.08;
const MAX_FALL_WEIGHT: f64 = 0.5;
/// Time constant with which the ratio of an unused endpoint decays, in seconds.
const RATIO_MEMORY_S: f64 = 5.0;
/// Value to which the ratio of an unused endpoint decays: below the mean, so that a slow endpoint is used
/// again.
const UNUSED_RATIO: f64 = 0.8;
/// Cap of a sample of an endpoint's ratio, so that one very late response doesn't keep a recovered endpoint
/// out of use.
const MAX_LATENCY_RATIO: f64 = 10.0;
/// Minimum ratio that selection uses.
const MIN_SELECTION_RATIO: f64 = 0.05;
/// An attempt is overtaken if one that was sent this multiple of the expected latency later has been
/// answered.
const OVERTAKEN_LATENCIES: f64 = 2.0;

/// Latency and cost hints of a class.
#[derive(Clone, Copy, Default)]
pub(crate) struct ClassLatency {
    /// Smoothed mean latency of a request of mean cost, in seconds.
    pub mean: f64,
    pub samples: u32,
    /// Mean cost hint, in nanoseconds.
    pub mean_hint: f64,
    pub hints: u32,
}

/// Latency without load of a class in one zone.
#[derive(Clone, Copy, Default)]
pub(crate) struct ZoneBaseline {
    /// In seconds.
    pub baseline_latency: f64,
    pub updated_at: Nanos,
    /// Mean with a longer time constant than the class's mean, in seconds.
    pub slow_mean: f64,
    /// Time of the first sample.
    pub since: Nanos,
    pub samples: u32,
}

impl ZoneBaseline {
    /// Adds a latency sample in seconds; `class_mean` is the class's mean latency. With frequent samples,
    /// weights depend on the time between samples: the minimum of a mean over only a second or two is mostly
    /// noise.
    fn observe(&mut self, latency: f64, class_mean: f64, now: Nanos) {
        self.samples += 1;
        if self.samples == 1 {
            (self.updated_at, self.since) = (now, now);
        }
        let gap = seconds(now.saturating_sub(self.updated_at));
        let weight = (1.0 / f64::from(self.samples)).max((gap / SLOW_MEAN_S).min(MAX_SLOW_MEAN_WEIGHT));
        self.slow_mean += weight * (latency.min(MAX_SAMPLE_OVER_MEAN * class_mean) - self.slow_mean);
        self.updated_at = now;
        let age = seconds(now.saturating_sub(self.since));
        let weight = if self.samples < BASELINE_MIN_SAMPLES || age < BASELINE_MIN_S {
            1.0
        } else if self.slow_mean < self.baseline_latency {
            (gap / SLOW_MEAN_S).min(MAX_BASELINE_FALL_WEIGHT)
        } else {
            (gap / BASELINE_RISE_S).min(1.0)
        };
        self.baseline_latency += weight * (self.slow_mean - self.baseline_latency);
    }
}

/// Latency estimates of all classes.
pub(crate) struct LatencyEstimator {
    pub classes: Vec<ClassLatency>,
    /// By class and zone, since the network latency to a distant zone can exceed the processing time.
    pub baselines: Vec<ZoneBaseline>,
    zone_count: u16,
}

impl LatencyEstimator {
    pub fn new(settings: &Settings) -> Self {
        let initial = |objective| ClassLatency {
            mean: seconds(objective) * INITIAL_MEAN_PER_OBJECTIVE,
            ..ClassLatency::default()
        };
        let zone_count = settings.zone_count.max(1);
        Self {
            classes: settings.classes.iter().map(|class| initial(class.latency_objective)).collect(),
            baselines: vec![ZoneBaseline::default(); settings.classes.len() * usize::from(zone_count)],
            zone_count,
        }
    }

    /// Adds the classes that new settings append to the known ones.
    pub fn add_classes(&mut self, settings: &Settings) {
        let fresh = Self::new(settings);
        self.classes.extend(&fresh.classes[self.classes.len()..]);
        self.baselines.extend(&fresh.baselines[self.baselines.len()..]);
    }

    /// Returns the mean latency over all classes, in seconds.
    pub fn mean_of_classes(&self) -> f64 {
        self.classes.iter().map(|class| class.mean).sum::<f64>() / self.classes.len() as f64
    }

    /// Returns the expected latency of a request of this relative cost, in seconds.
    pub fn expected(&self, class: ClassId, relative_cost: f64) -> f64 {
        self.classes[usize::from(class.0)].mean * cost_factor(relative_cost)
    }

    /// Updates a class's mean cost hint and returns the cost of this hint relative to it. The mean starts as
    /// a plain average, so that the first hint doesn't weigh more than the following ones.
    pub fn learn_hint(&mut self, class: ClassId, hint: Nanos) -> f64 {
        let class = &mut self.classes[usize::from(class.0)];
        class.hints += 1;
        let weight = (1.0 / f64::from(class.hints)).max(MIN_HINT_WEIGHT);
        class.mean_hint += weight * (hint as f64 - class.mean_hint);
        (hint as f64 / class.mean_hint).clamp(MIN_RELATIVE_COST, MAX_RELATIVE_COST)
    }

    /// Adds a latency sample, in seconds and scaled to a request of mean cost. Returns the baseline of its
    /// class and zone.
    pub fn observe(&mut self, class: ClassId, zone: ZoneId, latency: f64, now: Nanos) -> f64 {
        let zone = usize::from(zone.0.min(self.zone_count - 1));
        let class = usize::from(class.0);
        let state = &mut self.classes[class];
        state.samples += 1;
        if state.samples == 1 {
            state.mean = latency;
        }
        let weight = (1.0 / f64::from(state.samples)).max(MIN_MEAN_WEIGHT);
        state.mean += weight * (latency.min(MAX_SAMPLE_OVER_MEAN * state.mean) - state.mean);
        let baseline = &mut self.baselines[class * usize::from(self.zone_count) + zone];
        baseline.observe(latency, state.mean, now);
        baseline.baseline_latency
    }

    /// Returns the lowest baseline of a class over all zones, at most `baseline`.
    pub fn nearest_baseline(&self, class: ClassId, baseline: f64) -> f64 {
        let zones = self.baselines.chunks(usize::from(self.zone_count)).nth(usize::from(class.0));
        let sampled = zones.into_iter().flatten().filter(|zone| zone.samples > 0);
        sampled.map(|zone| zone.baseline_latency).fold(baseline, f64::min)
    }
}

/// Returns the factor by which the cost of a request scales its latency.
fn cost_factor(relative_cost: f64) -> f64 {
    FIXED_COST_FRACTION + (1.0 - FIXED_COST_FRACTION) * relative_cost
}

/// Smoothed peak latency of an endpoint relative to the expected latency (peak EWMA).
#[derive(Clone, Copy, Default)]
pub(crate) struct LatencyRatio {
    pub value: f64,
    pub updated_at: Nanos,
}

impl LatencyRatio {
    pub fn new(now: Nanos) -> Self {
        Self { value: 1.0, updated_at: now }
    }

    /// Discards what was learned about an earlier process.
    pub fn reset(&mut self) {
        self.value = 1.0;
    }

    /// Returns the ratio at `now`: without samples it decays to slightly below the mean.
    pub fn decayed(&self, now: Nanos) -> f64 {
        let weight = (-seconds(now.saturating_sub(self.updated_at)) / RATIO_MEMORY_S).exp();
        UNUSED_RATIO + (self.value - UNUSED_RATIO) * weight
    }

    pub fn observe(&mut self, ratio: f64, now: Nanos) {
        let ratio = ratio.min(MAX_LATENCY_RATIO);
        let gap = seconds(now.saturating_sub(self.updated_at));
        self.value = self.decayed(now);
        let is_rise = ratio > self.value;
        let weight = if is_rise { RISE_WEIGHT } else { gap.clamp(MIN_FALL_WEIGHT, MAX_FALL_WEIGHT) };
        self.value += weight * (ratio - self.value);
        self.updated_at = now;
    }

    pub fn raise_to(&mut self, least: f64, now: Nanos) {
        self.value = self.decayed(now).max(least);
        self.updated_at = now;
    }
}

impl Endpoint {
    /// Returns whether a much later attempt has overtaken one sent at `sent_at`. In that case the connection
    /// is silent, not the endpoint. `expected_latency` is in seconds.
    pub fn has_overtaken(&self, sent_at: Nanos, expected_latency: f64) -> bool {
        self.last_success_sent_at >= sent_at + nanos(OVERTAKEN_LATENCIES * expected_latency)
    }

    /// Returns the age of the oldest attempt in flight that was not overtaken, relative to its expected
    /// latency.
    pub fn oldest_in_flight_ratio(&self, now: Nanos) -> f64 {
        let waiting =
            |attempt: &&InFlightAttempt| !self.has_overtaken(attempt.sent_at, attempt.expected_latency);
        self.in_flight.iter().find(waiting).map_or(0.0, |attempt| {
            seconds(now.saturating_sub(attempt.sent_at)) / attempt.expected_latency.max(1e-6)
        })
    }

    /// Returns the latency ratio used by selection. Attempts in flight count as soon as their age exceeds the
    /// learned ratio.
    pub fn selection_latency_ratio(&self, now: Nanos) -> f64 {
        let learned = self.latency_ratio.decayed(now);
        learned.max(self.oldest_in_flight_ratio(now)).max(MIN_SELECTION_RATIO)
    }
}

impl Balancer {
    /// Returns the expected latency of a request, in seconds; at least one tick, since timers are derived
    /// from it.
    pub(crate) fn expected_latency(&self, class: ClassId, relative_cost: f64) -> f64 {
        self.latencies.expected(class, relative_cost).max(seconds(self.settings.tick))
    }

    /// Updates the latency of the class, the latency ratio of the endpoint and its limit with the duration of
    /// an attempt.
    pub(crate) fn learn_latency(
        &mut self,
        index: EndpointIndex,
        class: ClassId,
        relative_cost: f64,
        duration: Nanos,
    ) {
        let expected = self.expected_latency(class, relative_cost);
        let latency = seconds(duration) / cost_factor(relative_cost);
        let endpoint = &mut self.endpoints[index];
        let baseline = self.latencies.observe(class, endpoint.zone, latency, self.now);
        endpoint.latency_ratio.observe(seconds(duration) / expected, self.now);
        self.adjust_endpoint_limit(index, class, latency, baseline);
    }
}

#[cfg(test)]
#[path = "../tests/unit/latency.rs"]
mod tests;
