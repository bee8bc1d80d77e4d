//! Wire compatibility of the messages between forwarders and planners. The fixtures were written by version
//! 0.2.0, before its types were renamed. Encoding must produce the same bytes, and the fixtures must stay
//! readable: forwarders and planners may run different versions.

use std::fs;
use std::path::Path;

use bytes::Bytes;
use prost::Message;
use pumicehead_capacity_leases::wire::{
    Body, EndpointObservation, FrameDecoder, Grant, Hello, Plan, Report, TableChanges, TableEntry,
    encode_frame,
};

/// Asserts that a text equals the contents of a fixture.
fn assert_equals_fixture(name: &str, text: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    assert_eq!(text, fs::read_to_string(path).unwrap(), "{name}");
}

/// Decodes a fixture in hexadecimal.
fn fixture_bytes(name: &str) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    let text = fs::read_to_string(path).unwrap();
    let digits: String = text.split_whitespace().collect();
    (0..digits.len()).step_by(2).map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap()).collect()
}

fn hex_line(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>() + "\n"
}

fn observation() -> EndpointObservation {
    EndpointObservation {
        incarnation: 1_700_000_000_000_000_000,
        known_for: 9_000_000_000,
        draining: true,
        succeeded: 400,
        failed: 3,
        in_flight: 5,
        concurrency_limit: 12,
    }
}

fn changes(replaces_all: bool, value: Vec<u8>) -> TableChanges {
    TableChanges {
        replaces_all,
        set: vec![
            TableEntry { key: 7, value: Bytes::from(value) },
            TableEntry { key: 8, value: Bytes::new() },
        ],
        removed: vec![1, 2, 300],
        digest: 0x0123_4567_89ab_cdef,
    }
}

fn messages() -> Vec<Body> {
    let grants = vec![
        Grant { endpoint: 3, micro_requests_per_s: 1_500_000 },
        Grant { endpoint: 70_000, micro_requests_per_s: 1 },
    ];
    vec![
        Body::Hello(Hello {
            version: 1,
            min_version: 1,
            process_id: 0x5d3a_91c4_0312_4a07,
            lease_ns: 3_000_000_000,
            loan_ns: 500_000_000,
        }),
        Body::Report(Report {
            number: 9,
            planner: 0x91f0_3b7c_55d2_0a64,
            last_plan: 8,
            lent: grants.clone(),
            endpoints: Some(changes(true, observation().encode_to_vec())),
            requests_resync: false,
        }),
        Body::Report(Report { number: 10, requests_resync: true, ..Report::default() }),
        Body::Plan(Plan {
            number: 12,
            answered_report: 9,
            planner: 0x91f0_3b7c_55d2_0a64,
            grants,
            endpoints: Some(changes(false, vec![1, 2, 3])),
            requests_resync: false,
        }),
        Body::Plan(Plan { number: 13, requests_resync: true, ..Plan::default() }),
    ]
}

#[test]
fn messages_are_encoded_as_in_version_0_2_0() {
    let written: String = messages().into_iter().map(|message| hex_line(&encode_frame(message))).collect();
    assert_equals_fixture("messages.hex", &written);
    let (mut decoder, mut read) = (FrameDecoder::default(), Vec::new());
    decoder.feed(&fixture_bytes("messages.hex"));
    while let Some(message) = decoder.next_message().unwrap() {
        read.push(message);
    }
    assert_eq!((read, decoder.buffered_bytes()), (messages(), 0));
}

#[test]
fn endpoint_observations_are_encoded_as_in_version_0_2_0() {
    assert_equals_fixture("endpoint_observation.hex", &hex_line(&observation().encode_to_vec()));
    let read = EndpointObservation::decode(fixture_bytes("endpoint_observation.hex").as_slice()).unwrap();
    assert_eq!(read, observation());
}
