//! Two levels in virtual time, with real decision modules: the four rules through faults on both levels.
//!
//! A failing seed is printed; `SEED=n cargo test -p pumicehead-testbed --test world` plays it alone.

use pumicehead_policy::{Nanos, SECOND};
use pumicehead_testbed::world::{Day, Health, Job, Server, Tally, World};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SEEDS: u64 = 24;

fn day(seed: u64, planners: usize) -> Day {
    Day { seed, nodes: 20, servers: 30, load: 0.6, notes: seed.is_multiple_of(2), planners }
}

fn seeds() -> Vec<u64> {
    let one = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok());
    one.map_or((0..SEEDS).collect(), |seed| vec![seed])
}

fn check(tally: &Tally, seed: u64) {
    let broken = (tally.lost, tally.twice, tally.past_drain, tally.fallen);
    assert_eq!(broken, (0, 0, 0, 0), "seed {seed}: lost, twice, past a drain, pushed over");
}

/// One thing goes wrong, or right again.
fn fault(world: &mut World, rng: &mut Pcg64Mcg) {
    let server = (rng.next_u64() % 30) as usize;
    match rng.next_u64() % 7 {
        0 => world.servers[server].health = Health::Failing,
        1 => world.servers[server].health = Health::Silent,
        2 | 3 => world.servers[server].health = Health::Sound,
        4 => world.restart(server),
        5 => world.drain(server),
        _ if world.has_planners() => world.stop_planners(),
        _ => world.start_planners(),
    }
}

/// Guards the four rules on two levels: faults of servers and of planners in any order.
#[test]
fn the_rules_hold_through_faults_on_both_levels() {
    for seed in seeds() {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut world = World::new(day(seed, if seed % 4 == 3 { 0 } else { 3 }));
        world.run(3 * SECOND);
        for _ in 0..12 {
            fault(&mut world, &mut rng);
            world.run(rng.next_u64() % SECOND + SECOND / 10);
        }
        // Until the last request has had its time.
        world.run(7 * SECOND);
        check(&world.tally, seed);
        let answered = world.tally.served + world.tally.refused + world.tally.failed;
        assert!(answered <= world.tally.asked && world.tally.served * 2 > world.tally.asked, "seed {seed}");
    }
}

/// Guards replays: the same seed is the same day.
#[test]
fn a_seed_plays_the_same_day_again() {
    let play = || {
        let mut world = World::new(day(5, 3));
        world.run(4 * SECOND);
        world.stop_planners();
        world.run(2 * SECOND);
        format!("{:?}", world.tally)
    };
    assert_eq!(play(), play());
}

/// Guards the loss of all planners mid-traffic, and their return at once: none of it costs service.
#[test]
fn all_planners_may_go_and_come_back() {
    let mut world = World::new(Day { nodes: 60, ..day(1, 3) });
    world.run(6 * SECOND);
    let mut shares = Vec::new();
    for change in 0..3 {
        match change {
            1 => world.stop_planners(),
            2 => world.start_planners(),
            _ => {}
        }
        world.tally = Tally::default();
        world.run(6 * SECOND);
        check(&world.tally, 1);
        shares.push(world.tally.served as f64 / world.tally.asked as f64);
    }
    // Some have come before and are served in it, or the other way round.
    assert!(shares.iter().all(|share| *share > 0.98), "{shares:?}");
}

/// Guards what the second level is for: a server that fails at a few requests a minute from each of many nodes.
#[test]
fn what_many_see_reaches_those_who_have_not() {
    let sends = |planners| {
        let mut world = World::new(Day { nodes: 400, servers: 60, ..day(2, planners) });
        world.run(6 * SECOND);
        world.servers[0].health = Health::Failing;
        world.run(2 * SECOND);
        world.tally = Tally::default();
        world.run(4 * SECOND);
        check(&world.tally, 2);
        world.tally.at_failing.values().sum::<u64>()
    };
    let (alone, guided) = (sends(0), sends(3));
    assert!(guided * 2 < alone, "{guided} attempts with planners, {alone} without");
}

/// Guards a start of many servers at one instant, announced to all, while rights to them are lent and granted: it is of use
/// only if some get more than they lend, and none is pushed over.
#[test]
fn servers_that_start_at_once_are_asked_by_right_and_not_pushed_over() {
    for seed in 0..4 {
        let mut world = World::new(Day { nodes: 200, servers: 60, load: 0.7, ..day(seed, 3) });
        world.run(8 * SECOND);
        (0..12).for_each(|server| world.restart(server));
        world.run(5 * SECOND);
        // Mid-way all planners go: what they granted ends, what was lent comes back.
        world.stop_planners();
        world.run(8 * SECOND);
        check(&world.tally, seed);
        assert!(world.tally.grants > 100, "seed {seed}: {} grants", world.tally.grants);
    }
}

/// Guards the checks themselves: the model does fall when it is pushed, and only while it is cold.
#[test]
fn a_cold_server_falls_when_it_is_pushed() {
    let at = 100 * SECOND;
    let mut server = Server::warm();
    assert!(!(0..1_000).any(|n: Nanos| server.arrived(at + n)));
    server.restart(at);
    let fell = (1..1_000).find(|&n| server.arrived(at + n));
    assert_eq!(fell, Some(16), "2.5 times a fifth of 30 requests in a second");
    let job = Job { node: 0, id: 1, attempt: 0 };
    let number = server.take(job);
    assert!(server.begin(number));
    server.restart(at + SECOND);
    assert_eq!(server.finish(number), None, "the process is gone");
}
