//! Load reports between nodes: they improve selection when they arrive, and do no harm when lost, late,
//! duplicated, wrong or malformed.

mod common;

use std::collections::BTreeSet;

use common::*;
use pumicehead_policy::load_reports::{PeerReports, encode, peers_in_group};
use pumicehead_policy::*;

#[test]
fn a_report_replaces_the_last_and_malformed_ones_are_ignored() {
    let mut peers = PeerReports::default();
    peers.record(7, &encode(1, [(EndpointId(1), 2), (EndpointId(2), 0)]), SECOND);
    peers.record(8, &encode(200, [(EndpointId(1), 1)]), SECOND);
    assert_eq!(
        (peers.in_flight(EndpointId(1)), peers.in_flight(EndpointId(2)), peers.reporting_peers()),
        (3, 0, 2)
    );
    for ignored in [&[][..], &[1], &[9, 9, 0, 0], &[1, 2, 1, 0, 0], &[1; 255]] {
        peers.record(7, ignored, SECOND);
    }
    assert_eq!(peers.in_flight(EndpointId(1)), 3, "malformed reports, or not newer ones, are ignored");
    peers.record(7, &encode(0, [(EndpointId(1), 9)]), SECOND);
    peers.record(7, &encode(1, [(EndpointId(1), 9)]), SECOND);
    assert_eq!(peers.in_flight(EndpointId(1)), 3, "reordered and duplicated reports are ignored");
    peers.record(7, &encode(2, [(EndpointId(3), 1)]), 2 * SECOND);
    assert_eq!((peers.in_flight(EndpointId(1)), peers.in_flight(EndpointId(3))), (1, 1));
    peers.expire(2 * SECOND, SECOND);
    assert_eq!(
        (peers.in_flight(EndpointId(1)), peers.reporting_peers()),
        (0, 2),
        "an expired report no longer counts"
    );
    peers.expire(3 * SECOND, 3 * SECOND);
    assert_eq!((peers.in_flight(EndpointId(3)), peers.reporting_peers()), (0, 0));
    let long = encode(0, (0..1000).map(|id| (EndpointId(id), 1000)));
    assert!(long.len() <= 256, "{} bytes", long.len());
}

#[test]
fn groups_cover_all_nodes_and_membership_is_symmetric() {
    for (nodes, groups) in [(100, 7), (1000, 46), (84, 6)] {
        let mut seen = BTreeSet::new();
        for node in 0..nodes {
            let peers = peers_in_group(node, nodes, groups);
            assert!(peers.len() + 1 >= nodes as usize / groups / 2, "no group is too small");
            assert!(peers.iter().all(|&peer| peers_in_group(peer, nodes, groups).contains(&node)));
            seen.insert(node);
        }
        assert_eq!(seen.len(), nodes as usize);
    }
}

fn node_with_peers() -> (TestNode, Vec<u32>, BTreeSet<EndpointId>) {
    let node_settings = Settings {
        node_count: 60,
        load_reports: true,
        ..settings(vec![class(Idempotency::Idempotent, 1.0)])
    };
    let mut node = TestNode::with_endpoints(node_settings, 20);
    let mut used = BTreeSet::new();
    for _ in 0..100 {
        let id = node.request(0, 900 * MS);
        used.extend(node.attempts_of(id).iter().map(|attempt| attempt.endpoint));
        node.advance(node.now + 20 * MS);
        for (id, n) in node.attempts_in_flight() {
            node.end_attempt(id, n, AttemptOutcome::Success);
        }
    }
    let peers: BTreeSet<u32> = node
        .actions
        .iter()
        .filter_map(|action| if let Action::SendLoadReport { to, .. } = action { Some(*to) } else { None })
        .collect();
    (node, peers.into_iter().collect(), used)
}

/// Nodes that select endpoints blindly overload one endpoint while others are idle.
#[test]
fn an_endpoint_reported_as_busy_by_peers_is_avoided() {
    let (mut node, peers, used) = node_with_peers();
    assert!(peers.len() >= 3 && !peers.contains(&0), "{peers:?}");
    let busy = *used.first().unwrap();
    for sequence in 0..40 {
        for &peer in &peers {
            let body = encode(sequence, [(busy, 1)]);
            node.event(Event::LoadReport { from: peer, body });
        }
        let id = node.request(0, 900 * MS);
        assert!(node.attempts_of(id).iter().all(|attempt| attempt.endpoint != busy), "round {sequence}");
        node.advance(node.now + 10 * MS);
        for (id, n) in node.attempts_in_flight() {
            node.end_attempt(id, n, AttemptOutcome::Success);
        }
    }
    // After the reports have ceased, the endpoint is soon used again and all requests are served.
    node.advance(node.now + 5 * SECOND);
    let later: BTreeSet<EndpointId> = (0..60)
        .flat_map(|_| {
            let id = node.request(0, 900 * MS);
            let endpoint = node.attempts_of(id)[0].endpoint;
            node.advance(node.now + 10 * MS);
            node.end_attempt(id, 0, AttemptOutcome::Success);
            [endpoint]
        })
        .collect();
    assert!(later.contains(&busy));
    assert!(node.violations.is_empty());
}

#[test]
fn no_reports_are_sent_if_disallowed_or_too_expensive() {
    for (allowed, report_cost) in [(false, 0.0), (true, 10.0)] {
        let node_settings = Settings {
            node_count: 60,
            load_reports: allowed,
            load_report_cost: report_cost,
            ..settings(vec![class(Idempotency::Idempotent, 1.0)])
        };
        let mut node = TestNode::with_endpoints(node_settings, 20);
        for _ in 0..20 {
            node.request(0, 900 * MS);
            node.advance(node.now + 20 * MS);
        }
        assert!(!node.actions.iter().any(|action| matches!(action, Action::SendLoadReport { .. })));
    }
}
