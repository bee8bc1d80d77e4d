//! Merging of observations by forwarders that disagree, lag, join and leave.

use pumicehead_capacity_leases::ForwarderId;
use pumicehead_capacity_leases::endpoint_health_view::EndpointHealthView;
use pumicehead_capacity_leases::wire::EndpointObservation;
use pumicehead_policy::{EndpointId, Nanos, SECOND};

const A: ForwarderId = ForwarderId(1);
const B: ForwarderId = ForwarderId(2);
const ONE: EndpointId = EndpointId(1);

fn observation(incarnation: u64) -> EndpointObservation {
    EndpointObservation {
        incarnation,
        known_for: 100 * SECOND,
        concurrency_limit: 4,
        ..EndpointObservation::default()
    }
}

/// Adds observations of many endpoints by both forwarders, with totals that grow every half second.
/// `failures` returns by how much the failures of an endpoint grow.
fn observe_counts(
    view: &mut EndpointHealthView,
    endpoints: u32,
    until: Nanos,
    failures: impl Fn(u32) -> u64,
) {
    for step in 0..=until / (SECOND / 2) {
        for endpoint in 0..endpoints {
            for forwarder in [A, B] {
                let failed = failures(endpoint) * step;
                let observed = EndpointObservation { succeeded: 2 * step, failed, ..observation(1) };
                view.observe(forwarder, EndpointId(endpoint), &observed, step * SECOND / 2);
            }
        }
    }
}

/// A drain that any forwarder has observed is retained for the same process, but not for the next one.
#[test]
fn a_drain_is_kept_until_the_process_is_replaced() {
    let mut view = EndpointHealthView::default();
    view.observe(A, ONE, &EndpointObservation { draining: true, ..observation(5) }, 0);
    view.observe(B, ONE, &observation(5), 1);
    assert!(view.merged(1)[&ONE].draining);
    // The forwarder that observed the drain no longer reports it, and then leaves.
    view.observe(A, ONE, &observation(5), 2);
    view.remove_observations(A, None);
    assert!(view.merged(2)[&ONE].draining);
    // No forwarder observes the endpoint for a while. Then one does that does not know of the drain.
    view.expire(60 * SECOND);
    view.observe(B, ONE, &observation(5), 60 * SECOND);
    assert!(view.merged(60 * SECOND)[&ONE].draining);
    let at = 61 * SECOND;
    // A forwarder that lags observes the previous process, whose drain and age do not apply to the new one.
    view.observe(B, ONE, &EndpointObservation { known_for: SECOND, ..observation(6) }, at);
    view.observe(
        A,
        ONE,
        &EndpointObservation { draining: true, known_for: 500 * SECOND, ..observation(5) },
        at + 1,
    );
    let merged = view.merged(at + 1)[&ONE];
    assert_eq!((merged.incarnation, merged.draining, merged.known_for), (6, false, SECOND + 1));
}

/// An endpoint that is new to any forwarder counts as new, so that it is in slow start for all.
#[test]
fn the_shortest_age_at_any_forwarder_is_used() {
    let mut view = EndpointHealthView::default();
    view.observe(A, ONE, &EndpointObservation { known_for: u64::MAX, ..observation(5) }, 0);
    view.observe(B, ONE, &EndpointObservation { known_for: 2 * SECOND, ..observation(5) }, SECOND);
    assert_eq!(view.merged(4 * SECOND)[&ONE].known_for, 5 * SECOND);
    assert_eq!(view.merged(0)[&ONE].known_for, 2 * SECOND);
}

/// A few failures at each of several forwarders add up.
#[test]
fn an_endpoint_that_fails_for_many_forwarders_is_avoided_and_tried_again() {
    let mut view = EndpointHealthView::default();
    observe_counts(&mut view, 10, 2 * SECOND, |endpoint| if endpoint == 3 { 4 } else { 0 });
    let avoided = |view: &EndpointHealthView, now| -> Vec<u32> {
        view.merged(now).iter().filter(|(_, health)| health.avoid).map(|(id, _)| id.0).collect()
    };
    assert_eq!(avoided(&view, 2 * SECOND), [3]);
    assert!(avoided(&view, 30 * SECOND).is_empty(), "counts decay within seconds");
    // A restart of the process clears its counts at once.
    view.observe(A, EndpointId(3), &observation(2), 2 * SECOND);
    assert!(avoided(&view, 2 * SECOND).is_empty());
}

/// If most endpoints fail, they are not the cause, and avoiding them would overload the others. Of several
/// failing ones, at most a quarter of all endpoints is avoided.
#[test]
fn few_or_no_endpoints_are_avoided_if_many_fail() {
    let mut all_failing = EndpointHealthView::default();
    observe_counts(&mut all_failing, 10, 2 * SECOND, |_| 4);
    assert!(all_failing.merged(2 * SECOND).values().all(|health| !health.avoid));
    let mut some_failing = EndpointHealthView::default();
    observe_counts(&mut some_failing, 20, 2 * SECOND, |endpoint| if endpoint < 6 { 40 } else { 0 });
    let avoided = some_failing.merged(2 * SECOND).values().filter(|health| health.avoid).count();
    assert_eq!(avoided, 5, "at most a quarter of the endpoints is avoided");
}

/// The first totals of a forwarder are ignored, and decreasing totals do no harm.
#[test]
fn totals_are_counted_relative_to_the_first_observation() {
    let mut view = EndpointHealthView::default();
    for endpoint in 0..5 {
        view.observe(
            A,
            EndpointId(endpoint),
            &EndpointObservation {
                succeeded: 1_000,
                failed: 900 * u64::from(endpoint == 0),
                ..observation(1)
            },
            0,
        );
    }
    view.observe(
        A,
        EndpointId(0),
        &EndpointObservation { succeeded: 0, failed: 0, ..observation(1) },
        SECOND,
    );
    assert!(view.merged(SECOND).values().all(|health| !health.avoid));
}

#[test]
fn saturation_counts_endpoints_that_take_requests() {
    let mut view = EndpointHealthView::default();
    view.observe(A, ONE, &EndpointObservation { in_flight: 4, ..observation(1) }, 0);
    assert!(view.is_saturated(0));
    view.observe(B, ONE, &observation(1), 0);
    assert!(!view.is_saturated(0));
    view.observe(
        B,
        EndpointId(2),
        &EndpointObservation { draining: true, concurrency_limit: 100, ..observation(1) },
        0,
    );
    view.observe(B, ONE, &EndpointObservation { in_flight: 4, ..observation(1) }, 0);
    assert!(view.is_saturated(0), "the concurrency limit of a draining endpoint is not counted");
    view.expire(SECOND);
    assert!(!view.merged(SECOND).contains_key(&ONE) && !view.is_saturated(SECOND));
}
