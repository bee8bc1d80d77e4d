//! Membership in virtual time: detection, convergence and traffic by the number of nodes.

use pumicehead_membership::simulation::{Simulation, SimulationConfig};
use pumicehead_membership::{MS, MemberState, Nanos, SECOND};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{DATAGRAM_HEADERS, seconds};
use crate::measure::Plan;
use crate::report::Report;

/// Resolution of the times that are measured.
const STEP: Nanos = 100 * MS;
/// Resolution of the detection times in [`measure_crashes`].
const FINE_STEP: Nanos = STEP / 10;
/// Timeout of all waits, in virtual time.
const LIMIT: Nanos = 120 * SECOND;
/// Number of crashes, of which the median counts: the time until a dead member is next probed is random.
const CRASHES: u64 = 41;
/// Numbers of nodes; the last is measured only in long runs.
const SIZES: [usize; 5] = [4, 50, 277, 1_250, 10_000];
/// Partitions are measured up to this size.
const MAX_PARTITIONED: usize = 277;
/// Time over which traffic is averaged, in seconds.
const TRAFFIC_SPAN_S: u64 = 10;
/// Share of lost datagrams and duration of the stalls in [`false_positives`].
const LOSS: f64 = 0.05;
const STALL: Nanos = 2 * SECOND;

/// Bytes per second that a node sends.
pub(super) struct Traffic {
    pub(super) of_50: f64,
    pub(super) largest: f64,
}

/// Results at one size.
struct SizeResult {
    /// From the crash until the first and the last node considered the member dead.
    first_detection: Option<Nanos>,
    last_detection: Option<Nanos>,
    /// From the restart of the member until all tables were equal.
    joined: Option<Nanos>,
    /// From the end of a partition until all tables were equal.
    healed: Option<Nanos>,
    bytes_per_second: f64,
}

/// When a crash was detected.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Detection {
    first: Nanos,
    last: Nanos,
}

/// Adds a row for each size.
pub(super) fn measure_sizes(plan: Plan, report: &mut Report) -> Traffic {
    let sizes = if plan.long { &SIZES[..] } else { &SIZES[..SIZES.len() - 1] };
    let mut traffic = Traffic { of_50: 0.0, largest: 0.0 };
    for &nodes in sizes {
        let partitioned = nodes <= MAX_PARTITIONED;
        let mut result = measure_size(nodes, plan.seed);
        if partitioned {
            result.healed = heal(nodes, plan.seed);
        }
        report.row(&[
            format!("{nodes}, virtual"),
            seconds(result.first_detection),
            seconds(result.last_detection),
            seconds(result.joined),
            if partitioned { seconds(result.healed) } else { String::new() },
            String::new(),
            format!("{:.0}", result.bytes_per_second),
        ]);
        if nodes == 50 {
            traffic.of_50 = result.bytes_per_second;
            let healed = result.healed.is_some_and(|span| span <= 5 * SECOND);
            report.claim(healed, "50 member tables are equal within 5 s of the end of a partition");
        }
        traffic.largest = result.bytes_per_second;
        let detected = result.last_detection.is_some_and(|span| span < 10 * SECOND);
        report.claim(detected, format!("{nodes} nodes: the last node detects a crash within 10 s"));
        report.claim(
            result.bytes_per_second < 2_048.0,
            format!("{nodes} nodes: each node sends under 2 KiB a second on average"),
        );
    }
    traffic
}

/// Adds a row for the detection of many crashes among 50 nodes.
pub(super) fn measure_crashes(plan: Plan, report: &mut Report) {
    let mut crashes: Vec<_> = (0..CRASHES).map(|more| crash(50, plan.seed + more)).collect();
    crashes.sort_unstable();
    let median = crashes[crashes.len() / 2];
    let latest = crashes.iter().map(|crash| crash.last).max().unwrap_or(LIMIT);
    report.row(&[
        format!("50, virtual, {CRASHES} crashes: medians"),
        seconds(Some(median.first)),
        seconds(Some(median.last)),
    ]);
    report
        .claim(median.first <= 2 * SECOND, "the first of 50 nodes detects a crash within 2 s, by the median");
    report.claim(latest <= 5 * SECOND, "the last of 50 nodes detects each crash within 5 s");
    report.figure("last_of_all_s", seconds(Some(latest)));
}

