//! How many nodes share the endpoints, as the nodes agreed in place of the settings.

mod common;

use std::collections::BTreeSet;

use common::*;
use pumicehead_policy::*;

/// The endpoints that a node uses, by its attempts within a while.
fn used(node: &mut TestNode) -> BTreeSet<EndpointId> {
    let mut used = BTreeSet::new();
    for _ in 0..400 {
        let id = node.request(0, 900 * MS);
        node.advance(node.now + 10 * MS);
        for (id, n) in node.attempts_in_flight() {
            node.end_attempt(id, n, AttemptOutcome::Success);
        }
        used.extend(node.attempts_of(id).first().map(|attempt| attempt.endpoint));
    }
    used
}

fn node(nodes: u32) -> TestNode {
    TestNode::with_endpoints(
        Settings { node_count: nodes, ..settings(vec![class(Idempotency::Idempotent, 1.0)]) },
        40,
    )
}

/// Where fewer nodes share the endpoints each uses more of them, and fewer again once others join. An update
/// of the settings keeps the agreed numbers.
#[test]
fn subsets_follow_the_number_of_nodes() {
    let mut one = node(40);
    assert_eq!(used(&mut one).len(), 5);
    one.event(Event::NodeShare(NodeShare { node_index: 0, node_count: 4 }));
    assert_eq!(used(&mut one).len(), 10);
    let mut again = one.settings.clone();
    again.classes[0].priority_weight = 3.0;
    assert!(
        one.balancer.update_settings(again),
        "settings of the same file are changed in place all the same"
    );
    assert_eq!(used(&mut one).len(), 10);
    one.event(Event::NodeShare(NodeShare { node_index: 0, node_count: 40 }));
    assert_eq!(used(&mut one).len(), 5);
    assert!(one.violations.is_empty() && one.all_answered(), "{:?}", one.violations);
}

/// Nodes with other indices use other endpoints, and one whose index changes goes over to those.
#[test]
fn the_node_index_determines_the_subset() {
    let mut places = Vec::new();
    let mut one = node(40);
    for me in 0..4 {
        one.event(Event::NodeShare(NodeShare { node_index: me, node_count: 40 }));
        places.push(used(&mut one));
    }
    for (place, other) in [(0, 1), (0, 2), (1, 3)] {
        assert!(places[place].is_disjoint(&places[other]), "{places:?}");
    }
    // A count of 0 is taken as 1.
    one.event(Event::NodeShare(NodeShare { node_index: 3, node_count: 0 }));
    assert_eq!(used(&mut one).len(), 40);
    assert!(one.violations.is_empty(), "{:?}", one.violations);
}
