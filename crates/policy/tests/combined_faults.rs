//! Faults that coincide: the rules hold all the while, every request is answered, and service recovers by
//! itself once the faults are over.

mod common;

use common::*;
use pumicehead_policy::*;

const CALM: Nanos = 40 * MS;

/// One idempotent request and one that isn't every 10 ms; attempts end with what `end` returns 40 ms after
/// their start, or not at all for `None`. Returns how many requests were served.
fn run(node: &mut TestNode, rounds: usize, end: impl Fn(&AttemptRecord) -> Option<AttemptOutcome>) -> usize {
    let first = node.requests.len();
    for _ in 0..rounds {
        node.request(0, 900 * MS);
        node.request(1, 900 * MS);
        node.advance(node.now + 10 * MS);
        for (id, n) in node.attempts_in_flight() {
            let tried = &node.attempts_of(id)[n];
            if node.now >= tried.sent_at + CALM
                && let Some(outcome) = end(tried)
            {
                node.end_attempt(id, n, outcome);
            }
        }
    }
    let served = |k: &&RequestRecord| k.attempts.iter().any(|t| t.outcome == Some(AttemptOutcome::Success));
    node.requests.values().skip(first).filter(served).count()
}

fn ok(_: &AttemptRecord) -> Option<AttemptOutcome> {
    Some(AttemptOutcome::Success)
}

fn node_settings() -> Settings {
    settings(vec![class(Idempotency::Idempotent, 1.0), class(Idempotency::NotIdempotent, 5.0)])
}

/// Ten seconds after the fault, nearly all requests of two seconds are served, and of the two seconds after
/// that as well.
fn comes_back(node: &mut TestNode, what: &str) {
    run(node, 1000, ok);
    for _ in 0..2 {
        let served = run(node, 200, ok);
        assert!(served >= 380, "{what}: {served} of 400 served after the trouble");
    }
    node.advance(node.now + 2 * SECOND);
    assert!(node.all_answered(), "{what}");
    assert_eq!(node.violations, Vec::<String>::new(), "{what}");
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
        run(&mut node, 200, ok);
        assert_eq!(run(&mut node, 500, |_| Some(outcome)), 0);
        comes_back(&mut node, &format!("{outcome:?}"));
    }
}

#[test]
fn service_recovers_after_all_endpoints_hung() {
    let mut node = TestNode::with_endpoints(node_settings(), 6);
    run(&mut node, 200, ok);
    run(&mut node, 300, |_| None);
    comes_back(&mut node, "silence");
}

#[test]
fn draining_endpoints_stay_unused_while_discovery_is_lost() {
    let mut node = TestNode::with_endpoints(Settings { discovery: Discovery::Poll, ..node_settings() }, 6);
    run(&mut node, 200, ok);
    let draining = (1..=3).map(|id| EndpointInfo { state: EndpointState::Draining, ..endpoint(id) });
    node.update_endpoints(EndpointUpdate::Delta(list(draining)));
    node.update_endpoints(EndpointUpdate::WatchFailed);
    run(&mut node, 500, ok);
    comes_back(&mut node, "drain without a list");
    let late = node.requests.values().rev().take(100).flat_map(|k| &k.attempts);
    assert!(late.map(|t| t.endpoint.0).all(|id| id > 3), "the last list is in force");
}

#[test]
fn service_recovers_from_a_hung_new_endpoint_among_failing_ones() {
    let mut node = TestNode::with_endpoints(node_settings(), 4);
    run(&mut node, 200, ok);
    let fresh = EndpointInfo { started_at: node.now, ..endpoint(9) };
    node.update_endpoints(EndpointUpdate::Delta(list([fresh])));
    run(&mut node, 500, |t| match t.endpoint.0 {
        9 => None,
        1 => Some(AttemptOutcome::Error),
        _ => Some(AttemptOutcome::Success),
    });
    comes_back(&mut node, "fresh and hung");
}

#[test]
fn service_recovers_when_all_endpoints_are_in_slow_start_and_the_node_is_new() {
    let mut node = TestNode::new(node_settings(), 5);
    let now = node.now;
    node.update_endpoints(EndpointUpdate::Restored(list(
        (1..=4).map(|id| EndpointInfo { started_at: now, ..endpoint(id) }),
    )));
    run(&mut node, 300, ok);
    comes_back(&mut node, "all cold");
}

#[test]
fn service_recovers_after_all_endpoints_were_removed() {
    let mut node = TestNode::with_endpoints(node_settings(), 6);
    run(&mut node, 200, ok);
    node.update_endpoints(EndpointUpdate::Snapshot(list([endpoint(4)])));
    run(&mut node, 200, ok);
    node.update_endpoints(EndpointUpdate::Snapshot(list([])));
    assert_eq!(run(&mut node, 200, |_| None), 0);
    node.update_endpoints(EndpointUpdate::Snapshot(list((1..=6).map(endpoint))));
    comes_back(&mut node, "none left");
}

#[test]
fn service_recovers_with_one_attempt_and_no_cancellation() {
    let bare = Settings {
        max_attempts: 1,
        concurrent_attempts: false,
        cancellation: false,
        retry_after: false,
        ..node_settings()
    };
    let mut node = TestNode::with_endpoints(bare, 6);
    run(&mut node, 200, ok);
    run(&mut node, 300, |t| if t.endpoint.0 == 2 { None } else { Some(AttemptOutcome::Error) });
    comes_back(&mut node, "one attempt, no cancel");
    assert!(node.requests.values().all(|k| k.attempts.len() <= 1));
}

#[test]
fn service_recovers_from_clients_whose_deadline_is_under_the_objective() {
    let mut node = TestNode::with_endpoints(node_settings(), 6);
    for _ in 0..300 {
        node.request(0, 60 * MS);
        node.request(1, MS);
        node.advance(node.now + 10 * MS);
        for (id, n) in node.attempts_in_flight() {
            if node.now >= node.attempts_of(id)[n].sent_at + CALM {
                node.end_attempt(id, n, AttemptOutcome::Success);
            }
        }
    }
    comes_back(&mut node, "impatient");
}
