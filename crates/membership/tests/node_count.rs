//! Tests of the number of nodes that share the endpoints.

use prost::Message;
use pumicehead_membership::node_count::{NodeCount, counted_nodes};
use pumicehead_membership::simulation::{Simulation, SimulationConfig, node_name};
use pumicehead_membership::{
    EncodedRecord, MS, MemberClaim, MemberId, MemberRecord, MemberState, MemberTable, Nanos, SECOND, Settings,
};

const NOW: Nanos = 10_000 * SECOND;

fn claim(node: usize, state: MemberState, connection_refused: bool, since: Nanos) -> MemberClaim {
    let record = MemberRecord {
        name: node_name(node),
        epoch: 1,
        // Each state has its own incarnation, since of two claims about one record version only the later state wins.
        incarnation: u64::from(state.code()),
        address: "10.0.0.1:1".into(),
        ..MemberRecord::default()
    };
    let bytes = record.encode_to_vec();
    MemberClaim {
        encoded: EncodedRecord::new(record, bytes),
        state,
        connection_refused,
        state_since: since as i64,
        reporter: MemberId(0),
    }
}

/// Members that left do not count. Dead ones count for a grace period, which is short if their address refused connections and
/// long otherwise.
#[test]
fn dead_members_count_until_their_grace_ends() {
    let settings = Settings::default();
    let mut table = MemberTable::default();
    for (node, state) in [MemberState::Alive, MemberState::Stalled, MemberState::Suspect, MemberState::Left]
        .into_iter()
        .enumerate()
    {
        table.merge(&claim(node, state, false, NOW));
    }
    assert_eq!(counted_nodes(&table, &settings, NOW), 3);
    table.merge(&claim(7, MemberState::Dead, true, NOW));
    table.merge(&claim(8, MemberState::Dead, false, NOW));
    assert_eq!(counted_nodes(&table, &settings, NOW + settings.confirmed_death_grace - MS), 5);
    assert_eq!(counted_nodes(&table, &settings, NOW + settings.confirmed_death_grace), 4);
    assert_eq!(counted_nodes(&table, &settings, NOW + settings.unconfirmed_death_grace - MS), 4);
    assert_eq!(counted_nodes(&table, &settings, NOW + settings.unconfirmed_death_grace), 3);
}

/// The count rises at once, and falls by at most 10% per second and not below one.
#[test]
fn count_rises_at_once_and_falls_gradually() {
    let settings = Settings::default();
    let mut count = NodeCount::new(100, NOW);
    let mut table = MemberTable::default();
    for node in 0..10 {
        table.merge(&claim(node, MemberState::Alive, false, NOW));
    }
    let mut last = 100;
    for second in 1..60 {
        let now = count.update(&table, &settings, NOW + second * SECOND);
        assert!(now <= last && f64::from(now) >= 0.9 * f64::from(last) - 1.0, "{last} -> {now}");
        last = now;
    }
    assert_eq!(last, 10);
    for node in 10..500 {
        table.merge(&claim(node, MemberState::Alive, false, NOW));
    }
    assert_eq!(count.update(&table, &settings, NOW + 61 * SECOND), 500);
    assert_eq!(NodeCount::new(0, NOW).update(&MemberTable::default(), &settings, NOW), 1);
}

/// During the grace period each side of a partition counts all nodes, so that both sides together do not overload an endpoint.
#[test]
fn partitioned_sides_keep_the_full_count() {
    let mut sim = Simulation::new(SimulationConfig::without_faults(20, 4));
    sim.start_all_joined();
    sim.run_for(5 * SECOND);
    sim.block_links(|from, to| from % 2 != to % 2);
    for _ in 0..60 {
        sim.run_for(2 * SECOND);
        for node in 0..20 {
            let mut counted = 0;
            sim.with_member(node, |member, now| counted = member.node_count(now));
            assert_eq!(counted, 20);
        }
    }
}
