//! What a planner makes of forwarders that disagree, lag, come and go.

use pumicehead_capacity_leases::ForwarderId;
use pumicehead_capacity_leases::view::View;
use pumicehead_capacity_leases::wire::Sighting;
use pumicehead_policy::{EndpointId, Nanos, SECOND};

const A: ForwarderId = ForwarderId(1);
const B: ForwarderId = ForwarderId(2);
const ONE: EndpointId = EndpointId(1);

fn seen(born: u64) -> Sighting {
    Sighting { born, known_for: 100 * SECOND, places: 4, ..Sighting::default() }
}

/// Many servers of which each forwarder tells totals of answers and failures, every half second.
fn counts(view: &mut View, servers: u32, until: Nanos, fails: impl Fn(u32) -> u64) {
    for step in 0..=until / (SECOND / 2) {
        for server in 0..servers {
            for forwarder in [A, B] {
                let failed = fails(server) * step;
                let sighting = Sighting { answered: 2 * step, failed, ..seen(1) };
                view.hear(forwarder, EndpointId(server), &sighting, step * SECOND / 2);
            }
        }
    }
}

/// Guards drains: told once by anybody, it stays told for this process, and not for the next.
#[test]
fn a_drain_stays_told_until_another_process_is_there() {
    let mut view = View::default();
    view.hear(A, ONE, &Sighting { draining: true, ..seen(5) }, 0);
    view.hear(B, ONE, &seen(5), 1);
    assert!(view.merged(1)[&ONE].draining);
    // Whoever said it says otherwise, then is gone.
    view.hear(A, ONE, &seen(5), 2);
    view.forget(A, None);
    assert!(view.merged(2)[&ONE].draining);
    // Nobody speaks of it for a while; then one that has not heard of the drain.
    view.expire(60 * SECOND);
    view.hear(B, ONE, &seen(5), 60 * SECOND);
    assert!(view.merged(60 * SECOND)[&ONE].draining);
    let at = 61 * SECOND;
    // One that is behind speaks of the process before: neither its drain nor its age is this one's.
    view.hear(B, ONE, &Sighting { known_for: SECOND, ..seen(6) }, at);
    view.hear(A, ONE, &Sighting { draining: true, known_for: 500 * SECOND, ..seen(5) }, at + 1);
    let merged = view.merged(at + 1)[&ONE];
    assert_eq!((merged.born, merged.draining, merged.known_for), (6, false, SECOND + 1));
}

/// Guards cold servers: warm there and cold here is cold.
#[test]
fn the_least_age_is_believed() {
    let mut view = View::default();
    view.hear(A, ONE, &Sighting { known_for: u64::MAX, ..seen(5) }, 0);
    view.hear(B, ONE, &Sighting { known_for: 2 * SECOND, ..seen(5) }, SECOND);
    assert_eq!(view.merged(4 * SECOND)[&ONE].known_for, 5 * SECOND);
    assert_eq!(view.merged(0)[&ONE].known_for, 2 * SECOND);
}

/// Guards pooling: few failures each, seen by many, are enough.
#[test]
fn a_server_that_fails_for_many_is_avoided_and_tried_again() {
    let mut view = View::default();
    counts(&mut view, 10, 2 * SECOND, |server| if server == 3 { 4 } else { 0 });
    let avoided = |view: &View, now| -> Vec<u32> {
        view.merged(now).iter().filter(|(_, server)| server.avoid).map(|(id, _)| id.0).collect()
    };
    assert_eq!(avoided(&view, 2 * SECOND), [3]);
    assert!(avoided(&view, 30 * SECOND).is_empty(), "what was seen counts for some seconds");
    // A restart of the process clears it at once.
    view.hear(A, EndpointId(3), &seen(2), 2 * SECOND);
    assert!(avoided(&view, 2 * SECOND).is_empty());
}

/// Guards against advice that takes the service down: where all fail the cause is elsewhere.
#[test]
fn where_most_fail_none_or_few_are_avoided() {
    let mut all = View::default();
    counts(&mut all, 10, 2 * SECOND, |_| 4);
    assert!(all.merged(2 * SECOND).values().all(|server| !server.avoid));
    let mut half = View::default();
    counts(&mut half, 20, 2 * SECOND, |server| if server < 6 { 40 } else { 0 });
    let avoided = half.merged(2 * SECOND).values().filter(|server| server.avoid).count();
    assert_eq!(avoided, 5, "at most a quarter");
}

/// Guards counts that are totals: what a forwarder did before this planner knew it counts for nothing, and a forwarder
/// whose totals fall does no harm.
#[test]
fn totals_count_from_the_first_word_on() {
    let mut view = View::default();
    for server in 0..5 {
        view.hear(
            A,
            EndpointId(server),
            &Sighting { answered: 1_000, failed: 900 * u64::from(server == 0), ..seen(1) },
            0,
        );
    }
    view.hear(A, EndpointId(0), &Sighting { answered: 0, failed: 0, ..seen(1) }, SECOND);
    assert!(view.merged(SECOND).values().all(|server| !server.avoid));
}

#[test]
fn crowding_is_of_all_that_take_work() {
    let mut view = View::default();
    view.hear(A, ONE, &Sighting { out: 4, ..seen(1) }, 0);
    assert!(view.is_crowded(0));
    view.hear(B, ONE, &seen(1), 0);
    assert!(!view.is_crowded(0));
    view.hear(B, EndpointId(2), &Sighting { draining: true, places: 100, ..seen(1) }, 0);
    view.hear(B, ONE, &Sighting { out: 4, ..seen(1) }, 0);
    assert!(view.is_crowded(0), "a draining server's places are none");
    view.expire(SECOND);
    assert!(!view.merged(SECOND).contains_key(&ONE) && !view.is_crowded(SECOND));
}
