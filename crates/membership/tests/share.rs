//! How many nodes share a server: more at once, fewer by degrees, and a side that has lost sight of others leaves them their part.

use prost::Message;
use pumicehead_membership::node_count::{NodeCount, counted_nodes};
use pumicehead_membership::node_number::free_node_number;
use pumicehead_membership::simulation::{Simulation, SimulationConfig, node_name};
use pumicehead_membership::{EncodedRecord, MemberClaim, MemberTable};
use pumicehead_membership::{MS, MemberId, MemberRecord, MemberState, Membership, Nanos, SECOND, Settings};

const NOW: Nanos = 10_000 * SECOND;

fn heard(of: usize, number: u32, state: MemberState, refused: bool, since: Nanos) -> MemberClaim {
    let card = MemberRecord {
        name: node_name(of),
        epoch: 1,
        // Later states of one saying count more; here each is of its own.
        incarnation: u64::from(state.code()),
        address: "10.0.0.1:1".into(),
        node_number: number,
        ..MemberRecord::default()
    };
    let raw = card.encode_to_vec();
    MemberClaim {
        encoded: EncodedRecord::new(card, raw),
        state,
        connection_refused: refused,
        state_since: since as i64,
        reporter: MemberId(0),
    }
}

/// Guards leases: who left does not count, who is known to be dead counts for a while, who is out of sight for long.
#[test]
fn who_counts_and_for_how_long() {
    let settings = Settings::default();
    let mut table = MemberTable::default();
    for (of, state) in [MemberState::Alive, MemberState::Stalled, MemberState::Suspect, MemberState::Left]
        .into_iter()
        .enumerate()
    {
        table.merge(&heard(of, 0, state, false, NOW));
    }
    assert_eq!(counted_nodes(&table, &settings, NOW), 3);
    table.merge(&heard(7, 0, MemberState::Dead, true, NOW));
    table.merge(&heard(8, 0, MemberState::Dead, false, NOW));
    assert_eq!(counted_nodes(&table, &settings, NOW + settings.confirmed_death_grace - MS), 5);
    assert_eq!(counted_nodes(&table, &settings, NOW + settings.confirmed_death_grace), 4);
    assert_eq!(counted_nodes(&table, &settings, NOW + settings.unconfirmed_death_grace - MS), 4);
    assert_eq!(counted_nodes(&table, &settings, NOW + settings.unconfirmed_death_grace), 3);
}

/// Guards degrees: a number that rises is believed at once, one that falls by a tenth a second at the most, and never under one.
#[test]
fn it_falls_by_degrees() {
    let settings = Settings::default();
    let mut sharing = NodeCount::new(100, NOW);
    let mut table = MemberTable::default();
    for of in 0..10 {
        table.merge(&heard(of, 0, MemberState::Alive, false, NOW));
    }
    let mut last = 100;
    for second in 1..60 {
        let now = sharing.update(&table, &settings, NOW + second * SECOND);
        assert!(now <= last && f64::from(now) >= 0.9 * f64::from(last) - 1.0, "{last} -> {now}");
        last = now;
    }
    assert_eq!(last, 10);
    for of in 10..500 {
        table.merge(&heard(of, 0, MemberState::Alive, false, NOW));
    }
    assert_eq!(sharing.update(&table, &settings, NOW + 61 * SECOND), 500);
    assert_eq!(NodeCount::new(0, NOW).update(&MemberTable::default(), &settings, NOW), 1);
}

/// Guards both sides of a cut: while rights last, each side counts all there are, so that their sum takes no more of a server than
/// before; a restart keeps its number.
#[test]
fn two_sides_take_no_more_than_one() {
    let mut sim = Simulation::new(SimulationConfig::without_faults(20, 4));
    sim.start_all_known();
    sim.run_for(5 * SECOND);
    sim.block_links(|from, to| from % 2 != to % 2);
    for _ in 0..60 {
        sim.run_for(2 * SECOND);
        for node in 0..20 {
            let mut counts = 0;
            sim.with_member(node, |member, now| counts = member.node_count(now));
            assert_eq!(counts, 20);
        }
    }
}

/// Guards numbers: the lowest that is free, whoever was there before.
#[test]
fn numbers_fill_gaps() {
    let mut table = MemberTable::default();
    let me = MemberId::from_name("me");
    assert_eq!(free_node_number(&table, me), 1);
    for (of, number) in [(0, 1), (1, 2), (2, 5), (3, 2)] {
        table.merge(&heard(of, number, MemberState::Alive, false, NOW));
    }
    assert_eq!(free_node_number(&table, me), 3);
    table.merge(&heard(4, 3, MemberState::Alive, false, NOW));
    table.merge(&heard(5, 4, MemberState::Dead, true, NOW));
    assert_eq!(free_node_number(&table, me), 4, "the dead need none");
}

/// Guards numbers of many that join at once: members with one view take different ones, of which none is kept by another, and
/// leave no gap.
#[test]
fn members_without_a_number_take_different_ones() {
    let mut table = MemberTable::default();
    // Two have a number of their own, two share one, and four have none.
    for (of, number) in [(0, 1), (1, 4), (2, 2), (3, 2), (4, 0), (5, 0), (6, 0), (7, 0)] {
        table.merge(&heard(of, number, MemberState::Alive, false, NOW));
    }
    let later = MemberId::from_name(&node_name(2)).max(MemberId::from_name(&node_name(3)));
    let takes = [later].into_iter().chain((4..8).map(|of| MemberId::from_name(&node_name(of))));
    let mut taken: Vec<_> = takes.map(|key| free_node_number(&table, key)).collect();
    taken.sort_unstable();
    assert_eq!(taken, [3, 5, 6, 7, 8]);
}

/// Guards a start of many at once: what a member says of itself changes some times, not once for each other one.
#[test]
fn numbers_of_many_that_start_at_once_are_soon_found() {
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
    let wanted: Vec<_> = (1..=NODES as u32).collect();
    let found = sim.run_until(100 * MS, 60 * SECOND, |sim| sim.has_converged() && numbers(sim) == wanted);
    assert!(found.is_some(), "numbers after a minute: {:?}", numbers(&sim));
    let changes =
        (0..NODES).filter_map(|node| sim.member(node)).map(|member| member.record().incarnation).sum::<u64>();
    assert!(changes <= 10 * NODES as u64, "{changes} changes by {NODES} members");
}
