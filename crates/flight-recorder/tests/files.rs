//! Dumps: whole, damaged, of other versions, and read by others.

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

fn small() -> Vec<u8> {
    let mut day = Day::new(64 << 10);
    day.request(0, 1, AttemptOutcome::Success, 20 * MS);
    day.request(1, 2, AttemptOutcome::Reset, 30 * MS);
    day.rejected_request(0, RejectionReason::ExpectedWaitTooLong);
    day.request(0, 3, AttemptOutcome::Success, 150 * MS);
    day.recorder.recording(day.now, "test")
}

#[test]
fn every_event_round_trips() {
    let (id, server, attempt) = (RequestId(u32::MAX), EndpointId(77), AttemptNo(3));
    let hurdles = ExclusionReasons([1, 2, 3, 4, 255]);
    let rules = [
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
    let outcomes = (0..8).filter_map(pumicehead_flight_recorder::code_tables::outcome_from_code);
    let hows = [
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
        Event::AttemptStarted { id, attempt, endpoint: server, timeout: Some(5) },
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
            endpoint: server,
            score: 0.1,
            runner_up: Some((server, 2.0)),
            in_flight: 9,
            limit: 1.0,
            exclusions: hurdles,
        }),
        Event::Decision(DecisionEvent::EndpointSelected {
            id,
            endpoint: server,
            score: 0.1,
            runner_up: None,
            in_flight: 9,
            limit: 1.0,
            exclusions: hurdles,
        }),
        Event::Decision(DecisionEvent::NoEndpointAvailable { id, exclusions: hurdles }),
        Event::Decision(DecisionEvent::LimitChanged {
            endpoint: server,
            from: 1.0,
            to: 2.0,
            reason: LimitChangeReason::Failure,
        }),
        Event::Decision(DecisionEvent::LimitChanged {
            endpoint: server,
            from: 1.0,
            to: 2.0,
            reason: LimitChangeReason::ComparedLatency,
        }),
        Event::Decision(DecisionEvent::AllLimitsChanged { factor: 0.5, utilization: 2.0 }),
        Event::Decision(DecisionEvent::Ejected { endpoint: server, duration: 9 }),
        Event::Decision(DecisionEvent::Reinstated { endpoint: server }),
        Event::Decision(DecisionEvent::OutlierRatio { outliers: 1, total: 2, panic_mode: true }),
        Event::Decision(DecisionEvent::OverloadStarted { queued: 3 }),
        Event::Decision(DecisionEvent::OverloadEnded),
        Event::Decision(DecisionEvent::WatchLost),
        Event::Decision(DecisionEvent::WatchRestored),
    ];
    all.extend(rules.map(|rule| {
        Event::Decision(DecisionEvent::AnsweredWithoutEndpoint {
            id,
            reason: rule,
            wait_share: f32::INFINITY,
        })
    }));
    all.extend(outcomes.map(|outcome| Event::AttemptEnded {
        id,
        attempt,
        endpoint: server,
        outcome,
        duration: 5,
        connect_time: 2,
        connection_idle: Some(7),
    }));
    all.extend(hows.map(|how| Event::RequestEnded { id, outcome: how }));
    all.extend(
        [EndpointState::Ready, EndpointState::Draining, EndpointState::Removed]
            .map(|listed| Event::EndpointStateChanged { endpoint: server, state: listed }),
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
    let dump = Recording::read(&small()).unwrap();
    assert_eq!((dump.damage, dump.timelines.len()), (None, 4));
    assert_eq!((dump.header.node.as_str(), dump.header.reason.as_str()), ("n0", "test"));
    let failed = dump.timelines_of("r1")[0];
    let text = pumicehead_flight_recorder::timeline_text::render(&dump.header, failed);
    for part in
        ["`submit`", "Attempt 1 to s-2.", "the connection broke after 30.0 ms", "must not take effect twice"]
    {
        assert!(text.contains(part), "{part}\n{text}");
    }
    assert!(dump.timelines_of("r9").is_empty());
    let page = pumicehead_flight_recorder::html_report::write(&dump);
    assert!(page.contains("<svg") && page.contains("The client was told"), "pictures and stories");
    // The name of SVG itself is the only address in it: nothing is fetched.
    assert_eq!(page.matches("://").count(), page.matches("http://www.w3.org/2000/svg").count());
}

