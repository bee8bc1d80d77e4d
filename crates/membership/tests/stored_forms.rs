//! Messages of the membership link as they travel between nodes. The fixtures were written by version 0.2.0, before its
//! types were renamed, and must stay readable: nodes of both versions speak with each other.

use std::fs;
use std::path::Path;

use prost::Message;
use pumicehead_membership::card::{Card, Key, Phase, hash};
use pumicehead_membership::state::State;
use pumicehead_membership::wire::{Datagram, Entry, Frame, Kind, Step, fleet};

/// Compares a whole text with a stored one.
fn assert_stored_text(name: &str, text: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    assert_eq!(text, fs::read_to_string(path).unwrap(), "{name}");
}

/// The bytes of each line of a stored file of hexadecimal digits.
fn stored_lines(name: &str) -> Vec<Vec<u8>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    fs::read_to_string(path).unwrap().lines().map(bytes).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len()).step_by(2).map(|at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap()).collect()
}

fn hex_line(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>() + "\n"
}

fn cards() -> Vec<Card> {
    let phases = [Phase::Serving, Phase::Joining, Phase::LameDuck];
    let card = |phase| {
        let mut card = Card {
            name: "n1".into(),
            epoch: 1_700_000_000_000,
            incarnation: 3,
            address: "127.0.0.1:7001".into(),
            zone: "cdmx".into(),
            program: "0.2.0".into(),
            minor: 0,
            load: 5,
            phase: 0,
            number: 2,
            offers: vec!["view".into(), "plan".into()],
        };
        card.set_phase(phase);
        card
    };
    phases.into_iter().map(card).collect()
}

/// An entry for each state that a member may be held for.
fn entries() -> Vec<Entry> {
    let states = [State::Alive, State::Stalled, State::Suspect, State::Dead, State::Left];
    let entry = |(place, state): (usize, State)| Entry {
        card: cards()[place % 3].encode_to_vec(),
        state: state.number(),
        age: 17 + place as u32,
        witness: Key::of("n2").0,
        refused: place % 2 == 1,
    };
    states.into_iter().enumerate().map(entry).collect()
}

/// A datagram of each kind.
fn datagrams() -> Vec<Datagram> {
    let kinds = [Kind::News, Kind::Ping, Kind::PingFor, Kind::Ack, Kind::Nack];
    let datagram = |(place, kind): (usize, Kind)| Datagram {
        major: 1,
        minor: 0,
        fleet: fleet("tablero"),
        from: Key::of("n1").0,
        epoch: 1_700_000_000_000,
        kind: kind.into(),
        seq: 40 + place as u32,
        about: Key::of("n3").0,
        unknown: place % 2 == 1,
        news: entries().into_iter().take(place + 1).collect(),
    };
    kinds.into_iter().enumerate().map(datagram).collect()
}

/// A frame of each step.
fn frames() -> Vec<Frame> {
    let steps = [
        Step::Other,
        Step::Check,
        Step::Here,
        Step::Digest,
        Step::Same,
        Step::Parts,
        Step::Entries,
        Step::Refuse,
    ];
    let frame = |(place, step): (usize, Step)| Frame {
        major: 1,
        minor: 0,
        fleet: fleet("tablero"),
        from: Key::of("n1").0,
        epoch: 1_700_000_000_000,
        step: step.into(),
        fingerprint: 0x0123_4567_89ab_cdef,
        parts: (0..place as u64).collect(),
        entries: entries().into_iter().take(place).collect(),
        why: if step == Step::Refuse { "of another fleet".into() } else { String::new() },
    };
    steps.into_iter().enumerate().map(frame).collect()
}

#[test]
fn datagrams_travel_as_before() {
    let written: String = datagrams().iter().map(|one| hex_line(&one.encode_to_vec())).collect();
    assert_stored_text("datagrams.hex", &written);
    let read: Vec<_> = stored_lines("datagrams.hex")
        .iter()
        .map(|bytes| Datagram::read(bytes, fleet("tablero")).unwrap())
        .collect();
    assert_eq!(read, datagrams());
}

#[test]
fn stream_frames_travel_as_before() {
    let written: String = frames().iter().map(|one| hex_line(&one.encode_to_vec())).collect();
    assert_stored_text("frames.hex", &written);
    let read: Vec<_> = stored_lines("frames.hex")
        .iter()
        .map(|bytes| Frame::read(bytes, fleet("tablero")).unwrap())
        .collect();
    assert_eq!(read, frames());
}

#[test]
fn cards_travel_as_before() {
    let written: String = cards().iter().map(|one| hex_line(&one.encode_to_vec())).collect();
    assert_stored_text("cards.hex", &written);
    let read: Vec<_> = stored_lines("cards.hex").iter().map(|bytes| Card::read(bytes).unwrap()).collect();
    assert_eq!(read, cards());
}

/// Names become numbers that all nodes must agree on; states and phases have words that staff's calls answer with.
#[test]
fn hashes_and_words_are_the_same_everywhere() {
    let states = [State::Alive, State::Stalled, State::Suspect, State::Dead, State::Left];
    let phases = [Phase::Serving, Phase::Joining, Phase::LameDuck];
    let text = [
        format!("key of n1 {:016x}\n", Key::of("n1").0),
        format!("fleet tablero {:016x}\n", fleet("tablero")),
        format!("hash of a and b {:016x}\n", hash(&[b"a", b"b"])),
        states.map(|state| format!("state {} {}\n", state.number(), state.word())).concat(),
        phases.map(|phase| format!("phase {}\n", phase.word())).concat(),
        format!("stamp {}\n", cards()[0].stamp()),
    ];
    assert_stored_text("hashes_and_words.txt", &text.concat());
}
