//! Recordings and exports in their stored form. The fixtures were written by version 0.2.0, before its types were renamed,
//! and must stay readable: renaming something in the code must not change a stored byte.

mod common;

use std::fs;
use std::path::{Path, PathBuf};

use common::*;
use pumicehead_flight_recorder::bounded_text::BoundedName;
use pumicehead_flight_recorder::breakdown::Breakdown;
use pumicehead_flight_recorder::code_tables::outcome_from_code;
use pumicehead_flight_recorder::event::{
    Event, ExhaustedResource, ListenerRejection, PoolId, RequestOutcome,
};
use pumicehead_flight_recorder::event_ring::{EventRing, append_record};
use pumicehead_flight_recorder::export::{chrome, otlp};
use pumicehead_flight_recorder::loss_cause::{LossCause, RequestPhase};
use pumicehead_flight_recorder::recorder::{ClassInfo, Level, Recorder, RequestTimeline};
use pumicehead_flight_recorder::recording::{ClassHeader, PoolHeader, Recording, RecordingHeader, write};
use pumicehead_policy::decision_event::{
    DecisionEvent, ExclusionReasons, LimitChangeReason, NoRetryReason, RejectionReason,
};
use pumicehead_policy::*;

/// The version that wrote the fixtures.
const FIXTURE_VERSION: &str = "0.2.0";

fn fixture_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn read_fixture(name: &str) -> Vec<u8> {
    fs::read(fixture_path(name)).unwrap()
}

/// Asserts that a text equals a fixture: line by line, so that a failure names the line, then as a whole.
fn assert_stored_text(name: &str, text: &str) {
    let expected = String::from_utf8(read_fixture(name)).unwrap();
    for (line, (one, other)) in text.lines().zip(expected.lines()).enumerate() {
        assert_eq!(one, other, "{name}, line {}", line + 1);
    }
    assert_eq!(text, expected, "{name}");
}

/// Asserts that a recording has the magic, the version and the frames of a fixture. Only the program's version in the header
/// may be a later one.
fn assert_stored_recording(name: &str, bytes: &[u8]) {
    let (written, expected) = (frames(bytes), frames(&read_fixture(name)));
    assert_eq!(bytes[..10], read_fixture(name)[..10], "{name}: magic and version");
    assert_eq!(written.len(), expected.len(), "{name}: frames");
    for (number, (one, other)) in written.iter().zip(&expected).enumerate() {
        assert_eq!(one, other, "{name}, frame {number}");
    }
}

/// Returns the kinds and contents of the frames after the magic and the version. A frame is the kind in one byte, the length
/// and the checksum in four bytes each, and the contents.
fn frames(bytes: &[u8]) -> Vec<(u8, Vec<u8>)> {
    const FRAME_HEADER: u8 = 1;
    let (mut rest, mut all) = (&bytes[10..], Vec::new());
    while let [kind, length @ ..] = rest {
        let length = u32::from_le_bytes(length[..4].try_into().unwrap()) as usize;
        let mut contents = rest[9..9 + length].to_vec();
        if *kind == FRAME_HEADER {
            let current_version = format!("\"program\":\"{}\"", env!("CARGO_PKG_VERSION"));
            let fixture_version = format!("\"program\":\"{FIXTURE_VERSION}\"");
            contents =
                String::from_utf8(contents).unwrap().replace(&current_version, &fixture_version).into_bytes();
        }
        all.push((*kind, contents));
        rest = &rest[9 + length..];
    }
    all
}

const ID: RequestId = RequestId(7);
const ENDPOINT: EndpointId = EndpointId(3);
const ATTEMPT: AttemptNo = AttemptNo(1);

