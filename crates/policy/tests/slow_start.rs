//! Slow start: what one node, and many nodes together, send to an endpoint that has just started.

mod common;

use common::*;
use pumicehead_policy::*;

const NODES: u32 = 20;
const ENDPOINTS: u32 = 10;
/// Requests per second of one node.
const RATE: u64 = 25;
const RESPONSE_TIME: Nanos = 60 * MS;
/// Id of the endpoint that starts.
const STARTED: u32 = 3;

/// How the nodes learn that the endpoint has started.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Notification {
    /// All nodes restart, and find the start in the list that they begin with.
    RestoredList,
    /// From a snapshot.
    Snapshot,
    /// From a delta, while attempts at the previous process are in flight; these fail.
    DeltaWithAttemptsInFlight,
}

struct Fleet {
    nodes: Vec<TestNode>,
    settings: Settings,
    /// Attempts that were sent, with time and endpoint.
    sent: Vec<(Nanos, u32)>,
    step_count: u64,
}

impl Fleet {
    fn new() -> Self {
        let node_settings =
            Settings { node_count: NODES, ..settings(vec![class(Idempotency::NotIdempotent, 1.0)]) };
        let mut fleet = Self { nodes: Vec::new(), settings: node_settings, sent: Vec::new(), step_count: 0 };
        fleet.restart(0, &list((1..=ENDPOINTS).map(endpoint)), SECOND);
        fleet
    }

    fn restart(&mut self, generation: u64, endpoints: &std::sync::Arc<[EndpointInfo]>, now: Nanos) {
        self.collect_attempts();
        self.nodes = (0..NODES)
            .map(|index| {
                let node_settings = Settings { node_index: index, ..self.settings.clone() };
                let mut node = TestNode::new(node_settings, generation * 100 + u64::from(index));
                node.now = now;
                node.update_endpoints(EndpointUpdate::Restored(endpoints.clone()));
                node
            })
            .collect();
    }

    /// Collects the attempts of the nodes so far, and removes their requests that have no attempt in flight.
    fn collect_attempts(&mut self) {
        for node in &mut self.nodes {
            let attempts = node.requests.values_mut().flat_map(|request| &request.attempts);
            self.sent.extend(attempts.map(|attempt| (attempt.sent_at, attempt.endpoint.0)));
            node.requests
                .retain(|_, request| request.attempts.iter().any(|attempt| attempt.outcome.is_none()));
            assert!(node.violations.is_empty(), "{:?}", node.violations);
        }
    }

    /// Runs all nodes. Each node gets its requests at times of its own; all responses take the same time.
    fn run(&mut self, span: Nanos) {
        let step = 10 * MS;
        for _ in 0..span / step {
            self.step_count += 1;
            for (index, node) in (0..).zip(&mut self.nodes) {
                node.advance(node.now + step);
                for (id, n) in node.attempts_in_flight() {
                    if node.now >= node.attempts_of(id)[n].sent_at + RESPONSE_TIME {
                        node.end_attempt(id, n, AttemptOutcome::Success);
                    }
                }
                if (self.step_count + index * 7).is_multiple_of(SECOND / step / RATE) {
                    node.request(0, 900 * MS);
                }
            }
        }
    }

    fn count(&self, endpoint: u32, from: Nanos, span: Nanos) -> f64 {
        self.sent.iter().filter(|&&(at, to)| to == endpoint && at >= from && at < from + span).count() as f64
    }
}

