//! Stalls of this process: nothing about endpoints is learned from them.

mod common;

use common::*;
use pumicehead_policy::decision_event::DecisionEvent;
use pumicehead_policy::*;

/// Endpoints respond in 20 ms and are idle. The node stalls for 5 s with attempts in flight, and the requests
/// that clients sent in the meantime arrive at once. Returns the node one second later, and the last request
/// before the stall.
fn after_a_stall(reported: bool) -> (TestNode, u32) {
    let mut node = TestNode::with_endpoints(
        settings(vec![class(Idempotency::Idempotent, 1.0), class(Idempotency::NotIdempotent, 10.0)]),
        4,
    );
    let end_due_attempts = |node: &mut TestNode| {
        for (id, n) in node.attempts_in_flight() {
            if node.now >= node.attempts_of(id)[n].sent_at + 20 * MS {
                node.end_attempt(id, n, AttemptOutcome::Success);
            }
        }
    };
    for step in 0..600 {
        node.request(step % 2, 900 * MS);
        node.advance(node.now + 16 * MS);
        end_due_attempts(&mut node);
    }
    let with_long_deadline = node.request(0, 30 * SECOND);
    let with_short_deadline = node.request(1, 900 * MS);
    assert!(
        !node.attempts_of(with_long_deadline).is_empty() && !node.attempts_of(with_short_deadline).is_empty(),
        "both attempts are in flight"
    );
    node.now += 5 * SECOND;
    if reported {
        node.balancer.recover_from_stall(node.now, 5 * SECOND);
    }
    // The deadline of one request has passed. The response to the other one arrived during the stall.
    node.end_attempt(with_short_deadline, 0, AttemptOutcome::TimedOut);
    node.end_attempt(with_long_deadline, 0, AttemptOutcome::Success);
    let last_before_stall = node.requests.keys().last().copied().unwrap_or_default();
    for class in (0..70).map(|number| number % 2) {
        node.request(class, 900 * MS);
    }
    for _ in 0..100 {
        node.advance(node.now + 10 * MS);
        end_due_attempts(&mut node);
    }
    (node, last_before_stall)
}

/// Violations other than late answers, which the stall explains.
fn violations(node: &TestNode) -> Vec<&String> {
    node.violations.iter().filter(|text| !text.starts_with("final answer: ")).collect()
}

fn rejected(node: &TestNode, last_before_stall: u32) -> usize {
    node.actions
        .iter()
        .filter(|action| matches!(action, Action::Reject { id, .. } if id.0 > last_before_stall))
        .count()
}

/// After a reported stall no endpoint is ejected, and no request that arrived in the meantime is rejected if
/// an endpoint can serve it in time. After an unreported stall, such requests are rejected.
#[test]
fn a_reported_stall_ejects_no_endpoint_and_rejects_no_request() {
    let (node, last_before_stall) = after_a_stall(true);
    assert_eq!(rejected(&node, last_before_stall), 0);
    let arrived_during_stall: Vec<_> = node.requests.range(last_before_stall + 1..).collect();
    assert_eq!(
        arrived_during_stall.iter().filter(|(_, request)| request.final_answers == 1).count(),
        70,
        "all requests are answered"
    );
    assert!(!node.decision_events.iter().any(|event| matches!(event, DecisionEvent::Ejected { .. })));
    assert!(violations(&node).is_empty(), "{:?}", violations(&node));
    let (node, last_before_stall) = after_a_stall(false);
    assert!(rejected(&node, last_before_stall) > 20, "{}", rejected(&node, last_before_stall));
}

/// Drains and deadlines follow the clock during a stall: an endpoint that starts to drain gets no more
/// attempts, and no attempt starts after its deadline.
#[test]
fn a_stall_extends_neither_drains_nor_deadlines() {
    let mut node = TestNode::with_endpoints(settings(vec![class(Idempotency::Idempotent, 1.0)]), 1);
    let mut queued: Vec<_> = (0..60).map(|_| node.request(0, 900 * MS)).collect();
    queued.retain(|id| node.attempts_of(*id).is_empty());
    assert!(!queued.is_empty());
    node.now += 5 * SECOND;
    node.balancer.recover_from_stall(node.now, 5 * SECOND);
    let draining = EndpointInfo { state: EndpointState::Draining, ..endpoint(1) };
    node.update_endpoints(EndpointUpdate::Delta(list([draining])));
    node.advance(node.now + 3 * SECOND);
    let sent = queued
        .iter()
        .filter(|id| node.attempts_of(**id).iter().any(|attempt| attempt.sent_at > 5 * SECOND))
        .count();
    assert_eq!(sent, 0);
    assert!(node.all_answered() && violations(&node).is_empty(), "{:?}", violations(&node));
}
