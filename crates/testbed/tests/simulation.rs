//! Nodes with real decision modules, servers and planners in virtual time: invariants hold under faults of servers and planners.
//!
//! A failing seed is printed; `SEED=n cargo test -p pumicehead-testbed --test simulation` runs it alone.

use pumicehead_policy::{Nanos, SECOND};
use pumicehead_testbed::simulation::{Counters, Health, Job, Server, Simulation, SimulationConfig};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SEEDS: u64 = 24;

fn config(seed: u64, planners: usize) -> SimulationConfig {
    SimulationConfig {
        seed,
        nodes: 20,
        servers: 30,
        load: 0.6,
        load_reports: seed.is_multiple_of(2),
        planners,
    }
}

fn seeds() -> Vec<u64> {
    let one = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok());
    one.map_or((0..SEEDS).collect(), |seed| vec![seed])
}

fn check(counters: &Counters, seed: u64) {
    let broken =
        (counters.unanswered, counters.ran_twice, counters.sent_past_drain, counters.overloaded_cold);
    assert_eq!(
        broken,
        (0, 0, 0, 0),
        "seed {seed}: (unanswered, ran twice, sent past a drain, overloaded while cold)"
    );
}

/// Injects or repairs a random fault.
fn fault(simulation: &mut Simulation, rng: &mut Pcg64Mcg) {
    let server = (rng.next_u64() % 30) as usize;
    match rng.next_u64() % 7 {
        0 => simulation.servers[server].health = Health::Failing,
        1 => simulation.servers[server].health = Health::Unresponsive,
        2 | 3 => simulation.servers[server].health = Health::Healthy,
        4 => simulation.restart(server),
        5 => simulation.drain(server),
        _ if simulation.has_planners() => simulation.stop_planners(),
        _ => simulation.start_planners(),
    }
}

/// Each request gets one final answer, none that is not idempotent runs twice, drains are respected, and no cold server is
/// overloaded, whatever fails in whatever order.
#[test]
fn invariants_hold_under_faults_of_servers_and_planners() {
    for seed in seeds() {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut simulation = Simulation::new(config(seed, if seed % 4 == 3 { 0 } else { 3 }));
        simulation.run(3 * SECOND);
        for _ in 0..12 {
            fault(&mut simulation, &mut rng);
            simulation.run(rng.next_u64() % SECOND + SECOND / 10);
        }
        // Until the deadline of the last request has passed.
        simulation.run(7 * SECOND);
        check(&simulation.counters, seed);
        let answered = simulation.counters.served + simulation.counters.rejected + simulation.counters.failed;
        assert!(
            answered <= simulation.counters.requests
                && simulation.counters.served * 2 > simulation.counters.requests,
            "seed {seed}"
        );
    }
}

/// A run can be repeated by its seed.
#[test]
fn same_seed_gives_the_same_run() {
    let play = || {
        let mut simulation = Simulation::new(config(5, 3));
        simulation.run(4 * SECOND);
        simulation.stop_planners();
        simulation.run(2 * SECOND);
        format!("{:?}", simulation.counters)
    };
    assert_eq!(play(), play());
}

/// The loss of all planners under load, and their restart as new processes, do not reduce the served share.
#[test]
fn losing_all_planners_does_not_reduce_the_served_share() {
    let mut simulation = Simulation::new(SimulationConfig { nodes: 60, ..config(1, 3) });
    simulation.run(6 * SECOND);
    let mut shares = Vec::new();
    for change in 0..3 {
        match change {
            1 => simulation.stop_planners(),
            2 => simulation.start_planners(),
            _ => {}
        }
        simulation.counters = Counters::default();
        simulation.run(6 * SECOND);
        check(&simulation.counters, 1);
        shares.push(simulation.counters.served as f64 / simulation.counters.requests as f64);
    }
    // Requests that span two phases are counted as requests of one and as served of the other.
    assert!(shares.iter().all(|share| *share > 0.98), "{shares:?}");
}

/// With planners, all nodes sooner avoid a failing server of which each node alone sees only a few failures.
#[test]
fn planners_spread_failures_that_each_node_sees_rarely() {
    let sends = |planners| {
        let mut simulation =
            Simulation::new(SimulationConfig { nodes: 400, servers: 60, ..config(2, planners) });
        simulation.run(6 * SECOND);
        simulation.servers[0].health = Health::Failing;
        simulation.run(2 * SECOND);
        simulation.counters = Counters::default();
        simulation.run(4 * SECOND);
        check(&simulation.counters, 2);
        simulation.counters.attempts_at_unhealthy.values().sum::<u64>()
    };
    let (alone, guided) = (sends(0), sends(3));
    assert!(guided * 2 < alone, "{guided} attempts with planners, {alone} without");
}

/// The warm-up capacity of servers that start at the same instant is shared by leases: some nodes are granted more than they
/// lend, and no server is overloaded.
#[test]
fn servers_that_start_together_are_not_overloaded() {
    for seed in 0..4 {
        let mut simulation =
            Simulation::new(SimulationConfig { nodes: 200, servers: 60, load: 0.7, ..config(seed, 3) });
        simulation.run(8 * SECOND);
        (0..12).for_each(|server| simulation.restart(server));
        simulation.run(5 * SECOND);
        // Without planners grants expire, and loans return to their nodes.
        simulation.stop_planners();
        simulation.run(8 * SECOND);
        check(&simulation.counters, seed);
        assert!(simulation.counters.grants > 100, "seed {seed}: {} grants", simulation.counters.grants);
    }
}

/// The model crashes under overload while it is cold, and only then; a restart loses its jobs.
#[test]
fn cold_server_crashes_under_overload() {
    let at = 100 * SECOND;
    let mut server = Server::warm();
    assert!(!(0..1_000).any(|n: Nanos| server.on_arrival(at + n)));
    server.restart(at);
    let crashed_at = (1..1_000).find(|&n| server.on_arrival(at + n));
    assert_eq!(crashed_at, Some(16), "2.5 times a fifth of 30 requests in a second");
    let job = Job { node: 0, id: 1, attempt: 0 };
    let number = server.admit(job);
    assert!(server.start(number));
    server.restart(at + SECOND);
    assert_eq!(server.finish(number), None, "a restart must drop the jobs of the former process");
}
