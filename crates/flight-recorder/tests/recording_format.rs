//! The format of recordings: complete, damaged and of other versions, and exports to other formats.

mod common;

use common::*;
use proptest::prelude::*;
use pumicehead_flight_recorder::bounded_text::BoundedName;
use pumicehead_flight_recorder::event::{
    Event, ExhaustedResource, ListenerRejection, PoolId, RequestOutcome,
};
use pumicehead_flight_recorder::export::{chrome, otlp};
use pumicehead_flight_recorder::recorder::Recorder;
use pumicehead_flight_recorder::recording::{Recording, RecordingError, frame_checksum};
use pumicehead_flight_recorder::wire_format::Reader;
use pumicehead_policy::decision_event::{
    DecisionEvent, ExclusionReasons, LimitChangeReason, NoRetryReason, RejectionReason,
};
use pumicehead_policy::*;

fn small_recording() -> Vec<u8> {
    let mut workload = Workload::new(64 << 10);
    workload.request(0, 1, AttemptOutcome::Success, 20 * MS);
    workload.request(1, 2, AttemptOutcome::Reset, 30 * MS);
    workload.rejected_request(0, RejectionReason::ExpectedWaitTooLong);
    workload.request(0, 3, AttemptOutcome::Success, 150 * MS);
    workload.recorder.recording(workload.now, "test")
}

#[test]
fn every_event_round_trips() {
    let (id, endpoint, attempt) = (RequestId(u32::MAX), EndpointId(77), AttemptNo(3));
    let exclusions = ExclusionReasons([1, 2, 3, 4, 255]);
    let rejections = [
        RejectionReason::ExpectedWaitTooLong,
        RejectionReason::QueueTimeout,
        RejectionReason::KeyOrderTimeout,
    ]
    .into_iter()
    .chain(
        [
            NoRetryReason::AttemptsExhausted,
            NoRetryReason::NotIdempotent,
            NoRetryReason::NoTimeLeft,
            NoRetryReason::RetryBudgetSpent,
        ]
        .map(RejectionReason::NoRetry),
    );
    let attempt_outcomes = (0..8).filter_map(pumicehead_flight_recorder::code_tables::outcome_from_code);
    let request_outcomes = [
        RequestOutcome::Served,
        RequestOutcome::ServedError,
        RequestOutcome::Rejected,
        RequestOutcome::Failed,
        RequestOutcome::DeadlineExceeded,
        RequestOutcome::BodyFailed,
        RequestOutcome::ClientDisconnected,
    ];
    let mut all = vec![
        Event::RequestAdmitted {
            id,
            class: 9,
            tenant: Some(0),
            client_timeout: 1,
            upload_time: 2,
            name: BoundedName::new("é\0"),
            revision: None,
        },
        Event::RequestAdmitted {
            id,
            class: 9,
            tenant: None,
            client_timeout: u64::MAX,
            upload_time: 0,
            name: BoundedName::default(),
            revision: Some(u64::MAX),
        },
        Event::AttemptStarted { id, attempt, endpoint, timeout: Some(5) },
        Event::ResponseStarted { id, attempt },
        Event::CapacityAdvice { endpoints_to_avoid: 3, lease_grants: 4 },
        Event::NodeShareChanged { nodes: 277, node_index: 12 },
        Event::RejectedByListener { class: 2, reason: ListenerRejection::ConnectionLimit },
        Event::ResourceExhausted(ExhaustedResource::UpstreamConnection),
        Event::MemberStateChanged { name: BoundedName::new("n7"), from: Some(0), to: 3 },
        Event::MemberStateChanged {
            name: BoundedName::new("a name that is longer than what is kept of names here, by some"),
            from: None,
            to: 0,
        },
        Event::Decision(DecisionEvent::Classified {
            id,
            tier: 3,
            priority_weight: 1.5,
            objective_deadline: START,
        }),
        Event::Decision(DecisionEvent::Queued { id, queued: 7 }),
        Event::Decision(DecisionEvent::EndpointSelected {
            id,
            endpoint,
            score: 0.1,
            runner_up: Some((endpoint, 2.0)),
            in_flight: 9,
            limit: 1.0,
            exclusions,
        }),
        Event::Decision(DecisionEvent::EndpointSelected {
            id,
            endpoint,
            score: 0.1,
            runner_up: None,
            in_flight: 9,
            limit: 1.0,
            exclusions,
        }),
        Event::Decision(DecisionEvent::NoEndpointAvailable { id, exclusions }),
        Event::Decision(DecisionEvent::LimitChanged {
            endpoint,
            from: 1.0,
            to: 2.0,
            reason: LimitChangeReason::Failure,
        }),
        Event::Decision(DecisionEvent::LimitChanged {
            endpoint,
            from: 1.0,
            to: 2.0,
            reason: LimitChangeReason::ComparedLatency,
        }),
        Event::Decision(DecisionEvent::AllLimitsChanged { factor: 0.5, utilization: 2.0 }),
        Event::Decision(DecisionEvent::Ejected { endpoint, duration: 9 }),
        Event::Decision(DecisionEvent::Reinstated { endpoint }),
        Event::Decision(DecisionEvent::OutlierRatio { outliers: 1, total: 2, panic_mode: true }),
        Event::Decision(DecisionEvent::OverloadStarted { queued: 3 }),
        Event::Decision(DecisionEvent::OverloadEnded),
        Event::Decision(DecisionEvent::WatchLost),
        Event::Decision(DecisionEvent::WatchRestored),
    ];
    all.extend(rejections.map(|rejection| {
        Event::Decision(DecisionEvent::AnsweredWithoutEndpoint {
            id,
            reason: rejection,
            wait_share: f32::INFINITY,
        })
    }));
    all.extend(attempt_outcomes.map(|outcome| Event::AttemptEnded {
        id,
        attempt,
        endpoint,
        outcome,
        duration: 5,
        connect_time: 2,
        connection_idle: Some(7),
    }));
    all.extend(request_outcomes.map(|outcome| Event::RequestEnded { id, outcome }));
    all.extend(
        [EndpointState::Ready, EndpointState::Draining, EndpointState::Removed]
            .map(|state| Event::EndpointStateChanged { endpoint, state }),
    );
    for event in all {
        let mut bytes = Vec::new();
        event.encode(&mut bytes);
        assert_eq!(Event::decode(&mut Reader(&bytes)).as_ref(), Some(&event));
        for end in 0..bytes.len() {
            assert_eq!(Event::decode(&mut Reader(&bytes[..end])), None, "{event:?} cut at {end}");
        }
    }
}

