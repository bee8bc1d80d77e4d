//! Compatibility of stored state, log lines and load reports. The fixtures were written by version 0.2.0,
//! before the types were renamed, and must stay readable: a new process reads the state that an old one has
//! learned.

use std::fs;
use std::path::{Path, PathBuf};

use pumicehead_policy::WarmState;
use pumicehead_policy::decision_event::{
    DecisionEvent, ExclusionReasons, LimitChangeReason, NoRetryReason, RateLimitedLog, RejectionReason,
};
use pumicehead_policy::load_reports::{PeerReports, encode};
use pumicehead_policy::{EndpointId, RequestId, SECOND};

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

#[test]
fn warm_state_of_version_0_2_0_is_read_and_written_unchanged() {
    let text = fs::read_to_string(fixture("knowledge.json")).unwrap();
    let warm_state: WarmState = serde_json::from_str(&text).unwrap();
    assert_eq!(serde_json::to_string(&warm_state).unwrap() + "\n", text);
}

/// Returns every kind of event, with each of its values from a fixed set.
fn every_event() -> Vec<DecisionEvent> {
    let (id, endpoint) = (RequestId(7), EndpointId(3));
    let exclusions = ExclusionReasons([1, 2, 3, 4, 255]);
    let mut all = vec![
        DecisionEvent::Classified {
            id,
            tier: 3,
            priority_weight: 1.5,
            objective_deadline: 1_700_000_000_100_000_000,
        },
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
        DecisionEvent::LimitChanged {
            endpoint,
            from: 1.0,
            to: 2.5,
            reason: LimitChangeReason::ComparedLatency,
        },
        DecisionEvent::LimitChanged { endpoint, from: 2.5, to: 1.0, reason: LimitChangeReason::Failure },
        DecisionEvent::AllLimitsChanged { factor: 0.5, utilization: 2.0 },
        DecisionEvent::Ejected { endpoint, duration: 1_500_000_000 },
        DecisionEvent::Reinstated { endpoint },
        DecisionEvent::OutlierRatio { outliers: 1, total: 8, panic_mode: false },
        DecisionEvent::OutlierRatio { outliers: 7, total: 8, panic_mode: true },
        DecisionEvent::OverloadStarted { queued: 30 },
        DecisionEvent::OverloadEnded,
        DecisionEvent::WatchLost,
        DecisionEvent::WatchRestored,
    ];
    let reasons = [
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
    all.extend(reasons.map(|reason| DecisionEvent::AnsweredWithoutEndpoint { id, reason, wait_share: 0.75 }));
    all
}

#[test]
fn logged_events_have_fixed_texts_and_others_are_never_logged() {
    let lines: Vec<String> =
        every_event().iter().filter_map(|event| RateLimitedLog::default().line(event, SECOND)).collect();
    let expected = fs::read_to_string(fixture("logged_events.txt")).unwrap();
    assert_eq!(lines, expected.lines().collect::<Vec<_>>());
}

/// The encoding of a load report between nodes is fixed.
#[test]
fn load_reports_have_a_fixed_encoding() {
    let in_flight = [(EndpointId(0x0312_4a07), 2), (EndpointId(9), 0), (EndpointId(1), 300)];
    let bytes = [1, 200, 0x07, 0x4a, 0x12, 0x03, 2, 1, 0, 0, 0, 255];
    assert_eq!(encode(200, in_flight), bytes);
    let mut peers = PeerReports::default();
    peers.record(7, &bytes, 5);
    assert_eq!(
        (peers.in_flight(EndpointId(0x0312_4a07)), peers.in_flight(EndpointId(1)), peers.reporting_peers()),
        (2, 255, 1)
    );
}
