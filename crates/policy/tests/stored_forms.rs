//! What the policy's types look like in files and logs. The fixtures were written by version 0.2.0, before its types were
//! renamed, and must stay readable: a new process reads what an old one has learned.

use std::fs;
use std::path::{Path, PathBuf};

use pumicehead_policy::interface::{RequestId, ServerId};
use pumicehead_policy::note::{Hurdles, Moved, Note, Rule, Stop};
use pumicehead_policy::peers::{Peers, write};
use pumicehead_policy::policy::Knowledge;

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

#[test]
fn older_knowledge_is_read_and_written_as_before() {
    let text = fs::read_to_string(fixture("knowledge.json")).unwrap();
    let knowledge: Knowledge = serde_json::from_str(&text).unwrap();
    assert_eq!(serde_json::to_string(&knowledge).unwrap() + "\n", text);
}

/// Every note, with each value that it may hold of a fixed set.
fn every_note() -> Vec<Note> {
    let (id, server) = (RequestId(7), ServerId(3));
    let hurdles = Hurdles([1, 2, 3, 4, 255]);
    let mut all = vec![
        Note::Taken { id, tier: 3, worth: 1.5, aim_at: 1_700_000_000_100_000_000 },
        Note::Held { id, held: 7 },
        Note::Picked {
            id,
            server,
            score: 0.1,
            next: Some((ServerId(4), 2.0)),
            out: 9,
            limit: 12.25,
            hurdles,
        },
        Note::Picked { id, server, score: 0.1, next: None, out: 0, limit: 1.0, hurdles: Hurdles::default() },
        Note::NoneFits { id, hurdles },
        Note::Limit { server, from: 1.0, to: 2.5, why: Moved::Compared },
        Note::Limit { server, from: 2.5, to: 1.0, why: Moved::Failure },
        Note::Limits { factor: 0.5, load: 2.0 },
        Note::Aside { server, span: 1_500_000_000 },
        Note::Back { server },
        Note::Doubt { bad: 1, all: 8, most: false },
        Note::Doubt { bad: 7, all: 8, most: true },
        Note::Overload { held: 30 },
        Note::Calm,
        Note::ListLost,
        Note::ListRegained,
    ];
    let rules = [Rule::WaitShare, Rule::NearlyOut, Rule::NoTurn]
        .into_iter()
        .chain([Stop::Attempts, Stop::Effect, Stop::Time, Stop::Budget].map(Rule::NoRetry));
    all.extend(rules.map(|rule| Note::Over { id, rule, pressure: 0.75 }));
    all
}

#[test]
fn notes_are_logged_in_the_same_words() {
    let text: String = every_note().iter().map(|note| format!("{note}\n")).collect();
    let expected = fs::read_to_string(fixture("notes.txt")).unwrap();
    for (one, other) in text.lines().zip(expected.lines()) {
        assert_eq!(one, other);
    }
    assert_eq!(text, expected);
}

/// What a node tells other nodes of its attempts, as bytes.
#[test]
fn notes_between_nodes_travel_as_before() {
    let out = [(ServerId(0x0312_4a07), 2), (ServerId(9), 0), (ServerId(1), 300)];
    let bytes = [1, 200, 0x07, 0x4a, 0x12, 0x03, 2, 1, 0, 0, 0, 255];
    assert_eq!(write(200, out), bytes);
    let mut peers = Peers::default();
    peers.hear(7, &bytes, 5);
    assert_eq!((peers.out(ServerId(0x0312_4a07)), peers.out(ServerId(1)), peers.heard()), (2, 255, 1));
}