#[test]
fn a_recording_holds_what_was_recorded() {
    let recording = Recording::read(&small_recording()).unwrap();
    assert_eq!((recording.damage, recording.timelines.len()), (None, 4));
    assert_eq!((recording.header.node.as_str(), recording.header.reason.as_str()), ("n0", "test"));
    let failed = recording.timelines_of("r1")[0];
    let text = pumicehead_flight_recorder::timeline_text::render(&recording.header, failed);
    for part in
        ["`submit`", "Attempt 1 to s-2.", "the connection broke after 30.0 ms", "must not take effect twice"]
    {
        assert!(text.contains(part), "{part}\n{text}");
    }
    assert!(recording.timelines_of("r9").is_empty());
    let page = pumicehead_flight_recorder::html_report::write(&recording);
    assert!(page.contains("<svg") && page.contains("The client was told"), "charts and timelines");
    // The XML namespace of SVG is the only URL in the page, so a browser fetches nothing.
    assert_eq!(page.matches("://").count(), page.matches("http://www.w3.org/2000/svg").count());
}

/// A file that is truncated at any byte is readable up to there, and one with a damaged byte never yields other contents.
#[test]
fn damage_at_any_byte_keeps_what_precedes_it() {
    let whole = small_recording();
    let all = Recording::read(&whole).unwrap();
    for cut in 0..whole.len() {
        match Recording::read(&whole[..cut]) {
            Ok(recording) => {
                assert!(recording.damage.is_some_and(|damage| damage.offset <= cut));
                assert!(recording.timelines.iter().zip(&all.timelines).all(|(one, other)| one == other));
            }
            Err(error) => {
                assert!(matches!(
                    error,
                    RecordingError::NotARecording
                        | RecordingError::UnsupportedVersion(_)
                        | RecordingError::DamagedHeader
                ))
            }
        }
    }
    for at in 0..whole.len() {
        let mut flipped = whole.clone();
        flipped[at] ^= 0x41;
        if let Ok(recording) = Recording::read(&flipped) {
            let same = recording.timelines.iter().all(|timeline| all.timelines.contains(timeline))
                && recording.records.iter().all(|record| all.records.contains(record))
                && recording.ledger.is_none_or(|ledger| Some(ledger) == all.ledger);
            assert!(same && recording.damage.is_some(), "{at}");
        }
    }
}

