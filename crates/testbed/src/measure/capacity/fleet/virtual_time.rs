//! What loopback sockets can't show: more nodes than the machine has room for, zones that go, regions that are cut.

use std::time::Duration;

use pumicehead_membership::simulation::{SentTotals, Simulation, SimulationConfig};
use pumicehead_membership::{MS, MemberState, Nanos, SECOND};

use crate::hollow::counts::DATAGRAM_HEADER_BYTES;

/// Regions, as operators have them.
const REGIONS: usize = 3;
/// Zones of all regions.
const ZONES: usize = 24;
/// Between two looks at all views.
const STEP: Nanos = 100 * MS;
/// Nothing takes longer.
const LIMIT: Nanos = 120 * SECOND;
/// What was begun at the start is over.
const SETTLE: Nanos = 3 * SECOND;
/// Bytes at rest are counted for so long: each node compares its view once on the mean.
const REST: Nanos = 10 * SECOND;
/// Two regions do not reach each other for so long.
const CUT: Nanos = 60 * SECOND;

/// A fleet of one size in virtual time.
#[derive(Clone, Copy, Debug)]
pub struct VirtualSize {
    /// Nodes.
    pub nodes: usize,
    /// Datagrams that a node sends a second at rest.
    pub datagrams: f64,
    /// Bytes that a node sends a second at rest, with heads of datagrams.
    pub bytes: f64,
    /// Until the first held a crashed node dead.
    pub first: Option<Duration>,
    /// Until the last did.
    pub last: Option<Duration>,
}

/// All nodes of a fleet start at once.
#[derive(Clone, Copy, Debug)]
pub struct VirtualJoin {
    /// Nodes.
    pub nodes: usize,
    /// Until all held the same, with all nodes in it.
    pub settled: Option<Duration>,
    /// Bytes a second that a node sent until then, on the mean.
    pub bytes: f64,
    /// Times that a node changed what it says of itself until then, on the mean: one is its number, the others are contests for it.
    pub changes: f64,
}

/// A zone of nodes gone at once.
#[derive(Clone, Copy, Debug)]
pub struct ZoneGone {
    /// Nodes before.
    pub nodes: usize,
    /// Nodes of the zone.
    pub gone: usize,
    /// Until some node held one of them dead.
    pub first: Option<Duration>,
    /// Until all held all of them dead.
    pub last: Option<Duration>,
    /// Bytes a second that a node sent in the worst second, on the mean.
    pub peak_bytes: f64,
}

/// Two regions that lose each other; the third one reaches both.
#[derive(Clone, Copy, Debug)]
pub struct Cut {
    /// Nodes.
    pub nodes: usize,
    /// Nodes that were held dead at the end of any second of the cut, the most of them.
    pub wronged: usize,
    /// Bytes a second that a node sent during the cut, on the mean.
    pub bytes: f64,
    /// The same in the worst second of the cut and after it.
    pub peak_bytes: f64,
    /// From the heal until all held the same, with all alive.
    pub healed: Option<Duration>,
}

fn span(nanos: Option<Nanos>) -> Option<Duration> {
    nanos.map(Duration::from_nanos)
}

fn known(nodes: usize, seed: u64) -> Simulation {
    let mut sim =
        Simulation::new(SimulationConfig { zones: ZONES, ..SimulationConfig::without_faults(nodes, seed) });
    sim.start_all_joined();
    sim.run_for(SETTLE);
    sim
}

/// Bytes sent by all, with heads of datagrams.
fn bytes(sim: &Simulation) -> f64 {
    let SentTotals { bytes, datagrams } = sim.sent();
    (bytes + DATAGRAM_HEADER_BYTES * datagrams) as f64
}

/// Whether one that runs holds another dead.
fn holds_dead(sim: &Simulation, by: usize, of: usize) -> bool {
    sim.is_up(by) && sim.state_of(by, of) == Some(MemberState::Dead)
}

/// A fleet of one size.
pub(super) fn size(nodes: usize, seed: u64) -> VirtualSize {
    let mut sim = known(nodes, seed);
    let (bytes_before, datagrams_before) = (bytes(&sim), sim.sent().datagrams);
    sim.run_for(REST);
    let a_second = nodes as f64 * REST as f64 / SECOND as f64;
    let (bytes, datagrams) = (
        (bytes(&sim) - bytes_before) / a_second,
        (sim.sent().datagrams - datagrams_before) as f64 / a_second,
    );
    sim.kill(1);
    let (first, last) = until_dead(&mut sim, nodes, &[1]);
    VirtualSize { nodes, datagrams, bytes, first, last }
}

