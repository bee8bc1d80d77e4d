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
    find(&dump.head, dump.ledger.as_ref().unwrap(), 0, Nanos::MAX).remove(0)
}

/// Ten calm rounds over four servers, with a fifth of another kind.
fn with_fifth(mut odd: impl FnMut(&mut Day, u16)) -> Day {
    let mut day = Day::new(256 << 10);
    for n in 0..200u32 {
        let class = (n % 2) as u16;
        for server in 0..4 {
            day.one(class, server, AttemptOutcome::Success, (20 + u64::from(n % 7)) * MS);
        }
        odd(&mut day, class);
    }
    day
}

#[test]
fn a_server_at_fault_is_named_with_its_fault() {
    let faults = [
        (AttemptOutcome::TimedOut, Symptom::Unresponsive),
        (AttemptOutcome::Reset, Symptom::ConnectionResets),
        (AttemptOutcome::Error, Symptom::ErrorResponses),
        (AttemptOutcome::ConnectFailed, Symptom::Unreachable),
        (AttemptOutcome::Rejected, Symptom::RejectsRequests),
    ];
    for (outcome, matter) in faults {
        let day = with_fifth(|day, class| day.one(class, 4, outcome, 150 * MS));
        let found = first(&day);
        assert_eq!((found.subject, found.symptom), (Subject::Endpoint(day.pool, 4), matter), "{found:?}");
        assert!(
            found.text.contains("s-4") && found.text.contains("100.0% of its attempts, 0.0%"),
            "{}",
            found.text
        );
    }
    let day = with_fifth(|day, class| day.one(class, 4, AttemptOutcome::Success, 250 * MS));
    assert_eq!(
        (first(&day).subject, first(&day).symptom),
        (Subject::Endpoint(day.pool, 4), Symptom::SlowResponses)
    );
}

/// What waits behind a silent server is put down to it; what waits behind busy ones is not.
#[test]
fn a_queue_is_put_down_to_whoever_took_the_places() {
    let mut day = with_fifth(|day, class| {
        day.one(class, 4, AttemptOutcome::TimedOut, 400 * MS);
        day.refused(class, RejectionReason::QueueTooLong);
        day.refused(class, RejectionReason::QueueTimeout);
    });
    let found = first(&day);
    assert_eq!((found.subject, found.symptom), (Subject::Endpoint(day.pool, 4), Symptom::Unresponsive));
    assert!(found.requests >= 600, "refusals are in it: {found:?}");
    day = with_fifth(|day, class| {
        day.one(class, 0, AttemptOutcome::Success, 22 * MS);
        day.refused(class, RejectionReason::QueueTooLong);
    });
    assert_eq!((first(&day).subject, first(&day).symptom), (Subject::Pool(day.pool), Symptom::Overloaded));
}

#[test]
fn a_class_that_states_too_short_a_time_is_named_and_no_server() {
    let classes = [class("read", 100 * MS, 1.0), class("hasty", 5 * MS, 10.0)];
    let mut day = Day::of(256 << 10, &classes);
    for n in 0..200 {
        day.one(0, n % 4, AttemptOutcome::Success, 20 * MS);
        day.one(1, n % 4, AttemptOutcome::TimedOut, 20 * MS);
    }
    assert_eq!(
        (first(&day).subject, first(&day).symptom),
        (Subject::Class(day.pool, 1), Symptom::ObjectiveTooShort)
    );
    let mut day = Day::of(256 << 10, &classes);
    for n in 0..200 {
        day.one(0, n % 4, AttemptOutcome::Success, 20 * MS);
        day.one(1, n % 4, AttemptOutcome::Success, 20 * MS);
    }
    assert_eq!(
        (first(&day).subject, first(&day).symptom),
        (Subject::Class(day.pool, 1), Symptom::ObjectiveTooShort)
    );
}

#[test]
fn a_node_short_of_descriptors_is_named() {
    let mut day = with_fifth(|day, class| {
        day.tell(Event::ResourceExhausted(ExhaustedResource::DownstreamConnection));
        day.tell(Event::RejectedByListener { class, reason: ListenerRejection::ConnectionLimit });
    });
    assert_eq!((first(&day).subject, first(&day).symptom), (Subject::Node, Symptom::DescriptorsExhausted));
    day = with_fifth(|day, class| {
        day.tell(Event::ResourceExhausted(ExhaustedResource::UpstreamConnection));
        day.one(class, 0, AttemptOutcome::NotSent, 0);
    });
    assert_eq!((first(&day).subject, first(&day).symptom), (Subject::Node, Symptom::DescriptorsExhausted));
}

#[test]
fn faults_of_all_servers_are_no_single_ones() {
    let mut day = Day::new(256 << 10);
    for n in 0..400 {
        let outcome = if n % 3 == 0 { AttemptOutcome::Reset } else { AttemptOutcome::Success };
        day.one(0, n % 4, outcome, 20 * MS);
    }
    assert_eq!(
        (first(&day).subject, first(&day).symptom),
        (Subject::Pool(day.pool), Symptom::ConnectionResets)
    );
}

#[test]
fn clients_that_leave_are_told_from_servers_that_are_late() {
    let mut day = Day::new(256 << 10);
    for _ in 0..50 {
        let id = day.ask(0, "x");
        day.now += 10 * MS;
        day.over(id, RequestOutcome::ClientDisconnected);
        day.one(0, 1, AttemptOutcome::Success, 20 * MS);
    }
    assert_eq!(
        (first(&day).subject, first(&day).symptom),
        (Subject::Clients(day.pool), Symptom::ClientDisconnects)
    );
}
