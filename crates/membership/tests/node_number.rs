//! Tests of node numbers: they are distinct, small and stable.

use prost::Message;
use pumicehead_membership::node_number::free_node_number;
use pumicehead_membership::simulation::{Simulation, SimulationConfig, node_name};
use pumicehead_membership::{
    EncodedRecord, MS, MemberClaim, MemberId, MemberRecord, MemberState, MemberTable, Membership, Nanos,
    SECOND,
};

const NOW: Nanos = 10_000 * SECOND;

fn claim(node: usize, node_number: u32, state: MemberState) -> MemberClaim {
    let record = MemberRecord {
        name: node_name(node),
        epoch: 1,
        // Each state has its own incarnation, since of two claims about one record version only the later state wins.
        incarnation: u64::from(state.code()),
        address: "10.0.0.1:1".into(),
        node_number,
        ..MemberRecord::default()
    };
    let bytes = record.encode_to_vec();
    MemberClaim {
        encoded: EncodedRecord::new(record, bytes),
        state,
        connection_refused: false,
        state_since: NOW as i64,
        reporter: MemberId(0),
    }
}

/// A member without a number takes the lowest number that no active member has.
#[test]
fn lowest_free_number_is_taken() {
    let mut table = MemberTable::default();
    let own_id = MemberId::from_name("me");
    assert_eq!(free_node_number(&table, own_id), 1);
    for (node, number) in [(0, 1), (1, 2), (2, 5), (3, 2)] {
        table.merge(&claim(node, number, MemberState::Alive));
    }
    assert_eq!(free_node_number(&table, own_id), 3);
    table.merge(&claim(4, 3, MemberState::Alive));
    table.merge(&MemberClaim { connection_refused: true, ..claim(5, 4, MemberState::Dead) });
    assert_eq!(free_node_number(&table, own_id), 4, "a dead member's number is free");
}

/// Members that join at the same time take different free numbers without gaps.
#[test]
fn members_with_equal_tables_take_different_numbers() {
    let mut table = MemberTable::default();
    // Two members have unique numbers, two share one, and four have none.
    for (node, number) in [(0, 1), (1, 4), (2, 2), (3, 2), (4, 0), (5, 0), (6, 0), (7, 0)] {
        table.merge(&claim(node, number, MemberState::Alive));
    }
    let greater = MemberId::from_name(&node_name(2)).max(MemberId::from_name(&node_name(3)));
    let without_number =
        [greater].into_iter().chain((4..8).map(|node| MemberId::from_name(&node_name(node))));
    let mut taken: Vec<_> = without_number.map(|id| free_node_number(&table, id)).collect();
    taken.sort_unstable();
    assert_eq!(taken, [3, 5, 6, 7, 8]);
}

/// A hundred members that start at the same time converge to distinct numbers after a few changes of each record, rather than
/// one change for every other member.
#[test]
fn simultaneous_starts_converge_to_distinct_numbers() {
    const NODES: usize = 100;
    let mut sim = Simulation::new(SimulationConfig::without_faults(NODES, 6));
    sim.start(0, &[]);
    (1..NODES).for_each(|node| sim.start(node, &[0, 1, 2]));
    let numbers = |sim: &Simulation| {
        let number = |node| sim.member(node).map_or(0, |member: &Membership| member.record().node_number);
        let mut all: Vec<_> = (0..NODES).map(number).collect();
        all.sort_unstable();
        all
    };
    let expected: Vec<_> = (1..=NODES as u32).collect();
    let converged =
        sim.run_until(100 * MS, 60 * SECOND, |sim| sim.has_converged() && numbers(sim) == expected);
    assert!(converged.is_some(), "numbers after a minute: {:?}", numbers(&sim));
    let changes =
        (0..NODES).filter_map(|node| sim.member(node)).map(|member| member.record().incarnation).sum::<u64>();
    assert!(changes <= 10 * NODES as u64, "{changes} record changes by {NODES} members");
}
