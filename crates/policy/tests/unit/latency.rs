//! Latency estimates of classes, zones and endpoints.

use super::*;
use crate::SECOND;

fn estimator(zone_count: u16) -> LatencyEstimator {
    let class = ClassLatency { mean: 0.1, ..ClassLatency::default() };
    LatencyEstimator {
        classes: vec![class; 2],
        baselines: vec![ZoneBaseline::default(); 2 * usize::from(zone_count)],
        zone_count,
    }
}

fn observe_for(latencies: &mut LatencyEstimator, latency: f64, seconds: std::ops::Range<u64>) -> f64 {
    let mut baseline = 0.0;
    for step in seconds.start * 10..seconds.end * 10 {
        baseline = latencies.observe(ClassId(0), ZoneId(0), latency, step * SECOND / 10);
    }
    baseline
}

#[test]
fn the_first_sample_replaces_the_initial_mean() {
    let mut latencies = estimator(1);
    latencies.observe(ClassId(0), ZoneId(0), 0.4, SECOND);
    assert_eq!(latencies.expected(ClassId(0), 1.0), 0.4);
    assert_eq!(latencies.expected(ClassId(0), 3.0), 0.8, "half of the latency scales with the cost");
    assert_eq!(latencies.expected(ClassId(1), 1.0), 0.1, "other classes are unaffected");
}

#[test]
fn a_baseline_falls_faster_than_it_rises() {
    let mut latencies = estimator(1);
    let slow = observe_for(&mut latencies, 0.2, 1..100);
    assert!((slow - 0.2).abs() < 1e-9);
    let rising = observe_for(&mut latencies, 0.6, 100..160);
    assert!(rising < 0.3, "after a minute of load the baseline has hardly risen: {rising}");
    let fallen = observe_for(&mut latencies, 0.1, 160..300);
    assert!(fallen < 0.12, "{fallen}");
}

#[test]
fn the_nearest_baseline_is_that_of_the_fastest_sampled_zone() {
    let mut latencies = estimator(3);
    let far = latencies.observe(ClassId(0), ZoneId(1), 0.5, SECOND);
    assert_eq!(latencies.nearest_baseline(ClassId(0), far), 0.5, "zones without samples don't count");
    latencies.observe(ClassId(0), ZoneId(0), 0.1, SECOND);
    latencies.observe(ClassId(1), ZoneId(0), 0.01, SECOND);
    assert_eq!(latencies.nearest_baseline(ClassId(0), far), 0.1);
    latencies.observe(ClassId(1), ZoneId(9), 0.02, SECOND);
    assert_eq!(latencies.nearest_baseline(ClassId(1), 1.0), 0.01, "unknown zones count as the last one");
}

#[test]
fn costs_are_relative_to_the_mean_hint_and_bounded() {
    let mut latencies = estimator(1);
    assert_eq!(latencies.learn_hint(ClassId(0), 100), 1.0);
    assert_eq!(latencies.learn_hint(ClassId(0), 300), 1.5, "the mean of 100 and 300 is 200");
    assert_eq!(latencies.learn_hint(ClassId(0), 1), MIN_RELATIVE_COST);
    for _ in 0..300 {
        latencies.learn_hint(ClassId(1), 1);
    }
    assert_eq!(latencies.learn_hint(ClassId(1), 1_000_000), MAX_RELATIVE_COST);
}

#[test]
fn a_ratio_rises_at_once_and_falls_by_elapsed_time() {
    let mut ratio = LatencyRatio::new(SECOND);
    ratio.observe(4.0, SECOND);
    let peak = ratio.value;
    assert!((peak - 2.2).abs() < 1e-9, "{peak}");
    ratio.observe(1.0, SECOND);
    assert!(ratio.value > 2.0, "a sample right after the peak has little weight: {}", ratio.value);
    ratio.observe(1.0, 2 * SECOND);
    assert!(ratio.value < 1.6, "a sample a second later has half of the weight: {}", ratio.value);
}

#[test]
fn an_unused_ratio_decays_to_a_little_under_the_mean() {
    let mut ratio = LatencyRatio::new(0);
    ratio.observe(1e9, 0);
    assert!(ratio.value <= MAX_LATENCY_RATIO);
    assert!((ratio.decayed(3_600 * SECOND) - UNUSED_RATIO).abs() < 1e-9);
    ratio.raise_to(3.0, 3_600 * SECOND);
    assert_eq!(ratio.decayed(3_600 * SECOND), 3.0);
    ratio.reset();
    assert_eq!(ratio.value, 1.0);
}

#[test]
fn an_overtaken_attempt_does_not_make_its_endpoint_look_slow() {
    let attempt = |sent_at| InFlightAttempt {
        request: crate::RequestId(1),
        attempt: 0,
        sent_at,
        expected_latency: 0.1,
    };
    let mut endpoint = Endpoint::new(crate::EndpointId(1), SECOND);
    assert_eq!(endpoint.oldest_in_flight_ratio(2 * SECOND), 0.0);
    endpoint.in_flight.extend([attempt(SECOND), attempt(2 * SECOND)]);
    assert_eq!(endpoint.oldest_in_flight_ratio(3 * SECOND), 20.0);
    assert_eq!(endpoint.selection_latency_ratio(3 * SECOND), 20.0);
    endpoint.last_success_sent_at = SECOND + SECOND / 5;
    assert_eq!(
        endpoint.oldest_in_flight_ratio(3 * SECOND),
        10.0,
        "the second attempt is now the oldest that was not overtaken"
    );
}