/// Number of other nodes that consider `member` dead.
fn holding_dead(simulation: &Simulation, nodes: usize, member: usize) -> usize {
    (0..nodes)
        .filter(|&by| by != member && simulation.state_of(by, member) == Some(MemberState::Dead))
        .count()
}

fn measure_size(nodes: usize, seed: u64) -> SizeResult {
    let mut simulation = Simulation::new(SimulationConfig::without_faults(nodes, seed));
    simulation.start_all_joined();
    simulation.run_for(3 * SECOND);
    let before = simulation.sent();
    simulation.run_for(TRAFFIC_SPAN_S * SECOND);
    let after = simulation.sent();
    let headers = DATAGRAM_HEADERS * (after.datagrams - before.datagrams) as f64;
    let bytes = (after.bytes - before.bytes) as f64 + headers;
    simulation.kill(1);
    let first = simulation.run_until(STEP, LIMIT, |simulation| holding_dead(simulation, nodes, 1) > 0);
    let last = first.and_then(|first| {
        let all = |simulation: &Simulation| holding_dead(simulation, nodes, 1) == nodes - 1;
        Some(first + simulation.run_until(STEP, LIMIT, all)?)
    });
    simulation.start(1, &[0, 2]);
    let joined = simulation.run_until(STEP, LIMIT, Simulation::has_converged);
    SizeResult {
        first_detection: first,
        last_detection: last,
        joined,
        healed: None,
        bytes_per_second: bytes / nodes as f64 / TRAFFIC_SPAN_S as f64,
    }
}

/// Detection of a crash whose time depends on the seed.
fn crash(nodes: usize, seed: u64) -> Detection {
    let mut simulation = Simulation::new(SimulationConfig::without_faults(nodes, seed));
    simulation.start_all_joined();
    simulation.run_for(2 * SECOND + seed * 37 % 500 * MS);
    simulation.kill(1);
    let any = |simulation: &Simulation| holding_dead(simulation, nodes, 1) > 0;
    let all = |simulation: &Simulation| holding_dead(simulation, nodes, 1) == nodes - 1;
    let first = simulation.run_until(FINE_STEP, LIMIT, any).unwrap_or(LIMIT);
    let rest = simulation.run_until(FINE_STEP, LIMIT, all).unwrap_or(LIMIT);
    Detection { first, last: first + rest }
}

/// A partition of a minute; returns the time from its end until all tables are equal and have all nodes alive.
fn heal(nodes: usize, seed: u64) -> Option<Nanos> {
    let mut simulation = Simulation::new(SimulationConfig::without_faults(nodes, seed));
    simulation.start_all_joined();
    simulation.block_links(|from, to| from % 2 != to % 2);
    simulation.run_for(60 * SECOND);
    simulation.block_links(|_, _| false);
    let all_alive = |simulation: &Simulation| {
        let table = simulation.member(0).map(|member| member.table());
        table.is_some_and(|table| table.count_in_state(MemberState::Alive) == nodes)
    };
    simulation.run_until(STEP, LIMIT, |simulation| simulation.has_converged() && all_alive(simulation))
}

/// Counts the live members that some other considers dead, once per round, over a span under loss with a tenth of the nodes
/// stalled in each round of [`STALL`].
pub(super) fn false_positives(nodes: usize, seed: u64, span: Nanos) -> usize {
    let config = SimulationConfig { loss: LOSS, ..SimulationConfig::without_faults(nodes, seed) };
    let mut simulation = Simulation::new(config);
    simulation.start_all_joined();
    let (mut rng, mut count) = (Pcg64Mcg::seed_from_u64(seed), 0);
    for _ in 0..span / STALL {
        let stalled: Vec<_> = (0..nodes.div_ceil(10)).map(|_| rng.next_u64() as usize % nodes).collect();
        stalled.iter().for_each(|node| simulation.pause(*node));
        simulation.run_for(STALL);
        stalled.iter().for_each(|node| simulation.resume(*node));
        count += (0..nodes).filter(|&member| holding_dead(&simulation, nodes, member) > 0).count();
    }
    count
}
