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
fn nodes_use_different_small_subsets() {
    let used_endpoints = |node_index| {
        let mut node_settings = settings(vec![class(Idempotency::Idempotent, 1.0)]);
        (node_settings.node_count, node_settings.node_index, node_settings.connections_have_cost) =
            (1000, node_index, true);
        let mut node = TestNode::new(node_settings, 9);
        node.update_endpoints(EndpointUpdate::Restored(list((1..200).map(endpoint))));
        serve(&mut node, 200, 20 * MS);
        let all =
            node.requests.values().flat_map(|request| &request.attempts).map(|attempt| attempt.endpoint);
        all.collect::<std::collections::BTreeSet<_>>()
    };
    let (first, second) = (used_endpoints(1), used_endpoints(2));
    assert!(first.len() <= 8 && second.len() <= 8, "few connections: {} and {}", first.len(), second.len());
    assert_ne!(first, second);
}

/// If all nodes lacked capacity and used more endpoints because of that, every endpoint would be shared by
/// nodes that can't see each other's attempts.
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
    let used_endpoints: std::collections::BTreeSet<_> = node
        .requests
        .values()
        .flat_map(|request| &request.attempts)
        .map(|attempt| attempt.endpoint)
        .collect();
    assert!(
        node.actions.iter().any(|action| matches!(action, Action::Reject { .. })),
        "the node lacks capacity"
    );
    assert!(used_endpoints.len() <= 60, "{} of 200 endpoints used", used_endpoints.len());
    assert!(node.violations.is_empty());
}

/// If most endpoints of a node are in slow start, it uses more of them, so that no node lacks capacity while
/// others have plenty.
#[test]
fn replacing_most_endpoints_leaves_every_node_with_capacity() {
    let rejections = |node_index: u32| {
        let node_settings = Settings {
            node_count: 300,
            node_index,
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
        // Two of three endpoints are replaced by endpoints in slow start.
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
    let all: Vec<_> = (0..40).map(|number| rejections(number * 7)).collect();
    let worst = all.iter().max().copied().unwrap_or_default();
    assert!(worst <= 10, "rejections of 100 requests: {all:?}");
}