/// Returns every decision event, with each value of its enum fields.
fn every_decision_event() -> Vec<DecisionEvent> {
    let (id, endpoint) = (ID, ENDPOINT);
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
    let mut all = vec![
        DecisionEvent::Classified { id, tier: 3, priority_weight: 1.5, objective_deadline: START + 100 * MS },
        DecisionEvent::Queued { id, queued: 7 },
        DecisionEvent::EndpointSelected {
            id,
            endpoint,
            score: 0.1,
            runner_up: Some((EndpointId(4), 2.0)),
            in_flight: 9,
            limit: 12.25,
            exclusions,
        },
        DecisionEvent::EndpointSelected {
            id,
            endpoint,
            score: 0.1,
            runner_up: None,
            in_flight: 0,
            limit: 1.0,
            exclusions: ExclusionReasons::default(),
        },
        DecisionEvent::NoEndpointAvailable { id, exclusions },
        DecisionEvent::NoEndpointAvailable { id, exclusions: ExclusionReasons::default() },
        DecisionEvent::LimitChanged {
            endpoint,
            from: 1.0,
            to: 2.5,
            reason: LimitChangeReason::ComparedLatency,
        },
        DecisionEvent::LimitChanged { endpoint, from: 2.5, to: 1.0, reason: LimitChangeReason::Failure },
        DecisionEvent::AllLimitsChanged { factor: 0.5, utilization: 2.0 },
        DecisionEvent::Ejected { endpoint, duration: 1_500 * MS },
        DecisionEvent::Reinstated { endpoint },
        DecisionEvent::OutlierRatio { outliers: 1, total: 8, panic_mode: false },
        DecisionEvent::OutlierRatio { outliers: 7, total: 8, panic_mode: true },
        DecisionEvent::OverloadStarted { queued: 30 },
        DecisionEvent::OverloadEnded,
        DecisionEvent::WatchLost,
        DecisionEvent::WatchRestored,
    ];
    all.extend(rejections.map(|rejection| DecisionEvent::AnsweredWithoutEndpoint {
        id,
        reason: rejection,
        wait_share: 0.75,
    }));
    all.push(DecisionEvent::AnsweredWithoutEndpoint {
        id,
        reason: RejectionReason::ExpectedWaitTooLong,
        wait_share: f32::INFINITY,
    });
    all
}

/// Returns every event other than decisions, with each value of its enum fields.
fn every_event_but_decisions() -> Vec<Event> {
    let (id, endpoint, attempt) = (ID, ENDPOINT, ATTEMPT);
    let admitted = |tenant, upload_time, name: &str, revision| Event::RequestAdmitted {
        id,
        class: 1,
        tenant,
        client_timeout: 2 * SECOND,
        upload_time,
        name: BoundedName::new(name),
        revision,
    };
    let long = "a name that is longer than what is kept of names here, by some";
    let mut all = vec![
        admitted(Some(70_000), 2 * MS, "req-7", Some(4)),
        admitted(None, 0, long, None),
        Event::AttemptStarted { id, attempt, endpoint, timeout: Some(80 * MS) },
        Event::AttemptStarted { id, attempt: AttemptNo(2), endpoint, timeout: None },
        Event::ResponseStarted { id, attempt },
        Event::CapacityAdvice { endpoints_to_avoid: 3, lease_grants: 4 },
        Event::NodeShareChanged { nodes: 277, node_index: 12 },
        Event::RejectedByListener { class: 1, reason: ListenerRejection::RequestLimit },
        Event::RejectedByListener { class: 1, reason: ListenerRejection::ConnectionLimit },
        Event::ResourceExhausted(ExhaustedResource::DownstreamConnection),
        Event::ResourceExhausted(ExhaustedResource::UpstreamConnection),
        Event::MemberStateChanged { name: BoundedName::new("n7"), from: Some(0), to: 3 },
        Event::MemberStateChanged { name: BoundedName::new(long), from: None, to: 0 },
    ];
    let attempt_outcomes = (0..8).filter_map(outcome_from_code);
    all.extend(attempt_outcomes.enumerate().map(|(number, outcome)| Event::AttemptEnded {
        id,
        attempt: AttemptNo(number as u8),
        endpoint,
        outcome,
        duration: 30 * MS,
        connect_time: if number % 2 == 0 { 0 } else { 2 * MS },
        connection_idle: (number % 3 == 0).then_some(7 * SECOND),
    }));
    let request_outcomes = [
        RequestOutcome::Served,
        RequestOutcome::ServedError,
        RequestOutcome::Rejected,
        RequestOutcome::Failed,
        RequestOutcome::DeadlineExceeded,
        RequestOutcome::BodyFailed,
        RequestOutcome::ClientDisconnected,
    ];
    all.extend(request_outcomes.map(|outcome| Event::RequestEnded { id, outcome }));
    let states = [EndpointState::Ready, EndpointState::Draining, EndpointState::Removed];
    all.extend(states.map(|state| Event::EndpointStateChanged { endpoint, state }));
    all
}

