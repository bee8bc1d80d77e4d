//! Fleets in virtual time: what is found out, how soon, and that nobody is wronged. A failing seed replays.

use pumicehead_membership::simulation::{Simulation, SimulationConfig};
use pumicehead_membership::{MS, MemberState, SECOND};

const STEP: u64 = 50 * MS;

fn running(nodes: usize, seed: u64) -> Simulation {
    let mut sim = Simulation::new(SimulationConfig::without_faults(nodes, seed));
    sim.start_all_known();
    sim.run_for(5 * SECOND);
    sim
}

/// Whether all that run hold one for this.
fn all_hold(sim: &Simulation, nodes: usize, of: usize, state: MemberState) -> bool {
    (0..nodes).filter(|&by| by != of && sim.is_up(by)).all(|by| sim.state_of(by, of) == Some(state))
}

/// Guards the calm: nobody is ever doubted, views stay equal, and it costs little.
#[test]
fn nothing_happens_in_the_calm() {
    for seed in 0..5 {
        let mut sim = running(30, seed);
        let before = sim.sent().bytes;
        sim.run_for(60 * SECOND);
        assert!(sim.has_converged(), "seed {seed}");
        for of in 0..30 {
            assert!(all_hold(&sim, 30, of, MemberState::Alive), "seed {seed}");
        }
        let each = (sim.sent().bytes - before) / 30 / 60;
        assert!(each < 1_024, "seed {seed}: {each} bytes a second");
    }
}

/// Guards joins: fifty at once through one seed that dies in the middle find each other all the same.
#[test]
fn fifty_join_through_a_seed_that_dies() {
    for seed in 0..20 {
        let mut sim = Simulation::new(SimulationConfig::without_faults(51, seed));
        sim.start(0, &[]);
        for node in 1..51 {
            sim.start(node, &[0, 1]);
            sim.run_for(2 * MS);
        }
        sim.kill(0);
        let settled = |sim: &Simulation| {
            sim.has_converged()
                && all_hold(sim, 51, 0, MemberState::Dead)
                && (1..51).all(|n| all_hold(sim, 51, n, MemberState::Alive))
        };
        let took = sim.run_until(STEP, 60 * SECOND, settled);
        assert!(took.is_some(), "seed {seed}");
        let mut numbers: Vec<_> = (1..51).filter_map(|n| Some(sim.member(n)?.record().node_number)).collect();
        numbers.sort_unstable();
        numbers.dedup();
        assert!(numbers.len() == 50 && !numbers.contains(&0), "seed {seed}: numbers {numbers:?}");
    }
}

/// Guards detection: a crash is known to the first within 2 s, to the last within 5 s, and to nobody wrongly.
#[test]
fn a_crash_is_found_out() {
    for seed in 0..60 {
        let mut sim = running(50, seed);
        sim.kill(7);
        let knows = |sim: &Simulation, count: usize| {
            (0..50).filter(|&by| by != 7 && sim.state_of(by, 7) == Some(MemberState::Dead)).count() >= count
        };
        let first = sim.run_until(STEP, 20 * SECOND, |sim| knows(sim, 1)).expect("found");
        let rest = sim.run_until(STEP, 20 * SECOND, |sim| knows(sim, 49)).expect("known to all");
        assert!(first <= 3 * SECOND && first + rest <= 5 * SECOND, "seed {seed}: {first} {rest}");
        assert!(
            (0..50).filter(|of| *of != 7).all(|of| all_hold(&sim, 50, of, MemberState::Alive)),
            "seed {seed}"
        );
    }
}

/// Guards restarts faster than detection: the new process counts, the old one never comes back.
#[test]
fn a_restart_is_a_new_process() {
    for seed in 0..40 {
        let mut sim = running(20, seed);
        let old = sim.member(3).map(|member| member.record().epoch);
        sim.kill(3);
        sim.run_for(100 * MS);
        sim.start(3, &[0, 1]);
        let settled = |sim: &Simulation| sim.has_converged() && all_hold(sim, 20, 3, MemberState::Alive);
        assert!(sim.run_until(STEP, 30 * SECOND, settled).is_some(), "seed {seed}");
        let new = sim.member(3).map(|member| (member.record().epoch, member.record().node_number));
        assert!(
            new.map(|(epoch, _)| epoch) > old && new.map(|(_, number)| number) == Some(4),
            "seed {seed}: {new:?}"
        );
    }
}

