//! Recordings and their exports as files hold them. The fixtures were written by version 0.2.0, before its types were
//! renamed, and must stay readable: a name that changes in the code must not change a stored byte.

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
const WRITTEN_BY: &str = "0.2.0";

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn stored(name: &str) -> Vec<u8> {
    fs::read(fixture(name)).unwrap()
}

/// Compares a whole text with a stored one.
fn assert_stored_text(name: &str, text: &str) {
    let expected = String::from_utf8(stored(name)).unwrap();
    for (line, (one, other)) in text.lines().zip(expected.lines()).enumerate() {
        assert_eq!(one, other, "{name}, line {}", line + 1);
    }
    assert_eq!(text, expected, "{name}");
}

/// Compares all bytes of a recording with a stored one; the head names the program's version, which may be a later one.
fn assert_stored_recording(name: &str, bytes: &[u8]) {
    let (written, expected) = (frames(bytes), frames(&stored(name)));
    assert_eq!(bytes[..10], stored(name)[..10], "{name}: magic and version");
    assert_eq!(written.len(), expected.len(), "{name}: frames");
    for (number, (one, other)) in written.iter().zip(&expected).enumerate() {
        assert_eq!(one, other, "{name}, frame {number}");
    }
}

/// The frames behind the magic and the version, each with its kind: one byte, length and checksum in four each, contents.
fn frames(bytes: &[u8]) -> Vec<(u8, Vec<u8>)> {
    const HEAD: u8 = 1;
    let (mut rest, mut all) = (&bytes[10..], Vec::new());
    while let [kind, length @ ..] = rest {
        let length = u32::from_le_bytes(length[..4].try_into().unwrap()) as usize;
        let mut contents = rest[9..9 + length].to_vec();
        if *kind == HEAD {
            let now = format!("\"program\":\"{}\"", env!("CARGO_PKG_VERSION"));
            let then = format!("\"program\":\"{WRITTEN_BY}\"");
            contents = String::from_utf8(contents).unwrap().replace(&now, &then).into_bytes();
        }
        all.push((*kind, contents));
        rest = &rest[9 + length..];
    }
    all
}

const ID: RequestId = RequestId(7);
const SERVER: EndpointId = EndpointId(3);
const ATTEMPT: AttemptNo = AttemptNo(1);

/// Every note, with each value that it may hold of a fixed set.
fn every_note() -> Vec<DecisionEvent> {
    let (id, server) = (ID, SERVER);
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
    let mut all = vec![
        DecisionEvent::Classified { id, tier: 3, priority_weight: 1.5, objective_deadline: START + 100 * MS },
        DecisionEvent::Queued { id, queued: 7 },
        DecisionEvent::EndpointSelected {
            id,
            endpoint: server,
            score: 0.1,
            runner_up: Some((EndpointId(4), 2.0)),
            in_flight: 9,
            limit: 12.25,
            exclusions: hurdles,
        },
        DecisionEvent::EndpointSelected {
            id,
            endpoint: server,
            score: 0.1,
            runner_up: None,
            in_flight: 0,
            limit: 1.0,
            exclusions: ExclusionReasons::default(),
        },
        DecisionEvent::NoEndpointAvailable { id, exclusions: hurdles },
        DecisionEvent::NoEndpointAvailable { id, exclusions: ExclusionReasons::default() },
        DecisionEvent::LimitChanged {
            endpoint: server,
            from: 1.0,
            to: 2.5,
            reason: LimitChangeReason::ComparedLatency,
        },
        DecisionEvent::LimitChanged {
            endpoint: server,
            from: 2.5,
            to: 1.0,
            reason: LimitChangeReason::Failure,
        },
        DecisionEvent::AllLimitsChanged { factor: 0.5, utilization: 2.0 },
        DecisionEvent::Ejected { endpoint: server, duration: 1_500 * MS },
        DecisionEvent::Reinstated { endpoint: server },
        DecisionEvent::OutlierRatio { outliers: 1, total: 8, panic_mode: false },
        DecisionEvent::OutlierRatio { outliers: 7, total: 8, panic_mode: true },
        DecisionEvent::OverloadStarted { queued: 30 },
        DecisionEvent::OverloadEnded,
        DecisionEvent::WatchLost,
        DecisionEvent::WatchRestored,
    ];
    all.extend(rules.map(|rule| DecisionEvent::AnsweredWithoutEndpoint {
        id,
        reason: rule,
        wait_share: 0.75,
    }));
    all.push(DecisionEvent::AnsweredWithoutEndpoint {
        id,
        reason: RejectionReason::ExpectedWaitTooLong,
        wait_share: f32::INFINITY,
    });
    all
}