/// Returns every cause of a loss.
fn every_cause() -> Vec<LossCause> {
    let phases = [
        RequestPhase::Upload,
        RequestPhase::Queue,
        RequestPhase::EarlierAttempts,
        RequestPhase::Connect,
        RequestPhase::Endpoint,
    ];
    let mut all = vec![LossCause::QueueTooLong, LossCause::QueueTimeout, LossCause::KeyOrderTimeout];
    all.extend((0..8).map(LossCause::AttemptFailed));
    all.extend(phases.map(LossCause::ObjectiveMissed));
    all.extend(phases.map(LossCause::DeadlineExceeded));
    all.extend(phases.map(LossCause::ClientDisconnected));
    all.extend([
        LossCause::BodyFailed,
        LossCause::RejectedByListener(false),
        LossCause::RejectedByListener(true),
        LossCause::Other,
    ]);
    all
}

fn timeline(name: &str, cause: Option<LossCause>, events: &[Event]) -> RequestTimeline {
    let mut last_at = START + SECOND;
    let mut page = last_at.to_le_bytes().to_vec();
    let mut at = last_at;
    for event in events {
        let mut bytes = Vec::new();
        event.encode(&mut bytes);
        at += MS;
        append_record(&mut page, &mut last_at, at, PoolId(0), &bytes);
    }
    let truncated = name.ends_with("cut");
    RequestTimeline {
        pool: PoolId(0),
        class: 1,
        name: BoundedName::new(name),
        ended_at: at,
        cause,
        encoded_events: page.into(),
        truncated,
    }
}

/// Encodes a recording that has every event and every cause, built without a recorder.
fn every_event_recording() -> Vec<u8> {
    let class = |name: &str, priority_weight| ClassHeader {
        name: name.into(),
        latency_objective_ns: 100 * MS,
        deadline_ns: SECOND,
        priority_weight,
        late_weight: 0.3,
    };
    let mut header = RecordingHeader::new("n\"0", START);
    header.at = START + 60 * SECOND;
    header.reason = "asked by a call".into();
    header.pools = vec![
        PoolHeader {
            name: "web".into(),
            classes: vec![class("read", 1.0), class("submit", 10.0)],
            tenants: Vec::new(),
            endpoints: vec![(3, "s-3".into()), (4, "s-4".into())],
        },
        PoolHeader {
            name: "old".into(),
            classes: Vec::new(),
            tenants: vec!["acme".into()],
            endpoints: Vec::new(),
        },
    ];
    header.tenants =
        [(70_000, "late"), (3, "early")].map(|(id, name)| (id, name.into())).into_iter().collect();
    (header.overwritten_events, header.untracked_requests) = (11, 5);
    let events: Vec<_> = every_event_but_decisions()
        .into_iter()
        .chain(every_decision_event().into_iter().map(Event::Decision))
        .collect();
    let mut timelines = vec![
        timeline("every-event", Some(LossCause::Other), &events),
        timeline("open", None, &events[..3]),
        timeline("cut", None, &events[..1]),
    ];
    let minimal =
        [events[0].clone(), Event::RequestEnded { id: ID, outcome: RequestOutcome::DeadlineExceeded }];
    timelines.extend(every_cause().into_iter().map(|cause| {
        let name = format!("lost-{}", cause.code());
        timeline(&name, Some(cause), &minimal)
    }));
    let mut ring = EventRing::new(8 << 10);
    for (number, event) in events.iter().enumerate() {
        let mut bytes = Vec::new();
        event.encode(&mut bytes);
        ring.push(START + number as u64 * MS, PoolId((number % 2) as u16), &bytes);
    }
    let pages: Vec<_> = ring.pages().collect();
    let workload = faulty_workload();
    write(&header, workload.recorder.ledger(), timelines.iter(), pages.into_iter().rev())
}

fn add_pool(workload: &mut Workload, name: &str, classes: &[ClassInfo]) {
    workload.pool = workload.recorder.register_pool(name, classes);
    for endpoint in 0..5 {
        workload.recorder.set_endpoint_name(
            workload.pool,
            EndpointId(endpoint),
            &format!("{name}-{endpoint}"),
        );
    }
}

/// Records rounds over four healthy endpoints, each followed by other events.
fn run_rounds(workload: &mut Workload, count: u64, mut other: impl FnMut(&mut Workload)) {
    for n in 0..count {
        for endpoint in 0..4 {
            workload.request(0, endpoint, AttemptOutcome::Success, (20 + n % 7) * MS);
        }
        other(workload);
    }
}

