//! Messages from older, newer, faulty and hostile peers, and tables that must stay equal.

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

/// Frames are decoded however the bytes are divided.
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
        let (mut frames, mut got) = (FrameDecoder::default(), Vec::new());
        for part in bytes.chunks(piece) {
            frames.feed(part);
            while let Some(body) = frames.next_message().unwrap() {
                got.push(body);
            }
        }
        assert_eq!((got.as_slice(), frames.buffered_bytes()), (&sent[..], 0), "in pieces of {piece}");
    }
}

/// A frame of 4 GB is refused before any of its bytes are received.
#[test]
fn a_too_long_frame_is_refused_by_its_length_alone() {
    let mut frames = FrameDecoder::default();
    frames.feed(&u32::MAX.to_be_bytes());
    assert_eq!(frames.next_message(), Err(WireError::FrameTooLong(u32::MAX as usize)));
    let mut frames = FrameDecoder::default();
    frames.feed(&(MAX_FRAME_BYTES as u32).to_be_bytes());
    assert_eq!(frames.next_message(), Ok(None));
}

/// What a newer version adds, a field or a kind of message, is skipped.
#[test]
fn unknown_fields_and_messages_are_skipped() {
    // Field 99 of a report and of the envelope, by hand: tag 99 << 3 | 2, then length and bytes.
    let unknown = [0x9a, 0x06, 3, b'n', b'e', b'w'];
    let mut inner = Report { number: 4, ..Report::default() }.encode_to_vec();
    inner.extend_from_slice(&unknown);
    let mut newer = vec![0x12, inner.len() as u8];
    newer.extend_from_slice(&inner);
    newer.extend_from_slice(&unknown);
    let mut frames = FrameDecoder::default();
    for message in [&unknown[..], &newer] {
        frames.feed(&(message.len() as u32).to_be_bytes());
        frames.feed(message);
    }
    let body = frames.next_message().unwrap();
    assert_eq!(body, Some(Body::Report(Report { number: 4, ..Report::default() })));
    for (version, least, sound) in
        [(1, 1, true), (9, 1, true), (9, 2, false), (0, 0, MIN_PROTOCOL_VERSION == 0)]
    {
        let hello = Hello { version, min_version: least, ..Hello::default() };
        assert_eq!(hello.check().is_ok(), sound, "{version} {least}");
    }
}

/// The digest detects an entry that was lost or changed, and the whole table corrects it.
#[test]
fn a_table_that_differs_is_detected_and_replaced() {
    let mut table: Table = (0..50).map(|key| (key, Bytes::from(vec![key as u8; 9]))).collect();
    let (mut source, mut mirror) = (TableSender::default(), TableReplica::default());
    mirror.apply(&source.delta(&table, usize::MAX).unwrap()).unwrap();
    assert_eq!(source.delta(&table, usize::MAX), None);
    table.insert(3, Bytes::from_static(b"other"));
    table.remove(&4);
    let lost = source.delta(&table, usize::MAX).unwrap();
    assert_eq!((lost.set.len(), lost.removed.as_slice()), (1, &[4][..]));
    // That one never arrives.
    table.insert(5, Bytes::new());
    assert_eq!(mirror.apply(&source.delta(&table, usize::MAX).unwrap()), Err(SyncError::DigestMismatch));
    assert!(mirror.table().is_empty());
    source.reset();
    mirror.apply(&source.delta(&table, usize::MAX).unwrap()).unwrap();
    assert_eq!(*mirror.table(), table);
}

#[test]
fn too_many_entries_and_too_long_ones_are_refused() {
    let entry = |key| (key, Bytes::new());
    let many = TableDelta { set: (0..=MAX_ENTRIES as u32).map(entry).collect(), ..TableDelta::default() };
    assert_eq!(TableReplica::default().apply(&many), Err(SyncError::TooManyEntries));
    let long = TableDelta { set: vec![(1, vec![0; MAX_ENTRY_BYTES + 1].into())], ..TableDelta::default() };
    assert_eq!(TableReplica::default().apply(&long), Err(SyncError::EntryTooLong));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: RngSeed::Fixed(13), failure_persistence: None, ..ProptestConfig::default() })]

    /// Any changes, sent in deltas of any size, lead to equal tables.
    #[test]
    fn replicas_equal_their_source_after_any_changes(
        steps in prop::collection::vec(prop::collection::vec((0u32..40, prop::option::of(prop::collection::vec(any::<u8>(), 0..20))), 0..10), 1..12),
        piece in 1usize..400,
    ) {
        let (mut table, mut source, mut mirror) = (Table::new(), TableSender::default(), TableReplica::default());
        for step in steps {
            for (key, value) in step {
                match value {
                    Some(value) => drop(table.insert(key, value.into())),
                    None => drop(table.remove(&key)),
                }
            }
            while let Some(delta) = source.delta(&table, piece) {
                let changes = TableChanges::from(delta);
                let read = TableChanges::decode(changes.encode_to_vec().as_slice()).unwrap();
                prop_assert_eq!(mirror.apply(&read.into()), Ok(()));
            }
            prop_assert_eq!(mirror.table(), &table);
        }
    }

    /// Arbitrary bytes never cause a panic, and no more is buffered than was received.
    #[test]
    fn arbitrary_bytes_are_an_error_or_a_message(bytes in prop::collection::vec(any::<u8>(), 0..300), cut in 0usize..300) {
        let mut frames = FrameDecoder::default();
        let (first, second) = bytes.split_at(cut.min(bytes.len()));
        for part in [first, second] {
            frames.feed(part);
            while let Ok(Some(_)) = frames.next_message() {}
        }
        prop_assert!(frames.buffered_bytes() <= bytes.len());
        // The same behind a true length, so that the decoder sees them.
        let mut frames = FrameDecoder::default();
        frames.feed(&(bytes.len() as u32).to_be_bytes());
        frames.feed(&bytes);
        let _ = frames.next_message();
        prop_assert!(frames.buffered_bytes() <= bytes.len() + 4);
    }
}
