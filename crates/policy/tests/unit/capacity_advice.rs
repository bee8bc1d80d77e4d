//! Weight of advice as it ages, and rates lent and granted.

use super::*;
use crate::SECOND;

const ENDPOINT: EndpointId = EndpointId(1);

fn penalty_at(current: &CurrentAdvice) -> impl Fn(u64) -> f64 + '_ {
    |half_seconds| current.latency_penalty(ENDPOINT, 0, half_seconds * SECOND / 2)
}

#[test]
fn advice_loses_weight_and_draining_endpoints_stay_penalized() {
    let mut current = CurrentAdvice::default();
    assert_eq!(current.latency_penalty(ENDPOINT, 0, 0), 1.0);
    let advice = CapacityAdvice {
        valid_for: 2 * SECOND,
        avoid: [ENDPOINT].into(),
        draining: [(EndpointId(2), 7)].into(),
        ..CapacityAdvice::default()
    };
    current.replace(&advice, SECOND);
    assert_eq!([2, 4, 5, 6, 60].map(penalty_at(&current)), [LATENCY_PENALTY, LATENCY_PENALTY, 8.5, 1.0, 1.0]);
    let later = 3_600 * SECOND;
    assert_eq!(current.latency_penalty(EndpointId(2), 7, later), LATENCY_PENALTY);
    assert_eq!(current.latency_penalty(EndpointId(2), 8, later), 1.0, "another process");
    // The same advice repeated, with its original age: it continues to lose weight.
    let repeated = CapacityAdvice {
        age: 3 * SECOND / 2,
        valid_for: 2 * SECOND,
        avoid: [ENDPOINT].into(),
        ..CapacityAdvice::default()
    };
    current.replace(&repeated, 5 * SECOND / 2);
    assert_eq!([5, 6].map(penalty_at(&current)), [8.5, 1.0]);
    // Advice that is not repeated ends at once, but draining endpoints stay marked.
    current.replace(&CapacityAdvice { valid_for: 2 * SECOND, ..CapacityAdvice::default() }, later);
    assert_eq!(current.latency_penalty(ENDPOINT, 0, later), 1.0);
    assert_eq!(current.latency_penalty(EndpointId(2), 7, later), LATENCY_PENALTY);
}

#[test]
fn lent_rates_are_subtracted_and_grants_expire() {
    let mut current = CurrentAdvice::default();
    assert_eq!(current.slow_start_rate(ENDPOINT, 5.0, 0), 5.0);
    let granted = [(ENDPOINT, 7.0)].into();
    let lent = [(ENDPOINT, 3.0), (EndpointId(2), 3.0)].into();
    current
        .replace(&CapacityAdvice { lent, granted, granted_for: SECOND, ..CapacityAdvice::default() }, SECOND);
    let rates = |endpoint, own| [1, 2].map(|second| current.slow_start_rate(endpoint, own, second * SECOND));
    assert_eq!((rates(ENDPOINT, 5.0), rates(EndpointId(2), 5.0)), ([9.0, 2.0], [2.0, 2.0]));
    // If this node's own rate is lower than what it has lent, nothing is left and there is no debt.
    assert_eq!(rates(ENDPOINT, 1.0), [7.0, 0.0]);
}

#[test]
fn advice_with_an_extreme_validity_stays_finite() {
    let mut current = CurrentAdvice::default();
    current.replace(
        &CapacityAdvice { valid_for: 0, avoid: [ENDPOINT].into(), ..CapacityAdvice::default() },
        SECOND,
    );
    assert_eq!(current.latency_penalty(ENDPOINT, 0, SECOND + 1), 1.0);
    current.replace(
        &CapacityAdvice { valid_for: u64::MAX, avoid: [ENDPOINT].into(), ..CapacityAdvice::default() },
        SECOND,
    );
    assert!(current.latency_penalty(ENDPOINT, 0, u64::MAX).is_finite());
}