/// Cases in which a node's own history says nothing about the endpoint: the node has just started, gets a
/// snapshot, or the endpoint restarts under the same id. By the platform's rule, an endpoint in slow start
/// collapses if it gets N + 3 x sqrt(N) + 3 requests of mean cost within the overload duration of the
/// settings. N is the overload multiple, times the warm-up fraction, times the requests that a warm endpoint
/// gets in that time.
#[test]
fn all_nodes_together_keep_an_endpoint_in_slow_start_below_collapse() {
    for notification in
        [Notification::RestoredList, Notification::Snapshot, Notification::DeltaWithAttemptsInFlight]
    {
        let mut fleet = Fleet::new();
        fleet.run(8 * SECOND);
        let started = fleet.nodes[0].now;
        let starting = EndpointInfo { started_at: started, ..endpoint(STARTED) };
        let all = list((1..=ENDPOINTS).map(|id| if id == STARTED { starting.clone() } else { endpoint(id) }));
        match notification {
            Notification::RestoredList => fleet.restart(1, &all, started),
            Notification::Snapshot => {
                fleet
                    .nodes
                    .iter_mut()
                    .for_each(|node| drop(node.update_endpoints(EndpointUpdate::Snapshot(all.clone()))));
            }
            Notification::DeltaWithAttemptsInFlight => {
                let mut in_flight = 0;
                for node in &mut fleet.nodes {
                    node.update_endpoints(EndpointUpdate::Delta(list([starting.clone()])));
                    for (id, n) in node.attempts_in_flight() {
                        if node.attempts_of(id)[n].endpoint == EndpointId(STARTED) {
                            in_flight += 1;
                            node.end_attempt(id, n, AttemptOutcome::ConnectFailed);
                        }
                    }
                }
                assert!(in_flight > 0, "some attempts are in flight");
            }
        }
        fleet.run(fleet.settings.warmup_duration);
        fleet.collect_attempts();
        let Settings {
            overload_duration, overload_multiple, warmup_initial_fraction, warmup_duration, ..
        } = fleet.settings;
        // Requests that a warm endpoint gets in that time: those of all nodes divided by the number of
        // endpoints.
        let warm_endpoint_requests = (u64::from(NODES) * RATE) as f64 / f64::from(ENDPOINTS)
            * overload_duration as f64
            / SECOND as f64;
        let mut max_load: f64 = 0.0;
        for from in (started..started + warmup_duration - overload_duration).step_by(50 * MS as usize) {
            let warmup_fraction = warmup_initial_fraction
                + (1.0 - warmup_initial_fraction) * (from - started) as f64 / warmup_duration as f64;
            let allowed = overload_multiple * warmup_fraction * warm_endpoint_requests;
            let collapse_at = allowed + 3.0 * allowed.sqrt() + 3.0;
            max_load = max_load.max(fleet.count(STARTED, from, overload_duration) / collapse_at);
        }
        assert!(max_load < 1.0, "{notification:?}: {max_load} of the load at which it collapses");
        let used = fleet.count(STARTED, started, warmup_duration);
        assert!(
            used > 0.2 * warm_endpoint_requests,
            "{notification:?}: {used} attempts at the starting endpoint"
        );
    }
}

/// In every time window, an endpoint in slow start gets no more than a share of what a warm one gets.
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
        let sent = |from: Nanos, to: Nanos, starting: bool| {
            let all = node.requests.values().flat_map(|request| &request.attempts);
            let inside = all.filter(|attempt| {
                attempt.sent_at >= from
                    && attempt.sent_at < to
                    && (attempt.endpoint == EndpointId(5)) == starting
            });
            inside.count() as f64
        };
        for window in 0..4u64 {
            let (from, to) = (started + window * 2 * SECOND, started + (window + 1) * 2 * SECOND);
            let warmup_fraction = 0.2 + 0.8 * (window as f64 + 0.5) / 5.0;
            let warm = sent(from, to, false) / 4.0;
            let starting = sent(from, to, true);
            assert!(
                starting <= 1.5 * warmup_fraction * warm + 2.0,
                "window {window}: {starting} attempts at the starting endpoint, {warm} at a warm one"
            );
        }
        assert!(sent(started, node.now, true) > 20.0, "the starting endpoint is used");
        assert!(sent(started, started + 200 * MS, true) <= 2.0, "no burst at the start");
        assert!(node.violations.is_empty());
    }
}

/// In an overload, several times as many attempts are sent as endpoints can serve, so the budget of an
/// endpoint in slow start must not be a share of the attempts sent.
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
                let starting = node.attempts_of(id)[n].endpoint == EndpointId(5);
                let ok = starting || round % 10 < served;
                node.end_attempt(id, n, if ok { AttemptOutcome::Success } else { AttemptOutcome::Error });
            }
        }
    };
    serve(&mut node, 500, 10);
    serve(&mut node, 500, 1);
    let started = node.now;
    node.update_endpoints(EndpointUpdate::Delta(list([EndpointInfo { started_at: started, ..endpoint(5) }])));
    serve(&mut node, 200, 1);
    let starting = node
        .requests
        .values()
        .flat_map(|request| &request.attempts)
        .filter(|attempt| attempt.endpoint == EndpointId(5))
        .count();
    // About 10 to 30 requests per second are served by four endpoints. The endpoint in slow start may get a
    // fifth to a third of a single endpoint's part of that.
    assert!(starting <= 8, "{starting} attempts at the starting endpoint in two seconds");
    assert!(node.violations.is_empty());
}

/// A node that restarts with a stale list treats a restarted endpoint as a warm one until it learns of the
/// start. From then on it must not overload the endpoint.
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
        node.requests
            .values()
            .flat_map(|request| &request.attempts)
            .filter(|attempt| attempt.endpoint == EndpointId(id))
            .count()
    };
    let warm = (1..=4).map(to).sum::<usize>() as f64 / 4.0;
    assert!((to(5) as f64) < 0.6 * warm, "{} attempts at the starting endpoint, {warm} at a warm one", to(5));
    assert!(to(5) > 0 && node.violations.is_empty());
}
