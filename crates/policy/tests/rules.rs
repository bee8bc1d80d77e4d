//! The four rules: tables, and a seeded random run against an independent checker (in `common`).

mod common;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use pumicehead_policy::*;

const KEYED_CELL: Idempotency = Idempotency::IdempotencyKey { scope: DedupScope::Cell, window: 300 * MS };
const KEYED_ALL: Idempotency = Idempotency::IdempotencyKey { scope: DedupScope::All, window: 300 * MS };

/// After one attempt that ended so, is the request sent again at once, and if not, how is it answered?
#[derive(Debug, PartialEq)]
enum Then {
    Again,
    Refused,
    Failed,
}

fn after(effect: Idempotency, outcome: AttemptOutcome, cells: u16) -> Then {
    after_in(settings(vec![class(effect, 1.0)]), outcome, cells)
}

fn after_in(told: Settings, outcome: AttemptOutcome, cells: u16) -> Then {
    let mut node = Node::new(told, 3);
    let servers = (0..4u16).map(|n| EndpointInfo { cell: CellId(n % cells), ..server(u32::from(n) + 1) });
    node.members(EndpointUpdate::Restored(list(servers)));
    let id = node.request(0, 900 * MS);
    node.now += 5 * MS;
    let actions = node.end(id, 0, outcome);
    let then = if actions.iter().any(|a| matches!(a, Action::StartAttempt { .. })) {
        Then::Again
    } else {
        node.advance(node.now + SECOND);
        let refused = node.log.iter().any(|a| matches!(a, Action::Reject { .. }));
        if refused { Then::Refused } else { Then::Failed }
    };
    node.advance(node.now + 2 * SECOND);
    assert_eq!(node.broken, Vec::<String>::new());
    assert!(node.all_answered());
    then
}

#[test]
fn what_may_have_run_is_not_repeated() {
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
        // No other server of the cell: neither sent elsewhere nor refused.
        assert_eq!(after(KEYED_CELL, outcome, 4), Then::Failed);
    }
}

/// Where servers shed work that they had begun, a second attempt elsewhere would take effect twice, and a
/// refusal would invite the client to do the same.
#[test]
fn full_is_no_proof_where_the_settings_say_so() {
    let told = |effect| Settings { rejection_may_execute: true, ..settings(vec![class(effect, 1.0)]) };
    assert_eq!(after_in(told(Idempotency::Idempotent), AttemptOutcome::Rejected, 4), Then::Again);
    assert_eq!(after_in(told(Idempotency::NotIdempotent), AttemptOutcome::Rejected, 4), Then::Failed);
    assert_eq!(after_in(told(KEYED_ALL), AttemptOutcome::Rejected, 4), Then::Again);
    assert_eq!(after_in(told(KEYED_CELL), AttemptOutcome::Rejected, 1), Then::Again, "inside its group");
    assert_eq!(
        after_in(told(KEYED_CELL), AttemptOutcome::Rejected, 4),
        Then::Failed,
        "nobody else in its group"
    );
    assert_eq!(
        after_in(told(Idempotency::NotIdempotent), AttemptOutcome::ConnectFailed, 4),
        Then::Again,
        "still a proof"
    );
}

#[test]
fn a_key_window_counts_from_the_first_send_that_may_have_run() {
    let mut node = Node::with_servers(settings(vec![class(KEYED_ALL, 1.0)]), 4);
    let id = node.request(0, 900 * MS);
    node.now += 290 * MS;
    node.end(id, 0, AttemptOutcome::Error);
    assert_eq!(node.tries(id).len(), 1, "no margin left for the way");
    node.advance(node.now + SECOND);
    assert!(node.all_answered());
}

#[test]
fn no_two_attempts_at_once_where_not_allowed() {
    let mut told = settings(vec![class(Idempotency::Idempotent, 1.0)]);
    told.concurrent_attempts = false;
    let mut node = Node::with_servers(told, 4);
    let id = node.request(0, 900 * MS);
    node.advance(node.now + 800 * MS);
    assert_eq!(node.tries(id).len(), 1);
    assert!(node.broken.is_empty());
}

