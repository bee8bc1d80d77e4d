//! Number of nodes that share the endpoints, as agreed by the nodes instead of taken from the settings.

mod common;

use std::collections::BTreeSet;

use common::*;
use pumicehead_policy::*;

/// Returns the endpoints that a node uses, according to its attempts over some time.
fn used_endpoints(node: &mut TestNode) -> BTreeSet<EndpointId> {
    let mut used_endpoints = BTreeSet::new();
    for _ in 0..400 {
        let id = node.request(0, 900 * MS);
        node.advance(node.now + 10 * MS);
        for (id, n) in node.attempts_in_flight() {
            node.end_attempt(id, n, AttemptOutcome::Success);
        }
        used_endpoints.extend(node.attempts_of(id).first().map(|attempt| attempt.endpoint));
    }
    used_endpoints
}

fn node_of(node_count: u32) -> TestNode {
    TestNode::with_endpoints(
        Settings { node_count, ..settings(vec![class(Idempotency::Idempotent, 1.0)]) },
        40,
    )
}

/// If fewer nodes share the endpoints, each node uses more of them, and fewer again once other nodes join. An
/// update of the settings keeps the agreed numbers.
#[test]
fn subsets_follow_the_number_of_nodes() {
    let mut node = node_of(40);
    assert_eq!(used_endpoints(&mut node).len(), 5);
    node.event(Event::NodeShare(NodeShare { node_index: 0, node_count: 4 }));
    assert_eq!(used_endpoints(&mut node).len(), 10);
    let mut settings_update = node.settings.clone();
    settings_update.classes[0].priority_weight = 3.0;
    assert!(
        node.balancer.update_settings(settings_update),
        "the same settings with another weight are accepted"
    );
    assert_eq!(used_endpoints(&mut node).len(), 10);
    node.event(Event::NodeShare(NodeShare { node_index: 0, node_count: 40 }));
    assert_eq!(used_endpoints(&mut node).len(), 5);
    assert!(node.violations.is_empty() && node.all_answered(), "{:?}", node.violations);
}

/// Nodes with different indices use different endpoints. A node whose index changes switches to those of its
/// new index.
#[test]
fn the_node_index_determines_the_subset() {
    let mut subsets = Vec::new();
    let mut node = node_of(40);
    for node_index in 0..4 {
        node.event(Event::NodeShare(NodeShare { node_index, node_count: 40 }));
        subsets.push(used_endpoints(&mut node));
    }
    for (index, other) in [(0, 1), (0, 2), (1, 3)] {
        assert!(subsets[index].is_disjoint(&subsets[other]), "{subsets:?}");
    }
    // A node count of 0 is treated as 1.
    node.event(Event::NodeShare(NodeShare { node_index: 3, node_count: 0 }));
    assert_eq!(used_endpoints(&mut node).len(), 40);
    assert!(node.violations.is_empty(), "{:?}", node.violations);
}
