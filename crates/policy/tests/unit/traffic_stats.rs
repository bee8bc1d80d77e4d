//! Mean number of attempts in flight, and excluded time spans.

use super::*;
use crate::SECOND;

#[test]
fn the_mean_follows_the_attempts_in_flight_of_the_last_seconds() {
    let mut traffic = TrafficStats::default();
    traffic.update_mean(10, SECOND);
    assert!((6.0..6.5).contains(&traffic.mean_in_flight), "{}", traffic.mean_in_flight);
    traffic.update_mean(10, 20 * SECOND);
    assert!((9.9..=10.0).contains(&traffic.mean_in_flight), "{}", traffic.mean_in_flight);
    let mean = traffic.mean_in_flight;
    traffic.update_mean(0, 20 * SECOND);
    assert_eq!(traffic.mean_in_flight, mean, "no time has passed");
}

#[test]
fn an_excluded_span_changes_neither_the_mean_nor_the_rates() {
    let mut traffic = TrafficStats::default();
    for step in 1..100 {
        traffic.arrivals.add(step * SECOND / 10, 1.0);
        traffic.served.add(step * SECOND / 10, 0.5);
    }
    traffic.update_mean(4, 10 * SECOND);
    let read = |traffic: &TrafficStats, now| (traffic.arrivals.get(now), traffic.served.get(now));
    let before = (read(&traffic, 10 * SECOND), traffic.mean_in_flight);
    traffic.exclude_span(30 * SECOND);
    traffic.update_mean(0, 40 * SECOND);
    assert_eq!((read(&traffic, 40 * SECOND), traffic.mean_in_flight), before);
}
