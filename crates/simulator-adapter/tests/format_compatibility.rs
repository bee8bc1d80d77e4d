//! Compatibility of the simulator's protocol, record by record. The fixtures were written by version 0.2.0, before the
//! types were renamed, and must stay readable, because the simulator supports no other format.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use pumicehead_policy::*;
use pumicehead_simulator_adapter::{FrameDecoder, InstanceInput, ReplyEncoder};

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

/// Asserts that a text is equal to a stored one.
fn assert_stored_text(name: &str, text: &str) {
    assert_eq!(text, fs::read_to_string(fixture(name)).unwrap(), "{name}");
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Reads a frame from a stored file of hexadecimal digits; the part of a line after `#` is a comment.
fn stored_frame(name: &str) -> Vec<u8> {
    let text = fs::read_to_string(fixture(name)).unwrap();
    let lines = text.lines().map(|line| line.split('#').next().unwrap_or_default());
    let digits: String = lines.flat_map(str::split_whitespace).collect();
    (0..digits.len()).step_by(2).map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap()).collect()
}

fn endpoint(id: u32, state: EndpointState, weight: f32, started_at: Nanos) -> EndpointInfo {
    EndpointInfo { id: EndpointId(id), zone: ZoneId(0), cell: CellId(2), state, weight, started_at }
}

/// The events that are encoded in `records.hex`, in order.
fn events() -> Vec<Event> {
    let list: Arc<[EndpointInfo]> = vec![
        endpoint(0x0312_4a07, EndpointState::Ready, 1.0, 0),
        endpoint(0x2c90_11f2, EndpointState::Draining, 1.5, 0x0000_0001_6b96_9d00),
        endpoint(3, EndpointState::Removed, 1.0, 5),
    ]
    .into();
    let id = RequestId(0x5d3a_91c4);
    let request = |cost_hint, key| {
        let (class, tenant, deadline) = (ClassId(0), None, 0x0000_0002_03b6_db90);
        Event::Request(NewRequest { id, class, tenant, cost_hint, key, deadline })
    };
    let mut all = vec![
        Event::EndpointsUpdated(EndpointUpdate::Delta(list.clone())),
        Event::EndpointsUpdated(EndpointUpdate::Snapshot(list.clone())),
        Event::EndpointsUpdated(EndpointUpdate::Restored(list)),
        Event::EndpointsUpdated(EndpointUpdate::WatchFailed),
        request(Some(12_000_000), Some(0x91f0_3b7c_55d2_0a64)),
        request(None, None),
        Event::ResponseStarted { id, attempt: AttemptNo(1) },
    ];
    let outcomes = [
        AttemptOutcome::Success,
        AttemptOutcome::Error,
        AttemptOutcome::Rejected,
        AttemptOutcome::TimedOut,
        AttemptOutcome::ConnectFailed,
        AttemptOutcome::Reset,
        AttemptOutcome::Cancelled,
        AttemptOutcome::NotSent,
    ];
    all.extend(outcomes.map(|outcome| {
        let (endpoint, duration) = (EndpointId(0x0312_4a07), 18_500_000);
        let final_answer = outcome == AttemptOutcome::Success;
        Event::AttemptEnded(AttemptEnded {
            id,
            attempt: AttemptNo(2),
            endpoint,
            outcome,
            duration,
            final_answer,
        })
    }));
    all.extend([
        Event::ClientDisconnected(RequestId(0x0e6f_2b19)),
        Event::TimerFired(TimerToken(0x4d)),
        Event::LoadReport { from: 9, body: vec![1, 2, 3] },
    ]);
    all
}

#[test]
fn records_of_every_kind_are_decoded_as_before() {
    let batch = FrameDecoder::default().decode(&stored_frame("records.hex")).unwrap();
    assert_eq!((batch.now, batch.sequence_number), (8_410_152_848, 12));
    let (mut begun, mut killed, mut read) = (0, 0, Vec::new());
    for (instance, input) in batch.inputs {
        assert_eq!(instance, 3);
        match input {
            InstanceInput::Begin { seed, settings } => {
                assert_eq!((seed, settings.classes.len(), settings.zone_count), (77, 1, 1));
                begun += 1;
            }
            InstanceInput::Killed => killed += 1,
            InstanceInput::Event(event) => read.push(event),
        }
    }
    assert_eq!((begun, killed), (1, 1));
    assert_eq!(read, events());
}

#[test]
fn actions_of_every_kind_are_encoded_as_before() {
    let (id, endpoint, attempt) = (RequestId(0x5d3a_91c4), EndpointId(0x0312_4a07), AttemptNo(2));
    let actions = [
        ("send", Action::StartAttempt { id, endpoint, timeout: Some(80_000_000), start_before: None }),
        ("send without a timeout", Action::StartAttempt { id, endpoint, timeout: None, start_before: None }),
        ("refuse", Action::Reject { id, retry_after: Some(1_000_000) }),
        ("refuse without a time", Action::Reject { id, retry_after: None }),
        ("fail", Action::Fail(id)),
        ("cancel", Action::CancelAttempt { id, attempt }),
        ("timer", Action::ArmTimer { at: 8_910_152_848, token: TimerToken(0x4d) }),
        ("tell", Action::SendLoadReport { to: 9, body: vec![1, 2, 3].into() }),
        ("free links", Action::CloseIdleConnections(endpoint)),
        ("subscribe", Action::Subscribe),
    ];
    let mut text = String::new();
    for (name, action) in actions {
        let (mut reply, mut out) = (ReplyEncoder::default(), Vec::new());
        reply.push(3, &action);
        reply.finish(12, &mut out);
        text += &format!("{}  # {name}\n", hex(&out));
    }
    let (mut reply, mut out) = (ReplyEncoder::default(), Vec::new());
    reply.log(5, "two servers known");
    reply.finish(13, &mut out);
    text += &format!("{}  # log\n", hex(&out));
    assert_stored_text("actions.hex", &text);
}