/// Every event but notes, with each value that it may hold of a fixed set.
fn every_event() -> Vec<Event> {
    let (id, server, attempt) = (ID, SERVER, ATTEMPT);
    let asked = |tenant, sending, name: &str, revision| Event::RequestAdmitted {
        id,
        class: 1,
        tenant,
        client_timeout: 2 * SECOND,
        upload_time: sending,
        name: BoundedName::new(name),
        revision,
    };
    let long = "a name that is longer than what is kept of names here, by some";
    let mut all = vec![
        asked(Some(70_000), 2 * MS, "req-7", Some(4)),
        asked(None, 0, long, None),
        Event::AttemptStarted { id, attempt, endpoint: server, timeout: Some(80 * MS) },
        Event::AttemptStarted { id, attempt: AttemptNo(2), endpoint: server, timeout: None },
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
    let outcomes = (0..8).filter_map(outcome_from_code);
    all.extend(outcomes.enumerate().map(|(number, outcome)| Event::AttemptEnded {
        id,
        attempt: AttemptNo(number as u8),
        endpoint: server,
        outcome,
        duration: 30 * MS,
        connect_time: if number % 2 == 0 { 0 } else { 2 * MS },
        connection_idle: (number % 3 == 0).then_some(7 * SECOND),
    }));
    let hows = [
        RequestOutcome::Served,
        RequestOutcome::ServedError,
        RequestOutcome::Rejected,
        RequestOutcome::Failed,
        RequestOutcome::DeadlineExceeded,
        RequestOutcome::BodyFailed,
        RequestOutcome::ClientDisconnected,
    ];
    all.extend(hows.map(|how| Event::RequestEnded { id, outcome: how }));
    let listed = [EndpointState::Ready, EndpointState::Draining, EndpointState::Removed];
    all.extend(listed.map(|listed| Event::EndpointStateChanged { endpoint: server, state: listed }));
    all
}

/// Every cause of a loss.
fn every_cause() -> Vec<LossCause> {
    let places = [
        RequestPhase::Upload,
        RequestPhase::Queue,
        RequestPhase::EarlierAttempts,
        RequestPhase::Connect,
        RequestPhase::Endpoint,
    ];
    let mut all = vec![LossCause::QueueTooLong, LossCause::QueueTimeout, LossCause::KeyOrderTimeout];
    all.extend((0..8).map(LossCause::AttemptFailed));
    all.extend(places.map(LossCause::ObjectiveMissed));
    all.extend(places.map(LossCause::DeadlineExceeded));
    all.extend(places.map(LossCause::ClientDisconnected));
    all.extend([
        LossCause::BodyFailed,
        LossCause::RejectedByListener(false),
        LossCause::RejectedByListener(true),
        LossCause::Other,
    ]);
    all
}

fn story(name: &str, cause: Option<LossCause>, events: &[Event]) -> RequestTimeline {
    let mut last = START + SECOND;
    let mut page = last.to_le_bytes().to_vec();
    let mut at = last;
    for event in events {
        let mut bytes = Vec::new();
        event.encode(&mut bytes);
        at += MS;
        append_record(&mut page, &mut last, at, PoolId(0), &bytes);
    }
    let cut = name.ends_with("cut");
    RequestTimeline {
        pool: PoolId(0),
        class: 1,
        name: BoundedName::new(name),
        ended_at: at,
        cause,
        encoded_events: page.into(),
        truncated: cut,
    }
}

/// A recording with every event, every note and every cause in it, put together by hand.
fn every_event_recording() -> Vec<u8> {
    let class = |name: &str, worth| ClassHeader {
        name: name.into(),
        latency_objective_ns: 100 * MS,
        deadline_ns: SECOND,
        priority_weight: worth,
        late_weight: 0.3,
    };
    let mut head = RecordingHeader::new("n\"0", START);
    head.at = START + 60 * SECOND;
    head.reason = "asked by a call".into();
    head.pools = vec![
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
    head.tenants = [(70_000, "late"), (3, "early")].map(|(id, name)| (id, name.into())).into_iter().collect();
    (head.overwritten_events, head.untracked_requests) = (11, 5);
    let events: Vec<_> =
        every_event().into_iter().chain(every_note().into_iter().map(Event::Decision)).collect();
    let mut stories = vec![
        story("every-event", Some(LossCause::Other), &events),
        story("open", None, &events[..3]),
        story("cut", None, &events[..1]),
    ];
    let some = [events[0].clone(), Event::RequestEnded { id: ID, outcome: RequestOutcome::DeadlineExceeded }];
    stories.extend(every_cause().into_iter().map(|cause| {
        let name = format!("lost-{}", cause.code());
        story(&name, Some(cause), &some)
    }));
    let mut ring = EventRing::new(8 << 10);
    for (number, event) in events.iter().enumerate() {
        let mut bytes = Vec::new();
        event.encode(&mut bytes);
        ring.push(START + number as u64 * MS, PoolId((number % 2) as u16), &bytes);
    }
    let pages: Vec<_> = ring.pages().collect();
    let day = faulty_day();
    write(&head, day.recorder.ledger(), stories.iter(), pages.into_iter().rev())
}

fn next_pool(day: &mut Day, name: &str, classes: &[ClassInfo]) {
    day.pool = day.recorder.register_pool(name, classes);
    for server in 0..5 {
        day.recorder.set_endpoint_name(day.pool, EndpointId(server), &format!("{name}-{server}"));
    }
}

/// Rounds over four servers that answer well, each followed by something else.
fn rounds(day: &mut Day, count: u64, mut other: impl FnMut(&mut Day)) {
    for n in 0..count {
        for server in 0..4 {
            day.request(0, server, AttemptOutcome::Success, (20 + n % 7) * MS);
        }
        other(day);
    }
}

/// A day on which each pool has a fault of its own: every finding there is.
fn faulty_day() -> Day {
    let usual = [class("read", 100 * MS, 1.0), class("submit", 200 * MS, 10.0)];
    let mut day = Day::of(192 << 10, &usual);
    day.recorder.set_level(Level::Full);
    rounds(&mut day, 5, |_| {});
    let at_one = [
        ("silent", AttemptOutcome::TimedOut),
        ("resets", AttemptOutcome::Reset),
        ("errors", AttemptOutcome::Error),
        ("unreachable", AttemptOutcome::ConnectFailed),
        ("full", AttemptOutcome::Rejected),
    ];
    for (name, outcome) in at_one {
        next_pool(&mut day, name, &usual);
        rounds(&mut day, 20, |day| day.request(0, 4, outcome, 150 * MS));
        next_pool(&mut day, &format!("all-{name}"), &usual);
        for n in 0..60 {
            day.request(0, n % 4, if n % 3 == 0 { outcome } else { AttemptOutcome::Success }, 20 * MS);
        }
    }
    next_pool(&mut day, "slow", &usual);
    rounds(&mut day, 20, |day| day.request(0, 4, AttemptOutcome::Success, 250 * MS));
    next_pool(&mut day, "slow-to-connect", &usual);
    for n in 0..60 {
        day.request(0, n % 4, AttemptOutcome::Success, 80 * MS);
    }
    for _ in 0..20 {
        let id = day.admit(0, "dialled");
        day.start_attempt(id, 0, 4);
        day.now += 110 * MS;
        let (attempt, server, outcome) = (AttemptNo(0), EndpointId(4), AttemptOutcome::Success);
        let (took, dial) = (110 * MS, 100 * MS);
        day.record(Event::AttemptEnded {
            id,
            attempt,
            endpoint: server,
            outcome,
            duration: took,
            connect_time: dial,
            connection_idle: None,
        });
        day.end_request(id, RequestOutcome::Served);
    }
    next_pool(&mut day, "tight", &[class("read", 100 * MS, 1.0), class("hasty", 5 * MS, 10.0)]);
    for n in 0..60 {
        day.request(0, n % 4, AttemptOutcome::Success, 20 * MS);
        day.request(1, n % 4, AttemptOutcome::TimedOut, 20 * MS);
    }
    next_pool(&mut day, "crowded", &usual);
    rounds(&mut day, 5, |day| {
        day.rejected_request(0, RejectionReason::ExpectedWaitTooLong);
        day.rejected_request(1, RejectionReason::QueueTimeout);
    });
    next_pool(&mut day, "turns", &usual);
    rounds(&mut day, 5, |day| day.rejected_request(1, RejectionReason::KeyOrderTimeout));
    next_pool(&mut day, "clients", &usual);
    rounds(&mut day, 5, |day| {
        for how in [RequestOutcome::ClientDisconnected, RequestOutcome::BodyFailed] {
            let id = day.admit(1, "impatient");
            day.now += 10 * MS;
            day.end_request(id, how);
        }
    });
    next_pool(&mut day, "other", &usual);
    rounds(&mut day, 5, |day| {
        let id = day.admit(1, "called back");
        for (attempt, outcome) in [(0, AttemptOutcome::Reset), (1, AttemptOutcome::NotSent)] {
            day.start_attempt(id, attempt, u32::from(attempt));
            day.now += 5 * MS;
            day.end_attempt(id, attempt, u32::from(attempt), outcome, 5 * MS);
        }
        day.record(Event::Decision(DecisionEvent::AnsweredWithoutEndpoint {
            id,
            reason: RejectionReason::NoRetry(NoRetryReason::AttemptsExhausted),
            wait_share: 0.0,
        }));
        day.end_request(id, RequestOutcome::Failed);
        let id = day.admit(0, "faulty");
        day.start_attempt(id, 0, 2);
        day.now += 20 * MS;
        day.end_attempt(id, 0, 2, AttemptOutcome::Success, 20 * MS);
        day.end_request(id, RequestOutcome::ServedError);
        let id = day.admit(0, "out of time");
        day.start_attempt(id, 0, 2);
        day.now += 400 * MS;
        day.end_request(id, RequestOutcome::DeadlineExceeded);
        day.end_attempt(id, 0, 2, AttemptOutcome::Cancelled, 400 * MS);
    });
    for why in [ListenerRejection::RequestLimit, ListenerRejection::ConnectionLimit] {
        (0..3).for_each(|_| day.record(Event::RejectedByListener { class: 0, reason: why }));
    }
    // The node's shortage of descriptors would be put down as the cause of every attempt that was not sent.
    day.record(Event::ResourceExhausted(ExhaustedResource::DownstreamConnection));
    day.record(Event::Decision(DecisionEvent::Ejected { endpoint: SERVER, duration: 1_500 * MS }));
    day.record(Event::Decision(DecisionEvent::LimitChanged {
        endpoint: SERVER,
        from: 1.0,
        to: 2.5,
        reason: LimitChangeReason::ComparedLatency,
    }));
    let id = day.admit(1, "still open");
    day.record(Event::Decision(DecisionEvent::Queued { id, queued: 1 }));
    day
}

fn read(name: &str) -> Recording {
    let dump = Recording::read(&stored(name)).unwrap();
    assert_eq!(dump.damage, None, "{name}");
    dump
}

fn told(dump: &Recording) -> String {
    let all = dump
        .timelines
        .iter()
        .map(|story| pumicehead_flight_recorder::timeline_text::render(&dump.header, story));
    all.collect::<Vec<_>>().join("\n")
}

#[test]
fn recordings_are_written_as_before() {
    assert_stored_recording("every_event.rec", &every_event_recording());
    let day = faulty_day();
    assert_stored_recording("faulty_day.rec", &day.recorder.recording(day.now, "asked by a signal"));
}

#[test]
fn an_older_recording_holds_the_same_events() {
    let dump = read("every_event.rec");
    let events: Vec<_> =
        every_event().into_iter().chain(every_note().into_iter().map(Event::Decision)).collect();
    let read: Vec<_> = dump.records.iter().map(|record| record.event.clone()).collect();
    assert_eq!(read, events);
    let causes: Vec<_> = dump.timelines.iter().skip(3).map(|story| story.cause.unwrap()).collect();
    assert_eq!(causes, every_cause());
}

#[test]
fn an_older_recording_is_exported_as_before() {
    let dump = read("every_event.rec");
    assert_stored_text("every_event.otlp.jsonl", &otlp(&dump));
    assert_stored_text("every_event.chrome.json", &chrome(&dump));
}

#[test]
fn an_older_recording_is_rendered_in_the_same_sentences() {
    assert_stored_text("every_event.stories.txt", &told(&read("every_event.rec")));
    let dump = read("faulty_day.rec");
    let breakdown = Breakdown::of_recording(&dump, 0, Nanos::MAX).unwrap();
    assert_stored_text("faulty_day.breakdown.txt", &breakdown.to_string());
}

#[test]
fn scraped_metrics_keep_their_names_and_labels() {
    let mut recorder = Recorder::new("n0", START, 1 << 20, 1);
    let pool = recorder.register_pool("web", &[class("read", 100 * MS, 1.0)]);
    let mut at = START;
    for (number, event) in every_event().into_iter().enumerate() {
        at += 10 * MS;
        if let Event::RequestEnded { outcome, .. } = event {
            let id = RequestId(100 + number as u32);
            let name = BoundedName::new(&format!("r{number}"));
            let (tenant, left, revision) = (None, SECOND, None);
            recorder.record(
                at,
                pool,
                &Event::RequestAdmitted {
                    id,
                    class: 0,
                    tenant,
                    client_timeout: left,
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
