//! The budget of an endpoint in slow start.

use super::*;
use crate::SECOND;

#[test]
fn a_new_budget_has_to_be_earned() {
    let mut budget = SlowStart::new(SECOND);
    assert!(!budget.earn(2.0, 10.0, SECOND));
    assert!(budget.earn(2.0, 10.0, SECOND + 1));
}

#[test]
fn a_restart_begins_with_a_debt() {
    let mut budget = SlowStart::restarted(0.5, 0);
    assert!(!budget.earn(1.0, 10.0, SECOND / 4));
    assert!(budget.earn(1.0, 10.0, SECOND));
}

#[test]
fn savings_are_bounded_and_spending_may_go_into_debt() {
    let mut budget = SlowStart::new(0);
    assert!(budget.earn(1.0, 0.5, 100 * SECOND));
    budget.spend(2.0);
    assert!(!budget.earn(1.0, 0.5, 101 * SECOND), "0.5 saved, 2 spent, 1 earned");
    assert!(budget.earn(1.0, 0.5, 102 * SECOND));
}
