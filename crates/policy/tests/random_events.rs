//! Random event sequences against an independent checker of the rules (in `common`).

mod common;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use pumicehead_policy::*;

const KEYED_CELL: Idempotency = Idempotency::IdempotencyKey { scope: DedupScope::Cell, window: 300 * MS };

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
    EndpointInfo { zone: ZoneId((id % 2) as u16), cell: CellId((id % 3) as u16), ..endpoint(id) }
}

fn apply(node: &mut TestNode, step: Step) {
    match step {
        Step::Keyed { class, patience, key } => {
            node.request_with_key(class, patience, key);
        }
        Step::Request { class, patience } => {
            node.request(class, patience);
        }
        Step::End { which, outcome } => {
            let out = node.attempts_in_flight();
            if !out.is_empty() {
                let (id, n) = out[which % out.len()];
                node.end_attempt(id, n, outcome);
            }
        }
        Step::Advance(span) => node.advance(node.now + span),
        Step::Change { which, condition } => {
            node.update_endpoints(EndpointUpdate::Delta(list([EndpointInfo {
                state: condition,
                ..spread(which)
            }])));
        }
        Step::Whole(mut ids) => {
            ids.sort_unstable();
            ids.dedup();
            let keep: Vec<_> = ids.into_iter().map(spread).collect();
            // The checker needs zones and cells of removed endpoints, too.
            let gone = (1..9).filter(|id| keep.iter().all(|s| s.id.0 != *id));
            let gone: Vec<_> =
                gone.map(|id| EndpointInfo { state: EndpointState::Removed, ..spread(id) }).collect();
            node.update_endpoints(EndpointUpdate::Snapshot(list(keep)));
            node.endpoints.extend(gone.into_iter().map(|s| (s.id, s)));
        }
        Step::Failed => {
            node.update_endpoints(EndpointUpdate::WatchFailed);
        }
        Step::Gone(which) => {
            let open: Vec<_> =
                node.requests.iter().filter(|(_, k)| k.final_answers == 0).map(|(&id, _)| id).collect();
            if !open.is_empty() {
                let id = open[which % open.len()];
                let known = node.requests.get_mut(&id).unwrap();
                known.final_answers = 1;
                known.over_since = Some(node.now);
                node.event(Event::ClientDisconnected(RequestId(id)));
            }
        }
        Step::Odd(token) => {
            // Events about nothing that is known must change nothing.
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
            let mut node_settings = settings(classes);
            node_settings.zone_count = 2;
            node_settings.cross_zone_cost = 0.1;
            node_settings.concurrent_attempts = parallel;
            node_settings.max_attempts = attempts;
            node_settings.rejection_may_execute = full_unproven;
            node_settings.cancellation = cancel;
            node_settings.key_cooldown = 120 * MS;
            node_settings.drain_idle_close = hang_up.then_some(200 * MS);
            node_settings.classes[1].ordered_by_key = order;
            node_settings.classes[3].ordered_by_key = order;
            let mut node = TestNode::new(node_settings, seed);
            node.update_endpoints(EndpointUpdate::Restored(list((1..7).map(spread))));
            for id in 7..9 {
                node.endpoints
                    .insert(EndpointId(id), EndpointInfo { state: EndpointState::Removed, ..spread(id) });
            }
            for step in steps {
                apply(&mut node, step);
            }
            node.advance(node.now + 3 * SECOND);
            prop_assert!(node.violations.is_empty(), "{:?}", node.violations);
            prop_assert!(node.all_answered());
            Result::Ok(())
        },
    );
    run.unwrap();
}
