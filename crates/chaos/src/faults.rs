//! A scenario's faults as steps in time, and what several of them at once make of a link: no I/O.

use serde::{Deserialize, Serialize};

use crate::link::{Conditions, Door};
use crate::scenario::{Fault, Files, Kind, Lie, Scenario, Side};
use crate::{Nanos, SECOND};

/// A slow process is stopped for a part of this.
const SLICE: Nanos = SECOND / 10;

/// A signal to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// Stand still.
    Stop,
    /// Go on.
    Continue,
    /// End at once.
    Kill,
    /// End in order.
    End,
}

/// One thing to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A fault begins.
    Begin(usize),
    /// A fault has ended: the history says so, once all its steps are done.
    Over(usize),
    /// A signal to a node.
    Node(usize, Sign),
    /// A node is started, where it does not run.
    Start(usize),
    /// A signal to a server.
    Server(usize, Sign),
    /// A server is started, where it does not run; discovery tells of its new start.
    StartServer(usize),
    /// Discovery lists a server as leaving, or as active again.
    List(usize, bool),
    /// What becomes of a node's files while it is down.
    Harm(usize, Files),
    /// No file of a node can grow from now on, or they can again.
    Full(usize, bool),
    /// A node is asked for a recording.
    Record(usize),
    /// What servers do as faults that have begun and are not over want them to.
    Manners(usize),
    /// Links as faults that have begun and are not over want them; those of this one are reset where it says so.
    Links(usize),
}

/// All steps in their order, in time from the start of the load.
#[must_use]
pub fn steps(scenario: &Scenario) -> Vec<(Nanos, Step)> {
    let mut all = Vec::new();
    for (number, fault) in scenario.fault.iter().enumerate() {
        let from = nanos(scenario.calm_s[0] + fault.at_s);
        let to = from + nanos(fault.for_s);
        all.push((from, Step::Begin(number)));
        steps_of(number, fault, from, to, &mut all);
        all.push((to, Step::Over(number)));
    }
    // Steps of one moment stay in the order of faults, and a fault is over after its last step.
    all.sort_by_key(|(at, _)| *at);
    all
}

fn nanos(seconds: f64) -> Nanos {
    (seconds * SECOND as f64) as Nanos
}

fn steps_of(number: usize, fault: &Fault, from: Nanos, to: Nanos, all: &mut Vec<(Nanos, Step)>) {
    match &fault.kind {
        Kind::Kill { nodes, files } => {
            all.extend(nodes.iter().map(|&node| (from, Step::Node(node, Sign::Kill))));
            if *files != Files::Kept {
                all.extend(nodes.iter().map(|&node| (to, Step::Harm(node, *files))));
            }
            all.extend(nodes.iter().map(|&node| (to, Step::Start(node))));
        }
        Kind::Full { nodes } => {
            for &node in nodes {
                all.extend([(from, Step::Full(node, true)), (from, Step::Record(node))]);
                all.extend([(to, Step::Full(node, false)), (to, Step::Record(node))]);
            }
        }
        Kind::Record { nodes } => all.extend(nodes.iter().map(|&node| (from, Step::Record(node)))),
        Kind::ServerSlow { .. } | Kind::ServerLie { .. } => {
            all.extend([(from, Step::Manners(number)), (to, Step::Manners(number))]);
        }
        Kind::Roll { nodes } => {
            let step = (to - from) / nodes.len().max(1) as Nanos;
            for (&node, place) in nodes.iter().zip(0..) {
                all.push((from + place * step, Step::Node(node, Sign::End)));
                all.push((from + (place + 1) * step, Step::Start(node)));
            }
        }
        Kind::Loop { nodes, every_s } => {
            let mut at = from;
            while at < to {
                all.extend(nodes.iter().map(|&node| (at, Step::Node(node, Sign::Kill))));
                all.extend(nodes.iter().map(|&node| (at, Step::Start(node))));
                at += nanos(*every_s);
            }
        }
        Kind::Stall { nodes } => {
            all.extend(nodes.iter().map(|&node| (from, Step::Node(node, Sign::Stop))));
            all.extend(nodes.iter().map(|&node| (to, Step::Node(node, Sign::Continue))));
        }
        Kind::Slow { nodes, share } => {
            let still = (SLICE as f64 * share) as Nanos;
            let mut at = from;
            while at < to {
                all.extend(nodes.iter().map(|&node| (at, Step::Node(node, Sign::Stop))));
                all.extend(
                    nodes.iter().map(|&node| ((at + still).min(to), Step::Node(node, Sign::Continue))),
                );
                at += SLICE;
            }
        }
        Kind::Link { .. } | Kind::Partition { .. } => {
            all.extend([(from, Step::Links(number)), (to, Step::Links(number))]);
        }
        Kind::ServerStall { servers } => {
            all.extend(servers.iter().map(|&server| (from, Step::Server(server, Sign::Stop))));
            all.extend(servers.iter().map(|&server| (to, Step::Server(server, Sign::Continue))));
        }
        Kind::ServerKill { servers } => {
            all.extend(servers.iter().map(|&server| (from, Step::Server(server, Sign::Kill))));
            all.extend(servers.iter().map(|&server| (to, Step::StartServer(server))));
        }
        Kind::Drain { servers } => {
            all.extend(servers.iter().map(|&server| (from, Step::List(server, true))));
            all.extend(servers.iter().map(|&server| (to, Step::List(server, false))));
        }
        // The load is drawn ahead.
        Kind::Burst { .. } => {}
    }
}