/// Until the first holds one of some dead, and until all hold all of them dead.
fn until_dead(sim: &mut Simulation, nodes: usize, gone: &[usize]) -> (Option<Duration>, Option<Duration>) {
    let any = |sim: &Simulation| (0..nodes).any(|by| gone.iter().any(|of| holds_dead(sim, by, *of)));
    let all = |sim: &Simulation| {
        (0..nodes).filter(|by| sim.is_up(*by)).all(|by| gone.iter().all(|of| holds_dead(sim, by, *of)))
    };
    let first = sim.run_until(STEP, LIMIT, any);
    let rest = first.and_then(|_| sim.run_until(STEP, LIMIT, all));
    let last = first.zip(rest).map(|(first, rest)| first + rest);
    (span(first), span(last))
}

/// All start at once, with three seeds.
pub(super) fn join(nodes: usize, seed: u64) -> VirtualJoin {
    let mut sim =
        Simulation::new(SimulationConfig { zones: ZONES, ..SimulationConfig::without_faults(nodes, seed) });
    sim.start(0, &[]);
    (1..nodes).for_each(|node| sim.start(node, &[0, 1, 2]));
    let all_see_all = |sim: &Simulation| {
        sim.has_converged()
            && sim.member(0).is_some_and(|member| member.table().count_in_state(MemberState::Alive) == nodes)
    };
    let settled = sim.run_until(STEP, LIMIT, all_see_all);
    let a_second = nodes as f64 * settled.unwrap_or(LIMIT).max(STEP) as f64 / SECOND as f64;
    let incarnation = |node| sim.member(node).map_or(0, |member| member.record().incarnation);
    let changes = (0..nodes).map(incarnation).sum::<u64>() as f64 / nodes as f64;
    VirtualJoin { nodes, settled: span(settled), bytes: bytes(&sim) / a_second, changes }
}

/// A zone is gone at once.
pub(super) fn zone_gone(nodes: usize, seed: u64) -> ZoneGone {
    let gone: Vec<_> = (0..nodes).filter(|node| node % ZONES == 1).collect();
    let left = (nodes - gone.len()) as f64;
    let mut sim = known(nodes, seed);
    gone.iter().for_each(|node| sim.kill(*node));
    let (first, last) = until_dead(&mut sim, nodes, &gone);
    // The same once more, by seconds.
    let mut sim = known(nodes, seed);
    gone.iter().for_each(|node| sim.kill(*node));
    let seconds = last.map_or(10, |last| last.as_secs() + 1);
    let peak = peak(&mut sim, seconds);
    ZoneGone { nodes, gone: gone.len(), first, last, peak_bytes: peak / left }
}

/// Bytes of all in the worst of the next seconds.
fn peak(sim: &mut Simulation, seconds: u64) -> f64 {
    let mut most = 0.0f64;
    for _ in 0..seconds {
        let before = bytes(sim);
        sim.run_for(SECOND);
        most = most.max(bytes(sim) - before);
    }
    most
}

fn region(node: usize) -> usize {
    node % ZONES * REGIONS / ZONES
}

/// Two regions lose each other for a minute.
pub(super) fn regions_cut(nodes: usize, seed: u64) -> Cut {
    let mut sim = known(nodes, seed);
    sim.block_links(|from, to| region(from) != region(to) && region(from) < 2 && region(to) < 2);
    let before = bytes(&sim);
    let (mut in_cut, mut wronged) = (0.0f64, 0);
    for _ in 0..CUT / SECOND {
        in_cut = in_cut.max(peak(&mut sim, 1));
        let is_wronged = |of: &usize| (0..nodes).any(|by| holds_dead(&sim, by, *of));
        wronged = wronged.max((0..nodes).filter(is_wronged).count());
    }
    let bytes = (bytes(&sim) - before) / nodes as f64 / (CUT / SECOND) as f64;
    sim.block_links(|_, _| false);
    let (healed, after) = heal(&mut sim, nodes);
    let peak_bytes = in_cut.max(after) / nodes as f64;
    Cut { nodes, wronged, bytes, peak_bytes, healed: span(healed) }
}

/// Until all hold the same again with all alive, and the bytes of all in the worst second until then.
fn heal(sim: &mut Simulation, nodes: usize) -> (Option<Nanos>, f64) {
    let is_healed = |sim: &Simulation| {
        sim.has_converged()
            && sim.member(0).is_some_and(|member| member.table().count_in_state(MemberState::Alive) == nodes)
    };
    let mut most = 0.0f64;
    for second in 0..LIMIT / SECOND {
        let before = bytes(sim);
        let healed = sim.run_until(STEP, SECOND, is_healed);
        most = most.max(bytes(sim) - before);
        if let Some(part) = healed {
            return (Some(second * SECOND + part), most);
        }
    }
    (None, most)
}
