//! What the module tells of its reasons: each rule by its name, and that telling changes nothing.

mod common;

use common::*;
use proptest::prelude::*;
use pumicehead_policy::decision_event::{
    DecisionEvent, ExclusionReason, LimitChangeReason, NoRetryReason, RejectionReason,
};
use pumicehead_policy::*;

fn told(settings: Settings, servers: u32) -> Node {
    let mut node = Node::with_servers(settings, servers);
    node.balancer.record_every_decision(true);
    node
}

fn rules(node: &Node) -> Vec<RejectionReason> {
    node.notes
        .iter()
        .filter_map(|note| {
            if let DecisionEvent::AnsweredWithoutEndpoint { reason, .. } = note {
                Some(*reason)
            } else {
                None
            }
        })
        .collect()
}

/// Ends the only attempt out.
fn end_one(node: &mut Node, outcome: AttemptOutcome) {
    let (id, attempt) = node.out()[0];
    node.end(id, attempt, outcome);
}

#[test]
fn a_request_that_may_not_run_twice_says_so() {
    let mut node = told(settings(vec![class(Idempotency::NotIdempotent, 1.0)]), 3);
    node.request(0, 900 * MS);
    end_one(&mut node, AttemptOutcome::Reset);
    assert_eq!(rules(&node), [RejectionReason::NoRetry(NoRetryReason::NotIdempotent)]);
}

#[test]
fn one_that_has_made_its_attempts_says_so() {
    let mut node =
        told(Settings { max_attempts: 1, ..settings(vec![class(Idempotency::Idempotent, 1.0)]) }, 3);
    node.request(0, 900 * MS);
    end_one(&mut node, AttemptOutcome::Error);
    assert_eq!(rules(&node), [RejectionReason::NoRetry(NoRetryReason::AttemptsExhausted)]);
}

#[test]
fn one_without_time_or_budget_says_so() {
    let mut node = told(settings(vec![class(Idempotency::Idempotent, 1.0)]), 3);
    node.request(0, 900 * MS);
    node.now += 600 * MS;
    end_one(&mut node, AttemptOutcome::Error);
    assert_eq!(rules(&node), [RejectionReason::NoRetry(NoRetryReason::NoTimeLeft)]);
    let mut node = told(settings(vec![class(Idempotency::Idempotent, 1.0)]), 3);
    for _ in 0..20 {
        node.request(0, 900 * MS);
        while let Some(&(id, attempt)) = node.out().first() {
            node.end(id, attempt, AttemptOutcome::Error);
        }
    }
    assert!(
        rules(&node).contains(&RejectionReason::NoRetry(NoRetryReason::RetryBudgetSpent)),
        "{:?}",
        rules(&node)
    );
}

#[test]
fn what_waits_is_refused_by_the_queue_or_by_the_clock() {
    let mut node =
        told(settings(vec![class(Idempotency::Idempotent, 1.0), class(Idempotency::Idempotent, 10.0)]), 1);
    for _ in 0..200 {
        node.request(0, 900 * MS);
        node.request(1, 900 * MS);
        node.now += MS;
    }
    assert!(rules(&node).contains(&RejectionReason::QueueTooLong));
    let pressed = node
        .notes
        .iter()
        .any(|note| matches!(note, DecisionEvent::AnsweredWithoutEndpoint { reason: RejectionReason::QueueTooLong, pressure, .. } if *pressure > 0.2));
    assert!(pressed, "the wait that it was refused for is told");
    node.advance(node.now + SECOND);
    assert!(rules(&node).contains(&RejectionReason::QueueTimeout));
    let full = node.notes.iter().find_map(|note| match note {
        DecisionEvent::NoEndpointAvailable { exclusions, .. } => exclusions.most(),
        _ => None,
    });
    assert!(matches!(full, None | Some(ExclusionReason::AtLimit)));
    assert!(
        node.notes.iter().any(|note| matches!(note, DecisionEvent::Queued { queued, .. } if *queued > 1))
    );
}

#[test]
fn a_turn_that_never_comes_is_told() {
    let mut node =
        told(settings(vec![Class { ordered_by_key: true, ..class(Idempotency::Idempotent, 1.0) }]), 3);
    node.keyed(0, 900 * MS, 7);
    let (id, attempt) = node.out()[0];
    node.keyed(0, 300 * MS, 7);
    node.advance(node.now + 299 * MS);
    assert_eq!(rules(&node), [RejectionReason::KeyOrderTimeout]);
    node.end(id, attempt, AttemptOutcome::Success);
}

#[test]
fn a_pick_tells_the_runner_up_and_who_was_passed_over() {
    let mut node = told(settings(vec![class(Idempotency::Idempotent, 1.0)]), 3);
    node.request(0, 900 * MS);
    let picked = node.notes.iter().find_map(|note| match *note {
        DecisionEvent::EndpointSelected { endpoint, score, runner_up: Some((second, beaten)), .. } => {
            Some((endpoint, score, second, beaten))
        }
        _ => None,
    });
    let (endpoint, score, second, beaten) = picked.expect("three servers have room");
    assert!(endpoint != second && score <= beaten, "{score} {beaten}");
    // One that fails again and again is set aside, and passed over from then on.
    for _ in 0..40 {
        node.request(0, 900 * MS);
        while let Some(&(id, attempt)) = node.out().first() {
            node.now += 20 * MS;
            let bad = node.tries(id)[attempt].server == EndpointId(1);
            node.end(id, attempt, if bad { AttemptOutcome::ConnectFailed } else { AttemptOutcome::Success });
        }
        // Long enough that what was learned of it fades, and it is tried again.
        node.advance(node.now + 700 * MS);
    }
    let aside = node
        .notes
        .iter()
        .position(|note| matches!(note, DecisionEvent::Ejected { endpoint: EndpointId(1), .. }));
    let after = &node.notes[aside.expect("it is set aside")..];
    assert!(after.iter().any(|note| matches!(note,
        DecisionEvent::EndpointSelected { exclusions, .. } if exclusions.0[ExclusionReason::Outlier as usize] > 0)));
    let cut = |note: &DecisionEvent| {
        matches!(note,
        DecisionEvent::LimitChanged { endpoint: EndpointId(1), reason: LimitChangeReason::Failure, from, to } if to <= from)
    };
    assert!(node.notes.iter().any(cut));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    /// Whoever listens changes nothing.
    #[test]
    fn telling_changes_no_decision(seed: u64, steps in proptest::collection::vec((0usize..2, 0u8..6, 1u64..60), 1..200)) {
        let play = |all: bool| {
            let classes = vec![class(Idempotency::Idempotent, 1.0), class(Idempotency::NotIdempotent, 10.0)];
            let mut node = Node::new(settings(classes), seed);
            node.members(EndpointUpdate::Restored(list((1..=4).map(server))));
            node.balancer.record_every_decision(all);
            for &(class, what, pause) in &steps {
                node.request(class, 900 * MS);
                let outcome = [AttemptOutcome::Success, AttemptOutcome::Success, AttemptOutcome::Error, AttemptOutcome::Rejected, AttemptOutcome::Reset,
                    AttemptOutcome::ConnectFailed][usize::from(what)];
                if let Some(&(id, attempt)) = node.out().first() {
                    node.end(id, attempt, outcome);
                }
                node.advance(node.now + pause * MS);
            }
            let news: Vec<_> = node.notes.iter().copied().filter(DecisionEvent::is_logged).collect();
            (node.log, news)
        };
        let (told, silent) = (play(true), play(false));
        prop_assert_eq!(told, silent);
    }
}
