//! Failure detection: crashes are detected in time, also with packet loss, stalls and flapping members, and no other member is
//! affected.

use pumicehead_membership::simulation::{Simulation, SimulationConfig};
use pumicehead_membership::{Event, MS, MemberState, SECOND};

use crate::{STEP, all_observe, is_healthy, running_fleet};

/// The first member detects a crash within 3 s, all know of it within 5 s, and all other members stay alive.
#[test]
fn crash_is_detected_by_all_within_five_seconds() {
    for seed in 0..60 {
        let mut sim = running_fleet(50, seed);
        sim.kill(7);
        let knows = |sim: &Simulation, count: usize| {
            (0..50)
                .filter(|&observer| observer != 7 && sim.state_of(observer, 7) == Some(MemberState::Dead))
                .count()
                >= count
        };
        let first = sim.run_until(STEP, 20 * SECOND, |sim| knows(sim, 1)).expect("crash detected");
        let rest = sim.run_until(STEP, 20 * SECOND, |sim| knows(sim, 49)).expect("crash known to all");
        assert!(first <= 3 * SECOND && first + rest <= 5 * SECOND, "seed {seed}: {first} {rest}");
        assert!(
            (0..50).filter(|node| *node != 7).all(|node| all_observe(&sim, 50, node, MemberState::Alive)),
            "seed {seed}"
        );
    }
}

/// The crash of a member soon after its start is known to all within 3 s, although a probe round takes longer.
#[test]
fn crash_of_a_new_member_is_detected_within_three_seconds() {
    const NODES: usize = 150;
    const SEEDS: u64 = 4;
    let mut detection_times = Vec::new();
    for seed in 0..SEEDS {
        let mut sim = Simulation::new(SimulationConfig::without_faults(NODES, seed));
        sim.start(0, &[]);
        (1..NODES - 1).for_each(|node| sim.start(node, &[0, 1, 2]));
        let new_member = NODES - 1;
        let joined = |sim: &Simulation, nodes: usize| {
            sim.has_converged() && sim.member(0).is_some_and(|member| member.table().active_count() == nodes)
        };
        assert!(sim.run_until(STEP, 60 * SECOND, |sim| joined(sim, new_member)).is_some(), "seed {seed}");
        // Most members are then in the middle of a probe round.
        sim.run_for(90 * SECOND);
        sim.start(new_member, &[0, 1, 2]);
        assert!(sim.run_until(STEP, 60 * SECOND, |sim| joined(sim, NODES)).is_some(), "seed {seed}");
        sim.run_for(SECOND);
        sim.kill(new_member);
        let detected =
            sim.run_until(STEP, 60 * SECOND, |sim| all_observe(sim, NODES, new_member, MemberState::Dead));
        detection_times.push(detected.expect("crash known to all"));
    }
    let latest = detection_times.iter().max().copied().unwrap_or_default();
    assert!(latest <= 3 * SECOND, "nanoseconds until all members knew of the crash: {detection_times:?}");
}

/// At 30% packet loss no running member is considered dead, and a crash is still detected.
#[test]
fn crash_is_detected_under_heavy_loss() {
    for seed in 0..5 {
        let mut sim =
            Simulation::new(SimulationConfig { loss: 0.3, ..SimulationConfig::without_faults(20, seed) });
        sim.start_all_joined();
        sim.run_for(60 * SECOND);
        assert!(
            (0..20)
                .all(|node| (0..20).all(|observer| sim.state_of(observer, node) != Some(MemberState::Dead))),
            "seed {seed}"
        );
        sim.kill(2);
        assert!(
            sim.run_until(STEP, 30 * SECOND, |sim| all_observe(sim, 20, 2, MemberState::Dead)).is_some(),
            "seed {seed}"
        );
    }
}

/// At 5% packet loss, while a tenth of the members at a time is paused for 2 s, no member is considered dead.
#[test]
fn loss_and_short_stalls_cause_no_false_death() {
    for seed in 0..2 {
        let mut sim = Simulation::new(SimulationConfig {
            loss: 0.05,
            duplication: 0.02,
            ..SimulationConfig::without_faults(30, seed)
        });
        sim.start_all_joined();
        for round in 0..300 {
            let paused = [round * 3 % 30, (round * 7 + 11) % 30, (round * 13 + 5) % 30];
            paused.into_iter().for_each(|node| sim.pause(node));
            sim.run_for(2 * SECOND);
            paused.into_iter().for_each(|node| sim.resume(node));
            sim.run_for(500 * MS);
            for observer in 0..30 {
                let dead = (0..30).find(|&node| sim.state_of(observer, node) == Some(MemberState::Dead));
                assert_eq!(dead, None, "seed {seed}, round {round}: considered dead by node {observer}");
            }
        }
    }
}

/// Members that were paused for less than, about and more than the suspicion timeouts recover quickly, and do not cause other
/// members to be suspected.
#[test]
fn stalled_members_recover_without_accusing_others() {
    const PAUSED: [usize; 3] = [4, 5, 6];
    for seed in 0..10 {
        for pause in [SECOND / 2, SECOND, 2 * SECOND, 5 * SECOND, 20 * SECOND, 90 * SECOND] {
            let mut sim = running_fleet(20, seed);
            for node in PAUSED {
                sim.pause(node);
            }
            sim.run_for(pause);
            if pause == 5 * SECOND {
                assert!(
                    all_observe(&sim, 20, 4, MemberState::Stalled),
                    "seed {seed}: a paused member is considered stalled"
                );
            }
            for node in PAUSED {
                sim.resume(node);
            }
            let others_accused = |sim: &mut Simulation| {
                (0..20)
                    .filter(|node| !PAUSED.contains(node))
                    .any(|node| !all_observe(sim, 20, node, MemberState::Alive))
            };
            for _ in 0..100 {
                sim.run_for(STEP);
                assert!(!others_accused(&mut sim), "seed {seed}, {pause}: a member that ran is suspected");
            }
            assert!(
                sim.run_until(STEP, 20 * SECOND, |sim| is_healthy(sim, 20)).is_some(),
                "seed {seed}, {pause}"
            );
        }
    }
}

/// A member that crashes and restarts every second does not affect the state of other members, and causes limited traffic.
#[test]
fn flapping_member_does_not_disturb_others() {
    for seed in 0..5 {
        let mut sim = running_fleet(20, seed);
        (0..20).for_each(|node| drop(sim.take_events(node)));
        let before = sim.sent().bytes;
        for _ in 0..60 {
            sim.kill(5);
            sim.run_for(500 * MS);
            sim.start(5, &[0, 1]);
            sim.run_for(500 * MS);
        }
        for node in (0..20).filter(|node| *node != 5) {
            for event in sim.take_events(node) {
                if let Event::StateChanged { name, .. } = event {
                    assert_eq!(name, "n5", "seed {seed}");
                }
            }
        }
        let bytes_per_second = (sim.sent().bytes - before) / 20 / 60;
        assert!(bytes_per_second < 4_096, "seed {seed}: {bytes_per_second} bytes per second");
        let recovered = |sim: &Simulation| sim.has_converged() && all_observe(sim, 20, 5, MemberState::Alive);
        assert!(sim.run_until(STEP, 60 * SECOND, recovered).is_some(), "seed {seed}");
    }
}
