//! Blocked links: partial connectivity, isolated members and partitions.

use pumicehead_membership::simulation::Simulation;
use pumicehead_membership::{Event, MemberId, MemberState, SECOND};

use crate::{STEP, all_hold, is_healthy, running};

/// With connectivity that is neither symmetric nor transitive all members stay alive, and one knows that it does not reach
/// another itself.
#[test]
fn member_reached_by_others_is_unreachable_not_dead() {
    for seed in 0..30 {
        let mut sim = running(8, seed);
        sim.block_links(|from, to| (from, to) == (0, 7) || (from, to) == (7, 0) || (from, to) == (2, 3));
        sim.run_for(60 * SECOND);
        for node in 0..8 {
            assert!(all_hold(&sim, 8, node, MemberState::Alive), "seed {seed}: {node}");
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

/// An isolated member reports that, declares nobody dead within 40 s, and recovers soon after.
#[test]
fn isolated_member_declares_nobody_dead() {
    for seed in 0..30 {
        let mut sim = running(20, seed);
        sim.block_links(|from, to| from == 9 || to == 9);
        sim.run_for(40 * SECOND);
        let dead = (0..20).filter(|&node| sim.state_of(9, node) == Some(MemberState::Dead)).count();
        assert_eq!(dead, 0, "seed {seed}");
        assert!(sim.member(9).is_some_and(|member| member.is_isolated()), "seed {seed}");
        sim.block_links(|_, _| false);
        assert!(sim.run_until(STEP, 20 * SECOND, |sim| is_healthy(sim, 20)).is_some(), "seed {seed}");
    }
}

/// A member that sends but receives nothing accuses others only until it knows that it is isolated; the fleet refutes that.
#[test]
fn member_that_receives_nothing_does_not_disturb_the_fleet() {
    for seed in 0..10 {
        let mut sim = running(20, seed);
        (0..20).for_each(|node| drop(sim.take_events(node)));
        sim.block_links(|_, to| to == 9);
        sim.run_for(40 * SECOND);
        let mut state_changes = 0;
        for node in (0..20).filter(|node| *node != 9) {
            let events = sim.take_events(node);
            let others = |event: &&Event| matches!(event, Event::StateChanged { name, .. } if name != "n9");
            state_changes += events.iter().filter(others).count();
        }
        // Before it knows that it is isolated its accusations spread and are refuted.
        assert!(state_changes <= 19 * 16, "seed {seed}: {state_changes}");
        assert!(
            (0..20).filter(|node| *node != 9).all(|node| sim.state_of(0, node) == Some(MemberState::Alive)),
            "seed {seed}"
        );
    }
}

/// Three partitions converge, first two of them, then all.
#[test]
fn three_partitions_heal_one_after_another() {
    for seed in 0..30 {
        let mut sim = running(30, seed);
        let side = |node: usize| node % 3;
        sim.block_links(move |from, to| side(from) != side(to));
        sim.run_for(60 * SECOND);
        assert_eq!(sim.state_of(0, 1), Some(MemberState::Dead), "seed {seed}");
        sim.block_links(move |from, to| (side(from) == 2) != (side(to) == 2));
        let two_sides_healed = |sim: &Simulation| {
            (0..30).filter(|n| side(*n) != 2).all(|by| {
                (0..30)
                    .filter(|n| side(*n) != 2)
                    .all(|node| by == node || sim.state_of(by, node) == Some(MemberState::Alive))
            })
        };
        assert!(sim.run_until(STEP, 10 * SECOND, two_sides_healed).is_some(), "seed {seed}: two sides");
        sim.block_links(|_, _| false);
        let healed = sim.run_until(STEP, 20 * SECOND, |sim| is_healthy(sim, 30));
        assert!(healed.is_some(), "seed {seed}: all");
    }
}
