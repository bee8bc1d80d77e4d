//! Each fault by its name, on days that have it and nothing else.

mod common;

use common::*;
use pumicehead_flight_recorder::event::{Event, ExhaustedResource, ListenerRejection, RequestOutcome};
use pumicehead_flight_recorder::findings::{Finding, Subject, Symptom, find};
use pumicehead_flight_recorder::recording::Recording;
use pumicehead_policy::decision_event::RejectionReason;
use pumicehead_policy::*;

fn first(day: &Day) -> Finding {
    let dump = Recording::read(&day.recorder.recording(day.now, "test")).unwrap();
    find(&dump.header, dump.ledger.as_ref().unwrap(), 0, Nanos::MAX).remove(0)
}

/// Ten calm rounds over four servers, with a fifth of another kind.
fn with_fifth(mut odd: impl FnMut(&mut Day, u16)) -> Day {
    let mut day = Day::new(256 << 10);
    for n in 0..200u32 {
        let class = (n % 2) as u16;
        for server in 0..4 {
            day.request(class, server, AttemptOutcome::Success, (20 + u64::from(n % 7)) * MS);
        }
        odd(&mut day, class);
    }
    day
}

#[test]
fn a_faulty_endpoint_is_found_with_its_symptom() {
    let faults = [
        (AttemptOutcome::TimedOut, Symptom::Unresponsive),
        (AttemptOutcome::Reset, Symptom::ConnectionResets),
        (AttemptOutcome::Error, Symptom::ErrorResponses),
        (AttemptOutcome::ConnectFailed, Symptom::Unreachable),
        (AttemptOutcome::Rejected, Symptom::RejectsRequests),
    ];
    for (outcome, matter) in faults {
        let day = with_fifth(|day, class| day.request(class, 4, outcome, 150 * MS));
        let found = first(&day);
        assert_eq!((found.subject, found.symptom), (Subject::Endpoint(day.pool, 4), matter), "{found:?}");
        assert!(
            found.text.contains("s-4") && found.text.contains("100.0% of its attempts, 0.0%"),
            "{}",
            found.text
        );
    }
    let day = with_fifth(|day, class| day.request(class, 4, AttemptOutcome::Success, 250 * MS));
    assert_eq!(
        (first(&day).subject, first(&day).symptom),
        (Subject::Endpoint(day.pool, 4), Symptom::SlowResponses)
    );
}

/// What waits behind a silent server is put down to it; what waits behind busy ones is not.
#[test]
fn queue_losses_are_attributed_to_endpoints_that_waste_concurrency() {
    let mut day = with_fifth(|day, class| {
        day.request(class, 4, AttemptOutcome::TimedOut, 400 * MS);
        day.rejected_request(class, RejectionReason::ExpectedWaitTooLong);
        day.rejected_request(class, RejectionReason::QueueTimeout);
    });
    let found = first(&day);
    assert_eq!((found.subject, found.symptom), (Subject::Endpoint(day.pool, 4), Symptom::Unresponsive));
    assert!(found.requests >= 600, "refusals are in it: {found:?}");
    day = with_fifth(|day, class| {
        day.request(class, 0, AttemptOutcome::Success, 22 * MS);
        day.rejected_request(class, RejectionReason::ExpectedWaitTooLong);
    });
    assert_eq!((first(&day).subject, first(&day).symptom), (Subject::Pool(day.pool), Symptom::Overloaded));
}

#[test]
fn too_short_an_objective_is_attributed_to_the_class() {
    let classes = [class("read", 100 * MS, 1.0), class("hasty", 5 * MS, 10.0)];
    let mut day = Day::of(256 << 10, &classes);
    for n in 0..200 {
        day.request(0, n % 4, AttemptOutcome::Success, 20 * MS);
        day.request(1, n % 4, AttemptOutcome::TimedOut, 20 * MS);
    }
    assert_eq!(
        (first(&day).subject, first(&day).symptom),
        (Subject::Class(day.pool, 1), Symptom::ObjectiveTooShort)
    );
    let mut day = Day::of(256 << 10, &classes);
    for n in 0..200 {
        day.request(0, n % 4, AttemptOutcome::Success, 20 * MS);
        day.request(1, n % 4, AttemptOutcome::Success, 20 * MS);
    }
    assert_eq!(
        (first(&day).subject, first(&day).symptom),
        (Subject::Class(day.pool, 1), Symptom::ObjectiveTooShort)
    );
}

#[test]
fn descriptor_exhaustion_is_attributed_to_the_node() {
    let mut day = with_fifth(|day, class| {
        day.record(Event::ResourceExhausted(ExhaustedResource::DownstreamConnection));
        day.record(Event::RejectedByListener { class, reason: ListenerRejection::ConnectionLimit });
    });
    assert_eq!((first(&day).subject, first(&day).symptom), (Subject::Node, Symptom::DescriptorsExhausted));
    day = with_fifth(|day, class| {
        day.record(Event::ResourceExhausted(ExhaustedResource::UpstreamConnection));
        day.request(class, 0, AttemptOutcome::NotSent, 0);
    });
    assert_eq!((first(&day).subject, first(&day).symptom), (Subject::Node, Symptom::DescriptorsExhausted));
}

#[test]
fn common_failures_are_attributed_to_the_pool() {
    let mut day = Day::new(256 << 10);
    for n in 0..400 {
        let outcome = if n % 3 == 0 { AttemptOutcome::Reset } else { AttemptOutcome::Success };
        day.request(0, n % 4, outcome, 20 * MS);
    }
    assert_eq!(
        (first(&day).subject, first(&day).symptom),
        (Subject::Pool(day.pool), Symptom::ConnectionResets)
    );
}

#[test]
fn client_disconnects_are_distinguished_from_slow_endpoints() {
    let mut day = Day::new(256 << 10);
    for _ in 0..50 {
        let id = day.admit(0, "x");
        day.now += 10 * MS;
        day.end_request(id, RequestOutcome::ClientDisconnected);
        day.request(0, 1, AttemptOutcome::Success, 20 * MS);
    }
    assert_eq!(
        (first(&day).subject, first(&day).symptom),
        (Subject::Clients(day.pool), Symptom::ClientDisconnects)
    );
}