/// Returns a workload in which each pool has a fault of its own, so that all findings occur.
fn faulty_workload() -> Workload {
    let usual = [class("read", 100 * MS, 1.0), class("submit", 200 * MS, 10.0)];
    let mut workload = Workload::with_classes(192 << 10, &usual);
    workload.recorder.set_level(Level::Full);
    run_rounds(&mut workload, 5, |_| {});
    let faults = [
        ("silent", AttemptOutcome::TimedOut),
        ("resets", AttemptOutcome::Reset),
        ("errors", AttemptOutcome::Error),
        ("unreachable", AttemptOutcome::ConnectFailed),
        ("full", AttemptOutcome::Rejected),
    ];
    for (name, outcome) in faults {
        add_pool(&mut workload, name, &usual);
        run_rounds(&mut workload, 20, |workload| workload.request(0, 4, outcome, 150 * MS));
        add_pool(&mut workload, &format!("all-{name}"), &usual);
        for n in 0..60 {
            workload.request(0, n % 4, if n % 3 == 0 { outcome } else { AttemptOutcome::Success }, 20 * MS);
        }
    }
    add_pool(&mut workload, "slow", &usual);
    run_rounds(&mut workload, 20, |workload| workload.request(0, 4, AttemptOutcome::Success, 250 * MS));
    add_pool(&mut workload, "slow-to-connect", &usual);
    for n in 0..60 {
        workload.request(0, n % 4, AttemptOutcome::Success, 80 * MS);
    }
    for _ in 0..20 {
        let id = workload.admit(0, "dialled");
        workload.start_attempt(id, 0, 4);
        workload.now += 110 * MS;
        let (attempt, endpoint, outcome) = (AttemptNo(0), EndpointId(4), AttemptOutcome::Success);
        let (duration, connect_time) = (110 * MS, 100 * MS);
        workload.record(Event::AttemptEnded {
            id,
            attempt,
            endpoint,
            outcome,
            duration,
            connect_time,
            connection_idle: None,
        });
        workload.end_request(id, RequestOutcome::Served);
    }
    add_pool(&mut workload, "tight", &[class("read", 100 * MS, 1.0), class("hasty", 5 * MS, 10.0)]);
    for n in 0..60 {
        workload.request(0, n % 4, AttemptOutcome::Success, 20 * MS);
        workload.request(1, n % 4, AttemptOutcome::TimedOut, 20 * MS);
    }
    add_pool(&mut workload, "crowded", &usual);
    run_rounds(&mut workload, 5, |workload| {
        workload.rejected_request(0, RejectionReason::ExpectedWaitTooLong);
        workload.rejected_request(1, RejectionReason::QueueTimeout);
    });
    add_pool(&mut workload, "turns", &usual);
    run_rounds(&mut workload, 5, |workload| workload.rejected_request(1, RejectionReason::KeyOrderTimeout));
    add_pool(&mut workload, "clients", &usual);
    run_rounds(&mut workload, 5, |workload| {
        for outcome in [RequestOutcome::ClientDisconnected, RequestOutcome::BodyFailed] {
            let id = workload.admit(1, "impatient");
            workload.now += 10 * MS;
            workload.end_request(id, outcome);
        }
    });
    add_pool(&mut workload, "other", &usual);
    run_rounds(&mut workload, 5, |workload| {
        let id = workload.admit(1, "called back");
        for (attempt, outcome) in [(0, AttemptOutcome::Reset), (1, AttemptOutcome::NotSent)] {
            workload.start_attempt(id, attempt, u32::from(attempt));
            workload.now += 5 * MS;
            workload.end_attempt(id, attempt, u32::from(attempt), outcome, 5 * MS);
        }
        workload.record(Event::Decision(DecisionEvent::AnsweredWithoutEndpoint {
            id,
            reason: RejectionReason::NoRetry(NoRetryReason::AttemptsExhausted),
            wait_share: 0.0,
        }));
        workload.end_request(id, RequestOutcome::Failed);
        let id = workload.admit(0, "faulty");
        workload.start_attempt(id, 0, 2);
        workload.now += 20 * MS;
        workload.end_attempt(id, 0, 2, AttemptOutcome::Success, 20 * MS);
        workload.end_request(id, RequestOutcome::ServedError);
        let id = workload.admit(0, "out of time");
        workload.start_attempt(id, 0, 2);
        workload.now += 400 * MS;
        workload.end_request(id, RequestOutcome::DeadlineExceeded);
        workload.end_attempt(id, 0, 2, AttemptOutcome::Cancelled, 400 * MS);
    });
    for reason in [ListenerRejection::RequestLimit, ListenerRejection::ConnectionLimit] {
        (0..3).for_each(|_| workload.record(Event::RejectedByListener { class: 0, reason }));
    }
    // Only descriptors for connections from clients run out: for upstream connections, that would be found as the cause of
    // every attempt that was not sent.
    workload.record(Event::ResourceExhausted(ExhaustedResource::DownstreamConnection));
    workload.record(Event::Decision(DecisionEvent::Ejected { endpoint: ENDPOINT, duration: 1_500 * MS }));
    workload.record(Event::Decision(DecisionEvent::LimitChanged {
        endpoint: ENDPOINT,
        from: 1.0,
        to: 2.5,
        reason: LimitChangeReason::ComparedLatency,
    }));
    let id = workload.admit(1, "still open");
    workload.record(Event::Decision(DecisionEvent::Queued { id, queued: 1 }));
    workload
}

