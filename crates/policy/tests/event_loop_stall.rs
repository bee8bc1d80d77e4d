//! Stalls of this process: nothing is learned of endpoints from them.

mod common;

use common::*;
use pumicehead_policy::decision_event::DecisionEvent;
use pumicehead_policy::*;

/// Endpoints that respond in 20 ms and are idle; the node stalls for 5 s with attempts in flight, and what
/// clients sent meanwhile arrives at once. Returns the node after the second that follows, and the last
/// request before the stall.
fn after_a_stall(reported: bool) -> (TestNode, u32) {
    let mut node = TestNode::with_endpoints(
        settings(vec![class(Idempotency::Idempotent, 1.0), class(Idempotency::NotIdempotent, 10.0)]),
        4,
    );
    let answer = |node: &mut TestNode| {
        for (id, n) in node.attempts_in_flight() {
            if node.now >= node.attempts_of(id)[n].sent_at + 20 * MS {
                node.end_attempt(id, n, AttemptOutcome::Success);
            }
        }
    };
    for step in 0..600 {
        node.request(step % 2, 900 * MS);
        node.advance(node.now + 16 * MS);
        answer(&mut node);
    }
    let waiting = node.request(0, 30 * SECOND);
    let late = node.request(1, 900 * MS);
    assert!(!node.attempts_of(waiting).is_empty() && !node.attempts_of(late).is_empty(), "both are out");
    node.now += 5 * SECOND;
    if reported {
        node.balancer.recover_from_stall(node.now, 5 * SECOND);
    }
    // The deadline of one has passed; the other's response had arrived during the stall.
    node.end_attempt(late, 0, AttemptOutcome::TimedOut);
    node.end_attempt(waiting, 0, AttemptOutcome::Success);
    let first = node.requests.keys().last().copied().unwrap_or_default();
    for class in (0..70).map(|number| number % 2) {
        node.request(class, 900 * MS);
    }
    for _ in 0..100 {
        node.advance(node.now + 10 * MS);
        answer(&mut node);
    }
    (node, first)
}

/// Violations, but for answers that are late because of the stall.
fn violations(node: &TestNode) -> Vec<&String> {
    node.violations.iter().filter(|text| !text.starts_with("1: ")).collect()
}

fn rejected(node: &TestNode, first: u32) -> usize {
    node.actions.iter().filter(|action| matches!(action, Action::Reject { id, .. } if id.0 > first)).count()
}

/// After a reported stall no limit is lowered and no endpoint ejected, and no request that arrived meanwhile
/// is rejected if an endpoint can serve it in time. After an unreported one, all of that happens.
#[test]
fn a_stall_of_this_process_is_not_held_against_endpoints() {
    let (node, first) = after_a_stall(true);
    assert_eq!(rejected(&node, first), 0);
    let waited: Vec<_> = node.requests.range(first + 1..).collect();
    assert_eq!(waited.iter().filter(|(_, known)| known.final_answers == 1).count(), 70, "all are served");
    assert!(!node.decision_events.iter().any(|note| matches!(note, DecisionEvent::Ejected { .. })));
    assert!(violations(&node).is_empty(), "{:?}", violations(&node));
    let (node, first) = after_a_stall(false);
    assert!(rejected(&node, first) > 20, "{}", rejected(&node, first));
}

/// Drains and deadlines go by the clock through a stall: an endpoint that drained before gets nothing after,
/// and no attempt starts past its time.
#[test]
fn a_stall_extends_neither_drains_nor_deadlines() {
    let mut node = TestNode::with_endpoints(settings(vec![class(Idempotency::Idempotent, 1.0)]), 1);
    let mut queued: Vec<_> = (0..60).map(|_| node.request(0, 900 * MS)).collect();
    queued.retain(|id| node.attempts_of(*id).is_empty());
    assert!(!queued.is_empty());
    node.now += 5 * SECOND;
    node.balancer.recover_from_stall(node.now, 5 * SECOND);
    let leaving = EndpointInfo { state: EndpointState::Draining, ..endpoint(1) };
    node.update_endpoints(EndpointUpdate::Delta(list([leaving])));
    node.advance(node.now + 3 * SECOND);
    let sent =
        queued.iter().filter(|id| node.attempts_of(**id).iter().any(|one| one.sent_at > 5 * SECOND)).count();
    assert_eq!(sent, 0);
    assert!(node.all_answered() && violations(&node).is_empty(), "{:?}", violations(&node));
}
