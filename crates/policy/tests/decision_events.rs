//! Decision events: each reason is reported, and recording changes no decision.

mod common;

use common::*;
use proptest::prelude::*;
use pumicehead_policy::decision_event::{
    DecisionEvent, ExclusionReason, LimitChangeReason, NoRetryReason, RejectionReason,
};
use pumicehead_policy::*;

fn recording_node(settings: Settings, endpoints: u32) -> TestNode {
    let mut node = TestNode::with_endpoints(settings, endpoints);
    node.balancer.record_every_decision(true);
    node
}

fn reasons(node: &TestNode) -> Vec<RejectionReason> {
    node.decision_events
        .iter()
        .filter_map(|event| {
            if let DecisionEvent::AnsweredWithoutEndpoint { reason, .. } = event {
                Some(*reason)
            } else {
                None
            }
        })
        .collect()
}

/// Ends the first attempt in flight.
fn end_first_attempt(node: &mut TestNode, outcome: AttemptOutcome) {
    let (id, attempt) = node.attempts_in_flight()[0];
    node.end_attempt(id, attempt, outcome);
}

#[test]
fn the_reason_not_idempotent_is_reported() {
    let mut node = recording_node(settings(vec![class(Idempotency::NotIdempotent, 1.0)]), 3);
    node.request(0, 900 * MS);
    end_first_attempt(&mut node, AttemptOutcome::Reset);
    assert_eq!(reasons(&node), [RejectionReason::NoRetry(NoRetryReason::NotIdempotent)]);
}

#[test]
fn the_reason_attempts_exhausted_is_reported() {
    let mut node = recording_node(
        Settings { max_attempts: 1, ..settings(vec![class(Idempotency::Idempotent, 1.0)]) },
        3,
    );
    node.request(0, 900 * MS);
    end_first_attempt(&mut node, AttemptOutcome::Error);
    assert_eq!(reasons(&node), [RejectionReason::NoRetry(NoRetryReason::AttemptsExhausted)]);
}

#[test]
fn lack_of_time_or_retry_budget_is_reported() {
    let mut node = recording_node(settings(vec![class(Idempotency::Idempotent, 1.0)]), 3);
    node.request(0, 900 * MS);
    node.now += 600 * MS;
    end_first_attempt(&mut node, AttemptOutcome::Error);
    assert_eq!(reasons(&node), [RejectionReason::NoRetry(NoRetryReason::NoTimeLeft)]);
    let mut node = recording_node(settings(vec![class(Idempotency::Idempotent, 1.0)]), 3);
    for _ in 0..20 {
        node.request(0, 900 * MS);
        while let Some(&(id, attempt)) = node.attempts_in_flight().first() {
            node.end_attempt(id, attempt, AttemptOutcome::Error);
        }
    }
    assert!(
        reasons(&node).contains(&RejectionReason::NoRetry(NoRetryReason::RetryBudgetSpent)),
        "{:?}",
        reasons(&node)
    );
}

#[test]
fn queued_requests_are_rejected_for_the_expected_wait_or_by_timeout() {
    let mut node = recording_node(
        settings(vec![class(Idempotency::Idempotent, 1.0), class(Idempotency::Idempotent, 10.0)]),
        1,
    );
    for _ in 0..200 {
        node.request(0, 900 * MS);
        node.request(1, 900 * MS);
        node.now += MS;
    }
    assert!(reasons(&node).contains(&RejectionReason::ExpectedWaitTooLong));
    let has_wait_share = node
        .decision_events
        .iter()
        .any(|event| matches!(event, DecisionEvent::AnsweredWithoutEndpoint { reason: RejectionReason::ExpectedWaitTooLong, wait_share, .. } if *wait_share > 0.2));
    assert!(has_wait_share, "the expected wait of a rejected request is recorded");
    node.advance(node.now + SECOND);
    assert!(reasons(&node).contains(&RejectionReason::QueueTimeout));
    let exclusion = node.decision_events.iter().find_map(|event| match event {
        DecisionEvent::NoEndpointAvailable { exclusions, .. } => exclusions.most_common(),
        _ => None,
    });
    assert!(matches!(exclusion, None | Some(ExclusionReason::AtLimit)));
    assert!(
        node.decision_events
            .iter()
            .any(|event| matches!(event, DecisionEvent::Queued { queued, .. } if *queued > 1))
    );
}