/// Guards stalls under, at and over the times of suspicion: who wakes is alive for all again soon, and has declared nobody dead.
#[test]
fn who_stood_still_wrongs_nobody() {
    for seed in 0..10 {
        for span in [SECOND / 2, SECOND, 2 * SECOND, 5 * SECOND, 20 * SECOND, 90 * SECOND] {
            let mut sim = running(20, seed);
            for node in [4, 5, 6] {
                sim.pause(node);
            }
            sim.run_for(span);
            if span == 5 * SECOND {
                assert!(all_hold(&sim, 20, 4, MemberState::Stalled), "seed {seed}: told from dead");
            }
            for node in [4, 5, 6] {
                sim.resume(node);
            }
            let well = |sim: &Simulation| {
                sim.has_converged() && (0..20).all(|of| all_hold(sim, 20, of, MemberState::Alive))
            };
            let wronged = |sim: &mut Simulation| {
                (0..20)
                    .filter(|of| ![4, 5, 6].contains(of))
                    .any(|of| !all_hold(sim, 20, of, MemberState::Alive))
            };
            for _ in 0..100 {
                sim.run_for(STEP);
                assert!(!wronged(&mut sim), "seed {seed}, {span}: somebody else is doubted");
            }
            assert!(sim.run_until(STEP, 20 * SECOND, well).is_some(), "seed {seed}, {span}");
        }
    }
}

/// Guards loss: an hour at 5%, a tenth of the nodes standing still for 2 s at a time, and nobody who lives is held dead.
#[test]
fn loss_and_stalls_kill_nobody() {
    for seed in 0..2 {
        let mut sim = Simulation::new(SimulationConfig {
            loss: 0.05,
            duplication: 0.02,
            ..SimulationConfig::without_faults(30, seed)
        });
        sim.start_all_known();
        for round in 0..300 {
            let still = [round * 3 % 30, (round * 7 + 11) % 30, (round * 13 + 5) % 30];
            still.into_iter().for_each(|node| sim.pause(node));
            sim.run_for(2 * SECOND);
            still.into_iter().for_each(|node| sim.resume(node));
            sim.run_for(500 * MS);
            for by in 0..30 {
                let dead = (0..30).find(|&of| sim.state_of(by, of) == Some(MemberState::Dead));
                assert_eq!(dead, None, "seed {seed}, round {round}: held dead by {by}");
            }
        }
    }
}

/// Guards 30% loss: everybody stays, and a crash is found out.
#[test]
fn heavy_loss_hides_no_crash() {
    for seed in 0..5 {
        let mut sim =
            Simulation::new(SimulationConfig { loss: 0.3, ..SimulationConfig::without_faults(20, seed) });
        sim.start_all_known();
        sim.run_for(60 * SECOND);
        assert!(
            (0..20).all(|of| (0..20).all(|by| sim.state_of(by, of) != Some(MemberState::Dead))),
            "seed {seed}"
        );
        sim.kill(2);
        assert!(
            sim.run_until(STEP, 30 * SECOND, |sim| all_hold(sim, 20, 2, MemberState::Dead)).is_some(),
            "seed {seed}"
        );
    }
}

/// Guards a cut that is neither symmetric nor transitive: a hears b, b hears c, a never hears c; all live on, and a knows that
/// it does not reach c itself.
#[test]
fn out_of_reach_from_here_is_not_dead() {
    for seed in 0..30 {
        let mut sim = running(8, seed);
        sim.block_links(|from, to| (from, to) == (0, 7) || (from, to) == (7, 0) || (from, to) == (2, 3));
        sim.run_for(60 * SECOND);
        for of in 0..8 {
            assert!(all_hold(&sim, 8, of, MemberState::Alive), "seed {seed}: {of}");
        }
        let key = pumicehead_membership::MemberId::from_name("n7");
        let here = |sim: &Simulation| {
            sim.member(0).and_then(|member| member.table().get(key).map(|held| held.reachable_from_here))
        };
        assert_eq!(here(&sim), Some(false), "seed {seed}");
        sim.block_links(|_, _| false);
        assert!(sim.run_until(STEP, 30 * SECOND, |sim| here(sim) == Some(true)).is_some(), "seed {seed}");
    }
}

