//! Weight of advice as it ages, and rates lent and granted.

use super::*;
use crate::SECOND;

const ONE: EndpointId = EndpointId(1);

fn at(current: &CurrentAdvice) -> impl Fn(u64) -> f64 + '_ {
    |half_seconds| current.latency_penalty(ONE, 0, half_seconds * SECOND / 2)
}

#[test]
fn advice_fades_and_draining_endpoints_stay_penalized() {
    let mut current = CurrentAdvice::default();
    assert_eq!(current.latency_penalty(ONE, 0, 0), 1.0);
    let advice = CapacityAdvice {
        valid_for: 2 * SECOND,
        avoid: [ONE].into(),
        draining: [(EndpointId(2), 7)].into(),
        ..CapacityAdvice::default()
    };
    current.replace(&advice, SECOND);
    assert_eq!([2, 4, 5, 6, 60].map(at(&current)), [LATENCY_PENALTY, LATENCY_PENALTY, 8.5, 1.0, 1.0]);
    let later = 3_600 * SECOND;
    assert_eq!(current.latency_penalty(EndpointId(2), 7, later), LATENCY_PENALTY);
    assert_eq!(current.latency_penalty(EndpointId(2), 8, later), 1.0, "another process");
    // The same said again, as old as it is, fades on.
    let again = CapacityAdvice {
        age: 3 * SECOND / 2,
        valid_for: 2 * SECOND,
        avoid: [ONE].into(),
        ..CapacityAdvice::default()
    };
    current.replace(&again, 5 * SECOND / 2);
    assert_eq!([5, 6].map(at(&current)), [8.5, 1.0]);
    // What is no longer advised ends at once; a drain that is not repeated stays.
    current.replace(&CapacityAdvice { valid_for: 2 * SECOND, ..CapacityAdvice::default() }, later);
    assert_eq!(current.latency_penalty(ONE, 0, later), 1.0);
    assert_eq!(current.latency_penalty(EndpointId(2), 7, later), LATENCY_PENALTY);
}

#[test]
fn lent_rates_are_deducted_and_grants_end() {
    let mut current = CurrentAdvice::default();
    assert_eq!(current.slow_start_rate(ONE, 5.0, 0), 5.0);
    let granted = [(ONE, 7.0)].into();
    let lent = [(ONE, 3.0), (EndpointId(2), 3.0)].into();
    current
        .replace(&CapacityAdvice { lent, granted, granted_for: SECOND, ..CapacityAdvice::default() }, SECOND);
    let rates = |server, own| [1, 2].map(|second| current.slow_start_rate(server, own, second * SECOND));
    assert_eq!((rates(ONE, 5.0), rates(EndpointId(2), 5.0)), ([9.0, 2.0], [2.0, 2.0]));
    // Where its own share has fallen under what is lent, there is nothing left of it, and no debt.
    assert_eq!(rates(ONE, 1.0), [7.0, 0.0]);
}

#[test]
fn advice_with_an_extreme_validity_stays_finite() {
    let mut current = CurrentAdvice::default();
    current
        .replace(&CapacityAdvice { valid_for: 0, avoid: [ONE].into(), ..CapacityAdvice::default() }, SECOND);
    assert_eq!(current.latency_penalty(ONE, 0, SECOND + 1), 1.0);
    current.replace(
        &CapacityAdvice { valid_for: u64::MAX, avoid: [ONE].into(), ..CapacityAdvice::default() },
        SECOND,
    );
    assert!(current.latency_penalty(ONE, 0, u64::MAX).is_finite());
}