#[test]
fn a_key_order_timeout_is_reported() {
    let mut node = recording_node(
        settings(vec![Class { ordered_by_key: true, ..class(Idempotency::Idempotent, 1.0) }]),
        3,
    );
    node.request_with_key(0, 900 * MS, 7);
    let (id, attempt) = node.attempts_in_flight()[0];
    node.request_with_key(0, 300 * MS, 7);
    node.advance(node.now + 299 * MS);
    assert_eq!(reasons(&node), [RejectionReason::KeyOrderTimeout]);
    node.end_attempt(id, attempt, AttemptOutcome::Success);
}

#[test]
fn a_selection_reports_the_runner_up_and_the_exclusions() {
    let mut node = recording_node(settings(vec![class(Idempotency::Idempotent, 1.0)]), 3);
    node.request(0, 900 * MS);
    let selected = node.decision_events.iter().find_map(|event| match *event {
        DecisionEvent::EndpointSelected {
            endpoint,
            score,
            runner_up: Some((runner_up_id, runner_up_score)),
            ..
        } => Some((endpoint, score, runner_up_id, runner_up_score)),
        _ => None,
    });
    let (endpoint, score, runner_up_id, runner_up_score) = selected.expect("three endpoints have capacity");
    assert!(endpoint != runner_up_id && score <= runner_up_score, "{score} {runner_up_score}");
    // An endpoint that fails repeatedly is ejected, and excluded from then on.
    for _ in 0..40 {
        node.request(0, 900 * MS);
        while let Some(&(id, attempt)) = node.attempts_in_flight().first() {
            node.now += 20 * MS;
            let is_failing = node.attempts_of(id)[attempt].endpoint == EndpointId(1);
            node.end_attempt(
                id,
                attempt,
                if is_failing { AttemptOutcome::ConnectFailed } else { AttemptOutcome::Success },
            );
        }
        // Long enough for the learned ratio of the endpoint to decay, so that it is used again.
        node.advance(node.now + 700 * MS);
    }
    let ejected = node
        .decision_events
        .iter()
        .position(|event| matches!(event, DecisionEvent::Ejected { endpoint: EndpointId(1), .. }));
    let after = &node.decision_events[ejected.expect("endpoint 1 is ejected")..];
    assert!(after.iter().any(|event| matches!(event,
        DecisionEvent::EndpointSelected { exclusions, .. } if exclusions.0[ExclusionReason::Outlier as usize] > 0)));
    let is_lowered = |event: &DecisionEvent| {
        matches!(event,
        DecisionEvent::LimitChanged { endpoint: EndpointId(1), reason: LimitChangeReason::Failure, from, to } if to <= from)
    };
    assert!(node.decision_events.iter().any(is_lowered));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    /// Recording changes neither actions nor logged events.
    #[test]
    fn recording_changes_no_decision(seed: u64, steps in proptest::collection::vec((0usize..2, 0u8..6, 1u64..60), 1..200)) {
        let run = |all: bool| {
            let classes = vec![class(Idempotency::Idempotent, 1.0), class(Idempotency::NotIdempotent, 10.0)];
            let mut node = TestNode::new(settings(classes), seed);
            node.update_endpoints(EndpointUpdate::Restored(list((1..=4).map(endpoint))));
            node.balancer.record_every_decision(all);
            for &(class, outcome, pause) in &steps {
                node.request(class, 900 * MS);
                let outcome = [AttemptOutcome::Success, AttemptOutcome::Success, AttemptOutcome::Error, AttemptOutcome::Rejected, AttemptOutcome::Reset,
                    AttemptOutcome::ConnectFailed][usize::from(outcome)];
                if let Some(&(id, attempt)) = node.attempts_in_flight().first() {
                    node.end_attempt(id, attempt, outcome);
                }
                node.advance(node.now + pause * MS);
            }
            let logged: Vec<_> = node.decision_events.iter().copied().filter(DecisionEvent::is_logged).collect();
            (node.actions, logged)
        };
        let (recorded, unrecorded) = (run(true), run(false));
        prop_assert_eq!(recorded, unrecorded);
    }
}
