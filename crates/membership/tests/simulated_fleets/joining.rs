//! Members that join, restart and leave.

use pumicehead_membership::simulation::{Simulation, SimulationConfig};
use pumicehead_membership::{MS, MemberState, SECOND};

use crate::{STEP, all_hold, running};

/// Fifty members that join at once through one seed converge with distinct numbers although the seed is killed meanwhile.
#[test]
fn fifty_members_join_although_the_seed_dies() {
    for seed in 0..20 {
        let mut sim = Simulation::new(SimulationConfig::without_faults(51, seed));
        sim.start(0, &[]);
        for node in 1..51 {
            sim.start(node, &[0, 1]);
            sim.run_for(2 * MS);
        }
        sim.kill(0);
        let converged = |sim: &Simulation| {
            sim.has_converged()
                && all_hold(sim, 51, 0, MemberState::Dead)
                && (1..51).all(|n| all_hold(sim, 51, n, MemberState::Alive))
        };
        let took = sim.run_until(STEP, 60 * SECOND, converged);
        assert!(took.is_some(), "seed {seed}");
        let mut numbers: Vec<_> = (1..51).filter_map(|n| Some(sim.member(n)?.record().node_number)).collect();
        numbers.sort_unstable();
        numbers.dedup();
        assert!(numbers.len() == 50 && !numbers.contains(&0), "seed {seed}: numbers {numbers:?}");
    }
}

/// After a restart that nobody had time to detect, the new epoch replaces the old one and keeps the node number.
#[test]
fn fast_restart_replaces_the_old_process() {
    for seed in 0..40 {
        let mut sim = running(20, seed);
        let old = sim.member(3).map(|member| member.record().epoch);
        sim.kill(3);
        sim.run_for(100 * MS);
        sim.start(3, &[0, 1]);
        let converged = |sim: &Simulation| sim.has_converged() && all_hold(sim, 20, 3, MemberState::Alive);
        assert!(sim.run_until(STEP, 30 * SECOND, converged).is_some(), "seed {seed}");
        let new = sim.member(3).map(|member| (member.record().epoch, member.record().node_number));
        assert!(
            new.map(|(epoch, _)| epoch) > old && new.map(|(_, number)| number) == Some(4),
            "seed {seed}: {new:?}"
        );
    }
}

/// A departure is known to all within 3 s and is not taken back.
#[test]
fn departure_is_known_to_all_and_final() {
    for seed in 0..30 {
        let mut sim = running(20, seed);
        sim.leave(11);
        let took = sim.run_until(STEP, 10 * SECOND, |sim| all_hold(sim, 20, 11, MemberState::Left));
        assert!(took.is_some_and(|took| took < 3 * SECOND), "seed {seed}: {took:?}");
        sim.run_for(20 * SECOND);
        assert!(all_hold(&sim, 20, 11, MemberState::Left), "seed {seed}");
    }
}

/// A member that is resumed after the retention of tombstones does not bring back those that the fleet has forgotten.
#[test]
fn forgotten_member_is_not_resurrected() {
    let mut config = SimulationConfig::without_faults(8, 3);
    config.settings.tombstone_retention = 120 * SECOND;
    let mut sim = Simulation::new(config);
    sim.start_all_joined();
    sim.run_for(5 * SECOND);
    // While 7 is paused, 6 dies and is forgotten.
    sim.pause(7);
    sim.run_for(SECOND);
    sim.kill(6);
    sim.run_for(400 * SECOND);
    assert_eq!((sim.state_of(0, 6), sim.state_of(0, 7)), (None, None));
    sim.resume(7);
    let back = sim.run_until(STEP, 30 * SECOND, |sim| all_hold(sim, 7, 7, MemberState::Alive));
    assert!(back.is_some());
    for _ in 0..200 {
        sim.run_for(STEP);
        assert!((0..6).all(|by| sim.state_of(by, 6).is_none()), "6 is back in a table");
    }
}