#[test]
fn drained_and_gone_servers_get_nothing_from_that_moment() {
    for condition in [EndpointState::Draining, EndpointState::Removed] {
        let mut node = Node::with_servers(settings(vec![class(Idempotency::Idempotent, 1.0)]), 2);
        node.members(EndpointUpdate::Delta(list([EndpointInfo { state: condition, ..server(1) }])));
        for _ in 0..20 {
            let id = node.request(0, 900 * MS);
            node.now += 10 * MS;
            if !node.tries(id).is_empty() {
                node.end(id, 0, AttemptOutcome::Success);
            }
        }
        assert!(node.requests.values().all(|k| k.tries.iter().all(|t| t.server == EndpointId(2))));
        assert!(node.broken.is_empty());
        // It may come back.
        node.members(EndpointUpdate::Delta(list([server(1)])));
        for _ in 0..20 {
            let id = node.request(0, 900 * MS);
            node.now += 10 * MS;
            node.end(id, 0, AttemptOutcome::Success);
        }
        assert!(node.requests.values().any(|k| k.tries.iter().any(|t| t.server == EndpointId(1))));
    }
}

#[test]
fn a_server_missing_from_a_whole_list_is_gone() {
    let mut node = Node::with_servers(settings(vec![class(Idempotency::Idempotent, 1.0)]), 3);
    node.members(EndpointUpdate::Snapshot(list([server(2)])));
    for _ in 0..10 {
        node.request(0, 900 * MS);
    }
    node.advance(node.now + 2 * SECOND);
    assert!(node.broken.is_empty());
    assert!(node.all_answered());
}

#[test]
fn a_stream_that_began_is_left_alone() {
    let mut node = Node::with_servers(settings(vec![class(Idempotency::Idempotent, 1.0)]), 2);
    let id = node.request(0, 900 * MS);
    let actions = node.event(Event::ResponseStarted { id, attempt: AttemptNo(0) });
    // Guards against calling the stream's own attempt back with the copies.
    assert!(!actions.iter().any(|a| matches!(a, Action::CancelAttempt { .. } | Action::Fail(_))));
}

/// Rule 4: over every window a cold server gets no more than a share of what a warm one gets.
#[test]
fn a_cold_server_is_not_pushed_over() {
    for seed in 0..5 {
        let mut node = Node::new(settings(vec![class(Idempotency::Idempotent, 1.0)]), seed);
        node.members(EndpointUpdate::Restored(list((1..=4).map(server))));
        let serve = |node: &mut Node, count: u32| {
            for _ in 0..count {
                node.request(0, 900 * MS);
                node.now += 10 * MS;
                for (id, n) in node.out() {
                    node.end(id, n, AttemptOutcome::Success);
                }
            }
        };
        serve(&mut node, 500);
        let started = node.now;
        node.members(EndpointUpdate::Delta(list([EndpointInfo { started_at: started, ..server(5) }])));
        serve(&mut node, 1500);
        let sent = |from: Nanos, to: Nanos, cold: bool| {
            let all = node.requests.values().flat_map(|k| &k.tries);
            let inside = all.filter(|t| t.at >= from && t.at < to && (t.server == EndpointId(5)) == cold);
            inside.count() as f64
        };
        for window in 0..4u64 {
            let (from, to) = (started + window * 2 * SECOND, started + (window + 1) * 2 * SECOND);
            let ramp = 0.2 + 0.8 * (window as f64 + 0.5) / 5.0;
            let warm = sent(from, to, false) / 4.0;
            let cold = sent(from, to, true);
            assert!(cold <= 1.5 * ramp * warm + 2.0, "window {window}: {cold} cold, {warm} warm");
        }
        assert!(sent(started, node.now, true) > 20.0, "a cold server is used");
        assert!(sent(started, started + 200 * MS, true) <= 2.0, "no burst at the start");
        assert!(node.broken.is_empty());
    }
}

fn ordered() -> Settings {
    let pay = Class { ordered_by_key: true, ..class(KEYED_ALL, 1.0) };
    let post = Class { ordered_by_key: true, ..class(Idempotency::NotIdempotent, 1.0) };
    Settings { key_cooldown: 100 * MS, ..settings(vec![pay, post, class(Idempotency::Idempotent, 1.0)]) }
}