/// How many times as much is asked at a time.
#[must_use]
pub fn factor(scenario: &Scenario, at_s: f64) -> f64 {
    let bursts = scenario.fault.iter().filter_map(|fault| match fault.kind {
        Kind::Burst { factor } => {
            let from = scenario.calm_s[0] + fault.at_s;
            (from..from + fault.for_s).contains(&at_s).then_some(factor)
        }
        _ => None,
    });
    bursts.product()
}

/// What a server does beside its work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Manner {
    /// It takes so many times as long.
    pub slow: f64,
    /// It says what is not so.
    pub lie: Option<Lie>,
}

impl Default for Manner {
    fn default() -> Self {
        Self { slow: 1.0, lie: None }
    }
}

/// What faults that are going on make of a server: it is as slow as the product, and tells the lie of the last of them.
#[must_use]
pub fn manner(going_on: &[&Fault], server: usize) -> Manner {
    let mut manner = Manner::default();
    for fault in going_on {
        match &fault.kind {
            Kind::ServerSlow { servers, factor } if servers.contains(&server) => manner.slow *= factor,
            Kind::ServerLie { servers, lie } if servers.contains(&server) => manner.lie = Some(*lie),
            _ => {}
        }
    }
    manner
}

/// An end of one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum End {
    /// The clients.
    Clients,
    /// A node.
    Node(usize),
    /// A server.
    Server(usize),
    /// Discovery.
    Discovery,
}

impl Side {
    fn has(&self, end: End) -> bool {
        match (self, end) {
            (Self::Clients, End::Clients) | (Self::Discovery, End::Discovery) => true,
            (Self::Nodes(nodes), End::Node(node)) => nodes.contains(&node),
            (Self::Servers(servers), End::Server(server)) => servers.contains(&server),
            _ => false,
        }
    }
}

/// What a link is like.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    /// New connections.
    pub door: Door,
    /// The way there.
    pub there: Conditions,
    /// The way back.
    pub back: Conditions,
}

/// What faults that are going on make of a link: delays add up, each loss is a loss, one cut is enough.
#[must_use]
pub fn state(usual: &Conditions, going_on: &[&Fault], from: End, to: End) -> State {
    let mut state = State { door: Door::Open, there: usual.clone(), back: usual.clone() };
    for fault in going_on {
        if let Kind::Partition { groups } = &fault.kind
            && let (End::Node(a), End::Node(b)) = (from, to)
        {
            let group = |node: usize| groups.iter().position(|group| group.contains(&node));
            if group(a).is_some() && group(b).is_some() && group(a) != group(b) {
                (state.there.cut, state.back.cut) = (true, true);
            }
        }
        let Kind::Link { from: a, to: b, door, there, back, .. } = &fault.kind else { continue };
        if !(a.has(from) && b.has(to)) {
            continue;
        }
        let hard = |door: Door| match door {
            Door::Open => 0,
            Door::Refuse => 1,
            Door::Silent => 2,
        };
        if hard(*door) > hard(state.door) {
            state.door = *door;
        }
        state.there = both(&state.there, there);
        state.back = both(&state.back, back);
    }
    // Where one way is cut no connection comes up.
    if state.there.cut || state.back.cut {
        state.door = Door::Silent;
    }
    state
}

