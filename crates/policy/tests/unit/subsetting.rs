//! Number of endpoints used in each locality.

use super::*;

fn subset(local: usize, remote: usize, width: usize) -> Subset {
    let mut subset = Subset { width, ..Subset::default() };
    subset[Locality::Local].preference_order = (0..local).map(EndpointIndex).collect();
    subset[Locality::Remote].preference_order = (local..local + remote).map(EndpointIndex).collect();
    subset
}

fn target_widths(local: usize, remote: usize, width: usize) -> [usize; 2] {
    let subset = subset(local, remote, width);
    Locality::ALL.map(|locality| subset.target_width(locality))
}

#[test]
fn no_remote_endpoints_are_targeted_if_there_are_none() {
    assert_eq!(target_widths(10, 0, 6), [6, 0]);
}

#[test]
fn some_remote_endpoints_are_kept_in_use_beside_local_ones() {
    assert_eq!(target_widths(10, 10, 6), [6, 3]);
    assert_eq!(target_widths(10, 10, 1), [1, 1]);
}

#[test]
fn remote_endpoints_make_up_for_missing_local_ones() {
    assert_eq!(target_widths(1, 10, 6), [6, 5]);
}

#[test]
fn clearing_empties_the_active_endpoints_and_keeps_the_preference_order() {
    let mut subset = subset(2, 1, 3);
    for locality in Locality::ALL {
        subset[locality].active = subset[locality].preference_order.clone();
    }
    assert_eq!(subset.active().collect::<Vec<_>>(), [0, 1, 2].map(EndpointIndex));
    subset.limit = 4.0;
    subset.clear_active();
    assert_eq!((subset.active().count(), subset.limit, subset.ready_count()), (0, 0.0, 3));
}
