//! Joining, restarting and leaving.

use pumicehead_membership::simulation::{Simulation, SimulationConfig};
use pumicehead_membership::{MS, MemberState, SECOND};

use crate::{STEP, all_observe, running_fleet};

/// Fifty members that join at the same time converge with distinct numbers, although their first seed is killed meanwhile.
#[test]
fn fifty_members_join_although_the_seed_crashes() {
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
                && all_observe(sim, 51, 0, MemberState::Dead)
                && (1..51).all(|n| all_observe(sim, 51, n, MemberState::Alive))
        };
        let duration = sim.run_until(STEP, 60 * SECOND, converged);
        assert!(duration.is_some(), "seed {seed}");
        let mut numbers: Vec<_> = (1..51).filter_map(|n| Some(sim.member(n)?.record().node_number)).collect();
        numbers.sort_unstable();
        numbers.dedup();
        assert!(numbers.len() == 50 && !numbers.contains(&0), "seed {seed}: numbers {numbers:?}");
    }
}

/// After a restart that is too fast to be detected as a crash, the new epoch replaces the old one and keeps the node number.
#[test]
fn fast_restart_replaces_the_old_process() {
    for seed in 0..40 {
        let mut sim = running_fleet(20, seed);
        let old = sim.member(3).map(|member| member.record().epoch);
        sim.kill(3);
        sim.run_for(100 * MS);
        sim.start(3, &[0, 1]);
        let converged = |sim: &Simulation| sim.has_converged() && all_observe(sim, 20, 3, MemberState::Alive);
        assert!(sim.run_until(STEP, 30 * SECOND, converged).is_some(), "seed {seed}");
        let new = sim.member(3).map(|member| (member.record().epoch, member.record().node_number));
        assert!(
            new.map(|(epoch, _)| epoch) > old && new.map(|(_, number)| number) == Some(4),
            "seed {seed}: {new:?}"
        );
    }
}

/// All members know within 3 s that a member left, and do not add it again.
#[test]
fn leaving_is_known_to_all_and_permanent() {
    for seed in 0..30 {
        let mut sim = running_fleet(20, seed);
        sim.leave(11);
        let duration = sim.run_until(STEP, 10 * SECOND, |sim| all_observe(sim, 20, 11, MemberState::Left));
        assert!(duration.is_some_and(|duration| duration < 3 * SECOND), "seed {seed}: {duration:?}");
        sim.run_for(20 * SECOND);
        assert!(all_observe(&sim, 20, 11, MemberState::Left), "seed {seed}");
    }
}

/// A member that is resumed after the retention time of tombstones does not add members again that the fleet has removed.
#[test]
fn removed_member_is_not_added_again_by_a_resumed_one() {
    let mut config = SimulationConfig::without_faults(8, 3);
    config.settings.tombstone_retention = 120 * SECOND;
    let mut sim = Simulation::new(config);
    sim.start_all_joined();
    sim.run_for(5 * SECOND);
    // While node 7 is paused, node 6 crashes and its tombstone expires.
    sim.pause(7);
    sim.run_for(SECOND);
    sim.kill(6);
    sim.run_for(400 * SECOND);
    assert_eq!((sim.state_of(0, 6), sim.state_of(0, 7)), (None, None));
    sim.resume(7);
    let rejoined = sim.run_until(STEP, 30 * SECOND, |sim| all_observe(sim, 7, 7, MemberState::Alive));
    assert!(rejoined.is_some());
    for _ in 0..200 {
        sim.run_for(STEP);
        assert!((0..6).all(|observer| sim.state_of(observer, 6).is_none()), "node 6 is in a table again");
    }
}
