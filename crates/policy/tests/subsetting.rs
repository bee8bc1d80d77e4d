//! Which endpoints a node uses.

mod common;

use common::*;
use pumicehead_policy::*;

#[test]
fn the_same_seed_gives_the_same_actions() {
    let run = |seed| {
        let mut node = TestNode::new(two_classes(), seed);
        node.update_endpoints(EndpointUpdate::Restored(list((1..40).map(endpoint))));
        serve(&mut node, 100, 15 * MS);
        node.actions
    };
    assert_eq!(run(5), run(5));
    assert_ne!(run(5), run(6));
}

#[test]
fn nodes_use_different_stable_subsets() {
    let used = |me| {
        let mut node_settings = settings(vec![class(Idempotency::Idempotent, 1.0)]);
        (node_settings.node_count, node_settings.node_index, node_settings.connections_have_cost) =
            (1000, me, true);
        let mut node = TestNode::new(node_settings, 9);
        node.update_endpoints(EndpointUpdate::Restored(list((1..200).map(endpoint))));
        serve(&mut node, 200, 20 * MS);
        let all = node.requests.values().flat_map(|k| &k.attempts).map(|t| t.endpoint);
        all.collect::<std::collections::BTreeSet<_>>()
    };
    let (one, two) = (used(1), used(2));
    assert!(one.len() <= 8 && two.len() <= 8, "few connections: {} and {}", one.len(), two.len());
    assert_ne!(one, two);
}

/// If all nodes lacked capacity and used more endpoints for it, they would share every endpoint with nodes
/// whose attempts they can't see.
#[test]
fn lack_of_capacity_does_not_widen_the_subset() {
    let node_settings = Settings { node_count: 40, ..settings(vec![class(Idempotency::Idempotent, 1.0)]) };
    let mut node = TestNode::with_endpoints(node_settings, 200);
    for _ in 0..400 {
        for _ in 0..3 {
            node.request(0, 900 * MS);
        }
        node.advance(node.now + 20 * MS);
        for (id, n) in node.attempts_in_flight() {
            if node.now >= node.attempts_of(id)[n].sent_at + 200 * MS {
                node.end_attempt(id, n, AttemptOutcome::Success);
            }
        }
    }
    let used: std::collections::BTreeSet<_> =
        node.requests.values().flat_map(|k| &k.attempts).map(|t| t.endpoint).collect();
    assert!(node.actions.iter().any(|a| matches!(a, Action::Reject { .. })), "it lacked room");
    assert!(used.len() <= 60, "{} of 200 servers used", used.len());
    assert!(node.violations.is_empty());
}

/// If most endpoints of a node are in slow start it uses more of them, so that none lacks capacity while
/// others have plenty.
#[test]
fn replacing_most_endpoints_leaves_every_node_with_capacity() {
    let refusals = |me: u32| {
        let node_settings = Settings {
            node_count: 300,
            node_index: me,
            connections_have_cost: true,
            warmup_duration: 30 * SECOND,
            ..settings(vec![class(Idempotency::Idempotent, 1.0), class(Idempotency::Idempotent, 10.0)])
        };
        let mut node = TestNode::new(node_settings, 9);
        node.update_endpoints(EndpointUpdate::Restored(list((1..=200).map(endpoint))));
        let rounds = |node: &mut TestNode, count: usize| {
            for number in 0..count {
                node.request(number % 2, 900 * MS);
                for _ in 0..8 {
                    node.advance(node.now + 10 * MS);
                    for (id, n) in node.attempts_in_flight() {
                        if node.now >= node.attempts_of(id)[n].sent_at + 60 * MS {
                            node.end_attempt(id, n, AttemptOutcome::Success);
                        }
                    }
                }
            }
        };
        rounds(&mut node, 100);
        // Two of three are replaced by ones in slow start.
        let now = node.now;
        let all = (1..=200).map(|id| match id % 3 {
            0 => endpoint(id),
            _ => EndpointInfo { started_at: now, ..endpoint(1_000 + id) },
        });
        node.update_endpoints(EndpointUpdate::Snapshot(list(all)));
        let before = node.actions.len();
        rounds(&mut node, 100);
        assert!(node.violations.is_empty(), "{:?}", node.violations);
        node.actions[before..].iter().filter(|action| matches!(action, Action::Reject { .. })).count()
    };
    let all: Vec<_> = (0..40).map(|number| refusals(number * 7)).collect();
    let worst = all.iter().max().copied().unwrap_or_default();
    assert!(worst <= 10, "of 100: {all:?}");
}
