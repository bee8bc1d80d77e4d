//! Unit tests of the measurement of the idle time of the generator's threads.

use super::*;

const MS: Nanos = 1_000_000;

fn saturated_requests(idle: &[(Nanos, Nanos)]) -> u64 {
    let mut idle_time = IdleTime::default();
    (0..300).for_each(|at| idle_time.record_due(at * MS));
    idle.iter().for_each(|&(from, to)| idle_time.record_idle(from * MS, to * MS));
    idle_time.saturated_requests(300 * MS)
}

/// Only requests in windows with less idle time than the minimum are counted.
#[test]
fn requests_in_windows_without_enough_idle_time_are_counted() {
    assert_eq!(saturated_requests(&[]), 300);
    assert_eq!(saturated_requests(&[(0, 300)]), 0);
    assert_eq!(saturated_requests(&[(50, 52), (150, 151), (210, 290)]), 100);
    // An idle interval across two window boundaries counts in three windows.
    assert_eq!(saturated_requests(&[(97, 203)]), 0);
    // The last window of a run may be shorter than the others.
    let mut idle_time = IdleTime::default();
    idle_time.record_due(10 * MS);
    idle_time.record_idle(5 * MS, 6 * MS);
    assert_eq!((idle_time.saturated_requests(20 * MS), idle_time.saturated_requests(100 * MS)), (0, 1));
}
