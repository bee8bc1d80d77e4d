//! Fleets that loopback sockets can't represent: more nodes than fit on the machine, lost zones, partitioned regions.

use std::time::Duration;

use pumicehead_membership::simulation::{SentTotals, Simulation, SimulationConfig};
use pumicehead_membership::{MS, MemberState, Nanos, SECOND};

use crate::hollow::counts::DATAGRAM_HEADER_BYTES;

/// Number of regions in the operators' deployment.
const REGIONS: usize = 3;
/// Number of zones of all regions together.
const ZONES: usize = 24;
/// Interval at which member tables are checked.
const STEP: Nanos = 100 * MS;
/// Timeout of all waits.
const LIMIT: Nanos = 120 * SECOND;
/// Time after which the exchanges of the start have finished.
const SETTLE: Nanos = 3 * SECOND;
/// Time over which traffic at rest is counted, in which each node starts one push-pull exchange on average.
const REST: Nanos = 10 * SECOND;
/// Duration of the partition between two regions.
const CUT: Nanos = 60 * SECOND;

/// A fleet of one size in virtual time.
#[derive(Clone, Copy, Debug)]
pub struct VirtualSize {
    /// Nodes.
    pub nodes: usize,
    /// Datagrams per second and node at rest.
    pub datagrams: f64,
    /// Bytes per second and node at rest, with headers of datagrams.
    pub bytes: f64,
    /// Time until the first node considered a crashed one dead.
    pub first: Option<Duration>,
    /// Time until the last node did.
    pub last: Option<Duration>,
}

/// All nodes of a fleet start at once.
#[derive(Clone, Copy, Debug)]
pub struct VirtualJoin {
    /// Nodes.
    pub nodes: usize,
    /// Time until all member tables were equal and had all nodes alive.
    pub settled: Option<Duration>,
    /// Mean bytes per second and node until then.
    pub bytes: f64,
    /// Mean incarnation of the nodes' records at that time: one increment is for a node's number, further ones are conflicts
    /// over it.
    pub changes: f64,
}

/// All nodes of a zone lost at once.
#[derive(Clone, Copy, Debug)]
pub struct ZoneGone {
    /// Nodes before.
    pub nodes: usize,
    /// Nodes of the zone.
    pub gone: usize,
    /// Time until some node considered one of them dead.
    pub first: Option<Duration>,
    /// Time until all nodes considered all of them dead.
    pub last: Option<Duration>,
    /// Mean bytes per node in the second with the most traffic.
    pub peak_bytes: f64,
}

/// Two regions partitioned from each other; the third one reaches both.
#[derive(Clone, Copy, Debug)]
pub struct Cut {
    /// Nodes.
    pub nodes: usize,
    /// Largest number of nodes that were considered dead at the end of a second of the partition; all of them were alive.
    pub false_positives: usize,
    /// Mean bytes per second and node during the partition.
    pub bytes: f64,
    /// Mean bytes per node in the second with the most traffic, during the partition or after it.
    pub peak_bytes: f64,
    /// Time from the end of the partition until all member tables were equal and had all nodes alive.
    pub healed: Option<Duration>,
}

fn span(nanos: Option<Nanos>) -> Option<Duration> {
    nanos.map(Duration::from_nanos)
}

fn joined_simulation(nodes: usize, seed: u64) -> Simulation {
    let mut sim =
        Simulation::new(SimulationConfig { zones: ZONES, ..SimulationConfig::without_faults(nodes, seed) });
    sim.start_all_joined();
    sim.run_for(SETTLE);
    sim
}

/// Bytes sent by all nodes, with headers of datagrams.
fn bytes(sim: &Simulation) -> f64 {
    let SentTotals { bytes, datagrams } = sim.sent();
    (bytes + DATAGRAM_HEADER_BYTES * datagrams) as f64
}

/// Whether node `by` is running and considers node `of` dead.
fn holds_dead(sim: &Simulation, by: usize, of: usize) -> bool {
    sim.is_up(by) && sim.state_of(by, of) == Some(MemberState::Dead)
}

/// Measures a fleet of one size.
pub(super) fn size(nodes: usize, seed: u64) -> VirtualSize {
    let mut sim = joined_simulation(nodes, seed);
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

/// Time until some node considers one of the `gone` nodes dead, and until all nodes consider all of them dead.
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

/// Measures a fleet whose nodes all start at once, with three seeds.
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

/// Measures the loss of a zone.
pub(super) fn zone_gone(nodes: usize, seed: u64) -> ZoneGone {
    let gone: Vec<_> = (0..nodes).filter(|node| node % ZONES == 1).collect();
    let left = (nodes - gone.len()) as f64;
    let mut sim = joined_simulation(nodes, seed);
    gone.iter().for_each(|node| sim.kill(*node));
    let (first, last) = until_dead(&mut sim, nodes, &gone);
    // Repeats the run in steps of a second, for the peak.
    let mut sim = joined_simulation(nodes, seed);
    gone.iter().for_each(|node| sim.kill(*node));
    let seconds = last.map_or(10, |last| last.as_secs() + 1);
    let peak = peak(&mut sim, seconds);
    ZoneGone { nodes, gone: gone.len(), first, last, peak_bytes: peak / left }
}

/// Bytes of all nodes in the one of the next `seconds` with the most traffic.
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

/// Measures a partition of two regions for a minute.
pub(super) fn regions_cut(nodes: usize, seed: u64) -> Cut {
    let mut sim = joined_simulation(nodes, seed);
    sim.block_links(|from, to| region(from) != region(to) && region(from) < 2 && region(to) < 2);
    let before = bytes(&sim);
    let (mut in_cut, mut false_positives) = (0.0f64, 0);
    for _ in 0..CUT / SECOND {
        in_cut = in_cut.max(peak(&mut sim, 1));
        let is_false_positive = |of: &usize| (0..nodes).any(|by| holds_dead(&sim, by, *of));
        false_positives = false_positives.max((0..nodes).filter(is_false_positive).count());
    }
    let bytes = (bytes(&sim) - before) / nodes as f64 / (CUT / SECOND) as f64;
    sim.block_links(|_, _| false);
    let (healed, after) = heal(&mut sim, nodes);
    let peak_bytes = in_cut.max(after) / nodes as f64;
    Cut { nodes, false_positives, bytes, peak_bytes, healed: span(healed) }
}

/// Time until all member tables are equal again and have all nodes alive, and the bytes of all nodes in the second with the
/// most traffic until then.
fn heal(sim: &mut Simulation, nodes: usize) -> (Option<Nanos>, f64) {
    let has_healed = |sim: &Simulation| {
        sim.has_converged()
            && sim.member(0).is_some_and(|member| member.table().count_in_state(MemberState::Alive) == nodes)
    };
    let mut most = 0.0f64;
    for second in 0..LIMIT / SECOND {
        let before = bytes(sim);
        let healed = sim.run_until(STEP, SECOND, has_healed);
        most = most.max(bytes(sim) - before);
        if let Some(part) = healed {
            return (Some(second * SECOND + part), most);
        }
    }
    (None, most)
}
