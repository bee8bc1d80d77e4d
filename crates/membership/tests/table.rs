//! The table of a view: what it counts of its own memory.

use prost::Message;
use pumicehead_membership::{EncodedRecord, MemberClaim, MemberTable};
use pumicehead_membership::{MemberId, MemberRecord, MemberState};

fn heard(name: String, zone: &str) -> MemberClaim {
    let card = MemberRecord {
        name,
        epoch: 1,
        address: "10.0.0.1:7400".into(),
        zone: zone.into(),
        ..MemberRecord::default()
    };
    let raw = card.encode_to_vec();
    MemberClaim {
        encoded: EncodedRecord::new(card, raw),
        state: MemberState::Alive,
        connection_refused: false,
        state_since: 0,
        reporter: MemberId(0),
    }
}

fn table(members: usize, zone: &str) -> MemberTable {
    let mut table = MemberTable::default();
    for member in 0..members {
        table.merge(&heard(format!("n{member:04}"), zone));
    }
    table
}

/// Guards the count of bytes: it grows with entries and with their texts, which stand in it twice, as read and as they came.
#[test]
fn bytes_grow_with_entries_and_texts() {
    const MEMBERS: usize = 512;
    let (none, some, more) = (
        table(0, "a").allocated_bytes(),
        table(MEMBERS, "a").allocated_bytes(),
        table(2 * MEMBERS, "a").allocated_bytes(),
    );
    // An entry, its card and the bytes that came take a few hundred each.
    let each = (some - none) / MEMBERS;
    assert!((150..1_000).contains(&each), "{each} bytes an entry");
    assert!((more - none).abs_diff(2 * (some - none)) < (some - none) / 2, "{none}, {some}, {more}");
    let long = "z".repeat(60);
    let longer = table(MEMBERS, &long).allocated_bytes();
    assert!(longer - some >= 2 * 59 * MEMBERS, "{some} and {longer}");
}
