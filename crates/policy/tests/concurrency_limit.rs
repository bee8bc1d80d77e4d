//! Concurrency limits as they are learned.

mod common;

use common::*;
use pumicehead_policy::*;

#[test]
fn bursts_do_not_raise_limits() {
    let node_settings = Class {
        latency_objective: 2 * SECOND,
        deadline: 3 * SECOND,
        ..class(Idempotency::NotIdempotent, 1.0)
    };
    let node_settings = Settings { node_count: 140, ..settings(vec![node_settings]) };
    let mut node = TestNode::with_endpoints(node_settings, 50);
    // Far more requests arrive than there is capacity, each served in 300 ms. This node's share of 50
    // endpoints is one or two attempts at first; in its first second and a half it has next to nothing to
    // judge by.
    let mut most = 0;
    for _ in 0..75 {
        node.request(0, 3 * SECOND);
        node.advance(node.now + 20 * MS);
        for (id, n) in node.attempts_in_flight() {
            if node.now >= node.attempts_of(id)[n].sent_at + 300 * MS {
                node.end_attempt(id, n, AttemptOutcome::Success);
            }
        }
        most = most.max(node.attempts_in_flight().len());
    }
    assert!(most <= 6, "{most} out at once");
    assert!(node.violations.is_empty());
}

/// Congested endpoints recover only if they get less: one attempt from each of hundreds of nodes is far too
/// much.
#[test]
fn limits_under_one_are_not_rounded_up_while_endpoints_are_congested() {
    let node_settings = Settings {
        node_count: 400,
        connections_have_cost: true,
        ..settings(vec![class(Idempotency::NotIdempotent, 1.0)])
    };
    let mut node = TestNode::with_endpoints(node_settings, 50);
    let run = |node: &mut TestNode, rounds: usize, took: Nanos| {
        let mut sum = 0;
        for _ in 0..rounds {
            node.request(0, 900 * MS);
            for _ in 0..10 {
                node.advance(node.now + 10 * MS);
                for (id, n) in node.attempts_in_flight() {
                    if node.now >= node.attempts_of(id)[n].sent_at + took {
                        node.end_attempt(id, n, AttemptOutcome::Success);
                    }
                }
                sum += node.attempts_in_flight().len();
            }
        }
        sum as f64 / (10 * rounds) as f64
    };
    let calm = run(&mut node, 100, 20 * MS);
    let refused = node.actions.iter().filter(|a| matches!(a, Action::Reject { .. })).count();
    assert!(refused == 0 && calm > 0.05, "sent at once while servers are fast: {refused} refused");
    run(&mut node, 50, 350 * MS);
    let jammed = run(&mut node, 100, 350 * MS);
    assert!(jammed < 0.6, "{jammed} out on the mean");
    assert!(node.violations.is_empty());
}

/// A node that is alone on its endpoints and starts with several attempts each would crowd them in its first
/// seconds, and learn a baseline latency under load.
#[test]
fn a_node_alone_on_its_endpoints_starts_with_one_attempt_each() {
    let node_settings = Settings { node_count: 20, ..settings(vec![class(Idempotency::Idempotent, 1.0)]) };
    let mut node = TestNode::with_endpoints(node_settings, 100);
    for _ in 0..40 {
        node.request(0, 900 * MS);
    }
    let out = node.attempts_in_flight().len();
    assert!((5..=10).contains(&out), "{out} out at once on 5 servers");
}

/// Endpoints that are replaced all the time must not start with the least limit each: most requests would be
/// rejected beside idle endpoints.
#[test]
fn replacing_all_endpoints_keeps_the_capacity() {
    let mut node = TestNode::with_endpoints(two_classes(), 4);
    let step = |node: &mut TestNode| {
        for _ in 0..4 {
            node.request(0, 900 * MS);
        }
        node.advance(node.now + 20 * MS);
        for (id, n) in node.attempts_in_flight() {
            if node.now >= node.attempts_of(id)[n].sent_at + 100 * MS {
                node.end_attempt(id, n, AttemptOutcome::Success);
            }
        }
    };
    (0..250).for_each(|_| step(&mut node));
    let before = node.attempts_in_flight().len();
    assert!(before >= 16, "{before} out at first");
    node.update_endpoints(EndpointUpdate::Snapshot(list((100..104).map(endpoint))));
    (0..10).for_each(|_| step(&mut node));
    let new: usize = node
        .attempts_in_flight()
        .iter()
        .filter(|&&(id, n)| node.attempts_of(id)[n].endpoint.0 >= 100)
        .count();
    assert!(2 * new > before, "{new} out after {before}");
    assert!(node.violations.is_empty());
}

/// Latency of the network is no sign of overload: if only far endpoints are left, they keep their capacity.
#[test]
fn network_distance_is_not_taken_for_overload() {
    let both = Settings { zone_count: 2, ..two_classes() };
    let mut node = TestNode::with_endpoints(both, 4);
    let far = |id| EndpointInfo { zone: ZoneId(1), ..endpoint(id) };
    node.update_endpoints(EndpointUpdate::Delta(list((11..15).map(far))));
    let step = |node: &mut TestNode, count: usize| {
        for _ in 0..count {
            node.request(0, 900 * MS);
        }
        node.advance(node.now + 20 * MS);
        for (id, n) in node.attempts_in_flight() {
            let attempt = &node.attempts_of(id)[n];
            let takes = if attempt.endpoint.0 >= 11 { 100 } else { 20 };
            if node.now >= attempt.sent_at + takes * MS {
                node.end_attempt(id, n, AttemptOutcome::Success);
            }
        }
    };
    (0..500).for_each(|_| step(&mut node, 3));
    node.update_endpoints(EndpointUpdate::Snapshot(list((11..15).map(far))));
    (0..250).for_each(|_| step(&mut node, 3));
    let out = node.attempts_in_flight().len();
    assert!(out >= 12, "{out} out at the far servers");
}
