//! Slow start: what one node, and many nodes together, send to an endpoint that has just started.

mod common;

use common::*;
use pumicehead_policy::*;

const NODES: u32 = 20;
const ENDPOINTS: u32 = 10;
/// Requests of one node, a second.
const RATE: u64 = 25;
const RESPONSE_TIME: Nanos = 60 * MS;
/// The endpoint that starts.
const STARTED: u32 = 3;

/// How the nodes learn of the start.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Known {
    /// All nodes restart, and find it in the list that they begin with.
    AtTheirStart,
    /// In a snapshot.
    InAWholeList,
    /// As a delta, while attempts at its previous process are in flight; these fail.
    WithAttemptsOut,
}

struct Fleet {
    nodes: Vec<TestNode>,
    settings: Settings,
    /// Attempts, by time and endpoint.
    sent: Vec<(Nanos, u32)>,
    turn: u64,
}

impl Fleet {
    fn new() -> Self {
        let node_settings =
            Settings { node_count: NODES, ..settings(vec![class(Idempotency::NotIdempotent, 1.0)]) };
        let mut fleet = Self { nodes: Vec::new(), settings: node_settings, sent: Vec::new(), turn: 0 };
        fleet.restart(0, &list((1..=ENDPOINTS).map(endpoint)), SECOND);
        fleet
    }

    fn restart(&mut self, generation: u64, known: &std::sync::Arc<[EndpointInfo]>, now: Nanos) {
        self.keep();
        self.nodes = (0..NODES)
            .map(|me| {
                let node_settings = Settings { node_index: me, ..self.settings.clone() };
                let mut node = TestNode::new(node_settings, generation * 100 + u64::from(me));
                node.now = now;
                node.update_endpoints(EndpointUpdate::Restored(known.clone()));
                node
            })
            .collect();
    }

    /// Records the attempts of the nodes so far, and removes them there.
    fn keep(&mut self) {
        for node in &mut self.nodes {
            let tries = node.requests.values_mut().flat_map(|known| &known.attempts);
            self.sent.extend(tries.map(|one| (one.sent_at, one.endpoint.0)));
            node.requests.retain(|_, known| known.attempts.iter().any(|one| one.outcome.is_none()));
            assert!(node.violations.is_empty(), "{:?}", node.violations);
        }
    }

    /// Each node gets its requests at times of its own; responses all take the same time.
    fn run(&mut self, span: Nanos) {
        let step = 10 * MS;
        for _ in 0..span / step {
            self.turn += 1;
            for (me, node) in (0..).zip(&mut self.nodes) {
                node.advance(node.now + step);
                for (id, n) in node.attempts_in_flight() {
                    if node.now >= node.attempts_of(id)[n].sent_at + RESPONSE_TIME {
                        node.end_attempt(id, n, AttemptOutcome::Success);
                    }
                }
                if (self.turn + me * 7).is_multiple_of(SECOND / step / RATE) {
                    node.request(0, 900 * MS);
                }
            }
        }
    }

    fn count(&self, server: u32, from: Nanos, span: Nanos) -> f64 {
        self.sent.iter().filter(|&&(at, to)| to == server && at >= from && at < from + span).count() as f64
    }
}

/// Where a node's own history says nothing: a node that has just started, a snapshot, a restart under the
/// same id. By the platform's rule an endpoint in slow start collapses at N + 3 x root of N + 3 requests of
/// mean cost in the settings' time.
#[test]
fn all_nodes_together_keep_an_endpoint_in_slow_start_below_collapse() {
    for known in [Known::AtTheirStart, Known::InAWholeList, Known::WithAttemptsOut] {
        let mut fleet = Fleet::new();
        fleet.run(8 * SECOND);
        let started = fleet.nodes[0].now;
        let cold = EndpointInfo { started_at: started, ..endpoint(STARTED) };
        let all = list((1..=ENDPOINTS).map(|id| if id == STARTED { cold.clone() } else { endpoint(id) }));
        match known {
            Known::AtTheirStart => fleet.restart(1, &all, started),
            Known::InAWholeList => {
                fleet
                    .nodes
                    .iter_mut()
                    .for_each(|node| drop(node.update_endpoints(EndpointUpdate::Snapshot(all.clone()))));
            }
            Known::WithAttemptsOut => {
                let mut out = 0;
                for node in &mut fleet.nodes {
                    node.update_endpoints(EndpointUpdate::Delta(list([cold.clone()])));
                    for (id, n) in node.attempts_in_flight() {
                        if node.attempts_of(id)[n].endpoint == EndpointId(STARTED) {
                            out += 1;
                            node.end_attempt(id, n, AttemptOutcome::ConnectFailed);
                        }
                    }
                }
                assert!(out > 0, "some were on their way");
            }
        }
        fleet.run(fleet.settings.warmup_duration);
        fleet.keep();
        let Settings {
            overload_duration, overload_multiple, warmup_initial_fraction, warmup_duration, ..
        } = fleet.settings;
        // What a warm endpoint gets: the requests of all nodes, by endpoint.
        let full = (u64::from(NODES) * RATE) as f64 / f64::from(ENDPOINTS) * overload_duration as f64
            / SECOND as f64;
        let mut most: f64 = 0.0;
        for from in (started..started + warmup_duration - overload_duration).step_by(50 * MS as usize) {
            let ramp = warmup_initial_fraction
                + (1.0 - warmup_initial_fraction) * (from - started) as f64 / warmup_duration as f64;
            let allowed = overload_multiple * ramp * full;
            let falls = allowed + 3.0 * allowed.sqrt() + 3.0;
            most = most.max(fleet.count(STARTED, from, overload_duration) / falls);
        }
        assert!(most < 1.0, "{known:?}: {most} of what it falls at");
        let used = fleet.count(STARTED, started, warmup_duration);
        assert!(used > 0.2 * full, "{known:?}: it is used, {used}");
    }
}

