//! Which attempts must not be sent, and which answers must not be given.

mod common;

use common::*;
use pumicehead_policy::*;

const KEYED_CELL: Idempotency = Idempotency::IdempotencyKey { scope: DedupScope::Cell, window: 300 * MS };
const KEYED_ALL: Idempotency = Idempotency::IdempotencyKey { scope: DedupScope::All, window: 300 * MS };

/// After one attempt that ended so: is the request retried at once, and if not, how is it answered?
#[derive(Debug, PartialEq)]
enum Then {
    Again,
    Refused,
    Failed,
}

fn after(effect: Idempotency, outcome: AttemptOutcome, cells: u16) -> Then {
    after_in(settings(vec![class(effect, 1.0)]), outcome, cells)
}

fn after_in(node_settings: Settings, outcome: AttemptOutcome, cells: u16) -> Then {
    let mut node = TestNode::new(node_settings, 3);
    let servers = (0..4u16).map(|n| EndpointInfo { cell: CellId(n % cells), ..endpoint(u32::from(n) + 1) });
    node.update_endpoints(EndpointUpdate::Restored(list(servers)));
    let id = node.request(0, 900 * MS);
    node.now += 5 * MS;
    let actions = node.end_attempt(id, 0, outcome);
    let then = if actions.iter().any(|a| matches!(a, Action::StartAttempt { .. })) {
        Then::Again
    } else {
        node.advance(node.now + SECOND);
        let refused = node.actions.iter().any(|a| matches!(a, Action::Reject { .. }));
        if refused { Then::Refused } else { Then::Failed }
    };
    node.advance(node.now + 2 * SECOND);
    assert_eq!(node.violations, Vec::<String>::new());
    assert!(node.all_answered());
    then
}

#[test]
fn attempts_that_may_have_executed_are_not_repeated_where_unsafe() {
    for outcome in [AttemptOutcome::Rejected, AttemptOutcome::ConnectFailed, AttemptOutcome::NotSent] {
        for effect in [Idempotency::Idempotent, Idempotency::NotIdempotent, KEYED_CELL, KEYED_ALL] {
            assert_eq!(after(effect, outcome, 4), Then::Again, "{effect:?} {outcome:?}");
        }
    }
    for outcome in [AttemptOutcome::Error, AttemptOutcome::Reset, AttemptOutcome::TimedOut] {
        assert_eq!(after(Idempotency::Idempotent, outcome, 4), Then::Again);
        assert_eq!(after(Idempotency::NotIdempotent, outcome, 4), Then::Failed);
        assert_eq!(after(KEYED_ALL, outcome, 4), Then::Again);
        assert_eq!(after(KEYED_CELL, outcome, 1), Then::Again);
        // No other endpoint of the cell: neither retried elsewhere nor rejected.
        assert_eq!(after(KEYED_CELL, outcome, 4), Then::Failed);
    }
}

/// Where endpoints reject work that they have begun, a retry elsewhere would execute it twice, and a
/// rejection would invite the client to do the same.
#[test]
fn a_rejection_proves_nothing_if_rejected_work_may_execute() {
    let node_settings =
        |effect| Settings { rejection_may_execute: true, ..settings(vec![class(effect, 1.0)]) };
    assert_eq!(after_in(node_settings(Idempotency::Idempotent), AttemptOutcome::Rejected, 4), Then::Again);
    assert_eq!(
        after_in(node_settings(Idempotency::NotIdempotent), AttemptOutcome::Rejected, 4),
        Then::Failed
    );
    assert_eq!(after_in(node_settings(KEYED_ALL), AttemptOutcome::Rejected, 4), Then::Again);
    assert_eq!(
        after_in(node_settings(KEYED_CELL), AttemptOutcome::Rejected, 1),
        Then::Again,
        "inside its group"
    );
    assert_eq!(
        after_in(node_settings(KEYED_CELL), AttemptOutcome::Rejected, 4),
        Then::Failed,
        "nobody else in its group"
    );
    assert_eq!(
        after_in(node_settings(Idempotency::NotIdempotent), AttemptOutcome::ConnectFailed, 4),
        Then::Again,
        "still a proof"
    );
}

#[test]
fn the_dedup_window_counts_from_the_first_attempt_that_may_have_executed() {
    let mut node = TestNode::with_endpoints(settings(vec![class(KEYED_ALL, 1.0)]), 4);
    let id = node.request(0, 900 * MS);
    node.now += 290 * MS;
    node.end_attempt(id, 0, AttemptOutcome::Error);
    assert_eq!(node.attempts_of(id).len(), 1, "no margin left for the way");
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
    for condition in [EndpointState::Draining, EndpointState::Removed] {
        let mut node = TestNode::with_endpoints(settings(vec![class(Idempotency::Idempotent, 1.0)]), 2);
        node.update_endpoints(EndpointUpdate::Delta(list([EndpointInfo {
            state: condition,
            ..endpoint(1)
        }])));
        for _ in 0..20 {
            let id = node.request(0, 900 * MS);
            node.now += 10 * MS;
            if !node.attempts_of(id).is_empty() {
                node.end_attempt(id, 0, AttemptOutcome::Success);
            }
        }
        assert!(node.requests.values().all(|k| k.attempts.iter().all(|t| t.endpoint == EndpointId(2))));
        assert!(node.violations.is_empty());
        // It may become ready again.
        node.update_endpoints(EndpointUpdate::Delta(list([endpoint(1)])));
        for _ in 0..20 {
            let id = node.request(0, 900 * MS);
            node.now += 10 * MS;
            node.end_attempt(id, 0, AttemptOutcome::Success);
        }
        assert!(node.requests.values().any(|k| k.attempts.iter().any(|t| t.endpoint == EndpointId(1))));
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
    assert!(!actions.iter().any(|a| matches!(a, Action::CancelAttempt { .. } | Action::Fail(_))));
}

/// A draining endpoint waits for its connections to close: an open one delays its shutdown.
#[test]
fn idle_connections_to_a_draining_endpoint_are_closed() {
    let node_settings =
        Settings { drain_idle_close: Some(500 * MS), ..settings(vec![class(Idempotency::Idempotent, 1.0)]) };
    for whole in [false, true] {
        let mut node = TestNode::with_endpoints(node_settings.clone(), 2);
        let ids: Vec<_> = (0..2).map(|_| node.request(0, 900 * MS)).collect();
        let drained = EndpointInfo { state: EndpointState::Draining, ..endpoint(1) };
        let change = list([drained, endpoint(2)]);
        let actions = node.update_endpoints(if whole {
            EndpointUpdate::Snapshot(change)
        } else {
            EndpointUpdate::Delta(change)
        });
        assert!(actions.contains(&Action::CloseIdleConnections(EndpointId(1))), "at the notice");
        node.now += 50 * MS;
        for id in ids {
            let at_drained = node.attempts_of(id)[0].endpoint == EndpointId(1);
            let actions = node.end_attempt(id, 0, AttemptOutcome::Success);
            assert_eq!(
                actions.contains(&Action::CloseIdleConnections(EndpointId(1))),
                at_drained,
                "after each outcome"
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
        !node.actions.iter().any(|a| matches!(a, Action::CloseIdleConnections(_))),
        "only where a limit is set"
    );
}