/// Money sent out of turn: the second advance on an invoice must wait for the first.
#[test]
fn requests_of_one_key_take_turns_over_all_classes_that_keep_order() {
    let mut node = Node::with_servers(ordered(), 6);
    let first = node.keyed(0, 900 * MS, 7);
    let second = node.keyed(1, 900 * MS, 7);
    let third = node.keyed(0, 900 * MS, 7);
    let other = node.keyed(0, 900 * MS, 8);
    let unbound = node.keyed(2, 900 * MS, 7);
    let keyless = node.request(0, 900 * MS);
    let sent = |node: &Node, id| node.tries(id).len();
    assert_eq!([first, second, third].map(|id| sent(&node, id)), [1, 0, 0]);
    assert_eq!([other, unbound, keyless].map(|id| sent(&node, id)), [1; 3], "nobody else is bound");
    node.now += 20 * MS;
    node.end(first, 0, AttemptOutcome::Success);
    assert_eq!([second, third].map(|id| sent(&node, id)), [1, 0], "at once after a sure end");
    node.now += 20 * MS;
    node.end(second, 0, AttemptOutcome::Reset);
    assert_eq!(sent(&node, third), 0, "the key rests");
    node.advance(node.now + 99 * MS);
    assert_eq!(sent(&node, third), 0);
    node.advance(node.now + 2 * MS);
    assert_eq!(sent(&node, third), 1, "and wakes by itself");
    assert_eq!(node.broken, Vec::<String>::new());
}

#[test]
fn a_turn_passes_over_who_left_and_waits_for_attempts_still_out() {
    let mut node = Node::with_servers(Settings { cancellation: false, ..ordered() }, 6);
    let first = node.keyed(0, 900 * MS, 7);
    let second = node.keyed(0, 300 * MS, 7);
    let third = node.keyed(0, 900 * MS, 7);
    let known = node.requests.get_mut(&first.0).unwrap();
    (known.finals, known.over_at) = (1, Some(node.now));
    node.event(Event::ClientDisconnected(first));
    node.advance(node.now + 310 * MS);
    assert_eq!(node.requests[&second.0].finals, 1, "answered in time without its turn");
    assert_eq!(node.tries(third).len(), 0, "the attempt of the one who left is still out");
    node.end(first, 0, AttemptOutcome::Success);
    assert_eq!(node.tries(third).len(), 1);
    assert_eq!(node.broken, Vec::<String>::new());
}

#[test]
fn who_has_the_turn_may_be_tried_again_without_a_rest() {
    let mut node = Node::with_servers(ordered(), 6);
    let first = node.keyed(0, 900 * MS, 7);
    node.now += 20 * MS;
    node.end(first, 0, AttemptOutcome::Reset);
    assert_eq!(node.tries(first).len(), 2);
    assert_eq!(node.broken, Vec::<String>::new());
}

/// A draining server waits for its connections: one kept open holds up its shutdown.
#[test]
fn idle_connections_to_a_draining_server_are_closed() {
    let told =
        Settings { drain_idle_close: Some(500 * MS), ..settings(vec![class(Idempotency::Idempotent, 1.0)]) };
    for whole in [false, true] {
        let mut node = Node::with_servers(told.clone(), 2);
        let ids: Vec<_> = (0..2).map(|_| node.request(0, 900 * MS)).collect();
        let drained = EndpointInfo { state: EndpointState::Draining, ..server(1) };
        let change = list([drained, server(2)]);
        let actions = node.members(if whole {
            EndpointUpdate::Snapshot(change)
        } else {
            EndpointUpdate::Delta(change)
        });
        assert!(actions.contains(&Action::CloseIdleConnections(EndpointId(1))), "at the notice");
        node.now += 50 * MS;
        for id in ids {
            let at_drained = node.tries(id)[0].server == EndpointId(1);
            let actions = node.end(id, 0, AttemptOutcome::Success);
            assert_eq!(
                actions.contains(&Action::CloseIdleConnections(EndpointId(1))),
                at_drained,
                "after each outcome"
            );
        }
        node.members(EndpointUpdate::Delta(list([EndpointInfo {
            state: EndpointState::Removed,
            ..server(1)
        }])));
        node.advance(node.now + SECOND);
        assert_eq!(node.broken, Vec::<String>::new());
    }
    let mut node = Node::with_servers(settings(vec![class(Idempotency::Idempotent, 1.0)]), 2);
    node.members(EndpointUpdate::Delta(list([EndpointInfo { state: EndpointState::Draining, ..server(1) }])));
    assert!(
        !node.log.iter().any(|a| matches!(a, Action::CloseIdleConnections(_))),
        "only where a limit is set"
    );
}