/// In every window an endpoint in slow start gets no more than a share of what a warm one gets.
#[test]
fn an_endpoint_in_slow_start_gets_no_more_than_its_share() {
    for seed in 0..5 {
        let mut node = TestNode::new(settings(vec![class(Idempotency::Idempotent, 1.0)]), seed);
        node.update_endpoints(EndpointUpdate::Restored(list((1..=4).map(endpoint))));
        let serve = |node: &mut TestNode, count: u32| {
            for _ in 0..count {
                node.request(0, 900 * MS);
                node.now += 10 * MS;
                for (id, n) in node.attempts_in_flight() {
                    node.end_attempt(id, n, AttemptOutcome::Success);
                }
            }
        };
        serve(&mut node, 500);
        let started = node.now;
        node.update_endpoints(EndpointUpdate::Delta(list([EndpointInfo {
            started_at: started,
            ..endpoint(5)
        }])));
        serve(&mut node, 1500);
        let sent = |from: Nanos, to: Nanos, cold: bool| {
            let all = node.requests.values().flat_map(|k| &k.attempts);
            let inside =
                all.filter(|t| t.sent_at >= from && t.sent_at < to && (t.endpoint == EndpointId(5)) == cold);
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
        assert!(node.violations.is_empty());
    }
}

/// In an overload, the attempts sent are several times what endpoints can serve, so no share of those may be
/// earned by an endpoint in slow start.
#[test]
fn failed_attempts_earn_no_slow_start_budget() {
    let mut node_settings = settings(vec![class(Idempotency::Idempotent, 1.0)]);
    node_settings.max_attempts = 6;
    let mut node = TestNode::with_endpoints(node_settings, 4);
    let serve = |node: &mut TestNode, count: u32, served: u32| {
        for round in 0..count {
            node.request(0, 900 * MS);
            node.advance(node.now + 10 * MS);
            for (id, n) in node.attempts_in_flight() {
                let cold = node.attempts_of(id)[n].endpoint == EndpointId(5);
                let ok = cold || round % 10 < served;
                node.end_attempt(id, n, if ok { AttemptOutcome::Success } else { AttemptOutcome::Error });
            }
        }
    };
    serve(&mut node, 500, 10);
    serve(&mut node, 500, 1);
    let started = node.now;
    node.update_endpoints(EndpointUpdate::Delta(list([EndpointInfo { started_at: started, ..endpoint(5) }])));
    serve(&mut node, 200, 1);
    let cold =
        node.requests.values().flat_map(|k| &k.attempts).filter(|t| t.endpoint == EndpointId(5)).count();
    // Served: some 10 to 30 a second over four endpoints; a fifth to a third of one endpoint's part of it.
    assert!(cold <= 8, "{cold} sent to the cold server in two seconds");
    assert!(node.violations.is_empty());
}

/// A node that restarts with a stale list takes a restarted endpoint for a warm one until it learns of the
/// start; from then on it must not overload it.
#[test]
fn a_start_missing_from_the_restored_list_is_respected_once_known() {
    let mut node = TestNode::new(settings(vec![class(Idempotency::Idempotent, 1.0)]), 4);
    node.update_endpoints(EndpointUpdate::Restored(list((1..=5).map(endpoint))));
    let started = node.now;
    node.update_endpoints(EndpointUpdate::Delta(list([EndpointInfo { started_at: started, ..endpoint(5) }])));
    for _ in 0..200 {
        node.request(0, 900 * MS);
        node.advance(node.now + 10 * MS);
        for (id, n) in node.attempts_in_flight() {
            node.end_attempt(id, n, AttemptOutcome::Success);
        }
    }
    let to = |id| {
        node.requests.values().flat_map(|k| &k.attempts).filter(|t| t.endpoint == EndpointId(id)).count()
    };
    let warm = (1..=4).map(to).sum::<usize>() as f64 / 4.0;
    assert!((to(5) as f64) < 0.6 * warm, "{} to the cold one, {warm} to a warm one", to(5));
    assert!(to(5) > 0 && node.violations.is_empty());
}
