//! A process that stood still, and a fleet whose servers are cold: what is learned of others must be theirs.

mod common;

use common::*;
use pumicehead_policy::decision_event::DecisionEvent;
use pumicehead_policy::*;

/// Servers that answer in 20 ms and idle; the node stands still for 5 s with requests out, and what clients asked meanwhile
/// comes at once. Returns the node after the second that follows, and which request was the first to come after the stall.
fn after_a_stall(told: bool) -> (Node, u32) {
    let mut node = Node::with_servers(
        settings(vec![class(Idempotency::Idempotent, 1.0), class(Idempotency::NotIdempotent, 10.0)]),
        4,
    );
    let answer = |node: &mut Node| {
        for (id, n) in node.out() {
            if node.now >= node.tries(id)[n].at + 20 * MS {
                node.end(id, n, AttemptOutcome::Success);
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
    assert!(!node.tries(waiting).is_empty() && !node.tries(late).is_empty(), "both are out");
    node.now += 5 * SECOND;
    if told {
        node.balancer.recover_from_stall(node.now, 5 * SECOND);
    }
    // The deadline of one is past; the other's answer lay there all the time.
    node.end(late, 0, AttemptOutcome::TimedOut);
    node.end(waiting, 0, AttemptOutcome::Success);
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

/// Rules broken, but for answers that are late since the node stood still.
fn broken(node: &Node) -> Vec<&String> {
    node.broken.iter().filter(|text| !text.starts_with("1: ")).collect()
}

fn refused(node: &Node, first: u32) -> usize {
    node.log.iter().filter(|action| matches!(action, Action::Reject { id, .. } if id.0 > first)).count()
}

/// Guards against taking an own stall for the servers' fault: no limit is lowered and nobody set aside, and of those that
/// waited none is refused that a server with room can answer in time. Untold of the stall, the node does all of that.
#[test]
fn a_stall_of_its_own_is_not_the_servers_fault() {
    let (node, first) = after_a_stall(true);
    assert_eq!(refused(&node, first), 0);
    let waited: Vec<_> = node.requests.range(first + 1..).collect();
    assert_eq!(waited.iter().filter(|(_, known)| known.finals == 1).count(), 70, "all are served");
    assert!(!node.notes.iter().any(|note| matches!(note, DecisionEvent::Ejected { .. })));
    assert!(broken(&node).is_empty(), "{:?}", broken(&node));
    let (node, first) = after_a_stall(false);
    assert!(refused(&node, first) > 20, "{}", refused(&node, first));
}

/// Guards drains and deadlines through a stall: the clock goes on for them. A server that was listed as leaving before gets
/// nothing after, and what is past its time is not sent.
#[test]
fn a_stall_moves_no_promise() {
    let mut node = Node::with_servers(settings(vec![class(Idempotency::Idempotent, 1.0)]), 1);
    let mut held: Vec<_> = (0..60).map(|_| node.request(0, 900 * MS)).collect();
    held.retain(|id| node.tries(*id).is_empty());
    assert!(!held.is_empty());
    node.now += 5 * SECOND;
    node.balancer.recover_from_stall(node.now, 5 * SECOND);
    let leaving = EndpointInfo { state: EndpointState::Draining, ..server(1) };
    node.members(EndpointUpdate::Delta(list([leaving])));
    node.advance(node.now + 3 * SECOND);
    let sent = held.iter().filter(|id| node.tries(**id).iter().any(|one| one.at > 5 * SECOND)).count();
    assert_eq!(sent, 0);
    assert!(node.all_answered() && broken(&node).is_empty(), "{:?}", broken(&node));
}

/// Guards nodes whose few servers are mostly cold after a release: each takes in more of them, so that none is without room
/// while others have plenty.
#[test]
fn after_a_release_no_node_is_without_room() {
    let refusals = |me: u32| {
        let told = Settings {
            node_count: 300,
            node_index: me,
            connections_have_cost: true,
            warmup_duration: 30 * SECOND,
            ..settings(vec![class(Idempotency::Idempotent, 1.0), class(Idempotency::Idempotent, 10.0)])
        };
        let mut node = Node::new(told, 9);
        node.members(EndpointUpdate::Restored(list((1..=200).map(server))));
        let rounds = |node: &mut Node, count: usize| {
            for number in 0..count {
                node.request(number % 2, 900 * MS);
                for _ in 0..8 {
                    node.advance(node.now + 10 * MS);
                    for (id, n) in node.out() {
                        if node.now >= node.tries(id)[n].at + 60 * MS {
                            node.end(id, n, AttemptOutcome::Success);
                        }
                    }
                }
            }
        };
        rounds(&mut node, 100);
        // Two of three are replaced by cold ones.
        let now = node.now;
        let all = (1..=200).map(|id| match id % 3 {
            0 => server(id),
            _ => EndpointInfo { started_at: now, ..server(1_000 + id) },
        });
        node.members(EndpointUpdate::Snapshot(list(all)));
        let before = node.log.len();
        rounds(&mut node, 100);
        assert!(node.broken.is_empty(), "{:?}", node.broken);
        node.log[before..].iter().filter(|action| matches!(action, Action::Reject { .. })).count()
    };
    let all: Vec<_> = (0..40).map(|number| refusals(number * 7)).collect();
    let worst = all.iter().max().copied().unwrap_or_default();
    assert!(worst <= 10, "of 100: {all:?}");
}
