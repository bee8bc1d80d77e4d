//! Fleets without faults: no suspicion, and a cost that hardly grows with the fleet.

use pumicehead_membership::{MS, MemberState, SECOND};

use crate::{all_hold, running};

/// Nobody is suspected, tables stay equal, and each member sends under 1 KiB a second.
#[test]
fn healthy_fleet_stays_alive_at_low_cost() {
    for seed in 0..5 {
        let mut sim = running(30, seed);
        let before = sim.sent().bytes;
        sim.run_for(60 * SECOND);
        assert!(sim.has_converged(), "seed {seed}");
        for node in 0..30 {
            assert!(all_hold(&sim, 30, node, MemberState::Alive), "seed {seed}");
        }
        let bytes_per_second = (sim.sent().bytes - before) / 30 / 60;
        assert!(bytes_per_second < 1_024, "seed {seed}: {bytes_per_second} bytes a second");
    }
}

/// A fleet of 1,000 sends less than twice as much a member as one of 50, and knows of a crash within 10 s.
#[test]
fn cost_and_detection_time_hardly_grow_with_the_fleet() {
    let cost = |nodes: usize| {
        let mut sim = running(nodes, 1);
        let before = sim.sent().bytes;
        sim.run_for(20 * SECOND);
        let bytes_per_second = (sim.sent().bytes - before) as f64 / nodes as f64 / 20.0;
        sim.kill(1);
        let known = sim.run_until(100 * MS, 30 * SECOND, |sim| all_hold(sim, nodes, 1, MemberState::Dead));
        (bytes_per_second, known.expect("known to all"))
    };
    let ((small, _), (large, last)) = (cost(50), cost(1_000));
    assert!(large < 2.0 * small && large < 2_048.0, "{small} {large}");
    assert!(last < 10 * SECOND, "{last}");
}
