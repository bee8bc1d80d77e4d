//! Compares the `foca` library with this package under the same faults. The results show why `foca` is not used
//! (`docs/design/members.md`). Runs with the same seed are identical.

use pumicehead_membership::simulation::{Simulation, SimulationConfig};
use pumicehead_membership::{MS, MemberState, SECOND};

use crate::foca_fleet::FocaFleet;

mod foca_fleet;

const NODES: usize = 20;
/// The node that gets isolated.
const ISOLATED: usize = 9;

/// A measurement of `foca` and of this package.
#[derive(Debug, Default)]
struct Compared<T> {
    foca: T,
    own: T,
}

/// Measurements of both under several faults.
#[derive(Debug)]
struct Comparison {
    /// Members that an isolated member considers dead or no longer lists.
    lost_when_isolated: Compared<usize>,
    /// Members still lost 20 s after the isolated member was reconnected.
    lost_after_isolation: Compared<usize>,
    /// Members lost at 30% packet loss, summed over checks every 0.1 s.
    lost_under_loss: Compared<usize>,
    /// Tenths of a second until a fleet has converged after a partition into halves.
    healed_after: Compared<Option<u64>>,
}

fn own_fleet(seed: u64, loss: f64) -> Simulation {
    let mut sim = Simulation::new(SimulationConfig { loss, ..SimulationConfig::without_faults(NODES, seed) });
    sim.start_all_joined();
    sim.run_for(20 * SECOND);
    sim
}

fn own_lost_by(sim: &Simulation, observer: usize) -> usize {
    let is_lost = |node| sim.state_of(observer, node).is_none_or(|state| state >= MemberState::Dead);
    (0..NODES).filter(|&node| node != observer && is_lost(node)).count()
}

fn own_lost(sim: &Simulation) -> usize {
    (0..NODES).map(|observer| own_lost_by(sim, observer)).sum()
}

/// Isolates one member for 40 s. Returns how many members it loses, and how many are still lost 20 s later.
fn compare_isolation(seed: u64) -> (Compared<usize>, Compared<usize>) {
    let (mut foca, mut own) = (FocaFleet::joined(seed, 0.0), own_fleet(seed, 0.0));
    foca.is_blocked = |from, to| from == ISOLATED || to == ISOLATED;
    own.block_links(|from, to| from == ISOLATED || to == ISOLATED);
    foca.run_for(40 * SECOND);
    own.run_for(40 * SECOND);
    let isolated = Compared { foca: foca.lost_by(ISOLATED), own: own_lost_by(&own, ISOLATED) };
    foca.is_blocked = |_, _| false;
    own.block_links(|_, _| false);
    foca.run_for(20 * SECOND);
    own.run_for(20 * SECOND);
    (isolated, Compared { foca: foca.missing().len(), own: own_lost(&own) })
}

/// Loses 30% of the datagrams for a minute.
fn compare_packet_loss(seed: u64) -> Compared<usize> {
    let (mut foca, mut own) = (FocaFleet::joined(seed, 0.3), own_fleet(seed, 0.3));
    let mut lost = Compared::default();
    for _ in 0..600 {
        foca.run_for(100 * MS);
        own.run_for(100 * MS);
        lost.foca += foca.missing().len();
        lost.own += own_lost(&own);
    }
    lost
}

/// Partitions the fleet into two halves for a minute.
fn compare_partition(seed: u64) -> Compared<Option<u64>> {
    let (mut foca, mut own) = (FocaFleet::joined(seed, 0.0), own_fleet(seed, 0.0));
    foca.is_blocked = |from, to| from % 2 != to % 2;
    own.block_links(|from, to| from % 2 != to % 2);
    foca.run_for(60 * SECOND);
    own.run_for(60 * SECOND);
    foca.is_blocked = |_, _| false;
    own.block_links(|_, _| false);
    let mut healed: Compared<Option<u64>> = Compared::default();
    for tenths in 1..600 {
        foca.run_for(100 * MS);
        own.run_for(100 * MS);
        if foca.missing().is_empty() {
            healed.foca = healed.foca.or(Some(tenths));
        }
        if own_lost(&own) == 0 {
            healed.own = healed.own.or(Some(tenths));
        }
    }
    healed
}

fn compare(seed: u64) -> Comparison {
    let (lost_when_isolated, lost_after_isolation) = compare_isolation(seed);
    Comparison {
        lost_when_isolated,
        lost_after_isolation,
        lost_under_loss: compare_packet_loss(seed),
        healed_after: compare_partition(seed),
    }
}

/// With `foca` an isolated member considers most others dead, and members are lost under packet loss. This package loses none,
/// and recovers within 5 s of a partition.
#[test]
fn foca_loses_members_that_this_package_keeps() {
    let comparisons: Vec<_> = (1..6).map(compare).collect();
    let keeps_more = |one: &Comparison| {
        one.lost_when_isolated.own == 0
            && one.lost_when_isolated.foca > NODES / 2
            && one.lost_after_isolation.own == 0
            && one.lost_under_loss.own == 0
    };
    assert!(comparisons.iter().all(keeps_more), "{comparisons:?}");
    let heals = |one: &Comparison| one.healed_after.own.is_some_and(|tenths| tenths <= 50);
    assert!(comparisons.iter().all(heals), "{comparisons:?}");
    assert!(comparisons.iter().map(|one| one.lost_under_loss.foca).sum::<usize>() > 0, "{comparisons:?}");
    comparisons.iter().for_each(|one| println!("{one:?}"));
}

/// `foca` considers a permanently paused process dead, since it has no state for stalled members.
#[test]
fn paused_member_is_stalled_here_and_dead_for_foca() {
    const PAUSED: usize = 4;
    let mut foca = FocaFleet::joined(3, 0.0);
    foca.pause(PAUSED);
    foca.run_for(20 * SECOND);
    let mut others = (0..NODES).filter(|node| *node != PAUSED);
    assert!(others.clone().all(|observer| !foca.lists(observer, PAUSED)));
    let mut own = Simulation::new(SimulationConfig::without_faults(NODES, 3));
    own.start_all_joined();
    own.pause(PAUSED);
    own.run_for(20 * SECOND);
    assert!(others.all(|observer| own.state_of(observer, PAUSED) == Some(MemberState::Stalled)));
}
