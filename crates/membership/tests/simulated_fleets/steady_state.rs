//! Fleets without faults: no suspicions, and traffic per member that hardly grows with the fleet.

use pumicehead_membership::{MS, MemberState, SECOND};

use crate::{all_observe, running_fleet};

/// All members stay alive, tables stay equal, and each member sends less than 1 KiB per second.
#[test]
fn healthy_fleet_stays_alive_with_little_traffic() {
    for seed in 0..5 {
        let mut sim = running_fleet(30, seed);
        let before = sim.sent().bytes;
        sim.run_for(60 * SECOND);
        assert!(sim.has_converged(), "seed {seed}");
        for node in 0..30 {
            assert!(all_observe(&sim, 30, node, MemberState::Alive), "seed {seed}");
        }
        let bytes_per_second = (sim.sent().bytes - before) / 30 / 60;
        assert!(bytes_per_second < 1_024, "seed {seed}: {bytes_per_second} bytes per second");
    }
}

/// In a fleet of 1,000, each member sends less than twice as much as in a fleet of 50, and all know of a crash within 10 s.
#[test]
fn traffic_and_detection_time_hardly_grow_with_the_fleet() {
    let measure = |nodes: usize| {
        let mut sim = running_fleet(nodes, 1);
        let before = sim.sent().bytes;
        sim.run_for(20 * SECOND);
        let bytes_per_second = (sim.sent().bytes - before) as f64 / nodes as f64 / 20.0;
        sim.kill(1);
        let known = sim.run_until(100 * MS, 30 * SECOND, |sim| all_observe(sim, nodes, 1, MemberState::Dead));
        (bytes_per_second, known.expect("crash known to all"))
    };
    let ((small, _), (large, detection_time)) = (measure(50), measure(1_000));
    assert!(large < 2.0 * small && large < 2_048.0, "{small} {large}");
    assert!(detection_time < 10 * SECOND, "{detection_time}");
}
