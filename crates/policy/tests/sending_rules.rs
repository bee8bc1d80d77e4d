//! Attempts that must not be sent, and answers that must not be given.

mod common;

use common::*;
use pumicehead_policy::*;

const KEYED_CELL: Idempotency = Idempotency::IdempotencyKey { scope: DedupScope::Cell, window: 300 * MS };
const KEYED_ALL: Idempotency = Idempotency::IdempotencyKey { scope: DedupScope::All, window: 300 * MS };

/// How a request continues after one attempt with a given outcome: it is retried, or it is answered.
#[derive(Debug, PartialEq)]
enum Continuation {
    Retried,
    Rejected,
    Failed,
}

fn continuation_after(idempotency: Idempotency, outcome: AttemptOutcome, cells: u16) -> Continuation {
    continuation_with_settings(settings(vec![class(idempotency, 1.0)]), outcome, cells)
}

fn continuation_with_settings(node_settings: Settings, outcome: AttemptOutcome, cells: u16) -> Continuation {
    let mut node = TestNode::new(node_settings, 3);
    let endpoints = (0..4u16).map(|n| EndpointInfo { cell: CellId(n % cells), ..endpoint(u32::from(n) + 1) });
    node.update_endpoints(EndpointUpdate::Restored(list(endpoints)));
    let id = node.request(0, 900 * MS);
    node.now += 5 * MS;
    let actions = node.end_attempt(id, 0, outcome);
    let continuation = if actions.iter().any(|action| matches!(action, Action::StartAttempt { .. })) {
        Continuation::Retried
    } else {
        node.advance(node.now + SECOND);
        let is_rejected = node.actions.iter().any(|action| matches!(action, Action::Reject { .. }));
        if is_rejected { Continuation::Rejected } else { Continuation::Failed }
    };
    node.advance(node.now + 2 * SECOND);
    assert_eq!(node.violations, Vec::<String>::new());
    assert!(node.all_answered());
    continuation
}

#[test]
fn attempts_that_may_have_executed_are_not_repeated_where_unsafe() {
    for outcome in [AttemptOutcome::Rejected, AttemptOutcome::ConnectFailed, AttemptOutcome::NotSent] {
        for idempotency in [Idempotency::Idempotent, Idempotency::NotIdempotent, KEYED_CELL, KEYED_ALL] {
            assert_eq!(
                continuation_after(idempotency, outcome, 4),
                Continuation::Retried,
                "{idempotency:?} {outcome:?}"
            );
        }
    }
    for outcome in [AttemptOutcome::Error, AttemptOutcome::Reset, AttemptOutcome::TimedOut] {
        assert_eq!(continuation_after(Idempotency::Idempotent, outcome, 4), Continuation::Retried);
        assert_eq!(continuation_after(Idempotency::NotIdempotent, outcome, 4), Continuation::Failed);
        assert_eq!(continuation_after(KEYED_ALL, outcome, 4), Continuation::Retried);
        assert_eq!(continuation_after(KEYED_CELL, outcome, 1), Continuation::Retried);
        // There is no other endpoint in the cell, so the request is neither retried elsewhere nor rejected.
        assert_eq!(continuation_after(KEYED_CELL, outcome, 4), Continuation::Failed);
    }
}

/// If endpoints reject work that they have started, a retry elsewhere would execute it twice, and a rejection
/// would tell the client that it may do the same.
#[test]
fn a_rejection_proves_nothing_if_rejected_work_may_execute() {
    let node_settings =
        |idempotency| Settings { rejection_may_execute: true, ..settings(vec![class(idempotency, 1.0)]) };
    assert_eq!(
        continuation_with_settings(node_settings(Idempotency::Idempotent), AttemptOutcome::Rejected, 4),
        Continuation::Retried
    );
    assert_eq!(
        continuation_with_settings(node_settings(Idempotency::NotIdempotent), AttemptOutcome::Rejected, 4),
        Continuation::Failed
    );
    assert_eq!(
        continuation_with_settings(node_settings(KEYED_ALL), AttemptOutcome::Rejected, 4),
        Continuation::Retried
    );
    assert_eq!(
        continuation_with_settings(node_settings(KEYED_CELL), AttemptOutcome::Rejected, 1),
        Continuation::Retried,
        "the other endpoints are in the same cell"
    );
    assert_eq!(
        continuation_with_settings(node_settings(KEYED_CELL), AttemptOutcome::Rejected, 4),
        Continuation::Failed,
        "no other endpoint is in the same cell"
    );
    assert_eq!(
        continuation_with_settings(
            node_settings(Idempotency::NotIdempotent),
            AttemptOutcome::ConnectFailed,
            4
        ),
        Continuation::Retried,
        "a failed connection still proves that nothing was executed"
    );
}

#[test]
fn the_dedup_window_counts_from_the_first_attempt_that_may_have_executed() {
    let mut node = TestNode::with_endpoints(settings(vec![class(KEYED_ALL, 1.0)]), 4);
    let id = node.request(0, 900 * MS);
    node.now += 290 * MS;
    node.end_attempt(id, 0, AttemptOutcome::Error);
    assert_eq!(node.attempts_of(id).len(), 1, "no time is left for the transit to the endpoint");
    node.advance(node.now + SECOND);
    assert!(node.all_answered());
}