#[test]
fn unknown_versions_and_other_files_are_rejected() {
    assert_eq!(Recording::read(b"").unwrap_err(), RecordingError::NotARecording);
    assert_eq!(Recording::read(b"GIF89a, and more").unwrap_err(), RecordingError::NotARecording);
    let mut later = small_recording();
    later[8] = 2;
    assert_eq!(Recording::read(&later).unwrap_err(), RecordingError::UnsupportedVersion(2));
    // The header of an older version, which lacks some fields, with an unknown field, then a frame of an unknown kind.
    let header = br#"{"node":"old","start":5,"pools":[{"name":"web"}],"field":"unheard of"}"#;
    let mut file = b"PHEADREC\x01\x00".to_vec();
    for (kind, contents) in [(1, &header[..]), (200, &b"what"[..]), (5, &b""[..])] {
        file.push(kind);
        file.extend_from_slice(&(contents.len() as u32).to_le_bytes());
        file.extend_from_slice(&frame_checksum(kind, contents).to_le_bytes());
        file.extend_from_slice(contents);
    }
    let recording = Recording::read(&file).unwrap();
    assert_eq!(
        (recording.header.node.as_str(), recording.damage, recording.ledger.is_none()),
        ("old", None, true)
    );
}

/// Guards that the names of tenants are stored once for all pools, by id, and that older recordings, which store them for
/// each pool, by index, are still readable.
#[test]
fn tenants_have_names_in_new_and_old_recordings() {
    let file = |header: &[u8]| {
        let mut file = b"PHEADREC\x01\x00".to_vec();
        for (kind, contents) in [(1, header), (5, &b""[..])] {
            file.push(kind);
            file.extend_from_slice(&(contents.len() as u32).to_le_bytes());
            file.extend_from_slice(&frame_checksum(kind, contents).to_le_bytes());
            file.extend_from_slice(contents);
        }
        file
    };
    let old =
        br#"{"node":"old","pools":[{"name":"web","tenants":["acme","b"]},{"name":"other","tenants":["c"]}]}"#;
    let old = Recording::read(&file(old)).unwrap().header;
    assert_eq!([0, 1, 2].map(|id| old.tenant_name(PoolId(0), id)), ["acme", "b", "2"]);
    assert_eq!(old.tenant_name(PoolId(1), 0), "c");

    let names = [(70_000, "late"), (3, "early")].map(|(id, name)| (id, name.into()));
    let mut recorder = Recorder::new("n0", 0, 1 << 20, 1);
    recorder.register_pool("web", &[]);
    recorder.set_tenant_names(names.into_iter().collect());
    let new = Recording::read(&recorder.recording(1, "test")).unwrap().header;
    assert_eq!([3, 70_000, 0].map(|id| new.tenant_name(PoolId(0), id)), ["early", "late", "0"]);
    assert!(new.pools[0].tenants.is_empty());
}

proptest! {
    #[test]
    fn random_bytes_cause_no_panic(bytes in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        let mut file = small_recording();
        let _ = Recording::read(&bytes);
        let at = bytes.len() % file.len();
        file.splice(at.., bytes.iter().copied());
        if let Ok(recording) = Recording::read(&file) {
            let _ = (otlp(&recording), chrome(&recording), pumicehead_flight_recorder::html_report::write(&recording));
        }
    }
}

#[test]
fn exports_follow_the_public_formats() {
    let recording = Recording::read(&small_recording()).unwrap();
    let lines = otlp(&recording);
    assert_eq!(lines.lines().count(), 4);
    for line in lines.lines() {
        let value: serde_json::Value = serde_json::from_str(line).unwrap();
        let spans = &value["resourceSpans"][0]["scopeSpans"][0]["spans"];
        let root = &spans[0];
        assert_eq!(root["traceId"].as_str().unwrap().len(), 32);
        assert_eq!(root["spanId"].as_str().unwrap().len(), 16);
        let time = |name: &str| root[name].as_str().unwrap().parse::<u64>().unwrap();
        assert!(time("startTimeUnixNano") <= time("endTimeUnixNano"));
        for child in spans.as_array().unwrap().iter().skip(1) {
            assert_eq!((&child["traceId"], &child["parentSpanId"]), (&root["traceId"], &root["spanId"]));
        }
    }
    let value: serde_json::Value = serde_json::from_str(&chrome(&recording)).unwrap();
    let events = value["traceEvents"].as_array().unwrap();
    let complete = events.iter().filter(|event| event["ph"] == "X");
    assert_eq!(complete.clone().count(), 7, "four requests, three attempts");
    assert!(complete.into_iter().all(|event| event["ts"].is_f64() && event["dur"].as_f64().unwrap() >= 0.0));
}
