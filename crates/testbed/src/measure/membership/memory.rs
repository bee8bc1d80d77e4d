//! Memory of a member table.

use prost::Message;
use pumicehead_membership::{EncodedRecord, MemberClaim, MemberRecord, MemberState, MemberTable};

use crate::program::memory;

/// Members of the measured table.
const ENTRIES: u64 = 10_000;

/// Returns the resident memory that a table of [`ENTRIES`] members takes, in bytes per entry.
pub(super) fn entry_bytes() -> f64 {
    let resident = || memory(std::process::id());
    let before = resident();
    let mut table = MemberTable::default();
    for number in 0..ENTRIES {
        let record = MemberRecord {
            name: format!("node-{number}.mexico.example"),
            epoch: 1_700_000_000_000 + number,
            address: format!("10.0.{}.{}:7400", number / 250, number % 250),
            zone: "mx-central".into(),
            program_version: "0.2.0".into(),
            capabilities: vec!["view".into()],
            ..MemberRecord::default()
        };
        let bytes = record.encode_to_vec();
        let encoded = EncodedRecord::new(record, bytes);
        let reporter = encoded.id();
        table.merge(&MemberClaim {
            encoded,
            state: MemberState::Alive,
            connection_refused: false,
            state_since: 0,
            reporter,
        });
    }
    let taken = resident().saturating_sub(before) as f64 / table.len().max(1) as f64;
    drop(table);
    taken
}