fn read_recording(name: &str) -> Recording {
    let recording = Recording::read(&read_fixture(name)).unwrap();
    assert_eq!(recording.damage, None, "{name}");
    recording
}

fn render_timelines(recording: &Recording) -> String {
    let all = recording
        .timelines
        .iter()
        .map(|timeline| pumicehead_flight_recorder::timeline_text::render(&recording.header, timeline));
    all.collect::<Vec<_>>().join("\n")
}

#[test]
fn encoded_recordings_match_the_fixtures() {
    assert_stored_recording("every_event.rec", &every_event_recording());
    let workload = faulty_workload();
    assert_stored_recording(
        "faulty_day.rec",
        &workload.recorder.recording(workload.now, "asked by a signal"),
    );
}

#[test]
fn an_older_recording_decodes_to_the_same_events() {
    let recording = read_recording("every_event.rec");
    let events: Vec<_> = every_event_but_decisions()
        .into_iter()
        .chain(every_decision_event().into_iter().map(Event::Decision))
        .collect();
    let decoded: Vec<_> = recording.records.iter().map(|record| record.event.clone()).collect();
    assert_eq!(decoded, events);
    let causes: Vec<_> = recording.timelines.iter().skip(3).map(|timeline| timeline.cause.unwrap()).collect();
    assert_eq!(causes, every_cause());
}

#[test]
fn exports_of_an_older_recording_match_the_fixtures() {
    let recording = read_recording("every_event.rec");
    assert_stored_text("every_event.otlp.jsonl", &otlp(&recording));
    assert_stored_text("every_event.chrome.json", &chrome(&recording));
}

#[test]
fn texts_of_an_older_recording_match_the_fixtures() {
    assert_stored_text("every_event.stories.txt", &render_timelines(&read_recording("every_event.rec")));
    let recording = read_recording("faulty_day.rec");
    let breakdown = Breakdown::of_recording(&recording, 0, Nanos::MAX).unwrap();
    assert_stored_text("faulty_day.breakdown.txt", &breakdown.to_string());
}

#[test]
fn scraped_metrics_keep_their_names_and_labels() {
    let mut recorder = Recorder::new("n0", START, 1 << 20, 1);
    let pool = recorder.register_pool("web", &[class("read", 100 * MS, 1.0)]);
    let mut at = START;
    for (number, event) in every_event_but_decisions().into_iter().enumerate() {
        at += 10 * MS;
        if let Event::RequestEnded { outcome, .. } = event {
            let id = RequestId(100 + number as u32);
            let name = BoundedName::new(&format!("r{number}"));
            let (tenant, client_timeout, revision) = (None, SECOND, None);
            recorder.record(
                at,
                pool,
                &Event::RequestAdmitted {
                    id,
                    class: 0,
                    tenant,
                    client_timeout,
                    upload_time: 0,
                    name,
                    revision,
                },
            );
            at += 20 * MS;
            recorder.record(at, pool, &Event::RequestEnded { id, outcome });
        } else {
            recorder.record(at, pool, &event);
        }
    }
    recorder.metrics().gauge("pumicehead_requests_open", 2.0);
    assert_stored_text("metrics.txt", &recorder.metrics_text());
}
