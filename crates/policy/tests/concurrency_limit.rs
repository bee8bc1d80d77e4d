//! Learning of concurrency limits.

mod common;

use common::*;
use pumicehead_policy::*;

#[test]
fn bursts_do_not_raise_limits() {
    let class = Class {
        latency_objective: 2 * SECOND,
        deadline: 3 * SECOND,
        ..class(Idempotency::NotIdempotent, 1.0)
    };
    let node_settings = Settings { node_count: 140, ..settings(vec![class]) };
    let mut node = TestNode::with_endpoints(node_settings, 50);
    // Far more requests arrive than there is capacity for, and each is served in 300 ms. This node's share of
    // 50 endpoints is one or two attempts at first. In its first one and a half seconds it has hardly any
    // samples to learn from.
    let mut max_in_flight = 0;
    for _ in 0..75 {
        node.request(0, 3 * SECOND);
        node.advance(node.now + 20 * MS);
        for (id, n) in node.attempts_in_flight() {
            if node.now >= node.attempts_of(id)[n].sent_at + 300 * MS {
                node.end_attempt(id, n, AttemptOutcome::Success);
            }
        }
        max_in_flight = max_in_flight.max(node.attempts_in_flight().len());
    }
    assert!(max_in_flight <= 6, "{max_in_flight} attempts in flight at once");
    assert!(node.violations.is_empty());
}

/// Congested endpoints recover only if they get fewer requests: one attempt from each of hundreds of nodes is
/// far too many.
#[test]
fn limits_under_one_are_not_rounded_up_while_endpoints_are_congested() {
    let node_settings = Settings {
        node_count: 400,
        connections_have_cost: true,
        ..settings(vec![class(Idempotency::NotIdempotent, 1.0)])
    };
    let mut node = TestNode::with_endpoints(node_settings, 50);
    let run = |node: &mut TestNode, rounds: usize, duration: Nanos| {
        let mut sum = 0;
        for _ in 0..rounds {
            node.request(0, 900 * MS);
            for _ in 0..10 {
                node.advance(node.now + 10 * MS);
                for (id, n) in node.attempts_in_flight() {
                    if node.now >= node.attempts_of(id)[n].sent_at + duration {
                        node.end_attempt(id, n, AttemptOutcome::Success);
                    }
                }
                sum += node.attempts_in_flight().len();
            }
        }
        sum as f64 / (10 * rounds) as f64
    };
    let uncongested = run(&mut node, 100, 20 * MS);
    let rejected = node.actions.iter().filter(|action| matches!(action, Action::Reject { .. })).count();
    assert!(
        rejected == 0 && uncongested > 0.05,
        "no request is rejected while endpoints are fast: {rejected} rejected, {uncongested} in flight on average"
    );
    run(&mut node, 50, 350 * MS);
    let congested = run(&mut node, 100, 350 * MS);
    assert!(congested < 0.6, "{congested} attempts in flight on average");
    assert!(node.violations.is_empty());
}

/// A node that is alone on its endpoints would overload them in its first seconds if it started with several
/// attempts each, and would learn a baseline latency under load.
#[test]
fn a_node_alone_on_its_endpoints_starts_with_one_attempt_each() {
    let node_settings = Settings { node_count: 20, ..settings(vec![class(Idempotency::Idempotent, 1.0)]) };
    let mut node = TestNode::with_endpoints(node_settings, 100);
    for _ in 0..40 {
        node.request(0, 900 * MS);
    }
    let in_flight = node.attempts_in_flight().len();
    assert!((5..=10).contains(&in_flight), "{in_flight} attempts in flight at 5 endpoints");
}

/// Endpoints that are replaced all the time must not start with the minimum limit each. Otherwise most
/// requests would be rejected although endpoints are idle.
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
    let in_flight_before = node.attempts_in_flight().len();
    assert!(in_flight_before >= 16, "{in_flight_before} attempts in flight at first");
    node.update_endpoints(EndpointUpdate::Snapshot(list((100..104).map(endpoint))));
    (0..10).for_each(|_| step(&mut node));
    let new: usize = node
        .attempts_in_flight()
        .iter()
        .filter(|&&(id, n)| node.attempts_of(id)[n].endpoint.0 >= 100)
        .count();
    assert!(
        2 * new > in_flight_before,
        "{new} attempts in flight at the new endpoints, {in_flight_before} before"
    );
    assert!(node.violations.is_empty());
}

/// Network latency is no sign of overload: if only distant endpoints are left, they keep their capacity.
#[test]
fn network_distance_is_not_taken_for_overload() {
    let two_zones = Settings { zone_count: 2, ..two_classes() };
    let mut node = TestNode::with_endpoints(two_zones, 4);
    let far = |id| EndpointInfo { zone: ZoneId(1), ..endpoint(id) };
    node.update_endpoints(EndpointUpdate::Delta(list((11..15).map(far))));
    let step = |node: &mut TestNode, count: usize| {
        for _ in 0..count {
            node.request(0, 900 * MS);
        }
        node.advance(node.now + 20 * MS);
        for (id, n) in node.attempts_in_flight() {
            let attempt = &node.attempts_of(id)[n];
            let duration_ms = if attempt.endpoint.0 >= 11 { 100 } else { 20 };
            if node.now >= attempt.sent_at + duration_ms * MS {
                node.end_attempt(id, n, AttemptOutcome::Success);
            }
        }
    };
    (0..500).for_each(|_| step(&mut node, 3));
    node.update_endpoints(EndpointUpdate::Snapshot(list((11..15).map(far))));
    (0..250).for_each(|_| step(&mut node, 3));
    let in_flight = node.attempts_in_flight().len();
    assert!(in_flight >= 12, "{in_flight} attempts in flight at the distant endpoints");
}
