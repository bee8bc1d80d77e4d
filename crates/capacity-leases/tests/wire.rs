//! The wire against peers that are older, newer, broken or hostile, and tables that must stay equal.

use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use prost::Message as _;
use pumicehead_capacity_leases::sync::{
    Delta, LONGEST_ENTRY, MOST_ENTRIES, Mirror, Source, SyncError, Table,
};
use pumicehead_capacity_leases::wire::{
    Body, Changes, Frames, Grant, Hello, LEAST_VERSION, LONGEST_FRAME, Plan, Report, VERSION, WireError,
    frame,
};

fn report(number: u64) -> Body {
    Body::Report(Report {
        number,
        planner: 5,
        heard: 7,
        lent: vec![Grant { server: 3, rate: 9 }],
        ..Report::default()
    })
}

/// Guards the cut of frames wherever the bytes are divided.
#[test]
fn messages_come_through_whatever_the_pieces() {
    let hello = Body::Hello(Hello { version: VERSION, least_version: 1, id: 3, lease: 1, loan: 2 });
    let plan = Body::Plan(Plan { grants: vec![Grant { server: 1, rate: 2 }], ..Plan::default() });
    let sent = [hello, report(1), plan, report(2)];
    let bytes: Vec<u8> = sent.iter().flat_map(|body| frame(body.clone()).to_vec()).collect();
    for piece in 1..=bytes.len() {
        let (mut frames, mut got) = (Frames::default(), Vec::new());
        for part in bytes.chunks(piece) {
            frames.feed(part);
            while let Some(body) = frames.next_message().unwrap() {
                got.push(body);
            }
        }
        assert_eq!((got.as_slice(), frames.waiting()), (&sent[..], 0), "in pieces of {piece}");
    }
}

/// Guards memory: the length alone ends it, before any of the 4 GB has come.
#[test]
fn a_frame_of_four_gigabytes_is_refused_at_its_length() {
    let mut frames = Frames::default();
    frames.feed(&u32::MAX.to_be_bytes());
    assert_eq!(frames.next_message(), Err(WireError::TooLong(u32::MAX as usize)));
    let mut frames = Frames::default();
    frames.feed(&(LONGEST_FRAME as u32).to_be_bytes());
    assert_eq!(frames.next_message(), Ok(None));
}

/// Guards mixed versions: what a newer peer adds, a field or a whole kind of message, does no harm.
#[test]
fn what_is_not_known_is_skipped() {
    // Field 99 of a report and of the envelope, by hand: tag 99 << 3 | 2, then length and bytes.
    let unknown = [0x9a, 0x06, 3, b'n', b'e', b'w'];
    let mut inner = Report { number: 4, ..Report::default() }.encode_to_vec();
    inner.extend_from_slice(&unknown);
    let mut newer = vec![0x12, inner.len() as u8];
    newer.extend_from_slice(&inner);
    newer.extend_from_slice(&unknown);
    let mut frames = Frames::default();
    for message in [&unknown[..], &newer] {
        frames.feed(&(message.len() as u32).to_be_bytes());
        frames.feed(message);
    }
    let body = frames.next_message().unwrap();
    assert_eq!(body, Some(Body::Report(Report { number: 4, ..Report::default() })));
    for (version, least, sound) in [(1, 1, true), (9, 1, true), (9, 2, false), (0, 0, LEAST_VERSION == 0)] {
        let hello = Hello { version, least_version: least, ..Hello::default() };
        assert_eq!(hello.check().is_ok(), sound, "{version} {least}");
    }
}

/// Guards the digest: a peer that lost or changed an entry is found out, and the whole mends it.
#[test]
fn a_table_that_differs_is_found_out_and_mended() {
    let mut table: Table = (0..50).map(|key| (key, Bytes::from(vec![key as u8; 9]))).collect();
    let (mut source, mut mirror) = (Source::default(), Mirror::default());
    mirror.apply(&source.delta(&table, usize::MAX).unwrap()).unwrap();
    assert_eq!(source.delta(&table, usize::MAX), None);
    table.insert(3, Bytes::from_static(b"other"));
    table.remove(&4);
    let lost = source.delta(&table, usize::MAX).unwrap();
    assert_eq!((lost.set.len(), lost.gone.as_slice()), (1, &[4][..]));
    // That one never arrives.
    table.insert(5, Bytes::new());
    assert_eq!(mirror.apply(&source.delta(&table, usize::MAX).unwrap()), Err(SyncError::Differs));
    assert!(mirror.table().is_empty());
    source.reset();
    mirror.apply(&source.delta(&table, usize::MAX).unwrap()).unwrap();
    assert_eq!(*mirror.table(), table);
}

#[test]
fn tables_and_entries_have_bounds() {
    let entry = |key| (key, Bytes::new());
    let many = Delta { set: (0..=MOST_ENTRIES as u32).map(entry).collect(), ..Delta::default() };
    assert_eq!(Mirror::default().apply(&many), Err(SyncError::TooMany));
    let long = Delta { set: vec![(1, vec![0; LONGEST_ENTRY + 1].into())], ..Delta::default() };
    assert_eq!(Mirror::default().apply(&long), Err(SyncError::TooLong));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: RngSeed::Fixed(13), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards tables over any history of changes, sent in pieces of any size and through the wire.
    #[test]
    fn tables_become_equal(
        steps in prop::collection::vec(prop::collection::vec((0u32..40, prop::option::of(prop::collection::vec(any::<u8>(), 0..20))), 0..10), 1..12),
        piece in 1usize..400,
    ) {
        let (mut table, mut source, mut mirror) = (Table::new(), Source::default(), Mirror::default());
        for step in steps {
            for (key, value) in step {
                match value {
                    Some(value) => drop(table.insert(key, value.into())),
                    None => drop(table.remove(&key)),
                }
            }
            while let Some(delta) = source.delta(&table, piece) {
                let changes = Changes::from(delta);
                let read = Changes::decode(changes.encode_to_vec().as_slice()).unwrap();
                prop_assert_eq!(mirror.apply(&read.into()), Ok(()));
            }
            prop_assert_eq!(mirror.table(), &table);
        }
    }

    /// Guards against bytes of all kinds: an error or a message, never a panic, never more held than came.
    #[test]
    fn any_bytes_do_no_harm(bytes in prop::collection::vec(any::<u8>(), 0..300), cut in 0usize..300) {
        let mut frames = Frames::default();
        let (first, second) = bytes.split_at(cut.min(bytes.len()));
        for part in [first, second] {
            frames.feed(part);
            while let Ok(Some(_)) = frames.next_message() {}
        }
        prop_assert!(frames.waiting() <= bytes.len());
        // The same behind a true length, so that the decoder sees them.
        let mut frames = Frames::default();
        frames.feed(&(bytes.len() as u32).to_be_bytes());
        frames.feed(&bytes);
        let _ = frames.next_message();
        prop_assert!(frames.waiting() <= bytes.len() + 4);
    }
}