#[derive(Clone, Debug)]
enum Step {
    Keyed { class: usize, patience: Nanos, key: u64 },
    Request { class: usize, patience: Nanos },
    End { which: usize, outcome: AttemptOutcome },
    Advance(Nanos),
    Change { which: u32, condition: EndpointState },
    Whole(Vec<u32>),
    Failed,
    Gone(usize),
    Odd(u64),
}

fn step() -> impl Strategy<Value = Step> {
    use AttemptOutcome::*;
    let outcome = prop::sample::select(vec![
        Success,
        Success,
        Success,
        Success,
        Error,
        Rejected,
        TimedOut,
        ConnectFailed,
        Reset,
        NotSent,
    ]);
    let condition =
        prop::sample::select(vec![EndpointState::Ready, EndpointState::Draining, EndpointState::Removed]);
    prop_oneof![
        8 => (0..4usize, 20..900u64).prop_map(|(class, ms)| Step::Request { class, patience: ms * MS }),
        4 => (0..4usize, 20..900u64, 1..4u64)
            .prop_map(|(class, ms, key)| Step::Keyed { class, patience: ms * MS, key }),
        8 => (any::<usize>(), outcome).prop_map(|(which, outcome)| Step::End { which, outcome }),
        6 => (1..80u64).prop_map(|ms| Step::Advance(ms * MS)),
        1 => (1..9u32, condition).prop_map(|(which, condition)| Step::Change { which, condition }),
        1 => prop::collection::vec(1..9u32, 0..8).prop_map(Step::Whole),
        1 => Just(Step::Failed),
        1 => any::<usize>().prop_map(Step::Gone),
        1 => any::<u64>().prop_map(Step::Odd),
    ]
}

fn spread(id: u32) -> EndpointInfo {
    EndpointInfo { zone: ZoneId((id % 2) as u16), cell: CellId((id % 3) as u16), ..server(id) }
}

fn apply(node: &mut Node, step: Step) {
    match step {
        Step::Keyed { class, patience, key } => {
            node.keyed(class, patience, key);
        }
        Step::Request { class, patience } => {
            node.request(class, patience);
        }
        Step::End { which, outcome } => {
            let out = node.out();
            if !out.is_empty() {
                let (id, n) = out[which % out.len()];
                node.end(id, n, outcome);
            }
        }
        Step::Advance(span) => node.advance(node.now + span),
        Step::Change { which, condition } => {
            node.members(EndpointUpdate::Delta(list([EndpointInfo { state: condition, ..spread(which) }])));
        }
        Step::Whole(mut ids) => {
            ids.sort_unstable();
            ids.dedup();
            let keep: Vec<_> = ids.into_iter().map(spread).collect();
            // The checker needs zones and cells of servers that left, too.
            let gone = (1..9).filter(|id| keep.iter().all(|s| s.id.0 != *id));
            let gone: Vec<_> =
                gone.map(|id| EndpointInfo { state: EndpointState::Removed, ..spread(id) }).collect();
            node.members(EndpointUpdate::Snapshot(list(keep)));
            node.servers.extend(gone.into_iter().map(|s| (s.id, s)));
        }
        Step::Failed => {
            node.members(EndpointUpdate::WatchFailed);
        }
        Step::Gone(which) => {
            let open: Vec<_> =
                node.requests.iter().filter(|(_, k)| k.finals == 0).map(|(&id, _)| id).collect();
            if !open.is_empty() {
                let id = open[which % open.len()];
                let known = node.requests.get_mut(&id).unwrap();
                known.finals = 1;
                known.over_at = Some(node.now);
                node.event(Event::ClientDisconnected(RequestId(id)));
            }
        }
        Step::Odd(token) => {
            // Events that concern nothing: they must change nothing.
            let id = RequestId(u32::MAX - (token as u32 % 100));
            node.event(Event::ClientDisconnected(id));
            node.event(Event::TimerFired(TimerToken(token)));
            let (attempt, server, outcome) = (AttemptNo(9), EndpointId(77), AttemptOutcome::Reset);
            node.event(Event::AttemptEnded(AttemptEnded {
                id,
                attempt,
                endpoint: server,
                outcome,
                duration: 1,
                final_answer: false,
            }));
        }
    }
}

