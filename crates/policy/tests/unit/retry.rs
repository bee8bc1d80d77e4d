//! Retry budget.

use super::*;

#[test]
fn retries_stop_when_the_budget_is_spent() {
    let mut budget = RetryBudget::default();
    assert!(budget.allows(INITIAL_TOKENS));
    budget.spend(INITIAL_TOKENS);
    assert!(!budget.allows(RETRY_COST) && !budget.allows(UNEXECUTED_RETRY_COST));
}

#[test]
fn ten_requests_earn_one_retry() {
    let mut budget = RetryBudget::default();
    budget.spend(INITIAL_TOKENS);
    (0..9).for_each(|_| budget.earn());
    assert!(!budget.allows(RETRY_COST));
    (0..2).for_each(|_| budget.earn());
    assert!(budget.allows(RETRY_COST));
}

#[test]
fn accumulated_tokens_are_bounded() {
    let mut budget = RetryBudget::default();
    (0..10_000).for_each(|_| budget.earn());
    assert!(budget.allows(MAX_TOKENS) && !budget.allows(MAX_TOKENS + 0.1));
}
