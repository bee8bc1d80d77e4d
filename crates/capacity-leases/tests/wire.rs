//! Decoding of messages from older, newer, faulty and malicious peers, and replication of tables.

use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use prost::Message as _;
use pumicehead_capacity_leases::table_sync::{
    MAX_ENTRIES, MAX_ENTRY_BYTES, SyncError, Table, TableDelta, TableReplica, TableSender,
};
use pumicehead_capacity_leases::wire::{
    Body, FrameDecoder, Grant, Hello, MAX_FRAME_BYTES, MIN_PROTOCOL_VERSION, PROTOCOL_VERSION, Plan, Report,
    TableChanges, WireError, encode_frame,
};

fn report(number: u64) -> Body {
    Body::Report(Report {
        number,
        planner: 5,
        last_plan: 7,
        lent: vec![Grant { endpoint: 3, micro_requests_per_s: 9 }],
        ..Report::default()
    })
}

/// Frames are decoded regardless of the pieces in which their bytes arrive.
#[test]
fn messages_are_decoded_from_pieces_of_any_size() {
    let hello = Body::Hello(Hello {
        version: PROTOCOL_VERSION,
        min_version: 1,
        process_id: 3,
        lease_ns: 1,
        loan_ns: 2,
    });
    let plan =
        Body::Plan(Plan { grants: vec![Grant { endpoint: 1, micro_requests_per_s: 2 }], ..Plan::default() });
    let sent = [hello, report(1), plan, report(2)];
    let bytes: Vec<u8> = sent.iter().flat_map(|body| encode_frame(body.clone()).to_vec()).collect();
    for piece in 1..=bytes.len() {
        let (mut decoder, mut received) = (FrameDecoder::default(), Vec::new());
        for part in bytes.chunks(piece) {
            decoder.feed(part);
            while let Some(body) = decoder.next_message().unwrap() {
                received.push(body);
            }
        }
        assert_eq!(
            (received.as_slice(), decoder.buffered_bytes()),
            (&sent[..], 0),
            "in pieces of {piece} bytes"
        );
    }
}

/// A frame of 4 GB is rejected before any bytes of its message are received.
#[test]
fn a_too_long_frame_is_rejected_by_its_length_prefix() {
    let mut decoder = FrameDecoder::default();
    decoder.feed(&u32::MAX.to_be_bytes());
    assert_eq!(decoder.next_message(), Err(WireError::FrameTooLong(u32::MAX as usize)));
    let mut decoder = FrameDecoder::default();
    decoder.feed(&(MAX_FRAME_BYTES as u32).to_be_bytes());
    assert_eq!(decoder.next_message(), Ok(None));
}

/// Fields and kinds of messages that a newer version adds are skipped.
#[test]
fn unknown_fields_and_messages_are_skipped() {
    // Field 99 of a report and of the envelope, encoded by hand: tag 99 << 3 | 2, then length and bytes.
    let unknown = [0x9a, 0x06, 3, b'n', b'e', b'w'];
    let mut inner = Report { number: 4, ..Report::default() }.encode_to_vec();
    inner.extend_from_slice(&unknown);
    let mut newer = vec![0x12, inner.len() as u8];
    newer.extend_from_slice(&inner);
    newer.extend_from_slice(&unknown);
    let mut decoder = FrameDecoder::default();
    for message in [&unknown[..], &newer] {
        decoder.feed(&(message.len() as u32).to_be_bytes());
        decoder.feed(message);
    }
    let body = decoder.next_message().unwrap();
    assert_eq!(body, Some(Body::Report(Report { number: 4, ..Report::default() })));
    for (version, min_version, is_compatible) in
        [(1, 1, true), (9, 1, true), (9, 2, false), (0, 0, MIN_PROTOCOL_VERSION == 0)]
    {
        let hello = Hello { version, min_version, ..Hello::default() };
        assert_eq!(hello.check().is_ok(), is_compatible, "version {version}, minimum {min_version}");
    }
}

/// The digest detects a lost delta, and the whole table replaces the differing one.
#[test]
fn a_table_that_differs_is_detected_and_replaced() {
    let mut table: Table = (0..50).map(|key| (key, Bytes::from(vec![key as u8; 9]))).collect();
    let (mut sender, mut replica) = (TableSender::default(), TableReplica::default());
    replica.apply(&sender.delta(&table, usize::MAX).unwrap()).unwrap();
    assert_eq!(sender.delta(&table, usize::MAX), None);
    table.insert(3, Bytes::from_static(b"other"));
    table.remove(&4);
    // This delta is lost.
    let lost = sender.delta(&table, usize::MAX).unwrap();
    assert_eq!((lost.set.len(), lost.removed.as_slice()), (1, &[4][..]));
    table.insert(5, Bytes::new());
    assert_eq!(replica.apply(&sender.delta(&table, usize::MAX).unwrap()), Err(SyncError::DigestMismatch));
    assert!(replica.table().is_empty());
    sender.reset();
    replica.apply(&sender.delta(&table, usize::MAX).unwrap()).unwrap();
    assert_eq!(*replica.table(), table);
}

#[test]
fn too_many_or_too_long_entries_are_rejected() {
    let entry = |key| (key, Bytes::new());
    let many = TableDelta { set: (0..=MAX_ENTRIES as u32).map(entry).collect(), ..TableDelta::default() };
    assert_eq!(TableReplica::default().apply(&many), Err(SyncError::TooManyEntries));
    let long = TableDelta { set: vec![(1, vec![0; MAX_ENTRY_BYTES + 1].into())], ..TableDelta::default() };
    assert_eq!(TableReplica::default().apply(&long), Err(SyncError::EntryTooLong));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: RngSeed::Fixed(13), failure_persistence: None, ..ProptestConfig::default() })]

    /// Any changes, sent in deltas of any size, result in equal tables.
    #[test]
    fn replica_equals_the_sender_after_any_changes(
        steps in prop::collection::vec(prop::collection::vec((0u32..40, prop::option::of(prop::collection::vec(any::<u8>(), 0..20))), 0..10), 1..12),
        max_bytes in 1usize..400,
    ) {
        let (mut table, mut sender, mut replica) = (Table::new(), TableSender::default(), TableReplica::default());
        for step in steps {
            for (key, value) in step {
                match value {
                    Some(value) => drop(table.insert(key, value.into())),
                    None => drop(table.remove(&key)),
                }
            }
            while let Some(delta) = sender.delta(&table, max_bytes) {
                let changes = TableChanges::from(delta);
                let read = TableChanges::decode(changes.encode_to_vec().as_slice()).unwrap();
                prop_assert_eq!(replica.apply(&read.into()), Ok(()));
            }
            prop_assert_eq!(replica.table(), &table);
        }
    }

    /// Arbitrary bytes never cause a panic, and no more bytes are buffered than were received.
    #[test]
    fn arbitrary_bytes_are_handled_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..300), cut in 0usize..300) {
        let mut decoder = FrameDecoder::default();
        let (first, second) = bytes.split_at(cut.min(bytes.len()));
        for part in [first, second] {
            decoder.feed(part);
            while let Ok(Some(_)) = decoder.next_message() {}
        }
        prop_assert!(decoder.buffered_bytes() <= bytes.len());
        // The same bytes after a correct length prefix, so that they reach the message decoder.
        let mut decoder = FrameDecoder::default();
        decoder.feed(&(bytes.len() as u32).to_be_bytes());
        decoder.feed(&bytes);
        let _ = decoder.next_message();
        prop_assert!(decoder.buffered_bytes() <= bytes.len() + 4);
    }
}
