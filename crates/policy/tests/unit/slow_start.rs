//! Budget of an endpoint in slow start.

use super::*;
use crate::SECOND;

#[test]
fn a_new_budget_has_to_be_earned() {
    let mut budget = SlowStart::new(SECOND);
    assert!(!budget.earn(2.0, 10.0, SECOND));
    assert!(budget.earn(2.0, 10.0, SECOND + 1));
}

#[test]
fn a_restarted_endpoint_starts_with_a_debt() {
    let mut budget = SlowStart::restarted(0.5, 0);
    assert!(!budget.earn(1.0, 10.0, SECOND / 4));
    assert!(budget.earn(1.0, 10.0, SECOND));
}

#[test]
fn the_budget_is_capped_and_may_become_negative() {
    let mut budget = SlowStart::new(0);
    assert!(budget.earn(1.0, 0.5, 100 * SECOND));
    budget.spend(2.0);
    assert!(!budget.earn(1.0, 0.5, 101 * SECOND), "0.5 accumulated, 2 spent, 1 earned");
    assert!(budget.earn(1.0, 0.5, 102 * SECOND));
}
