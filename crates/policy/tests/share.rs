//! How many nodes share the servers, as the fleet's own view says in place of the settings.

mod common;

use std::collections::BTreeSet;

use common::*;
use pumicehead_policy::*;

/// The servers that a node uses, by what it sends within a while.
fn used(node: &mut Node) -> BTreeSet<EndpointId> {
    let mut used = BTreeSet::new();
    for _ in 0..400 {
        let id = node.request(0, 900 * MS);
        node.advance(node.now + 10 * MS);
        for (id, n) in node.out() {
            node.end(id, n, AttemptOutcome::Success);
        }
        used.extend(node.tries(id).first().map(|attempt| attempt.server));
    }
    used
}

fn node(nodes: u32) -> Node {
    Node::with_servers(
        Settings { node_count: nodes, ..settings(vec![class(Idempotency::Idempotent, 1.0)]) },
        40,
    )
}

/// Guards coverage: where fewer nodes share the servers each uses more of them, and fewer again once others come. What the file
/// says of classes goes on to count, and does not bring back what it says of nodes.
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
    assert!(one.broken.is_empty() && one.all_answered(), "{:?}", one.broken);
}

/// Guards numbers: nodes with other numbers use other servers, and one that takes another number goes over to those.
#[test]
fn the_number_is_the_place_on_the_ring() {
    let mut places = Vec::new();
    let mut one = node(40);
    for me in 0..4 {
        one.event(Event::NodeShare(NodeShare { node_index: me, node_count: 40 }));
        places.push(used(&mut one));
    }
    for (place, other) in [(0, 1), (0, 2), (1, 3)] {
        assert!(places[place].is_disjoint(&places[other]), "{places:?}");
    }
    // None is no number of nodes.
    one.event(Event::NodeShare(NodeShare { node_index: 3, node_count: 0 }));
    assert_eq!(used(&mut one).len(), 40);
    assert!(one.broken.is_empty(), "{:?}", one.broken);
}