#[test]
fn random_event_sequences_keep_the_rules() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[42; 32]);
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let strategy = (any::<u64>(), any::<[bool; 5]>(), 1..6u32, prop::collection::vec(step(), 1..250));
    let run = runner.run(
        &strategy,
        |(seed, [parallel, full_unproven, order, cancel, hang_up], attempts, steps)| {
            let zone = Idempotency::IdempotencyKey { scope: DedupScope::Zone, window: 300 * MS };
            let classes = vec![
                class(Idempotency::Idempotent, 1.0),
                class(Idempotency::NotIdempotent, 10.0),
                class(KEYED_CELL, 4.0),
                class(zone, 2.0),
            ];
            let mut told = settings(classes);
            told.zone_count = 2;
            told.cross_zone_cost = 0.1;
            told.concurrent_attempts = parallel;
            told.max_attempts = attempts;
            told.rejection_may_execute = full_unproven;
            told.cancellation = cancel;
            told.key_cooldown = 120 * MS;
            told.drain_idle_close = hang_up.then_some(200 * MS);
            told.classes[1].ordered_by_key = order;
            told.classes[3].ordered_by_key = order;
            let mut node = Node::new(told, seed);
            node.members(EndpointUpdate::Restored(list((1..7).map(spread))));
            for id in 7..9 {
                node.servers
                    .insert(EndpointId(id), EndpointInfo { state: EndpointState::Removed, ..spread(id) });
            }
            for step in steps {
                apply(&mut node, step);
            }
            node.advance(node.now + 3 * SECOND);
            prop_assert!(node.broken.is_empty(), "{:?}", node.broken);
            prop_assert!(node.all_answered());
            Result::Ok(())
        },
    );
    run.unwrap();
}

/// Rule 4 in an overload: what is sent is then several times what servers can do, and a cold server that
/// earned a share of that was pushed over by hundreds of nodes together.
#[test]
fn failing_sends_earn_a_cold_server_nothing() {
    let mut told = settings(vec![class(Idempotency::Idempotent, 1.0)]);
    told.max_attempts = 6;
    let mut node = Node::with_servers(told, 4);
    let serve = |node: &mut Node, count: u32, served: u32| {
        for round in 0..count {
            node.request(0, 900 * MS);
            node.advance(node.now + 10 * MS);
            for (id, n) in node.out() {
                let cold = node.tries(id)[n].server == EndpointId(5);
                let ok = cold || round % 10 < served;
                node.end(id, n, if ok { AttemptOutcome::Success } else { AttemptOutcome::Error });
            }
        }
    };
    serve(&mut node, 500, 10);
    serve(&mut node, 500, 1);
    let started = node.now;
    node.members(EndpointUpdate::Delta(list([EndpointInfo { started_at: started, ..server(5) }])));
    serve(&mut node, 200, 1);
    let cold = node.requests.values().flat_map(|k| &k.tries).filter(|t| t.server == EndpointId(5)).count();
    // Served: some 10 to 30 a second over four servers; a fifth to a third of one server's part of it.
    assert!(cold <= 8, "{cold} sent to the cold server in two seconds");
    assert!(node.broken.is_empty());
}

/// A node that restarts with a stale list takes a restarted server for a warm one until it hears of the start;
/// from then on it must not push it over.
#[test]
fn a_stale_cached_list_is_put_right_by_the_first_news_of_a_start() {
    let mut node = Node::new(settings(vec![class(Idempotency::Idempotent, 1.0)]), 4);
    node.members(EndpointUpdate::Restored(list((1..=5).map(server))));
    let started = node.now;
    node.members(EndpointUpdate::Delta(list([EndpointInfo { started_at: started, ..server(5) }])));
    for _ in 0..200 {
        node.request(0, 900 * MS);
        node.advance(node.now + 10 * MS);
        for (id, n) in node.out() {
            node.end(id, n, AttemptOutcome::Success);
        }
    }
    let to =
        |id| node.requests.values().flat_map(|k| &k.tries).filter(|t| t.server == EndpointId(id)).count();
    let warm = (1..=4).map(to).sum::<usize>() as f64 / 4.0;
    assert!((to(5) as f64) < 0.6 * warm, "{} to the cold one, {warm} to a warm one", to(5));
    assert!(to(5) > 0 && node.broken.is_empty());
}
