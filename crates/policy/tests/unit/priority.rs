//! Priority tiers by weight.

use super::*;
use crate::Idempotency;

fn classes(weights: &[f64]) -> Vec<Class> {
    let class = |&priority_weight| Class {
        latency_objective: 1,
        objective_per_work: 0.0,
        deadline: 1,
        priority_weight,
        late_weight: 0.0,
        idempotency: Idempotency::Idempotent,
        ordered_by_key: false,
    };
    weights.iter().map(class).collect()
}

#[test]
fn tiers_depend_on_the_ratio_to_the_largest_weight() {
    let classes = classes(&[1.0, 10.0]);
    let tiers =
        [10.0, 8.0, 7.9, 5.6, 5.5, 3.1, 3.0, 0.0].map(|weight| PriorityTier::classify(weight, &classes));
    use PriorityTier::{High, Highest, Low, Medium};
    assert_eq!(tiers, [Highest, Highest, High, High, Medium, Medium, Low, Low]);
}

#[test]
fn equal_weights_are_medium_and_lower_weights_low() {
    let equal_classes = classes(&[2.0, 2.0]);
    assert_eq!(PriorityTier::classify(2.0, &equal_classes), PriorityTier::Medium);
    assert_eq!(PriorityTier::classify(0.4, &equal_classes), PriorityTier::Low);
    assert_eq!(PriorityTier::classify(0.0, &classes(&[0.0])), PriorityTier::Medium);
}

#[test]
fn only_the_lower_tiers_may_be_shed() {
    use PriorityTier::{High, Highest, Low, Medium};
    let tiers = [Highest, High, Medium, Low];
    assert!(tiers.is_sorted());
    assert_eq!(tiers.map(PriorityTier::may_be_shed), [false, false, true, true]);
    assert_eq!(tiers.map(PriorityTier::index), [0, 1, 2, 3]);
}
