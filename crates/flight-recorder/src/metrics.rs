//! Metrics of a node since its start, from the same events as its recording, on the `metrics` facade and rendered as
//! OpenMetrics text (version 1.0.0, which Prometheus reads) with exemplars that name a recorded request.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use hdrhistogram::Histogram as Hdr;
use metrics::{
    Counter, Gauge, Histogram, HistogramFn, Key, KeyName, Label, Level, Metadata, Recorder, SharedString,
    Unit,
};
use pumicehead_policy::{AttemptOutcome, Nanos, SECOND};

use crate::bounded_text::{BoundedName, escape};
use crate::event::{ListenerRejection, RequestOutcome};
use crate::loss_cause::outcome_text;

/// Greatest number of classes with series of their own; the rest count as "other".
pub const MAX_CLASSES: usize = 32;
/// Upper bounds of the finite histogram buckets, in seconds.
const BUCKET_BOUNDS_S: [f64; 12] = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0];
/// Greatest latency that a histogram distinguishes, in microseconds; larger ones count as this one.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Least time between replacements of a bucket's exemplar, since a replacement costs more than counting.
const MIN_EXEMPLAR_AGE: Nanos = SECOND;
/// Significant decimal digits of a latency.
const SIGNIFICANT_DIGITS: u8 = 2;

const METADATA: Metadata<'static> = Metadata::new(module_path!(), Level::INFO, Some(module_path!()));

/// Exemplar of a histogram bucket.
#[derive(Clone)]
struct Exemplar {
    name: String,
    seconds: f64,
    at: Nanos,
}

/// A latency histogram with exemplars.
struct LatencyHistogram {
    hdr: Hdr<u32>,
    sum: f64,
    exemplars: [Option<Exemplar>; BUCKET_BOUNDS_S.len() + 1],
}

/// A histogram that the `metrics` facade and the registry share.
struct SharedHistogram(Mutex<LatencyHistogram>);

impl SharedHistogram {
    /// Adds a latency, and makes the request its bucket's exemplar if the last one is old enough.
    fn add(&self, seconds: f64, name: &BoundedName, at: Nanos) {
        // A poisoned lock can be ignored: a panic can't leave the numbers in an invalid state.
        let mut latencies = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        latencies.record(seconds);
        let bucket =
            BUCKET_BOUNDS_S.iter().position(|bound| seconds <= *bound).unwrap_or(BUCKET_BOUNDS_S.len());
        let shown = &mut latencies.exemplars[bucket];
        if shown.as_ref().is_none_or(|shown| at >= shown.at.saturating_add(MIN_EXEMPLAR_AGE)) {
            *shown = Some(Exemplar { name: escape(&name.prefix), seconds, at });
        }
    }
}

impl LatencyHistogram {
    fn record(&mut self, seconds: f64) {
        self.hdr.saturating_record((seconds * 1e6).round() as u64);
        self.sum += seconds;
    }
}

impl HistogramFn for SharedHistogram {
    fn record(&self, value: f64) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).record(value);
    }
}

/// All metrics by key: a recorder of the `metrics` facade.
#[derive(Default)]
pub struct Registry {
    counters: Mutex<BTreeMap<Key, Arc<AtomicU64>>>,
    gauges: Mutex<BTreeMap<Key, Arc<AtomicU64>>>,
    latencies: Mutex<BTreeMap<Key, Arc<SharedHistogram>>>,
}

fn get_or_insert<V>(map: &Mutex<BTreeMap<Key, Arc<V>>>, key: &Key, new_value: impl FnOnce() -> V) -> Arc<V> {
    let mut map = map.lock().unwrap_or_else(PoisonError::into_inner);
    map.entry(key.clone()).or_insert_with(|| Arc::new(new_value())).clone()
}

impl Registry {
    fn shared_histogram(&self, key: &Key) -> Option<Arc<SharedHistogram>> {
        // The bounds are valid: the lowest value is 1, and the greatest is more than twice that.
        let hdr = Hdr::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS).ok()?;
        Some(get_or_insert(&self.latencies, key, || {
            SharedHistogram(Mutex::new(LatencyHistogram { hdr, sum: 0.0, exemplars: Default::default() }))
        }))
    }

    /// Renders all series as OpenMetrics text.
    #[must_use]
    pub fn render(&self) -> String {
        let mut out = String::new();
        let mut last = String::new();
        let mut family = |out: &mut String, name: &str, kind: &str| {
            if last != name {
                // Writing to a string does not fail.
                let _ = writeln!(out, "# TYPE {name} {kind}");
                last = name.to_owned();
            }
        };
        for (key, value) in self.counters.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            family(&mut out, key.name(), "counter");
            let _ =
                writeln!(out, "{}_total{} {}", key.name(), labels(key, None), value.load(Ordering::Relaxed));
        }
        for (key, value) in self.gauges.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            family(&mut out, key.name(), "gauge");
            let value = f64::from_bits(value.load(Ordering::Relaxed));
            let _ = writeln!(out, "{}{} {value}", key.name(), labels(key, None));
        }
        for (key, latencies) in self.latencies.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            family(&mut out, key.name(), "histogram");
            let latencies = latencies.0.lock().unwrap_or_else(PoisonError::into_inner);
            let bounds = BUCKET_BOUNDS_S.iter().map(|bound| (*bound, bound.to_string()));
            let all = bounds.chain([(f64::INFINITY, "+Inf".to_owned())]);
            for ((bound, shown), exemplar) in all.zip(&latencies.exemplars) {
                let cumulative = if bound.is_finite() {
                    latencies.hdr.count_between(0, (bound * 1e6) as u64)
                } else {
                    latencies.hdr.len()
                };
                let _ = write!(out, "{}_bucket{} {cumulative}", key.name(), labels(key, Some(&shown)));
                if let Some(Exemplar { name, seconds, at }) = exemplar {
                    let at = *at as f64 / SECOND as f64;
                    let _ = write!(out, " # {{request=\"{name}\"}} {seconds} {at:.3}");
                }
                out.push('\n');
            }
            let _ = writeln!(out, "{}_sum{} {}", key.name(), labels(key, None), latencies.sum);
            let _ = writeln!(out, "{}_count{} {}", key.name(), labels(key, None), latencies.hdr.len());
        }
        out + "# EOF\n"
    }
}

