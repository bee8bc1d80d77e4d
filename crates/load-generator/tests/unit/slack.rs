//! Unit tests of the measurement of the idle time of the generator's threads.

use super::*;

const MS: Nanos = 1_000_000;

fn busy(idle: &[(Nanos, Nanos)]) -> u64 {
    let mut slack = Slack::default();
    (0..300).for_each(|at| slack.due(at * MS));
    idle.iter().for_each(|&(from, to)| slack.idle(from * MS, to * MS));
    slack.breathless(300 * MS)
}

/// Only requests in windows with less idle time than the minimum are counted.
#[test]
fn requests_in_windows_without_idle_time_count() {
    assert_eq!(busy(&[]), 300);
    assert_eq!(busy(&[(0, 300)]), 0);
    assert_eq!(busy(&[(50, 52), (150, 151), (210, 290)]), 100);
    // An idle interval across two window boundaries counts in three windows.
    assert_eq!(busy(&[(97, 203)]), 0);
    // The last window of a run may be shorter than the others.
    let mut slack = Slack::default();
    slack.due(10 * MS);
    slack.idle(5 * MS, 6 * MS);
    assert_eq!((slack.breathless(20 * MS), slack.breathless(100 * MS)), (0, 1));
}
