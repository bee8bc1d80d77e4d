//! Requests of classes that are ordered by key.

mod common;

use common::*;
use pumicehead_policy::*;

const KEYED_ALL: Idempotency = Idempotency::IdempotencyKey { scope: DedupScope::All, window: 300 * MS };

fn ordered_settings() -> Settings {
    let keyed_class = Class { ordered_by_key: true, ..class(KEYED_ALL, 1.0) };
    let non_idempotent_class = Class { ordered_by_key: true, ..class(Idempotency::NotIdempotent, 1.0) };
    Settings {
        key_cooldown: 100 * MS,
        ..settings(vec![keyed_class, non_idempotent_class, class(Idempotency::Idempotent, 1.0)])
    }
}

/// The second request of a key must wait for the first, whatever their classes are.
#[test]
fn requests_of_one_key_run_in_order_over_all_ordered_classes() {
    let mut node = TestNode::with_endpoints(ordered_settings(), 6);
    let first = node.request_with_key(0, 900 * MS, 7);
    let second = node.request_with_key(1, 900 * MS, 7);
    let third = node.request_with_key(0, 900 * MS, 7);
    let other_key = node.request_with_key(0, 900 * MS, 8);
    let unordered = node.request_with_key(2, 900 * MS, 7);
    let keyless = node.request(0, 900 * MS);
    let sent = |node: &TestNode, id| node.attempts_of(id).len();
    assert_eq!([first, second, third].map(|id| sent(&node, id)), [1, 0, 0]);
    assert_eq!(
        [other_key, unordered, keyless].map(|id| sent(&node, id)),
        [1; 3],
        "other keys and unordered classes are not affected"
    );
    node.now += 20 * MS;
    node.end_attempt(first, 0, AttemptOutcome::Success);
    assert_eq!(
        [second, third].map(|id| sent(&node, id)),
        [1, 0],
        "the next request follows at once after a success"
    );
    node.now += 20 * MS;
    node.end_attempt(second, 0, AttemptOutcome::Reset);
    assert_eq!(sent(&node, third), 0, "the key is in cooldown");
    node.advance(node.now + 99 * MS);
    assert_eq!(sent(&node, third), 0);
    node.advance(node.now + 2 * MS);
    assert_eq!(sent(&node, third), 1, "the cooldown ends by a timer");
    assert_eq!(node.violations, Vec::<String>::new());
}

#[test]
fn a_turn_waits_for_the_attempts_of_a_disconnected_client() {
    let mut node = TestNode::with_endpoints(Settings { cancellation: false, ..ordered_settings() }, 6);
    let first = node.request_with_key(0, 900 * MS, 7);
    let second = node.request_with_key(0, 300 * MS, 7);
    let third = node.request_with_key(0, 900 * MS, 7);
    let request = node.requests.get_mut(&first.0).unwrap();
    (request.final_answers, request.done_since) = (1, Some(node.now));
    node.event(Event::ClientDisconnected(first));
    node.advance(node.now + 310 * MS);
    assert_eq!(
        node.requests[&second.0].final_answers, 1,
        "the second request is answered in time without its turn"
    );
    assert_eq!(node.attempts_of(third).len(), 0, "the attempt of the disconnected client is still in flight");
    node.end_attempt(first, 0, AttemptOutcome::Success);
    assert_eq!(node.attempts_of(third).len(), 1);
    assert_eq!(node.violations, Vec::<String>::new());
}

#[test]
fn a_retry_needs_no_key_cooldown() {
    let mut node = TestNode::with_endpoints(ordered_settings(), 6);
    let first = node.request_with_key(0, 900 * MS, 7);
    node.now += 20 * MS;
    node.end_attempt(first, 0, AttemptOutcome::Reset);
    assert_eq!(node.attempts_of(first).len(), 2);
    assert_eq!(node.violations, Vec::<String>::new());
}
