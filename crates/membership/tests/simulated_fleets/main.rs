//! Simulations of whole fleets in virtual time: which failures are detected, how fast, and that no healthy member is considered
//! dead. A failure is reproduced by its seed.

use pumicehead_membership::simulation::{Simulation, SimulationConfig};
use pumicehead_membership::{MS, MemberState, SECOND};

mod failure_detection;
mod joining;
mod partitions;
mod steady_state;

/// How often a condition is checked.
const STEP: u64 = 50 * MS;

/// Starts a fleet without faults whose members have all joined, and runs it for 5 s.
fn running_fleet(nodes: usize, seed: u64) -> Simulation {
    let mut sim = Simulation::new(SimulationConfig::without_faults(nodes, seed));
    sim.start_all_joined();
    sim.run_for(5 * SECOND);
    sim
}

/// Whether a node has this state in the tables of all other running members.
fn all_observe(sim: &Simulation, nodes: usize, node: usize, state: MemberState) -> bool {
    let mut observers = (0..nodes).filter(|&observer| observer != node && sim.is_up(observer));
    observers.all(|observer| sim.state_of(observer, node) == Some(state))
}

/// Whether all tables are equal, and all members are alive for all running members.
fn is_healthy(sim: &Simulation, nodes: usize) -> bool {
    sim.has_converged() && (0..nodes).all(|node| all_observe(sim, nodes, node, MemberState::Alive))
}