fn both(a: &Conditions, b: &Conditions) -> Conditions {
    let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
    Conditions {
        delay_ms: a.delay_ms + b.delay_ms,
        jitter_ms: a.jitter_ms + b.jitter_ms,
        loss: either(a.loss, b.loss),
        duplicates: either(a.duplicates, b.duplicates),
        reorder: either(a.reorder, b.reorder),
        rate: match (a.rate, b.rate) {
            (0, rate) | (rate, 0) => rate,
            (a, b) => a.min(b),
        },
        cut: a.cut || b.cut,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards that each fault that takes something gives it back, whatever is drawn: who is stopped goes on, who is killed
    /// is started, what drains is listed again, links end as they began.
    #[test]
    fn what_a_storm_takes_it_gives_back() {
        for seed in 0..500 {
            let scenario = Scenario::drawn(seed, 6, 5);
            let all = steps(&scenario);
            assert!(all.is_sorted_by_key(|(at, _)| *at));
            for node in 0..6 {
                let last = |wanted: &[Step]| all.iter().rposition(|(_, step)| wanted.contains(step));
                let stop = last(&[Step::Node(node, Sign::Stop)]);
                assert!(stop <= last(&[Step::Node(node, Sign::Continue)]), "seed {seed}");
                assert!(last(&[Step::Full(node, true)]) <= last(&[Step::Full(node, false)]), "seed {seed}");
                let end = last(&[Step::Node(node, Sign::Kill), Step::Node(node, Sign::End)]);
                assert!(end <= last(&[Step::Start(node)]), "seed {seed}");
            }
            for server in 0..5 {
                let last = |wanted: Step| all.iter().rposition(|(_, step)| *step == wanted);
                assert!(last(Step::List(server, true)) <= last(Step::List(server, false)), "seed {seed}");
                let kill = last(Step::Server(server, Sign::Kill));
                assert!(kill <= last(Step::StartServer(server)), "seed {seed}");
                let manners = all.iter().filter(|(_, step)| matches!(step, Step::Manners(_))).count();
                assert!(manners.is_multiple_of(2), "seed {seed}");
            }
            let begun = all.iter().filter(|(_, step)| matches!(step, Step::Begin(_))).count();
            let over = all.iter().filter(|(_, step)| matches!(step, Step::Over(_))).count();
            assert_eq!((begun, over), (scenario.fault.len(), scenario.fault.len()));
        }
    }

    /// Guards what several faults make of a server, and that none is left of them.
    #[test]
    fn manners_add_up_and_end() {
        let fault = |kind| Fault { at_s: 0.0, for_s: 1.0, kind };
        let slow = fault(Kind::ServerSlow { servers: vec![0, 1], factor: 3.0 });
        let lie = fault(Kind::ServerLie { servers: vec![1], lie: Lie::Swaps });
        assert_eq!(manner(&[&slow, &slow, &lie], 1), Manner { slow: 9.0, lie: Some(Lie::Swaps) });
        assert_eq!(manner(&[&slow, &lie], 0), Manner { slow: 3.0, lie: None });
        assert_eq!(manner(&[], 1), Manner::default());
    }

    /// Guards links under several faults: partitions need not be symmetric, and what one says the other does not undo.
    #[test]
    fn faults_of_links_add_up() {
        let link = |from: Side, to: Side, there: Conditions| Fault {
            at_s: 0.0,
            for_s: 1.0,
            kind: Kind::Link {
                from,
                to,
                door: Door::Open,
                there,
                back: Conditions::default(),
                forgets: false,
            },
        };
        let slow = Conditions { delay_ms: 30.0, loss: 0.5, ..Conditions::default() };
        let cut = Conditions { cut: true, ..Conditions::default() };
        let one = link(Side::Nodes(vec![0, 1]), Side::Servers(vec![2]), slow.clone());
        let two = link(Side::Nodes(vec![1]), Side::Servers(vec![2]), slow);
        let three = link(Side::Nodes(vec![0]), Side::Discovery, cut);
        let usual = Conditions { delay_ms: 1.0, ..Conditions::default() };
        let of = |from, to| state(&usual, &[&one, &two, &three], from, to);
        let both = of(End::Node(1), End::Server(2));
        assert_eq!((both.there.delay_ms, both.there.loss, both.back.delay_ms), (61.0, 0.75, 1.0));
        assert_eq!(of(End::Node(0), End::Server(2)).there.delay_ms, 31.0);
        assert_eq!(
            of(End::Node(0), End::Server(1)),
            State { there: usual.clone(), back: usual.clone(), ..State::default() }
        );
        assert_eq!(of(End::Node(0), End::Discovery).door, Door::Silent);
        assert_eq!(of(End::Node(1), End::Discovery).door, Door::Open);
        let groups = vec![vec![0, 1], vec![2]];
        let parted = Fault { at_s: 0.0, for_s: 1.0, kind: Kind::Partition { groups } };
        let of = |from, to| state(&usual, &[&parted], End::Node(from), End::Node(to)).door;
        assert_eq!(
            [of(0, 1), of(0, 2), of(2, 1), of(3, 2)],
            [Door::Open, Door::Silent, Door::Silent, Door::Open]
        );
    }
}