/// A file that is cut anywhere is read up to there, and one with a bit turned never passes for another.
#[test]
fn damage_at_any_byte_keeps_what_precedes_it() {
    let whole = small();
    let all = Recording::read(&whole).unwrap();
    for cut in 0..whole.len() {
        match Recording::read(&whole[..cut]) {
            Ok(dump) => {
                assert!(dump.damage.is_some_and(|damage| damage.offset <= cut));
                assert!(dump.timelines.iter().zip(&all.timelines).all(|(one, other)| one == other));
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
        let mut turned = whole.clone();
        turned[at] ^= 0x41;
        if let Ok(dump) = Recording::read(&turned) {
            let same = dump.timelines.iter().all(|story| all.timelines.contains(story))
                && dump.records.iter().all(|record| all.records.contains(record))
                && dump.ledger.is_none_or(|accounts| Some(accounts) == all.ledger);
            assert!(same && dump.damage.is_some(), "{at}");
        }
    }
}

#[test]
fn other_versions_and_other_files_are_rejected() {
    assert_eq!(Recording::read(b"").unwrap_err(), RecordingError::NotARecording);
    assert_eq!(Recording::read(b"GIF89a, and more").unwrap_err(), RecordingError::NotARecording);
    let mut later = small();
    later[8] = 2;
    assert_eq!(Recording::read(&later).unwrap_err(), RecordingError::UnsupportedVersion(2));
    // A head of before some fields were there, then a frame of a kind that came later.
    let head = br#"{"node":"old","start":5,"pools":[{"name":"web"}],"field":"unheard of"}"#;
    let mut file = b"PHEADREC\x01\x00".to_vec();
    for (kind, contents) in [(1, &head[..]), (200, &b"what"[..]), (5, &b""[..])] {
        file.push(kind);
        file.extend_from_slice(&(contents.len() as u32).to_le_bytes());
        file.extend_from_slice(&frame_checksum(kind, contents).to_le_bytes());
        file.extend_from_slice(contents);
    }
    let dump = Recording::read(&file).unwrap();
    assert_eq!((dump.header.node.as_str(), dump.damage, dump.ledger.is_none()), ("old", None, true));
}

/// Guards that tenants are named once for all pools, by their ids, and that recordings which name them for each pool, by
/// their places, are read as before.
#[test]
fn tenants_have_names_in_new_and_old_recordings() {
    let file = |head: &[u8]| {
        let mut file = b"PHEADREC\x01\x00".to_vec();
        for (kind, contents) in [(1, head), (5, &b""[..])] {
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
    fn noise_is_rejected_without_a_panic(noise in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        let mut file = small();
        let _ = Recording::read(&noise);
        let at = noise.len() % file.len();
        file.splice(at.., noise.iter().copied());
        if let Ok(dump) = Recording::read(&file) {
            let _ = (otlp(&dump), chrome(&dump), pumicehead_flight_recorder::html_report::write(&dump));
        }
    }
}

#[test]
fn exports_follow_the_public_formats() {
    let dump = Recording::read(&small()).unwrap();
    let lines = otlp(&dump);
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
    let value: serde_json::Value = serde_json::from_str(&chrome(&dump)).unwrap();
    let events = value["traceEvents"].as_array().unwrap();
    let whole = events.iter().filter(|event| event["ph"] == "X");
    assert_eq!(whole.clone().count(), 7, "four requests, three attempts");
    assert!(whole.into_iter().all(|event| event["ts"].is_f64() && event["dur"].as_f64().unwrap() >= 0.0));
}