fn labels(key: &Key, bound: Option<&str>) -> String {
    let known = key.labels().map(|label| format!("{}=\"{}\"", label.key(), escape(label.value())));
    let all: Vec<_> = known.chain(bound.map(|bound| format!("le=\"{bound}\""))).collect();
    if all.is_empty() { String::new() } else { format!("{{{}}}", all.join(",")) }
}

impl Recorder for Registry {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        Counter::from_arc(get_or_insert(&self.counters, key, AtomicU64::default))
    }

    fn register_gauge(&self, key: &Key, _: &Metadata<'_>) -> Gauge {
        Gauge::from_arc(get_or_insert(&self.gauges, key, AtomicU64::default))
    }

    fn register_histogram(&self, key: &Key, _: &Metadata<'_>) -> Histogram {
        self.shared_histogram(key).map_or_else(Histogram::noop, Histogram::from_arc)
    }
}

/// A class with the labels of its series.
#[derive(Clone, Copy, Debug)]
pub struct ClassLabels<'a> {
    /// Indices of the pool and of the class in it.
    pub id: (u16, u16),
    /// Name of the pool.
    pub pool_name: &'a str,
    /// Name of the class.
    pub class_name: &'a str,
}

/// Labels of classes beyond [`MAX_CLASSES`].
const OTHER_CLASS: ClassLabels<'_> =
    ClassLabels { id: (u16::MAX, u16::MAX), pool_name: "other", class_name: "other" };

/// Metrics of one class of a pool.
struct ClassMetrics {
    requests_by_outcome: [Counter; 7],
    latencies: Option<Arc<SharedHistogram>>,
}

/// Metrics of a node.
#[derive(Default)]
pub struct RequestMetrics {
    registry: Registry,
    /// By pool and class; those beyond the limit are under [`OTHER_CLASS`].
    classes: BTreeMap<(u16, u16), ClassMetrics>,
    attempts: [Option<Counter>; 8],
}

/// Labels of [`RequestOutcome`], in the order of its variants.
const OUTCOME_LABELS: [&str; 7] = ["served", "served_fault", "refused", "failed", "late", "body", "left"];

impl RequestMetrics {
    fn class(&mut self, class: ClassLabels<'_>) -> &mut ClassMetrics {
        let full = self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(&class.id);
        let class = if full { OTHER_CLASS } else { class };
        let registry = &self.registry;
        self.classes.entry(class.id).or_insert_with(|| {
            let labels = vec![
                Label::new("pool", class.pool_name.to_owned()),
                Label::new("class", class.class_name.to_owned()),
            ];
            let requests_by_outcome = OUTCOME_LABELS.map(|outcome| {
                let labels = labels.iter().cloned().chain([Label::new("how", outcome)]).collect::<Vec<_>>();
                registry.register_counter(&Key::from_parts("pumicehead_requests", labels), &METADATA)
            });
            let latencies = registry.shared_histogram(&Key::from_parts("pumicehead_request_seconds", labels));
            ClassMetrics { requests_by_outcome, latencies }
        })
    }

    /// Counts a request that has ended.
    pub fn request_ended(
        &mut self,
        class: ClassLabels<'_>,
        outcome: RequestOutcome,
        duration: Nanos,
        name: &BoundedName,
        at: Nanos,
    ) {
        let metrics = self.class(class);
        metrics.requests_by_outcome[outcome as usize].increment(1);
        let seconds = duration as f64 / SECOND as f64;
        if let Some(latencies) = &metrics.latencies {
            latencies.add(seconds, name, at);
        }
    }

    /// Counts a request that a listener rejected.
    pub fn request_rejected(&mut self, reason: ListenerRejection) {
        let label = if reason == ListenerRejection::RequestLimit { "held" } else { "connections" };
        self.count("pumicehead_turned_away", vec![Label::new("why", label)], 1);
    }

    /// Counts an attempt that has ended.
    pub fn attempt_ended(&mut self, outcome: AttemptOutcome) {
        let code = crate::code_tables::outcome_code(outcome);
        let registry = &self.registry;
        let counter = self.attempts[code].get_or_insert_with(|| {
            let key =
                Key::from_parts("pumicehead_attempts", vec![Label::new("outcome", outcome_text(outcome))]);
            registry.register_counter(&key, &METADATA)
        });
        counter.increment(1);
    }

    /// Adds to the counter with a name and labels.
    pub fn count(&mut self, name: &'static str, labels: Vec<Label>, more: u64) {
        self.registry.register_counter(&Key::from_parts(name, labels), &METADATA).increment(more);
    }

    /// Sets a gauge.
    pub fn gauge(&mut self, name: &'static str, value: f64) {
        self.registry.register_gauge(&Key::from_name(name), &METADATA).set(value);
    }

    /// Renders all series as OpenMetrics text.
    #[must_use]
    pub fn render(&self) -> String {
        self.registry.render()
    }
}

#[cfg(test)]
#[path = "../tests/unit/metrics.rs"]
mod tests;
