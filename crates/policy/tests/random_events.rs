//! Random event sequences, with the rules checked independently of the module (in `common`).

mod common;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use pumicehead_policy::*;

const KEYED_CELL: Idempotency = Idempotency::IdempotencyKey { scope: DedupScope::Cell, window: 300 * MS };

#[derive(Clone, Debug)]
enum Step {
    RequestWithKey { class: usize, timeout: Nanos, key: u64 },
    Request { class: usize, timeout: Nanos },
    EndAttempt { index: usize, outcome: AttemptOutcome },
    Advance(Nanos),
    ChangeEndpoint { id: u32, state: EndpointState },
    Snapshot(Vec<u32>),
    WatchFailed,
    ClientDisconnects(usize),
    UnknownIds(u64),
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
    let state =
        prop::sample::select(vec![EndpointState::Ready, EndpointState::Draining, EndpointState::Removed]);
    prop_oneof![
        8 => (0..4usize, 20..900u64).prop_map(|(class, ms)| Step::Request { class, timeout: ms * MS }),
        4 => (0..4usize, 20..900u64, 1..4u64)
            .prop_map(|(class, ms, key)| Step::RequestWithKey { class, timeout: ms * MS, key }),
        8 => (any::<usize>(), outcome).prop_map(|(index, outcome)| Step::EndAttempt { index, outcome }),
        6 => (1..80u64).prop_map(|ms| Step::Advance(ms * MS)),
        1 => (1..9u32, state).prop_map(|(id, state)| Step::ChangeEndpoint { id, state }),
        1 => prop::collection::vec(1..9u32, 0..8).prop_map(Step::Snapshot),
        1 => Just(Step::WatchFailed),
        1 => any::<usize>().prop_map(Step::ClientDisconnects),
        1 => any::<u64>().prop_map(Step::UnknownIds),
    ]
}

fn endpoint_in_zone_and_cell(id: u32) -> EndpointInfo {
    EndpointInfo { zone: ZoneId((id % 2) as u16), cell: CellId((id % 3) as u16), ..endpoint(id) }
}

fn apply(node: &mut TestNode, step: Step) {
    match step {
        Step::RequestWithKey { class, timeout, key } => {
            node.request_with_key(class, timeout, key);
        }
        Step::Request { class, timeout } => {
            node.request(class, timeout);
        }
        Step::EndAttempt { index, outcome } => {
            let in_flight = node.attempts_in_flight();
            if !in_flight.is_empty() {
                let (id, n) = in_flight[index % in_flight.len()];
                node.end_attempt(id, n, outcome);
            }
        }
        Step::Advance(span) => node.advance(node.now + span),
        Step::ChangeEndpoint { id, state } => {
            node.update_endpoints(EndpointUpdate::Delta(list([EndpointInfo {
                state,
                ..endpoint_in_zone_and_cell(id)
            }])));
        }
        Step::Snapshot(mut ids) => {
            ids.sort_unstable();
            ids.dedup();
            let remaining: Vec<_> = ids.into_iter().map(endpoint_in_zone_and_cell).collect();
            // The rule checks need the zones and cells of removed endpoints, too.
            let removed = (1..9).filter(|id| remaining.iter().all(|info| info.id.0 != *id));
            let removed: Vec<_> = removed
                .map(|id| EndpointInfo { state: EndpointState::Removed, ..endpoint_in_zone_and_cell(id) })
                .collect();
            node.update_endpoints(EndpointUpdate::Snapshot(list(remaining)));
            node.endpoints.extend(removed.into_iter().map(|info| (info.id, info)));
        }
        Step::WatchFailed => {
            node.update_endpoints(EndpointUpdate::WatchFailed);
        }
        Step::ClientDisconnects(index) => {
            let open: Vec<_> = node
                .requests
                .iter()
                .filter(|(_, request)| request.final_answers == 0)
                .map(|(&id, _)| id)
                .collect();
            if !open.is_empty() {
                let id = open[index % open.len()];
                let request = node.requests.get_mut(&id).unwrap();
                request.final_answers = 1;
                request.done_since = Some(node.now);
                node.event(Event::ClientDisconnected(RequestId(id)));
            }
        }
        Step::UnknownIds(token) => {
            // Events with unknown ids or tokens must change nothing.
            let id = RequestId(u32::MAX - (token as u32 % 100));
            node.event(Event::ClientDisconnected(id));
            node.event(Event::TimerFired(TimerToken(token)));
            let (attempt, endpoint, outcome) = (AttemptNo(9), EndpointId(77), AttemptOutcome::Reset);
            node.event(Event::AttemptEnded(AttemptEnded {
                id,
                attempt,
                endpoint,
                outcome,
                duration: 1,
                final_answer: false,
            }));
        }
    }
}

#[test]
fn random_event_sequences_violate_no_rule() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[42; 32]);
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let strategy = (any::<u64>(), any::<[bool; 5]>(), 1..6u32, prop::collection::vec(step(), 1..250));
    let run = runner.run(
        &strategy,
        |(
            seed,
            [
                concurrent_attempts,
                rejection_may_execute,
                ordered_by_key,
                cancellation,
                closes_idle_connections,
            ],
            max_attempts,
            steps,
        )| {
            let keyed_zone = Idempotency::IdempotencyKey { scope: DedupScope::Zone, window: 300 * MS };
            let classes = vec![
                class(Idempotency::Idempotent, 1.0),
                class(Idempotency::NotIdempotent, 10.0),
                class(KEYED_CELL, 4.0),
                class(keyed_zone, 2.0),
            ];
            let mut node_settings = settings(classes);
            node_settings.zone_count = 2;
            node_settings.cross_zone_cost = 0.1;
            node_settings.concurrent_attempts = concurrent_attempts;
            node_settings.max_attempts = max_attempts;
            node_settings.rejection_may_execute = rejection_may_execute;
            node_settings.cancellation = cancellation;
            node_settings.key_cooldown = 120 * MS;
            node_settings.drain_idle_close = closes_idle_connections.then_some(200 * MS);
            node_settings.classes[1].ordered_by_key = ordered_by_key;
            node_settings.classes[3].ordered_by_key = ordered_by_key;
            let mut node = TestNode::new(node_settings, seed);
            node.update_endpoints(EndpointUpdate::Restored(list((1..7).map(endpoint_in_zone_and_cell))));
            for id in 7..9 {
                node.endpoints.insert(
                    EndpointId(id),
                    EndpointInfo { state: EndpointState::Removed, ..endpoint_in_zone_and_cell(id) },
                );
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
