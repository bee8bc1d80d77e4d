//! Invalid member records, and records of later versions.

use prost::Message;
use pumicehead_membership::simulation::{node_address, node_name};
use pumicehead_membership::wire::{DatagramKind, WireEntry};
use pumicehead_membership::{MemberId, MemberRecord, MemberState, RecordError};

use crate::{NOW, datagram, entry, member, record};

/// Records with invalid strings, addresses or numbers are rejected.
#[test]
fn invalid_records_are_rejected() {
    let good = record(1, 5, 0);
    assert_eq!(MemberRecord::from_bytes(&good.encode_to_vec()).as_ref(), Ok(&good));
    for bad in [
        MemberRecord { name: String::new(), ..good.clone() },
        MemberRecord { name: "x".repeat(65), ..good.clone() },
        MemberRecord { name: "a\u{1b}[2J".into(), ..good.clone() },
        MemberRecord { address: "example.org:80".into(), ..good.clone() },
        MemberRecord { address: "0.0.0.0:80".into(), ..good.clone() },
        MemberRecord { address: "255.255.255.255:80".into(), ..good.clone() },
        MemberRecord { address: "10.0.0.1:0".into(), ..good.clone() },
        MemberRecord { epoch: u64::MAX, ..good.clone() },
        MemberRecord { incarnation: u64::MAX, ..good.clone() },
        MemberRecord { capabilities: vec!["x".into(); 17], ..good.clone() },
    ] {
        assert!(MemberRecord::from_bytes(&bad.encode_to_vec()).is_err(), "{bad:?}");
    }
    assert!(matches!(MemberRecord::from_bytes(&[0; 5_000]), Err(RecordError::TooLong { length: 5_000 })));
}

/// Fields of a later version are forwarded unchanged. An entry with a state of a later version is ignored.
#[test]
fn unknown_record_fields_are_forwarded() {
    #[derive(Clone, PartialEq, Message)]
    struct Later {
        #[prost(string, tag = "1")]
        name: String,
        #[prost(uint64, tag = "2")]
        epoch: u64,
        #[prost(string, tag = "4")]
        address: String,
        #[prost(string, tag = "99")]
        later: String,
    }
    let later =
        Later { name: node_name(4), epoch: 7, address: node_address(4).to_string(), later: "kept".into() };
    let mut one = member(0, "a", &[]);
    let update =
        WireEntry { record: later.encode_to_vec(), ..entry(&record(4, 7, 0), MemberState::Alive, 0) };
    one.on_datagram(NOW, node_address(9), &datagram("a", DatagramKind::Gossip, vec![update]).encode_to_vec());
    let known = one.table().get(MemberId::from_name("n4")).unwrap();
    assert_eq!(Later::decode(&*known.to_wire(NOW).record).unwrap(), later);
    // A state that only a later version knows.
    let update = WireEntry { state: 9, ..entry(&record(5, 7, 0), MemberState::Alive, 0) };
    one.on_datagram(NOW, node_address(9), &datagram("a", DatagramKind::Gossip, vec![update]).encode_to_vec());
    assert!(one.table().get(MemberId::from_name("n5")).is_none());
}