#[test]
fn no_concurrent_attempts_where_not_allowed() {
    let mut node_settings = settings(vec![class(Idempotency::Idempotent, 1.0)]);
    node_settings.concurrent_attempts = false;
    let mut node = TestNode::with_endpoints(node_settings, 4);
    let id = node.request(0, 900 * MS);
    node.advance(node.now + 800 * MS);
    assert_eq!(node.attempts_of(id).len(), 1);
    assert!(node.violations.is_empty());
}

#[test]
fn draining_and_removed_endpoints_get_no_attempts() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut node = TestNode::with_endpoints(settings(vec![class(Idempotency::Idempotent, 1.0)]), 2);
        node.update_endpoints(EndpointUpdate::Delta(list([EndpointInfo { state, ..endpoint(1) }])));
        for _ in 0..20 {
            let id = node.request(0, 900 * MS);
            node.now += 10 * MS;
            if !node.attempts_of(id).is_empty() {
                node.end_attempt(id, 0, AttemptOutcome::Success);
            }
        }
        assert!(
            node.requests
                .values()
                .all(|request| request.attempts.iter().all(|attempt| attempt.endpoint == EndpointId(2)))
        );
        assert!(node.violations.is_empty());
        // The endpoint may become ready again.
        node.update_endpoints(EndpointUpdate::Delta(list([endpoint(1)])));
        for _ in 0..20 {
            let id = node.request(0, 900 * MS);
            node.now += 10 * MS;
            node.end_attempt(id, 0, AttemptOutcome::Success);
        }
        assert!(
            node.requests
                .values()
                .any(|request| request.attempts.iter().any(|attempt| attempt.endpoint == EndpointId(1)))
        );
    }
}

#[test]
fn an_endpoint_missing_from_a_snapshot_gets_no_attempts() {
    let mut node = TestNode::with_endpoints(settings(vec![class(Idempotency::Idempotent, 1.0)]), 3);
    node.update_endpoints(EndpointUpdate::Snapshot(list([endpoint(2)])));
    for _ in 0..10 {
        node.request(0, 900 * MS);
    }
    node.advance(node.now + 2 * SECOND);
    assert!(node.violations.is_empty());
    assert!(node.all_answered());
}

#[test]
fn an_attempt_whose_response_started_is_not_cancelled() {
    let mut node = TestNode::with_endpoints(settings(vec![class(Idempotency::Idempotent, 1.0)]), 2);
    let id = node.request(0, 900 * MS);
    let actions = node.event(Event::ResponseStarted { id, attempt: AttemptNo(0) });
    // The attempt whose response is streaming must not be cancelled with the copies.
    assert!(!actions.iter().any(|action| matches!(action, Action::CancelAttempt { .. } | Action::Fail(_))));
}

/// A draining endpoint waits for its connections to close, so an open one delays its shutdown.
#[test]
fn idle_connections_to_a_draining_endpoint_are_closed() {
    let node_settings =
        Settings { drain_idle_close: Some(500 * MS), ..settings(vec![class(Idempotency::Idempotent, 1.0)]) };
    for as_snapshot in [false, true] {
        let mut node = TestNode::with_endpoints(node_settings.clone(), 2);
        let ids: Vec<_> = (0..2).map(|_| node.request(0, 900 * MS)).collect();
        let drained = EndpointInfo { state: EndpointState::Draining, ..endpoint(1) };
        let endpoints = list([drained, endpoint(2)]);
        let actions = node.update_endpoints(if as_snapshot {
            EndpointUpdate::Snapshot(endpoints)
        } else {
            EndpointUpdate::Delta(endpoints)
        });
        assert!(actions.contains(&Action::CloseIdleConnections(EndpointId(1))), "on the update");
        node.now += 50 * MS;
        for id in ids {
            let at_drained = node.attempts_of(id)[0].endpoint == EndpointId(1);
            let actions = node.end_attempt(id, 0, AttemptOutcome::Success);
            assert_eq!(
                actions.contains(&Action::CloseIdleConnections(EndpointId(1))),
                at_drained,
                "after each attempt at the draining endpoint"
            );
        }
        node.update_endpoints(EndpointUpdate::Delta(list([EndpointInfo {
            state: EndpointState::Removed,
            ..endpoint(1)
        }])));
        node.advance(node.now + SECOND);
        assert_eq!(node.violations, Vec::<String>::new());
    }
    let mut node = TestNode::with_endpoints(settings(vec![class(Idempotency::Idempotent, 1.0)]), 2);
    node.update_endpoints(EndpointUpdate::Delta(list([EndpointInfo {
        state: EndpointState::Draining,
        ..endpoint(1)
    }])));
    assert!(
        !node.actions.iter().any(|action| matches!(action, Action::CloseIdleConnections(_))),
        "only if a time limit is set"
    );
}
