//! Each fault is found, in workloads that have this fault only.

mod common;

use common::*;
use pumicehead_flight_recorder::event::{Event, ExhaustedResource, ListenerRejection, RequestOutcome};
use pumicehead_flight_recorder::findings::{Finding, Subject, Symptom, find};
use pumicehead_flight_recorder::recording::Recording;
use pumicehead_policy::decision_event::RejectionReason;
use pumicehead_policy::*;

fn top_finding(workload: &Workload) -> Finding {
    let recording = Recording::read(&workload.recorder.recording(workload.now, "test")).unwrap();
    find(&recording.header, recording.ledger.as_ref().unwrap(), 0, Nanos::MAX).remove(0)
}

/// 200 rounds over four healthy endpoints, each followed by other requests, such as some to a faulty fifth endpoint.
fn with_fifth_endpoint(mut run_fifth: impl FnMut(&mut Workload, u16)) -> Workload {
    let mut workload = Workload::new(256 << 10);
    for n in 0..200u32 {
        let class = (n % 2) as u16;
        for endpoint in 0..4 {
            workload.request(class, endpoint, AttemptOutcome::Success, (20 + u64::from(n % 7)) * MS);
        }
        run_fifth(&mut workload, class);
    }
    workload
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
    for (outcome, symptom) in faults {
        let workload = with_fifth_endpoint(|workload, class| workload.request(class, 4, outcome, 150 * MS));
        let found = top_finding(&workload);
        assert_eq!(
            (found.subject, found.symptom),
            (Subject::Endpoint(workload.pool, 4), symptom),
            "{found:?}"
        );
        assert!(
            found.text.contains("s-4") && found.text.contains("100.0% of its attempts, 0.0%"),
            "{}",
            found.text
        );
    }
    let workload =
        with_fifth_endpoint(|workload, class| workload.request(class, 4, AttemptOutcome::Success, 250 * MS));
    assert_eq!(
        (top_finding(&workload).subject, top_finding(&workload).symptom),
        (Subject::Endpoint(workload.pool, 4), Symptom::SlowResponses)
    );
}

/// Losses in the queue are attributed to an unresponsive endpoint that wastes concurrency; without one, to the pool.
#[test]
fn queue_losses_are_attributed_to_endpoints_that_waste_concurrency() {
    let mut workload = with_fifth_endpoint(|workload, class| {
        workload.request(class, 4, AttemptOutcome::TimedOut, 400 * MS);
        workload.rejected_request(class, RejectionReason::ExpectedWaitTooLong);
        workload.rejected_request(class, RejectionReason::QueueTimeout);
    });
    let found = top_finding(&workload);
    assert_eq!((found.subject, found.symptom), (Subject::Endpoint(workload.pool, 4), Symptom::Unresponsive));
    assert!(found.requests >= 600, "rejected requests are included: {found:?}");
    workload = with_fifth_endpoint(|workload, class| {
        workload.request(class, 0, AttemptOutcome::Success, 22 * MS);
        workload.rejected_request(class, RejectionReason::ExpectedWaitTooLong);
    });
    assert_eq!(
        (top_finding(&workload).subject, top_finding(&workload).symptom),
        (Subject::Pool(workload.pool), Symptom::Overloaded)
    );
}

#[test]
fn too_short_an_objective_is_attributed_to_the_class() {
    let classes = [class("read", 100 * MS, 1.0), class("hasty", 5 * MS, 10.0)];
    let mut workload = Workload::with_classes(256 << 10, &classes);
    for n in 0..200 {
        workload.request(0, n % 4, AttemptOutcome::Success, 20 * MS);
        workload.request(1, n % 4, AttemptOutcome::TimedOut, 20 * MS);
    }
    assert_eq!(
        (top_finding(&workload).subject, top_finding(&workload).symptom),
        (Subject::Class(workload.pool, 1), Symptom::ObjectiveTooShort)
    );
    let mut workload = Workload::with_classes(256 << 10, &classes);
    for n in 0..200 {
        workload.request(0, n % 4, AttemptOutcome::Success, 20 * MS);
        workload.request(1, n % 4, AttemptOutcome::Success, 20 * MS);
    }
    assert_eq!(
        (top_finding(&workload).subject, top_finding(&workload).symptom),
        (Subject::Class(workload.pool, 1), Symptom::ObjectiveTooShort)
    );
}

#[test]
fn descriptor_exhaustion_is_attributed_to_the_node() {
    let mut workload = with_fifth_endpoint(|workload, class| {
        workload.record(Event::ResourceExhausted(ExhaustedResource::DownstreamConnection));
        workload.record(Event::RejectedByListener { class, reason: ListenerRejection::ConnectionLimit });
    });
    assert_eq!(
        (top_finding(&workload).subject, top_finding(&workload).symptom),
        (Subject::Node, Symptom::DescriptorsExhausted)
    );
    workload = with_fifth_endpoint(|workload, class| {
        workload.record(Event::ResourceExhausted(ExhaustedResource::UpstreamConnection));
        workload.request(class, 0, AttemptOutcome::NotSent, 0);
    });
    assert_eq!(
        (top_finding(&workload).subject, top_finding(&workload).symptom),
        (Subject::Node, Symptom::DescriptorsExhausted)
    );
}

#[test]
fn common_failures_are_attributed_to_the_pool() {
    let mut workload = Workload::new(256 << 10);
    for n in 0..400 {
        let outcome = if n % 3 == 0 { AttemptOutcome::Reset } else { AttemptOutcome::Success };
        workload.request(0, n % 4, outcome, 20 * MS);
    }
    assert_eq!(
        (top_finding(&workload).subject, top_finding(&workload).symptom),
        (Subject::Pool(workload.pool), Symptom::ConnectionResets)
    );
}

#[test]
fn client_disconnects_are_distinguished_from_slow_endpoints() {
    let mut workload = Workload::new(256 << 10);
    for _ in 0..50 {
        let id = workload.admit(0, "x");
        workload.now += 10 * MS;
        workload.end_request(id, RequestOutcome::ClientDisconnected);
        workload.request(0, 1, AttemptOutcome::Success, 20 * MS);
    }
    assert_eq!(
        (top_finding(&workload).subject, top_finding(&workload).symptom),
        (Subject::Clients(workload.pool), Symptom::ClientDisconnects)
    );
}
