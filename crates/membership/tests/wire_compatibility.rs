//! Wire compatibility of membership messages. The encoded bytes in the fixtures were written by version 0.2.0, before its types
//! were renamed. Encoding must produce the same bytes, and the fixtures must stay readable: nodes of both versions communicate.

use std::fs;
use std::path::Path;

use prost::Message;
use pumicehead_membership::record::{MemberId, MemberRecord, Phase, stable_hash};
use pumicehead_membership::state::MemberState;
use pumicehead_membership::wire::{Datagram, DatagramKind, FleetId, Frame, FrameKind, WireEntry};

/// Asserts that a text equals the contents of a fixture.
fn assert_equals_fixture(name: &str, text: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    assert_eq!(text, fs::read_to_string(path).unwrap(), "{name}");
}

/// Decodes each line of a fixture in hexadecimal.
fn fixture_lines(name: &str) -> Vec<Vec<u8>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    fs::read_to_string(path).unwrap().lines().map(decode_hex).collect()
}

fn decode_hex(hex: &str) -> Vec<u8> {
    (0..hex.len()).step_by(2).map(|at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap()).collect()
}

fn hex_line(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>() + "\n"
}

/// A record with each phase.
fn records() -> Vec<MemberRecord> {
    let phases = [Phase::Serving, Phase::Joining, Phase::LameDuck];
    let record = |phase| {
        let mut record = MemberRecord {
            name: "n1".into(),
            epoch: 1_700_000_000_000,
            incarnation: 3,
            address: "127.0.0.1:7001".into(),
            zone: "cdmx".into(),
            program_version: "0.2.0".into(),
            protocol_minor: 0,
            load_eighths: 5,
            phase: 0,
            node_number: 2,
            capabilities: vec!["view".into(), "plan".into()],
        };
        record.set_phase(phase);
        record
    };
    phases.into_iter().map(record).collect()
}

/// An entry in each state.
fn entries() -> Vec<WireEntry> {
    let states = [
        MemberState::Alive,
        MemberState::Stalled,
        MemberState::Suspect,
        MemberState::Dead,
        MemberState::Left,
    ];
    let entry = |(index, state): (usize, MemberState)| WireEntry {
        record: records()[index % 3].encode_to_vec(),
        state: state.code(),
        age_deciseconds: 17 + index as u32,
        reporter: MemberId::from_name("n2").0,
        connection_refused: index % 2 == 1,
    };
    states.into_iter().enumerate().map(entry).collect()
}

/// A datagram of each kind.
fn datagrams() -> Vec<Datagram> {
    let kinds = [
        DatagramKind::Gossip,
        DatagramKind::Ping,
        DatagramKind::IndirectPing,
        DatagramKind::Ack,
        DatagramKind::Nack,
    ];
    let datagram = |(index, kind): (usize, DatagramKind)| Datagram {
        protocol_major: 1,
        protocol_minor: 0,
        fleet_id: FleetId::from_name("tablero").0,
        sender_id: MemberId::from_name("n1").0,
        sender_epoch: 1_700_000_000_000,
        kind: kind.into(),
        seq: 40 + index as u32,
        target_id: MemberId::from_name("n3").0,
        record_unknown: index % 2 == 1,
        updates: entries().into_iter().take(index + 1).collect(),
    };
    kinds.into_iter().enumerate().map(datagram).collect()
}

/// A frame of each kind.
fn frames() -> Vec<Frame> {
    let kinds = [
        FrameKind::Unknown,
        FrameKind::Ping,
        FrameKind::Ack,
        FrameKind::Digest,
        FrameKind::InSync,
        FrameKind::PartitionDigests,
        FrameKind::Entries,
        FrameKind::Reject,
    ];
    let frame = |(index, kind): (usize, FrameKind)| Frame {
        protocol_major: 1,
        protocol_minor: 0,
        fleet_id: FleetId::from_name("tablero").0,
        sender_id: MemberId::from_name("n1").0,
        sender_epoch: 1_700_000_000_000,
        kind: kind.into(),
        fingerprint: 0x0123_4567_89ab_cdef,
        partitions: (0..index as u64).collect(),
        entries: entries().into_iter().take(index).collect(),
        reject_reason: if kind == FrameKind::Reject { "of another fleet".into() } else { String::new() },
    };
    kinds.into_iter().enumerate().map(frame).collect()
}

#[test]
fn datagrams_are_encoded_as_in_version_0_2_0() {
    let written: String = datagrams().iter().map(|one| hex_line(&one.encode_to_vec())).collect();
    assert_equals_fixture("datagrams.hex", &written);
    let read: Vec<_> = fixture_lines("datagrams.hex")
        .iter()
        .map(|bytes| Datagram::from_bytes(bytes, FleetId::from_name("tablero")).unwrap())
        .collect();
    assert_eq!(read, datagrams());
}

#[test]
fn stream_frames_are_encoded_as_in_version_0_2_0() {
    let written: String = frames().iter().map(|one| hex_line(&one.encode_to_vec())).collect();
    assert_equals_fixture("frames.hex", &written);
    let read: Vec<_> = fixture_lines("frames.hex")
        .iter()
        .map(|bytes| Frame::from_bytes(bytes, FleetId::from_name("tablero")).unwrap())
        .collect();
    assert_eq!(read, frames());
}

#[test]
fn records_are_encoded_as_in_version_0_2_0() {
    let written: String = records().iter().map(|one| hex_line(&one.encode_to_vec())).collect();
    assert_equals_fixture("records.hex", &written);
    let read: Vec<_> =
        fixture_lines("records.hex").iter().map(|bytes| MemberRecord::from_bytes(bytes).unwrap()).collect();
    assert_eq!(read, records());
}

/// All nodes have to agree on the hashes of names, and reports on the names of states and phases.
#[test]
fn hashes_and_names_are_those_of_version_0_2_0() {
    let states = [
        MemberState::Alive,
        MemberState::Stalled,
        MemberState::Suspect,
        MemberState::Dead,
        MemberState::Left,
    ];
    let phases = [Phase::Serving, Phase::Joining, Phase::LameDuck];
    let version = records()[0].version();
    let text = [
        format!("member id of n1 {:016x}\n", MemberId::from_name("n1").0),
        format!("fleet id of tablero {:016x}\n", FleetId::from_name("tablero").0),
        format!("hash of a and b {:016x}\n", stable_hash(&[b"a", b"b"])),
        states.map(|state| format!("state {} {}\n", state.code(), state.as_str())).concat(),
        phases.map(|phase| format!("phase {}\n", phase.as_str())).concat(),
        format!("record version {:x}.{}\n", version.epoch.0, version.incarnation.0),
    ];
    assert_equals_fixture("hashes_and_names.txt", &text.concat());
}
