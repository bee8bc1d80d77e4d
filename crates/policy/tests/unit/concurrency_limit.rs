//! The utilization of all endpoints and what follows from it.

use super::*;
use crate::SECOND;

#[test]
fn utilization_follows_samples_by_the_gap_between_them() {
    let mut often = ConcurrencyLimiter::default();
    let mut seldom = ConcurrencyLimiter::default();
    often.observe(1.5, 1_000.0, SECOND);
    seldom.observe(1.5, 1.0, SECOND);
    assert!((often.utilization - (INITIAL_UTILIZATION + MIN_NODE_WEIGHT)).abs() < 1e-12);
    assert!((seldom.utilization - (INITIAL_UTILIZATION + MAX_NODE_WEIGHT)).abs() < 1e-12);
}

#[test]
fn limits_follow_each_span_once_and_only_up_to_the_last_sample() {
    let mut limiter = ConcurrencyLimiter::default();
    assert_eq!(limiter.take_step_s(), 0.0);
    limiter.observe(1.0, 10.0, SECOND / 10);
    assert_eq!([limiter.take_step_s(), limiter.take_step_s()], [0.1, 0.0]);
    limiter.observe(1.0, 10.0, 60 * SECOND);
    assert_eq!(limiter.take_step_s(), MAX_STEP_S);
}

#[test]
fn limits_fall_faster_than_they_rise_and_by_a_bounded_error() {
    let rise = limit_factor(gain_per_s(0.5), 0.1, 0.5).ln();
    let fall = limit_factor(gain_per_s(-0.5), 0.1, -0.5).ln();
    assert!(rise > 0.0 && -fall > 1.9 * rise, "{rise} {fall}");
    assert_eq!(limit_factor(gain_per_s(-1.0), 0.1, -1.0), limit_factor(gain_per_s(-3.0), 0.1, -3.0));
}

#[test]
fn confidence_grows_with_samples() {
    assert_eq!([confidence(0.0), confidence(HALF_CONFIDENCE_SAMPLES)], [0.0, 0.5]);
    assert!(confidence(1e6) < 1.0);
}
