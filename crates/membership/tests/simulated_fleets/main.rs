//! Whole fleets in virtual time: what is detected, how soon, and that no healthy member is held dead. A failing seed replays.

use pumicehead_membership::simulation::{Simulation, SimulationConfig};
use pumicehead_membership::{MS, MemberState, SECOND};

mod failure_detection;
mod joining;
mod partitions;
mod steady_state;

/// How often a condition is checked.
const STEP: u64 = 50 * MS;

/// A fleet without faults whose members have known each other for 5 s.
fn running(nodes: usize, seed: u64) -> Simulation {
    let mut sim = Simulation::new(SimulationConfig::without_faults(nodes, seed));
    sim.start_all_joined();
    sim.run_for(5 * SECOND);
    sim
}

/// Whether all running members but the node itself hold it in this state.
fn all_hold(sim: &Simulation, nodes: usize, node: usize, state: MemberState) -> bool {
    let mut observers = (0..nodes).filter(|&observer| observer != node && sim.is_up(observer));
    observers.all(|observer| sim.state_of(observer, node) == Some(state))
}

/// Whether all tables are equal and all running members hold all others alive.
fn is_healthy(sim: &Simulation, nodes: usize) -> bool {
    sim.has_converged() && (0..nodes).all(|node| all_hold(sim, nodes, node, MemberState::Alive))
}
