//! How a planner merges observations of forwarders that disagree, lag, join and leave.

use pumicehead_capacity_leases::ForwarderId;
use pumicehead_capacity_leases::endpoint_health_view::EndpointHealthView;
use pumicehead_capacity_leases::wire::EndpointObservation;
use pumicehead_policy::{EndpointId, Nanos, SECOND};

const A: ForwarderId = ForwarderId(1);
const B: ForwarderId = ForwarderId(2);
const ONE: EndpointId = EndpointId(1);

fn seen(incarnation: u64) -> EndpointObservation {
    EndpointObservation {
        incarnation,
        known_for: 100 * SECOND,
        concurrency_limit: 4,
        ..EndpointObservation::default()
    }
}

/// Observations of many endpoints by each forwarder, with totals that grow every half second.
fn counts(view: &mut EndpointHealthView, servers: u32, until: Nanos, fails: impl Fn(u32) -> u64) {
    for step in 0..=until / (SECOND / 2) {
        for server in 0..servers {
            for forwarder in [A, B] {
                let failed = fails(server) * step;
                let sighting = EndpointObservation { succeeded: 2 * step, failed, ..seen(1) };
                view.observe(forwarder, EndpointId(server), &sighting, step * SECOND / 2);
            }
        }
    }
}

/// A drain that any forwarder has observed is kept for this process, and not for the next one.
#[test]
fn a_drain_is_kept_until_the_process_is_replaced() {
    let mut view = EndpointHealthView::default();
    view.observe(A, ONE, &EndpointObservation { draining: true, ..seen(5) }, 0);
    view.observe(B, ONE, &seen(5), 1);
    assert!(view.merged(1)[&ONE].draining);
    // The forwarder that observed it takes it back, then leaves.
    view.observe(A, ONE, &seen(5), 2);
    view.remove_observations(A, None);
    assert!(view.merged(2)[&ONE].draining);
    // Nobody observes it for a while; then one does that does not know of the drain.
    view.expire(60 * SECOND);
    view.observe(B, ONE, &seen(5), 60 * SECOND);
    assert!(view.merged(60 * SECOND)[&ONE].draining);
    let at = 61 * SECOND;
    // A forwarder that lags observes the previous process: neither its drain nor its age is that of this one.
    view.observe(B, ONE, &EndpointObservation { known_for: SECOND, ..seen(6) }, at);
    view.observe(A, ONE, &EndpointObservation { draining: true, known_for: 500 * SECOND, ..seen(5) }, at + 1);
    let merged = view.merged(at + 1)[&ONE];
    assert_eq!((merged.incarnation, merged.draining, merged.known_for), (6, false, SECOND + 1));
}

/// An endpoint that is new to one forwarder is in slow start for all.
#[test]
fn the_shortest_age_of_any_forwarder_counts() {
    let mut view = EndpointHealthView::default();
    view.observe(A, ONE, &EndpointObservation { known_for: u64::MAX, ..seen(5) }, 0);
    view.observe(B, ONE, &EndpointObservation { known_for: 2 * SECOND, ..seen(5) }, SECOND);
    assert_eq!(view.merged(4 * SECOND)[&ONE].known_for, 5 * SECOND);
    assert_eq!(view.merged(0)[&ONE].known_for, 2 * SECOND);
}

/// A few failures at each of many forwarders are enough.
#[test]
fn an_endpoint_that_fails_for_many_forwarders_is_avoided_and_tried_again() {
    let mut view = EndpointHealthView::default();
    counts(&mut view, 10, 2 * SECOND, |server| if server == 3 { 4 } else { 0 });
    let avoided = |view: &EndpointHealthView, now| -> Vec<u32> {
        view.merged(now).iter().filter(|(_, server)| server.avoid).map(|(id, _)| id.0).collect()
    };
    assert_eq!(avoided(&view, 2 * SECOND), [3]);
    assert!(avoided(&view, 30 * SECOND).is_empty(), "counts decay within seconds");
    // A restart of the process clears it at once.
    view.observe(A, EndpointId(3), &seen(2), 2 * SECOND);
    assert!(avoided(&view, 2 * SECOND).is_empty());
}

/// Where most endpoints fail, the cause is not the endpoints, and avoiding them would make it worse.
#[test]
fn few_endpoints_or_none_are_avoided_where_most_fail() {
    let mut all = EndpointHealthView::default();
    counts(&mut all, 10, 2 * SECOND, |_| 4);
    assert!(all.merged(2 * SECOND).values().all(|server| !server.avoid));
    let mut half = EndpointHealthView::default();
    counts(&mut half, 20, 2 * SECOND, |server| if server < 6 { 40 } else { 0 });
    let avoided = half.merged(2 * SECOND).values().filter(|server| server.avoid).count();
    assert_eq!(avoided, 5, "at most a quarter");
}

/// The first totals of a forwarder do not count, and totals that fall are harmless.
#[test]
fn totals_count_from_the_first_observation_on() {
    let mut view = EndpointHealthView::default();
    for server in 0..5 {
        view.observe(
            A,
            EndpointId(server),
            &EndpointObservation { succeeded: 1_000, failed: 900 * u64::from(server == 0), ..seen(1) },
            0,
        );
    }
    view.observe(A, EndpointId(0), &EndpointObservation { succeeded: 0, failed: 0, ..seen(1) }, SECOND);
    assert!(view.merged(SECOND).values().all(|server| !server.avoid));
}

#[test]
fn saturation_counts_endpoints_that_take_requests() {
    let mut view = EndpointHealthView::default();
    view.observe(A, ONE, &EndpointObservation { in_flight: 4, ..seen(1) }, 0);
    assert!(view.is_saturated(0));
    view.observe(B, ONE, &seen(1), 0);
    assert!(!view.is_saturated(0));
    view.observe(
        B,
        EndpointId(2),
        &EndpointObservation { draining: true, concurrency_limit: 100, ..seen(1) },
        0,
    );
    view.observe(B, ONE, &EndpointObservation { in_flight: 4, ..seen(1) }, 0);
    assert!(view.is_saturated(0), "a draining server's places are none");
    view.expire(SECOND);
    assert!(!view.merged(SECOND).contains_key(&ONE) && !view.is_saturated(SECOND));
}
