//! Decoding and encoding of the simulator's protocol: the byte examples of its specification, malformed frames, and
//! truncation at every position.

use std::io::Write;
use std::process::{Command, Stdio};

use pumicehead_policy::*;
use pumicehead_simulator_adapter::{FrameDecoder, InstanceInput, ReplyEncoder, WireError, read_frame};

const NOW: u64 = 8_410_152_848;

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(|b| !b.is_ascii_whitespace()).collect();
    let pairs = digits.chunks_exact(2).map(|pair| std::str::from_utf8(pair).unwrap());
    pairs.map(|pair| u8::from_str_radix(pair, 16).unwrap()).collect()
}

fn frame(count: u32, records: &[u8]) -> Vec<u8> {
    let mut out = u32::try_from(records.len()).unwrap().to_le_bytes().to_vec();
    out.extend(NOW.to_le_bytes());
    out.extend(count.to_le_bytes());
    out.extend(12u32.to_le_bytes());
    out.extend(records);
    out
}

fn begin(instance: u32, settings: &str) -> Vec<u8> {
    let mut body = instance.to_le_bytes().to_vec();
    body.extend(77u64.to_le_bytes());
    body.extend(u32::try_from(settings.len()).unwrap().to_le_bytes());
    body.extend(settings.as_bytes());
    let mut out = vec![1];
    out.extend(u32::try_from(body.len()).unwrap().to_le_bytes());
    out.extend(body);
    out
}

fn settings() -> String {
    let class = r#"{"deadline_ns": 1000000000, "target_ns": 500000000, "effect": "pure", "worth": 5.0}"#;
    let tenants =
        (0..100).map(|_| r#"{"share": 0.01, "allowance_per_s": 1.0}"#).collect::<Vec<_>>().join(",");
    format!(
        r#"{{"classes": [{class}], "tenants": [{tenants}], "zones": ["a"], "new_key": 1,
            "report": {{"fields": ["recent_ms", "backlog"]}}, "ceilings": {{"max_attempts": 3}}}}"#
    )
}

const ENDPOINT_LIST: &str =
    "0b 36000000 00000000 02000000 074a1203 0000 0000 0000 00 0000803f 0000000000000000
    f211902c 0000 0000 0000 00 0000c03f 009d966b01000000";
const ENDPOINTS_UPDATED: &str = "02 0d000000 03000000 00000000 29000000 02";
const REQUEST: &str =
    "03 28000000 03000000 c4913a5d 001bb70000000000 00000000 640ad2557c3bf091 90dbb60302000000 0000 0100";
const ATTEMPT_ENDED: &str =
    "05 21000000 03000000 c4913a5d 01 074a1203 c800 00 a0491a0100000000 02 0000684100004040";
const TIMER_FIRED: &str = "07 0c000000 03000000 4d00000000000000";
const CLIENT_DISCONNECTED: &str = "06 08000000 03000000 192b6f0e";

fn documented_records() -> (u32, Vec<u8>) {
    let mut records = begin(3, &settings());
    for text in [ENDPOINT_LIST, ENDPOINTS_UPDATED, REQUEST, ATTEMPT_ENDED, TIMER_FIRED, CLIENT_DISCONNECTED] {
        records.extend(hex(text));
    }
    (7, records)
}

#[test]
fn documented_records_are_decoded() {
    let (count, records) = documented_records();
    let batch = FrameDecoder::default().decode(&frame(count, &records)).unwrap();
    assert_eq!((batch.now, batch.sequence_number), (NOW, 12));
    let events: Vec<&Event> = batch
        .inputs
        .iter()
        .filter_map(|(instance, input)| {
            assert_eq!(*instance, 3);
            if let InstanceInput::Event(event) = input { Some(event) } else { None }
        })
        .collect();
    assert_eq!(events.len(), 5);
    let Event::EndpointsUpdated(EndpointUpdate::Restored(endpoints)) = events[0] else {
        panic!("{:?}", events[0])
    };
    assert_eq!(endpoints[0].id, EndpointId(0x0312_4a07));
    assert_eq!((endpoints[1].weight, endpoints[1].started_at), (1.5, 0x0000_0001_6b96_9d00));
    let id = RequestId(0x5d3a_91c4);
    assert_eq!(
        events[1],
        &Event::Request(NewRequest {
            id,
            class: ClassId(0),
            tenant: Some(TenantId(0)),
            cost_hint: Some(12_000_000),
            key: Some(0x91f0_3b7c_55d2_0a64),
            deadline: 0x0000_0002_03b6_db90,
        })
    );
    let endpoint = EndpointId(0x0312_4a07);
    let (attempt, outcome) = (AttemptNo(0), AttemptOutcome::Success);
    assert_eq!(
        events[2],
        &Event::AttemptEnded(AttemptEnded {
            id,
            attempt,
            endpoint,
            outcome,
            duration: 18_500_000,
            final_answer: true
        })
    );
    assert_eq!(events[3], &Event::TimerFired(TimerToken(0x4d)));
    assert_eq!(events[4], &Event::ClientDisconnected(RequestId(0x0e6f_2b19)));
}

