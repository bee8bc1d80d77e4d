//! Utilization of all endpoints, and the limits that follow from it.

use super::*;
use crate::SECOND;

#[test]
fn rare_samples_have_more_weight_in_the_utilization() {
    let mut frequent = ConcurrencyLimiter::default();
    let mut rare = ConcurrencyLimiter::default();
    frequent.observe(1.5, 1_000.0, SECOND);
    rare.observe(1.5, 1.0, SECOND);
    assert!((frequent.utilization - (INITIAL_UTILIZATION + MIN_NODE_WEIGHT)).abs() < 1e-12);
    assert!((rare.utilization - (INITIAL_UTILIZATION + MAX_NODE_WEIGHT)).abs() < 1e-12);
}

#[test]
fn each_time_step_is_applied_once_and_only_up_to_the_last_sample() {
    let mut limiter = ConcurrencyLimiter::default();
    assert_eq!(limiter.take_step_s(), 0.0);
    limiter.observe(1.0, 10.0, SECOND / 10);
    assert_eq!([limiter.take_step_s(), limiter.take_step_s()], [0.1, 0.0]);
    limiter.observe(1.0, 10.0, 60 * SECOND);
    assert_eq!(limiter.take_step_s(), MAX_STEP_S);
}

#[test]
fn limits_fall_faster_than_they_rise_and_the_error_is_bounded() {
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