/// Guards the observer that is cut off itself: it declares nobody dead within a minute, and is whole again soon after.
#[test]
fn who_is_cut_off_blames_itself() {
    for seed in 0..30 {
        let mut sim = running(20, seed);
        sim.block_links(|from, to| from == 9 || to == 9);
        sim.run_for(40 * SECOND);
        let dead = (0..20).filter(|&of| sim.state_of(9, of) == Some(MemberState::Dead)).count();
        assert_eq!(dead, 0, "seed {seed}");
        assert!(sim.member(9).is_some_and(|member| member.is_isolated()), "seed {seed}");
        sim.block_links(|_, _| false);
        let well = |sim: &Simulation| {
            sim.has_converged() && (0..20).all(|of| all_hold(sim, 20, of, MemberState::Alive))
        };
        assert!(sim.run_until(STEP, 20 * SECOND, well).is_some(), "seed {seed}");
    }
}

/// Guards the others against an observer that hears nothing while it is heard: what it finds is its own fault, and disturbs nobody.
#[test]
fn who_hears_nothing_disturbs_nobody() {
    for seed in 0..10 {
        let mut sim = running(20, seed);
        (0..20).for_each(|node| drop(sim.take_events(node)));
        sim.block_links(|_, to| to == 9);
        sim.run_for(40 * SECOND);
        let mut moved = 0;
        for node in (0..20).filter(|node| *node != 9) {
            let events = sim.take_events(node);
            let others = |event: &&pumicehead_membership::Event| matches!(event, pumicehead_membership::Event::StateChanged { name, .. } if name != "n9");
            moved += events.iter().filter(others).count();
        }
        // Its first findings, before it knows better, are told, and answered by those that they are about.
        assert!(moved <= 19 * 16, "seed {seed}: {moved}");
        assert!(
            (0..20).filter(|of| *of != 9).all(|of| sim.state_of(0, of) == Some(MemberState::Alive)),
            "seed {seed}"
        );
    }
}

/// Guards partitions: three sides that heal in the order 1-2, then 3, become one view each time, soon.
#[test]
fn three_sides_find_each_other_again() {
    for seed in 0..30 {
        let mut sim = running(30, seed);
        let side = |node: usize| node % 3;
        sim.block_links(move |from, to| side(from) != side(to));
        sim.run_for(60 * SECOND);
        assert_eq!(sim.state_of(0, 1), Some(MemberState::Dead), "seed {seed}");
        sim.block_links(move |from, to| (side(from) == 2) != (side(to) == 2));
        let two = |sim: &Simulation| {
            (0..30).filter(|n| side(*n) != 2).all(|by| {
                (0..30)
                    .filter(|n| side(*n) != 2)
                    .all(|of| by == of || sim.state_of(by, of) == Some(MemberState::Alive))
            })
        };
        assert!(sim.run_until(STEP, 10 * SECOND, two).is_some(), "seed {seed}: two sides");
        sim.block_links(|_, _| false);
        let well = |sim: &Simulation| {
            sim.has_converged() && (0..30).all(|of| all_hold(sim, 30, of, MemberState::Alive))
        };
        let took = sim.run_until(STEP, 20 * SECOND, well);
        assert!(took.is_some(), "seed {seed}: all");
    }
}

