//! Selection by latency, and detection of hung and failing endpoints.

mod common;

use common::*;
use pumicehead_policy::decision_event::DecisionEvent;
use pumicehead_policy::*;

#[test]
fn the_faster_endpoint_gets_more_requests() {
    let mut node = TestNode::with_endpoints(settings(vec![class(Idempotency::Idempotent, 1.0)]), 2);
    let mut due: Vec<(Nanos, RequestId, usize)> = Vec::new();
    let mut count = [0; 2];
    for _ in 0..600 {
        let id = node.request(0, 900 * MS);
        if let Some(attempt) = node.attempts_of(id).first() {
            let slow = attempt.endpoint == EndpointId(2);
            count[usize::from(slow)] += 1;
            due.push((node.now + if slow { 120 * MS } else { 30 * MS }, id, 0));
        }
        node.now += 10 * MS;
        let now = node.now;
        for &(_, id, n) in due.iter().filter(|entry| entry.0 <= now) {
            if node.requests[&id.0].final_answers == 0 {
                node.end_attempt(id, n, AttemptOutcome::Success);
            }
        }
        due.retain(|entry| entry.0 > now);
    }
    assert!(count[0] > 2 * count[1], "{count:?}");
}

#[test]
fn a_hung_endpoint_is_avoided_and_used_again_after_it_recovers() {
    let mut node = TestNode::with_endpoints(settings(vec![class(Idempotency::Idempotent, 1.0)]), 4);
    serve(&mut node, 80, 20 * MS);
    let hung = EndpointId(3);
    let run = |node: &mut TestNode, rounds: usize, hangs: bool| {
        let before: usize = node
            .requests
            .values()
            .flat_map(|request| &request.attempts)
            .filter(|attempt| attempt.endpoint == hung)
            .count();
        for _ in 0..rounds {
            for _ in 0..3 {
                node.request(0, 900 * MS);
            }
            node.advance(node.now + 20 * MS);
            for (id, n) in node.attempts_in_flight() {
                if !hangs || node.attempts_of(id)[n].endpoint != hung {
                    node.end_attempt(id, n, AttemptOutcome::Success);
                }
            }
        }
        node.requests
            .values()
            .flat_map(|request| &request.attempts)
            .filter(|attempt| attempt.endpoint == hung)
            .count()
            - before
    };
    let sent = run(&mut node, 200, true);
    assert!(sent <= 30, "{sent} of 600 requests sent to the hung endpoint");
    let after_recovery = run(&mut node, 1500, false);
    assert!(
        after_recovery > 200,
        "{after_recovery} of 4500 requests sent to the endpoint after its recovery"
    );
    assert!(node.violations.is_empty());
}

#[test]
fn no_endpoint_is_ejected_when_all_are_slow() {
    let mut node = TestNode::with_endpoints(settings(vec![class(Idempotency::Idempotent, 1.0)]), 4);
    serve(&mut node, 80, 20 * MS);
    serve(&mut node, 40, 300 * MS);
    let used: std::collections::BTreeSet<_> = node
        .requests
        .values()
        .rev()
        .take(40)
        .flat_map(|request| &request.attempts)
        .map(|attempt| attempt.endpoint)
        .collect();
    assert_eq!(used.len(), 4, "all endpoints stay in use");
    assert!(!node.decision_events.iter().any(|event| matches!(event, DecisionEvent::Ejected { .. })));
}

#[test]
fn service_recovers_after_every_kind_of_failure_at_all_endpoints() {
    for outcome in [
        AttemptOutcome::Error,
        AttemptOutcome::Rejected,
        AttemptOutcome::ConnectFailed,
        AttemptOutcome::Reset,
    ] {
        let mut node = TestNode::with_endpoints(two_classes(), 4);
        serve(&mut node, 40, 20 * MS);
        for _ in 0..200 {
            node.request(0, 900 * MS);
            node.advance(node.now + 20 * MS);
            for (id, n) in node.attempts_in_flight() {
                node.end_attempt(id, n, outcome);
            }
        }
        let attempts_sent = node.requests.values().map(|request| request.attempts.len()).sum::<usize>();
        assert!(
            attempts_sent < 2 * node.requests.len(),
            "{outcome:?}: retries are bounded, {attempts_sent} attempts"
        );
        node.advance(node.now + 10 * SECOND);
        assert!(node.all_answered());
        let before = node.actions.len();
        serve(&mut node, 60, 20 * MS);
        node.advance(node.now + 2 * SECOND);
        let unserved = node.actions[before..]
            .iter()
            .filter(|action| matches!(action, Action::Reject { .. } | Action::Fail(_)));
        assert!(unserved.count() <= 6, "{outcome:?}: service recovers");
        assert!(node.violations.is_empty(), "{:?}", node.violations);
    }
}

/// An endpoint must not be excluded for one silent connection while it responds on all others.
#[test]
fn one_silent_attempt_does_not_make_its_endpoint_an_outlier() {
    let mut node = TestNode::with_endpoints(settings(vec![class(Idempotency::NotIdempotent, 1.0)]), 2);
    let mut silent = None;
    let mut late_attempts = 0;
    for round in 0..200 {
        // More requests than one endpoint takes, so that the other one stays in use.
        for _ in 0..6 {
            let id = node.request(0, 100 * SECOND);
            let Some(endpoint) = node.attempts_of(id).first().map(|first| first.endpoint) else { continue };
            if round == 50 && silent.is_none() {
                silent = Some((id, endpoint));
            }
            late_attempts += usize::from(round > 150 && silent.is_some_and(|(_, at)| at == endpoint));
        }
        node.advance(node.now + 20 * MS);
        for (id, n) in node.attempts_in_flight() {
            if silent.is_none_or(|(silent, _)| silent != id) {
                node.end_attempt(id, n, AttemptOutcome::Success);
            }
        }
    }
    assert!(late_attempts > 20, "{late_attempts} attempts at the endpoint with the silent attempt");
}
