//! Updates of the settings while a node runs.

mod common;

use common::*;
use pumicehead_policy::*;

/// An update is accepted only if it leaves the rules of open requests unchanged.
#[test]
fn settings_are_updated_unless_rules_of_open_requests_change() {
    let settings = settings(vec![class(Idempotency::Idempotent, 1.0)]);
    let mut balancer = pumicehead_policy::Balancer::new(settings.clone(), 1);
    let mut other = settings.clone();
    other.classes[0].priority_weight = 8.0;
    other.classes[0].latency_objective += SECOND;
    assert!(balancer.update_settings(other.clone()));
    other.classes.push(class(Idempotency::NotIdempotent, 10.0));
    assert!(balancer.update_settings(other.clone()));
    for change in [
        |new: &mut Settings| new.classes[0].idempotency = Idempotency::NotIdempotent,
        |new: &mut Settings| new.classes[0].ordered_by_key ^= true,
        |new: &mut Settings| new.classes.truncate(1),
        |new: &mut Settings| new.zone_count += 1,
        |new: &mut Settings| new.cancellation ^= true,
        |new: &mut Settings| new.node_count += 1,
    ] {
        let mut new = other.clone();
        change(&mut new);
        assert!(!balancer.update_settings(new));
    }
}
