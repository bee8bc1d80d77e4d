//! Tests of the member table: merging, size limits and memory.

use proptest::prelude::*;
use prost::Message;
use pumicehead_membership::simulation::{node_address, node_name};
use pumicehead_membership::wire::WireEntry;
use pumicehead_membership::{
    EncodedRecord, MemberClaim, MemberEntry, MemberId, MemberRecord, MemberState, MemberTable, MergeOutcome,
    Nanos, Precedence, SECOND,
};

const NOW: Nanos = 1_000 * SECOND;

fn claim(record: MemberRecord, state: MemberState, since: Nanos) -> MemberClaim {
    let bytes = record.encode_to_vec();
    MemberClaim {
        encoded: EncodedRecord::new(record, bytes),
        state,
        connection_refused: false,
        state_since: since as i64,
        reporter: MemberId(0),
    }
}

fn record(node: usize, epoch: u64, incarnation: u64) -> MemberRecord {
    let address = node_address(node).to_string();
    MemberRecord { name: node_name(node), epoch, incarnation, address, ..MemberRecord::default() }
}

/// A table of members that are all in the same zone.
fn table(members: usize, zone: &str) -> MemberTable {
    let mut table = MemberTable::default();
    for member in 0..members {
        let record = MemberRecord {
            name: format!("n{member:04}"),
            epoch: 1,
            address: "10.0.0.1:7400".into(),
            zone: zone.into(),
            ..MemberRecord::default()
        };
        table.merge(&claim(record, MemberState::Alive, 0));
    }
    table
}

/// The contents of a table after merging claims.
#[derive(Debug, PartialEq)]
struct Merged {
    /// Id, precedence and zone of each entry, sorted.
    entries: Vec<(MemberId, Precedence, String)>,
    fingerprint: u64,
    /// Sum of the counts by state.
    counted: usize,
}

fn merge_all(claims: &[MemberClaim], order: &[usize]) -> Merged {
    let mut table = MemberTable::default();
    for &index in order {
        table.merge(&claims[index]);
    }
    let summary = |entry: &MemberEntry| (entry.id(), entry.precedence(), entry.record().zone.clone());
    let mut entries: Vec<_> = table.iter().map(summary).collect();
    entries.sort();
    let counted = MemberState::ALL.iter().map(|state| table.count_in_state(*state)).sum();
    Merged { entries, fingerprint: table.fingerprint(), counted }
}

proptest! {
    /// Tables that have merged the same claims are equal, whatever the order and number of repetitions.
    #[test]
    fn merge_ignores_order_and_repetition(
        parts in prop::collection::vec((0usize..5, 1u64..4, 0u64..4, 0u32..5, 0u8..2), 1..40),
        seed in any::<u64>(),
    ) {
        let claims: Vec<_> = parts.iter().map(|&(node, epoch, incarnation, state, zone)| {
            let record = MemberRecord { zone: format!("z{zone}"), ..record(node, epoch, incarnation) };
            let entry = WireEntry {
                record: record.encode_to_vec(),
                state: MemberState::from_code(state).unwrap().code(),
                age_deciseconds: 0,
                reporter: 0,
                connection_refused: false,
            };
            MemberClaim::from_wire(&entry, NOW).unwrap()
        }).collect();
        let in_order: Vec<_> = (0..claims.len()).collect();
        let mut shuffled = [in_order.clone(), in_order.clone()].concat();
        let mut state = seed | 1;
        for last in (1..shuffled.len()).rev() {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            shuffled.swap(last, (state >> 33) as usize % (last + 1));
        }
        let (ordered, repeated) = (merge_all(&claims, &in_order), merge_all(&claims, &shuffled));
        prop_assert_eq!(ordered.counted, ordered.entries.len());
        prop_assert_eq!(ordered, repeated);
    }
}

/// A table has at most 16,384 entries, and keeps only the newest 4,096 tombstones. Expired tombstones are removed.
#[test]
fn size_and_tombstones_are_bounded() {
    let mut table = MemberTable::default();
    let claim = |node: usize, state: MemberState| claim(record(node, 1, 0), state, node as u64);
    for node in 0..20_000 {
        table.merge(&claim(node, if node < 8_000 { MemberState::Dead } else { MemberState::Alive }));
    }
    assert_eq!(table.len(), 16_384);
    table.remove_expired_tombstones(SECOND, 3_600 * SECOND);
    assert_eq!((table.count_in_state(MemberState::Dead), table.active_count()), (4_096, 16_384 - 8_000));
    assert!(
        table.get(MemberId::from_name("n100")).is_none() && table.get(MemberId::from_name("n7999")).is_some(),
        "the oldest tombstones are removed first"
    );
    assert_eq!(table.merge(&claim(30_000, MemberState::Alive)), MergeOutcome::Inserted);
    let before = table.fingerprint();
    table.remove_expired_tombstones(4_000 * SECOND, 3_600 * SECOND);
    assert!(table.count_in_state(MemberState::Dead) == 0 && table.fingerprint() != before);
}

/// Memory grows with the number of entries, and with their strings, which are stored both decoded and encoded.
#[test]
fn allocated_bytes_grow_with_entries_and_texts() {
    const MEMBERS: usize = 512;
    let (none, some, more) = (
        table(0, "a").allocated_bytes(),
        table(MEMBERS, "a").allocated_bytes(),
        table(2 * MEMBERS, "a").allocated_bytes(),
    );
    // An entry with its record and the encoded bytes takes a few hundred bytes.
    let bytes_per_entry = (some - none) / MEMBERS;
    assert!((150..1_000).contains(&bytes_per_entry), "{bytes_per_entry} bytes an entry");
    assert!((more - none).abs_diff(2 * (some - none)) < (some - none) / 2, "{none}, {some}, {more}");
    let long = "z".repeat(60);
    let longer = table(MEMBERS, &long).allocated_bytes();
    assert!(longer - some >= 2 * 59 * MEMBERS, "{some} and {longer}");
}
