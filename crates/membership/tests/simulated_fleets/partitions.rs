//! Blocked links: partial connectivity, isolated members and partitions.

use pumicehead_membership::simulation::Simulation;
use pumicehead_membership::{Event, MemberId, MemberState, SECOND};

use crate::{STEP, all_observe, is_healthy, running_fleet};

/// If connectivity is neither symmetric nor transitive, all members stay alive, and a member that cannot reach another directly
/// marks it as unreachable.
#[test]
fn member_reached_by_others_is_unreachable_not_dead() {
    for seed in 0..30 {
        let mut sim = running_fleet(8, seed);
        sim.block_links(|from, to| (from, to) == (0, 7) || (from, to) == (7, 0) || (from, to) == (2, 3));
        sim.run_for(60 * SECOND);
        for node in 0..8 {
            assert!(all_observe(&sim, 8, node, MemberState::Alive), "seed {seed}: {node}");
        }
        let id = MemberId::from_name("n7");
        let reachable = |sim: &Simulation| {
            sim.member(0).and_then(|member| member.table().get(id).map(|entry| entry.reachable_from_here))
        };
        assert_eq!(reachable(&sim), Some(false), "seed {seed}");
        sim.block_links(|_, _| false);
        assert!(
            sim.run_until(STEP, 30 * SECOND, |sim| reachable(sim) == Some(true)).is_some(),
            "seed {seed}"
        );
    }
}

/// An isolated member reports its isolation, declares no other member dead within 40 s, and recovers quickly afterwards.
#[test]
fn isolated_member_declares_no_other_dead() {
    for seed in 0..30 {
        let mut sim = running_fleet(20, seed);
        sim.block_links(|from, to| from == 9 || to == 9);
        sim.run_for(40 * SECOND);
        let dead = (0..20).filter(|&node| sim.state_of(9, node) == Some(MemberState::Dead)).count();
        assert_eq!(dead, 0, "seed {seed}");
        assert!(sim.member(9).is_some_and(|member| member.is_isolated()), "seed {seed}");
        sim.block_links(|_, _| false);
        assert!(sim.run_until(STEP, 20 * SECOND, |sim| is_healthy(sim, 20)).is_some(), "seed {seed}");
    }
}

/// A member that can send but receives nothing accuses others only until it considers itself isolated, and the fleet refutes its
/// accusations.
#[test]
fn member_that_receives_nothing_does_not_disturb_the_fleet() {
    for seed in 0..10 {
        let mut sim = running_fleet(20, seed);
        (0..20).for_each(|node| drop(sim.take_events(node)));
        sim.block_links(|_, to| to == 9);
        sim.run_for(40 * SECOND);
        let mut state_changes = 0;
        for node in (0..20).filter(|node| *node != 9) {
            let events = sim.take_events(node);
            let others = |event: &&Event| matches!(event, Event::StateChanged { name, .. } if name != "n9");
            state_changes += events.iter().filter(others).count();
        }
        // Before the member considers itself isolated, its accusations spread and are refuted.
        assert!(state_changes <= 19 * 16, "seed {seed}: {state_changes}");
        assert!(
            (0..20).filter(|node| *node != 9).all(|node| sim.state_of(0, node) == Some(MemberState::Alive)),
            "seed {seed}"
        );
    }
}

/// A fleet in three partitions converges after two of them are reconnected, and again after the third is.
#[test]
fn three_partitions_heal_one_after_another() {
    for seed in 0..30 {
        let mut sim = running_fleet(30, seed);
        let side = |node: usize| node % 3;
        sim.block_links(move |from, to| side(from) != side(to));
        sim.run_for(60 * SECOND);
        assert_eq!(sim.state_of(0, 1), Some(MemberState::Dead), "seed {seed}");
        sim.block_links(move |from, to| (side(from) == 2) != (side(to) == 2));
        let two_sides_healed = |sim: &Simulation| {
            (0..30).filter(|n| side(*n) != 2).all(|observer| {
                (0..30)
                    .filter(|n| side(*n) != 2)
                    .all(|node| observer == node || sim.state_of(observer, node) == Some(MemberState::Alive))
            })
        };
        assert!(sim.run_until(STEP, 10 * SECOND, two_sides_healed).is_some(), "seed {seed}: two partitions");
        sim.block_links(|_, _| false);
        let healed = sim.run_until(STEP, 20 * SECOND, |sim| is_healthy(sim, 30));
        assert!(healed.is_some(), "seed {seed}: all partitions");
    }
}
