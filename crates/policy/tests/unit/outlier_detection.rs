//! Ejection, probation and panic mode.

use super::*;
use crate::SECOND;

/// Records failures until the endpoint is ejected. Returns the number of failures and the duration of the
/// ejection.
fn fail_until_ejected(detector: &mut OutlierDetector, common_failure_rate: f64, now: Nanos) -> (u32, Nanos) {
    for failures in 1..100 {
        detector.record_failure(Failure::Broken, common_failure_rate);
        if let Some(duration) = detector.eject_if_due(common_failure_rate, 1.0, now) {
            return (failures, duration);
        }
    }
    panic!("the endpoint was never ejected");
}

#[test]
fn three_failures_in_a_row_eject_an_endpoint() {
    let mut detector = OutlierDetector::default();
    assert_eq!(fail_until_ejected(&mut detector, 0.0, SECOND), (3, SECOND / 2));
    assert_eq!(detector.ejected_until, SECOND + SECOND / 2);
    assert!(detector.on_probation);
}

#[test]
fn a_success_resets_the_count_of_consecutive_failures() {
    let mut detector = OutlierDetector::default();
    for _ in 0..2 {
        detector.record_failure(Failure::Broken, 0.0);
    }
    assert!(!detector.record_success());
    assert_eq!(fail_until_ejected(&mut detector, 0.0, SECOND).0, 3);
}

#[test]
fn more_failures_are_needed_if_other_endpoints_fail_too() {
    for (common_failure_rate, failures) in [(0.01, 3), (0.2, 5), (0.5, 10), (0.9, 66)] {
        let mut detector = OutlierDetector::default();
        assert_eq!(
            fail_until_ejected(&mut detector, common_failure_rate, SECOND).0,
            failures,
            "{common_failure_rate}"
        );
    }
}

#[test]
fn a_failed_connection_counts_as_two_failures() {
    let mut detector = OutlierDetector::default();
    detector.record_failure(Failure::ConnectFailed, 0.0);
    assert_eq!(detector.eject_if_due(0.0, 1.0, SECOND), None);
    detector.record_failure(Failure::ConnectFailed, 0.0);
    assert!(detector.eject_if_due(0.0, 1.0, SECOND).is_some());
}

#[test]
fn consecutive_ejections_double_up_to_a_maximum() {
    let mut detector = OutlierDetector::default();
    let mut now = SECOND;
    let mut durations = Vec::new();
    for _ in 0..7 {
        durations.push(fail_until_ejected(&mut detector, 0.0, now).1);
        now = detector.ejected_until;
    }
    assert_eq!(durations, [1, 2, 4, 8, 16, 16, 16].map(|halves| halves * SECOND / 2));
}

#[test]
fn one_failure_ejects_again_on_probation_but_not_during_an_ejection() {
    let mut detector = OutlierDetector::default();
    fail_until_ejected(&mut detector, 0.0, SECOND);
    detector.record_failure(Failure::Broken, 0.0);
    assert_eq!(detector.eject_if_due(0.0, 1.0, detector.ejected_until - 1), None);
    detector.record_failure(Failure::Broken, 0.0);
    assert!(detector.eject_if_due(0.0, 1.0, detector.ejected_until).is_some());
}

#[test]
fn the_second_success_after_an_ejection_resets_the_ejection_count() {
    let mut detector = OutlierDetector::default();
    fail_until_ejected(&mut detector, 0.0, SECOND);
    assert!(detector.record_success(), "the first success ends the probation");
    assert_eq!(detector.consecutive_ejections, 1);
    assert!(!detector.record_success());
    assert_eq!(detector.consecutive_ejections, 0);
}

#[test]
fn broken_attempts_count_as_the_endpoints_fault_only_if_others_break_fewer() {
    let mut failing_alone = OutlierDetector { failure_rate: 0.5, ..OutlierDetector::default() };
    assert_eq!(failing_alone.record_failure(Failure::Broken, 0.0), 1.0);
    let mut failing_like_others = OutlierDetector { failure_rate: 0.5, ..OutlierDetector::default() };
    assert_eq!(failing_like_others.record_failure(Failure::Broken, 0.5), 0.0);
    assert_eq!(failing_like_others.record_failure(Failure::Rejected, 0.5), 1.0);
}

#[test]
fn a_restart_ends_an_ejection() {
    let mut detector = OutlierDetector::default();
    fail_until_ejected(&mut detector, 0.0, SECOND);
    detector.on_restart();
    assert_eq!((detector.ejected_until, detector.on_probation), (0, false));
    assert_eq!(fail_until_ejected(&mut detector, 0.0, SECOND).0, 3);
}

#[test]
fn a_majority_is_more_than_half_of_all_endpoints() {
    let majority = |flags: &[bool]| {
        let mut count = OutlierCount::default();
        flags.iter().for_each(|&is_outlier| count.add(is_outlier));
        count.is_majority()
    };
    assert!(!majority(&[]) && !majority(&[true, false]) && majority(&[true, true, false]));
}
