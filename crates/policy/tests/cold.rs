//! A fleet of nodes and one cold server: what all of them send it together stays within what the settings allow it, at the
//! moments at which each of them learns of it at once.

mod common;

use common::*;
use pumicehead_policy::*;

const NODES: u32 = 20;
const SERVERS: u32 = 10;
/// Of one node, a second.
const RATE: u64 = 25;
const WORK: Nanos = 60 * MS;
/// The one that starts.
const COLD: u32 = 3;

/// How the nodes come to know of the start.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Known {
    /// All restart, and find it in the list that they begin with.
    AtTheirStart,
    /// In a whole list.
    InAWholeList,
    /// As a change, while attempts to its last life are out; these fail.
    WithAttemptsOut,
}

struct Fleet {
    nodes: Vec<Node>,
    told: Settings,
    /// Sends, by time and server.
    sent: Vec<(Nanos, u32)>,
    turn: u64,
}

impl Fleet {
    fn new() -> Self {
        let told = Settings { node_count: NODES, ..settings(vec![class(Idempotency::NotIdempotent, 1.0)]) };
        let mut fleet = Self { nodes: Vec::new(), told, sent: Vec::new(), turn: 0 };
        fleet.restart(0, &list((1..=SERVERS).map(server)), SECOND);
        fleet
    }

    fn restart(&mut self, generation: u64, known: &std::sync::Arc<[EndpointInfo]>, now: Nanos) {
        self.keep();
        self.nodes = (0..NODES)
            .map(|me| {
                let told = Settings { node_index: me, ..self.told.clone() };
                let mut node = Node::new(told, generation * 100 + u64::from(me));
                node.now = now;
                node.members(EndpointUpdate::Restored(known.clone()));
                node
            })
            .collect();
    }

    /// Writes down what the nodes have sent so far, and forgets it there.
    fn keep(&mut self) {
        for node in &mut self.nodes {
            let tries = node.requests.values_mut().flat_map(|known| &known.tries);
            self.sent.extend(tries.map(|one| (one.at, one.server.0)));
            node.requests.retain(|_, known| known.tries.iter().any(|one| one.ended.is_none()));
            assert!(node.broken.is_empty(), "{:?}", node.broken);
        }
    }

    /// Each node gets its requests at moments of its own; servers answer after the same work.
    fn run(&mut self, span: Nanos) {
        let step = 10 * MS;
        for _ in 0..span / step {
            self.turn += 1;
            for (me, node) in (0..).zip(&mut self.nodes) {
                node.advance(node.now + step);
                for (id, n) in node.out() {
                    if node.now >= node.tries(id)[n].at + WORK {
                        node.end(id, n, AttemptOutcome::Success);
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

/// Guards rule 4 where a node's own history tells it nothing: a node that has just started, a whole list, a restart under
/// the same name. The page: a cold server falls at N + 3 x root of N + 3 requests of mean work in the settings' time.
#[test]
fn all_nodes_together_keep_to_what_a_cold_server_is_allowed() {
    for known in [Known::AtTheirStart, Known::InAWholeList, Known::WithAttemptsOut] {
        let mut fleet = Fleet::new();
        fleet.run(8 * SECOND);
        let started = fleet.nodes[0].now;
        let cold = EndpointInfo { started_at: started, ..server(COLD) };
        let all = list((1..=SERVERS).map(|id| if id == COLD { cold.clone() } else { server(id) }));
        match known {
            Known::AtTheirStart => fleet.restart(1, &all, started),
            Known::InAWholeList => {
                fleet
                    .nodes
                    .iter_mut()
                    .for_each(|node| drop(node.members(EndpointUpdate::Snapshot(all.clone()))));
            }
            Known::WithAttemptsOut => {
                let mut out = 0;
                for node in &mut fleet.nodes {
                    node.members(EndpointUpdate::Delta(list([cold.clone()])));
                    for (id, n) in node.out() {
                        if node.tries(id)[n].server == EndpointId(COLD) {
                            out += 1;
                            node.end(id, n, AttemptOutcome::ConnectFailed);
                        }
                    }
                }
                assert!(out > 0, "some were on their way");
            }
        }
        fleet.run(fleet.told.warmup_duration);
        fleet.keep();
        let Settings {
            overload_duration, overload_multiple, warmup_initial_fraction, warmup_duration, ..
        } = fleet.told;
        // What one of its size can do: what the nodes ask for, by server.
        let full =
            (u64::from(NODES) * RATE) as f64 / f64::from(SERVERS) * overload_duration as f64 / SECOND as f64;
        let mut most: f64 = 0.0;
        for from in (started..started + warmup_duration - overload_duration).step_by(50 * MS as usize) {
            let ramp = warmup_initial_fraction
                + (1.0 - warmup_initial_fraction) * (from - started) as f64 / warmup_duration as f64;
            let allowed = overload_multiple * ramp * full;
            let falls = allowed + 3.0 * allowed.sqrt() + 3.0;
            most = most.max(fleet.count(COLD, from, overload_duration) / falls);
        }
        assert!(most < 1.0, "{known:?}: {most} of what it falls at");
        let used = fleet.count(COLD, started, warmup_duration);
        assert!(used > 0.2 * full, "{known:?}: it is used, {used}");
    }
}
