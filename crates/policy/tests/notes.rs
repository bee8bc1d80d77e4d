//! What the module tells of its reasons: each rule by its name, and that telling changes nothing.

mod common;

use common::*;
use proptest::prelude::*;
use pumicehead_policy::interface::*;
use pumicehead_policy::note::{Hurdle, Moved, Note, Rule, Stop};

fn told(settings: Settings, servers: u32) -> Node {
    let mut node = Node::with_servers(settings, servers);
    node.balancer.tell_all(true);
    node
}

fn rules(node: &Node) -> Vec<Rule> {
    node.notes
        .iter()
        .filter_map(|note| if let Note::Over { rule, .. } = note { Some(*rule) } else { None })
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
    assert_eq!(rules(&node), [Rule::NoRetry(Stop::Effect)]);
}

#[test]
fn one_that_has_made_its_attempts_says_so() {
    let mut node =
        told(Settings { max_attempts: 1, ..settings(vec![class(Idempotency::Idempotent, 1.0)]) }, 3);
    node.request(0, 900 * MS);
    end_one(&mut node, AttemptOutcome::Error);
    assert_eq!(rules(&node), [Rule::NoRetry(Stop::Attempts)]);
}

#[test]
fn one_without_time_or_budget_says_so() {
    let mut node = told(settings(vec![class(Idempotency::Idempotent, 1.0)]), 3);
    node.request(0, 900 * MS);
    node.now += 600 * MS;
    end_one(&mut node, AttemptOutcome::Error);
    assert_eq!(rules(&node), [Rule::NoRetry(Stop::Time)]);
    let mut node = told(settings(vec![class(Idempotency::Idempotent, 1.0)]), 3);
    for _ in 0..20 {
        node.request(0, 900 * MS);
        while let Some(&(id, attempt)) = node.out().first() {
            node.end(id, attempt, AttemptOutcome::Error);
        }
    }
    assert!(rules(&node).contains(&Rule::NoRetry(Stop::Budget)), "{:?}", rules(&node));
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
    assert!(rules(&node).contains(&Rule::WaitShare));
    let pressed = node
        .notes
        .iter()
        .any(|note| matches!(note, Note::Over { rule: Rule::WaitShare, pressure, .. } if *pressure > 0.2));
    assert!(pressed, "the wait that it was refused for is told");
    node.advance(node.now + SECOND);
    assert!(rules(&node).contains(&Rule::NearlyOut));
    let full = node.notes.iter().find_map(|note| match note {
        Note::NoneFits { hurdles, .. } => hurdles.most(),
        _ => None,
    });
    assert!(matches!(full, None | Some(Hurdle::Full)));
    assert!(node.notes.iter().any(|note| matches!(note, Note::Held { held, .. } if *held > 1)));
}

#[test]
fn a_turn_that_never_comes_is_told() {
    let mut node =
        told(settings(vec![Class { ordered_by_key: true, ..class(Idempotency::Idempotent, 1.0) }]), 3);
    node.keyed(0, 900 * MS, 7);
    let (id, attempt) = node.out()[0];
    node.keyed(0, 300 * MS, 7);
    node.advance(node.now + 299 * MS);
    assert_eq!(rules(&node), [Rule::NoTurn]);
    node.end(id, attempt, AttemptOutcome::Success);
}

#[test]
fn a_pick_tells_the_runner_up_and_who_was_passed_over() {
    let mut node = told(settings(vec![class(Idempotency::Idempotent, 1.0)]), 3);
    node.request(0, 900 * MS);
    let picked = node.notes.iter().find_map(|note| match *note {
        Note::Picked { server, score, next: Some((second, beaten)), .. } => {
            Some((server, score, second, beaten))
        }
        _ => None,
    });
    let (server, score, second, beaten) = picked.expect("three servers have room");
    assert!(server != second && score <= beaten, "{score} {beaten}");
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
    let aside = node.notes.iter().position(|note| matches!(note, Note::Aside { server: EndpointId(1), .. }));
    let after = &node.notes[aside.expect("it is set aside")..];
    assert!(after.iter().any(|note| matches!(note,
        Note::Picked { hurdles, .. } if hurdles.0[Hurdle::OutOfOrder as usize] > 0)));
    let cut = |note: &Note| {
        matches!(note,
        Note::Limit { server: EndpointId(1), why: Moved::Failure, from, to } if to <= from)
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
            node.balancer.tell_all(all);
            for &(class, what, pause) in &steps {
                node.request(class, 900 * MS);
                let outcome = [AttemptOutcome::Success, AttemptOutcome::Success, AttemptOutcome::Error, AttemptOutcome::Rejected, AttemptOutcome::Reset,
                    AttemptOutcome::ConnectFailed][usize::from(what)];
                if let Some(&(id, attempt)) = node.out().first() {
                    node.end(id, attempt, outcome);
                }
                node.advance(node.now + pause * MS);
            }
            let news: Vec<_> = node.notes.iter().copied().filter(Note::is_news).collect();
            (node.log, news)
        };
        let (told, silent) = (play(true), play(false));
        prop_assert_eq!(told, silent);
    }
}
