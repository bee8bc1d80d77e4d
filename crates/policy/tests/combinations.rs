//! Troubles that come together, and ones that no list names: the rules hold all the while, everything is
//! answered, and service comes back by itself once the trouble is over.

mod common;

use common::*;
use pumicehead_policy::*;

const CALM: Nanos = 40 * MS;

/// One safe request and one unsafe every 10 ms; what `end` says of an attempt ends it 40 ms after its
/// start, `None` leaves it out. Returns how many requests were served.
fn run(node: &mut Node, rounds: usize, end: impl Fn(&Try) -> Option<AttemptOutcome>) -> usize {
    let first = node.requests.len();
    for _ in 0..rounds {
        node.request(0, 900 * MS);
        node.request(1, 900 * MS);
        node.advance(node.now + 10 * MS);
        for (id, n) in node.out() {
            let tried = &node.tries(id)[n];
            if node.now >= tried.at + CALM
                && let Some(outcome) = end(tried)
            {
                node.end(id, n, outcome);
            }
        }
    }
    let served = |k: &&Known| k.tries.iter().any(|t| t.ended == Some(AttemptOutcome::Success));
    node.requests.values().skip(first).filter(served).count()
}

fn ok(_: &Try) -> Option<AttemptOutcome> {
    Some(AttemptOutcome::Success)
}

fn told() -> Settings {
    settings(vec![class(Idempotency::Idempotent, 1.0), class(Idempotency::NotIdempotent, 5.0)])
}

/// After the trouble, ten seconds to recover; then nearly all of two seconds' requests are served, and in
/// the two seconds after that as well.
fn comes_back(node: &mut Node, what: &str) {
    run(node, 1000, ok);
    for _ in 0..2 {
        let served = run(node, 200, ok);
        assert!(served >= 380, "{what}: {served} of 400 served after the trouble");
    }
    node.advance(node.now + 2 * SECOND);
    assert!(node.all_answered(), "{what}");
    assert_eq!(node.broken, Vec::<String>::new(), "{what}");
}

#[test]
fn every_answer_a_failure() {
    for outcome in [
        AttemptOutcome::Error,
        AttemptOutcome::Rejected,
        AttemptOutcome::ConnectFailed,
        AttemptOutcome::Reset,
        AttemptOutcome::NotSent,
    ] {
        let mut node = Node::with_servers(told(), 6);
        run(&mut node, 200, ok);
        assert_eq!(run(&mut node, 500, |_| Some(outcome)), 0);
        comes_back(&mut node, &format!("{outcome:?}"));
    }
}

#[test]
fn every_server_silent() {
    let mut node = Node::with_servers(told(), 6);
    run(&mut node, 200, ok);
    run(&mut node, 300, |_| None);
    comes_back(&mut node, "silence");
}

#[test]
fn the_list_is_lost_while_servers_drain() {
    let mut node = Node::with_servers(Settings { discovery: Discovery::Poll, ..told() }, 6);
    run(&mut node, 200, ok);
    let draining = (1..=3).map(|id| EndpointInfo { state: EndpointState::Draining, ..server(id) });
    node.members(EndpointUpdate::Delta(list(draining)));
    node.members(EndpointUpdate::WatchFailed);
    run(&mut node, 500, ok);
    comes_back(&mut node, "drain without a list");
    let late = node.requests.values().rev().take(100).flat_map(|k| &k.tries);
    assert!(late.map(|t| t.server.0).all(|id| id > 3), "the last list is in force");
}

#[test]
fn a_fresh_server_that_hangs_among_failing_ones() {
    let mut node = Node::with_servers(told(), 4);
    run(&mut node, 200, ok);
    let fresh = EndpointInfo { started_at: node.now, ..server(9) };
    node.members(EndpointUpdate::Delta(list([fresh])));
    run(&mut node, 500, |t| match t.server.0 {
        9 => None,
        1 => Some(AttemptOutcome::Error),
        _ => Some(AttemptOutcome::Success),
    });
    comes_back(&mut node, "fresh and hung");
}

#[test]
fn all_servers_cold_and_the_node_just_started() {
    let mut node = Node::new(told(), 5);
    let now = node.now;
    node.members(EndpointUpdate::Restored(list(
        (1..=4).map(|id| EndpointInfo { started_at: now, ..server(id) }),
    )));
    run(&mut node, 300, ok);
    comes_back(&mut node, "all cold");
}

#[test]
fn one_server_left_then_none_then_all() {
    let mut node = Node::with_servers(told(), 6);
    run(&mut node, 200, ok);
    node.members(EndpointUpdate::Snapshot(list([server(4)])));
    run(&mut node, 200, ok);
    node.members(EndpointUpdate::Snapshot(list([])));
    assert_eq!(run(&mut node, 200, |_| None), 0);
    node.members(EndpointUpdate::Snapshot(list((1..=6).map(server))));
    comes_back(&mut node, "none left");
}

#[test]
fn little_is_permitted() {
    let bare = Settings {
        max_attempts: 1,
        concurrent_attempts: false,
        cancellation: false,
        retry_after: false,
        ..told()
    };
    let mut node = Node::with_servers(bare, 6);
    run(&mut node, 200, ok);
    run(&mut node, 300, |t| if t.server.0 == 2 { None } else { Some(AttemptOutcome::Error) });
    comes_back(&mut node, "one attempt, no cancel");
    assert!(node.requests.values().all(|k| k.tries.len() <= 1));
}

#[test]
fn a_client_more_impatient_than_the_aim() {
    let mut node = Node::with_servers(told(), 6);
    for _ in 0..300 {
        node.request(0, 60 * MS);
        node.request(1, MS);
        node.advance(node.now + 10 * MS);
        for (id, n) in node.out() {
            if node.now >= node.tries(id)[n].at + CALM {
                node.end(id, n, AttemptOutcome::Success);
            }
        }
    }
    comes_back(&mut node, "impatient");
}