/// Guards the others against one that crashes and comes back every second: it may lag, nobody else's state moves.
#[test]
fn one_that_comes_and_goes_disturbs_nobody() {
    for seed in 0..5 {
        let mut sim = running(20, seed);
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
                if let pumicehead_membership::Event::StateChanged { name, .. } = event {
                    assert_eq!(name, "n5", "seed {seed}");
                }
            }
        }
        let each = (sim.sent().bytes - before) / 20 / 60;
        assert!(each < 4_096, "seed {seed}: {each} bytes a second");
        let well = |sim: &Simulation| sim.has_converged() && all_hold(sim, 20, 5, MemberState::Alive);
        assert!(sim.run_until(STEP, 60 * SECOND, well).is_some(), "seed {seed}");
    }
}

/// Guards departures: told by who goes, at once, and never taken back.
#[test]
fn who_leaves_has_left() {
    for seed in 0..30 {
        let mut sim = running(20, seed);
        sim.leave(11);
        let took = sim.run_until(STEP, 10 * SECOND, |sim| all_hold(sim, 20, 11, MemberState::Left));
        assert!(took.is_some_and(|took| took < 3 * SECOND), "seed {seed}: {took:?}");
        sim.run_for(20 * SECOND);
        assert!(all_hold(&sim, 20, 11, MemberState::Left), "seed {seed}");
    }
}

/// Guards memory: the dead are forgotten, and one that was away for longer brings nobody back.
#[test]
fn the_forgotten_stay_forgotten() {
    let mut plan = SimulationConfig::without_faults(8, 3);
    plan.settings.tombstone_retention = 120 * SECOND;
    let mut sim = Simulation::new(plan);
    sim.start_all_known();
    sim.run_for(5 * SECOND);
    // 7 stands still; 6 dies for good meanwhile and is forgotten.
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
        assert!((0..6).all(|by| sim.state_of(by, 6).is_none()), "nobody holds it for anything again");
    }
}

/// Guards the bytes and the time at size: no more than a logarithm over the small fleet.
#[test]
fn a_thousand_cost_hardly_more_than_fifty() {
    let cost = |nodes: usize| {
        let mut sim = running(nodes, 1);
        let before = sim.sent().bytes;
        sim.run_for(20 * SECOND);
        let each = (sim.sent().bytes - before) as f64 / nodes as f64 / 20.0;
        sim.kill(1);
        let known = sim.run_until(100 * MS, 30 * SECOND, |sim| all_hold(sim, nodes, 1, MemberState::Dead));
        (each, known.expect("known to all"))
    };
    let ((small, _), (large, last)) = (cost(50), cost(1_000));
    assert!(large < 2.0 * small && large < 2_048.0, "{small} {large}");
    assert!(last < 10 * SECOND, "{last}");
}

/// Guards newcomers: one that crashes soon after its start is found out as soon as any other, though rounds of asking take longer.
#[test]
fn a_crash_soon_after_a_start_is_found_out() {
    const NODES: usize = 150;
    const SEEDS: u64 = 4;
    let mut spans = Vec::new();
    for seed in 0..SEEDS {
        let mut sim = Simulation::new(SimulationConfig::without_faults(NODES, seed));
        sim.start(0, &[]);
        (1..NODES - 1).for_each(|node| sim.start(node, &[0, 1, 2]));
        let newcomer = NODES - 1;
        let joined = |sim: &Simulation, nodes: usize| {
            sim.has_converged() && sim.member(0).is_some_and(|member| member.table().active_count() == nodes)
        };
        assert!(sim.run_until(STEP, 60 * SECOND, |sim| joined(sim, newcomer)).is_some(), "seed {seed}");
        // In the middle of most members' rounds.
        sim.run_for(90 * SECOND);
        sim.start(newcomer, &[0, 1, 2]);
        assert!(sim.run_until(STEP, 60 * SECOND, |sim| joined(sim, NODES)).is_some(), "seed {seed}");
        sim.run_for(SECOND);
        sim.kill(newcomer);
        let found = sim.run_until(STEP, 60 * SECOND, |sim| all_hold(sim, NODES, newcomer, MemberState::Dead));
        spans.push(found.expect("found out"));
    }
    let latest = spans.iter().max().copied().unwrap_or_default();
    assert!(latest <= 3 * SECOND, "nanoseconds until all knew: {spans:?}");
}