#[test]
fn documented_actions_are_encoded() {
    let mut reply = ReplyEncoder::default();
    let (id, endpoint) = (RequestId(0x5d3a_91c4), EndpointId(0x0312_4a07));
    reply.push(3, &Action::StartAttempt { id, endpoint, timeout: Some(80_000_000), start_before: None });
    reply.push(3, &Action::ArmTimer { at: 0x0000_0002_1336_2490, token: TimerToken(0x4d) });
    reply.log(5, "two servers known");
    let mut out = Vec::new();
    reply.finish(12, &mut out);
    let expected = hex("03000000 4e000000 0c000000
        01 14000000 03000000 c4913a5d 074a1203 00b4c40400000000
        05 14000000 03000000 9024361302000000 4d00000000000000
        09 17000000 05000000 1100 74776f2073657276657273206b6e6f776e");
    assert_eq!(out, expected);
    out.clear();
    reply.finish(1, &mut out);
    assert_eq!(out, hex("00000000 00000000 01000000"));
}

#[test]
fn truncated_frames_are_errors() {
    let (count, records) = documented_records();
    for len in 0..records.len() {
        // The header states the truncated length, so that the records reach past the end of the frame.
        assert!(FrameDecoder::default().decode(&frame(count, &records[..len])).is_err(), "cut at {len}");
    }
    let full = frame(count, &records);
    for len in 1..full.len() {
        let mut input = &full[..len];
        assert!(matches!(read_frame(&mut input, &mut Vec::new()), Err(WireError::ShortFrame)));
    }
}

#[test]
fn corrupted_frames_never_panic() {
    let (count, records) = documented_records();
    for at in 0..records.len() {
        for value in [0x00, 0x7f, 0xff] {
            let mut changed = records.clone();
            changed[at] = value;
            let _ = FrameDecoder::default().decode(&frame(count, &changed));
        }
    }
}

#[test]
fn errors_name_the_record_and_the_field() {
    let error = |records: Vec<u8>, count| {
        FrameDecoder::default().decode(&frame(count, &records)).map(drop).unwrap_err().to_string()
    };
    assert!(error(hex("63 00000000"), 1).contains("unknown code 99"));
    assert!(error(begin(3, "{"), 1).contains("begin"));
    assert!(error(begin(3, "{}"), 1).contains("no class"));
    let bad = settings().replace("500000000", "0");
    assert!(error(begin(3, &bad), 1).contains("aim"));
    let with = |record: &str| [begin(3, &settings()), hex(record)].concat();
    let class = REQUEST.replace(" 0000 0100", " 0900 0100");
    assert!(error(with(&class), 2).contains("`qos` is 9"));
    assert!(error(with(ENDPOINTS_UPDATED), 2).contains("`table` is 0"));
    let zone = [
        begin(3, &settings()),
        hex(&ENDPOINT_LIST.replace("074a1203 0000", "074a1203 0800")),
        hex(ENDPOINTS_UPDATED),
    ];
    assert!(error(zone.concat(), 3).contains("`site` is 8"));
}

#[test]
fn records_without_effect_are_skipped() {
    let mut decoder = FrameDecoder::default();
    // The batch contains an event of an instance that it has killed before, and replaces an endpoint list.
    let records = [
        begin(3, &settings()),
        hex(ENDPOINT_LIST),
        hex("0b 08000000 00000000 00000000"),
        hex(ENDPOINTS_UPDATED),
        hex("0a 04000000 03000000"),
        hex(REQUEST),
    ];
    let batch = decoder.decode(&frame(6, &records.concat())).unwrap();
    assert_eq!(batch.inputs.len(), 3);
    assert!(
        matches!(&batch.inputs[1].1, InstanceInput::Event(Event::EndpointsUpdated(EndpointUpdate::Restored(l))) if l.is_empty())
    );
    assert!(matches!(batch.inputs[2].1, InstanceInput::Killed));
    let nan = ATTEMPT_ENDED.replace("00006841", "0000c07f");
    let batch = decoder.decode(&frame(2, &[begin(3, &settings()), hex(&nan)].concat())).unwrap();
    assert_eq!(batch.inputs.len(), 2);
}

fn run_adapter(input: &[u8]) -> (Option<i32>, Vec<u8>, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pumicehead-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input).unwrap();
    let done = child.wait_with_output().unwrap();
    (done.status.code(), done.stdout, String::from_utf8(done.stderr).unwrap())
}

#[test]
fn adapter_answers_each_frame_and_exits_with_zero() {
    assert_eq!(run_adapter(&[]), (Some(0), Vec::new(), String::new()));
    let (count, records) = documented_records();
    let (code, out, error) = run_adapter(&[frame(0, &[]), frame(count, &records)].concat());
    assert_eq!((code, error.as_str()), (Some(0), ""));
    assert_eq!(&out[..12], hex("00000000 00000000 0c000000"));
    // The request is forwarded to one of the two endpoints.
    let body = &out[24..];
    assert!(body.windows(9).any(|w| w == hex("01 14000000 03000000")), "{body:?}");
}

#[test]
fn adapter_reports_a_malformed_frame_in_one_line() {
    let (count, records) = documented_records();
    let full = frame(count, &records);
    for bad in [frame(1, &hex("63 00000000")), full[..full.len() - 3].to_vec(), full[..7].to_vec()] {
        let (code, out, error) = run_adapter(&bad);
        assert_eq!((code, out.len()), (Some(1), 0));
        assert_eq!(error.lines().count(), 1, "{error}");
    }
}
