//! Combined faults: the rules hold throughout, every request is answered, and service recovers without
//! intervention once the faults are over.

mod common;

use common::*;
use pumicehead_policy::*;

const RESPONSE_TIME: Nanos = 40 * MS;

/// Sends one idempotent and one non-idempotent request every 10 ms. Attempts end with the outcome that `end`
/// returns 40 ms or more after their start; with `None` they don't end. Returns the number of requests
/// served.
fn run(node: &mut TestNode, rounds: usize, end: impl Fn(&AttemptRecord) -> Option<AttemptOutcome>) -> usize {
    let first = node.requests.len();
    for _ in 0..rounds {
        node.request(0, 900 * MS);
        node.request(1, 900 * MS);
        node.advance(node.now + 10 * MS);
        for (id, n) in node.attempts_in_flight() {
            let attempt = &node.attempts_of(id)[n];
            if node.now >= attempt.sent_at + RESPONSE_TIME
                && let Some(outcome) = end(attempt)
            {
                node.end_attempt(id, n, outcome);
            }
        }
    }
    let served = |request: &&RequestRecord| {
        request.attempts.iter().any(|attempt| attempt.outcome == Some(AttemptOutcome::Success))
    };
    node.requests.values().skip(first).filter(served).count()
}

fn succeed(_: &AttemptRecord) -> Option<AttemptOutcome> {
    Some(AttemptOutcome::Success)
}

fn node_settings() -> Settings {
    settings(vec![class(Idempotency::Idempotent, 1.0), class(Idempotency::NotIdempotent, 5.0)])
}

/// Checks that ten seconds after the fault nearly all requests of two seconds are served, and of the next two
/// seconds as well.
fn check_recovery(node: &mut TestNode, fault: &str) {
    run(node, 1000, succeed);
    for _ in 0..2 {
        let served = run(node, 200, succeed);
        assert!(served >= 380, "{fault}: {served} of 400 served after the fault");
    }
    node.advance(node.now + 2 * SECOND);
    assert!(node.all_answered(), "{fault}");
    assert_eq!(node.violations, Vec::<String>::new(), "{fault}");
}

#[test]
fn service_recovers_after_all_attempts_failed() {
    for outcome in [
        AttemptOutcome::Error,
        AttemptOutcome::Rejected,
        AttemptOutcome::ConnectFailed,
        AttemptOutcome::Reset,
        AttemptOutcome::NotSent,
    ] {
        let mut node = TestNode::with_endpoints(node_settings(), 6);
        run(&mut node, 200, succeed);
        assert_eq!(run(&mut node, 500, |_| Some(outcome)), 0);
        check_recovery(&mut node, &format!("{outcome:?}"));
    }
}

#[test]
fn service_recovers_after_all_endpoints_hung() {
    let mut node = TestNode::with_endpoints(node_settings(), 6);
    run(&mut node, 200, succeed);
    run(&mut node, 300, |_| None);
    check_recovery(&mut node, "all endpoints hung");
}

#[test]
fn draining_endpoints_stay_unused_while_discovery_is_lost() {
    let mut node = TestNode::with_endpoints(Settings { discovery: Discovery::Poll, ..node_settings() }, 6);
    run(&mut node, 200, succeed);
    let draining = (1..=3).map(|id| EndpointInfo { state: EndpointState::Draining, ..endpoint(id) });
    node.update_endpoints(EndpointUpdate::Delta(list(draining)));
    node.update_endpoints(EndpointUpdate::WatchFailed);
    run(&mut node, 500, succeed);
    check_recovery(&mut node, "drain while discovery is lost");
    let latest = node.requests.values().rev().take(100).flat_map(|request| &request.attempts);
    assert!(latest.map(|attempt| attempt.endpoint.0).all(|id| id > 3), "the last update still applies");
}

#[test]
fn service_recovers_from_a_hung_new_endpoint_among_failing_ones() {
    let mut node = TestNode::with_endpoints(node_settings(), 4);
    run(&mut node, 200, succeed);
    let new_endpoint = EndpointInfo { started_at: node.now, ..endpoint(9) };
    node.update_endpoints(EndpointUpdate::Delta(list([new_endpoint])));
    run(&mut node, 500, |attempt| match attempt.endpoint.0 {
        9 => None,
        1 => Some(AttemptOutcome::Error),
        _ => Some(AttemptOutcome::Success),
    });
    check_recovery(&mut node, "new and hung endpoint");
}

#[test]
fn service_recovers_when_all_endpoints_are_in_slow_start_and_the_node_is_new() {
    let mut node = TestNode::new(node_settings(), 5);
    let now = node.now;
    node.update_endpoints(EndpointUpdate::Restored(list(
        (1..=4).map(|id| EndpointInfo { started_at: now, ..endpoint(id) }),
    )));
    run(&mut node, 300, succeed);
    check_recovery(&mut node, "all endpoints in slow start");
}

#[test]
fn service_recovers_after_all_endpoints_were_removed() {
    let mut node = TestNode::with_endpoints(node_settings(), 6);
    run(&mut node, 200, succeed);
    node.update_endpoints(EndpointUpdate::Snapshot(list([endpoint(4)])));
    run(&mut node, 200, succeed);
    node.update_endpoints(EndpointUpdate::Snapshot(list([])));
    assert_eq!(run(&mut node, 200, |_| None), 0);
    node.update_endpoints(EndpointUpdate::Snapshot(list((1..=6).map(endpoint))));
    check_recovery(&mut node, "all endpoints removed");
}

#[test]
fn service_recovers_with_one_attempt_and_no_cancellation() {
    let minimal = Settings {
        max_attempts: 1,
        concurrent_attempts: false,
        cancellation: false,
        retry_after: false,
        ..node_settings()
    };
    let mut node = TestNode::with_endpoints(minimal, 6);
    run(&mut node, 200, succeed);
    run(&mut node, 300, |attempt| if attempt.endpoint.0 == 2 { None } else { Some(AttemptOutcome::Error) });
    check_recovery(&mut node, "one attempt, no cancellation");
    assert!(node.requests.values().all(|request| request.attempts.len() <= 1));
}

#[test]
fn service_recovers_from_clients_whose_deadline_is_under_the_objective() {
    let mut node = TestNode::with_endpoints(node_settings(), 6);
    for _ in 0..300 {
        node.request(0, 60 * MS);
        node.request(1, MS);
        node.advance(node.now + 10 * MS);
        for (id, n) in node.attempts_in_flight() {
            if node.now >= node.attempts_of(id)[n].sent_at + RESPONSE_TIME {
                node.end_attempt(id, n, AttemptOutcome::Success);
            }
        }
    }
    check_recovery(&mut node, "short deadlines");
}
