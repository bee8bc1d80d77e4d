//! Properties of snapshots and deltas for arbitrary sequences of changes.

mod common;

use common::*;
use proptest::prelude::*;
use pumicehead_resources::{Change, Delta, Snapshot};

/// Random deltas, most of one change and some of several.
fn deltas() -> impl Strategy<Value = Vec<Delta>> {
    let one = prop::collection::vec(change(), 1..4).prop_map(delta);
    prop::collection::vec(one, 1..40)
}

proptest! {
    #![proptest_config(cases(400))]

    /// Tables that took changes in place are those that the last state gives when it is built anew, after
    /// each change.
    #[test]
    fn applied_deltas_give_the_same_state_as_a_rebuild(deltas in deltas()) {
        let mut state = snapshot(base());
        let mut applied = 0;
        for delta in &deltas {
            let before = state.clone();
            if state.apply(delta).is_ok() {
                applied += 1;
            } else {
                prop_assert_eq!(&state, &before, "a refused delta left something behind");
            }
            // The order of tables has no meaning: built from the other end it is the same, but for the
            // routes.
            let mut rebuilt = resources(&state);
            let first_route = rebuilt.len() - state.routes().count();
            rebuilt[..first_route].reverse();
            let rebuilt = snapshot(rebuilt);
            prop_assert_eq!(&rebuilt, &state);
            prop_assert_eq!(rebuilt.digest(), state.digest());
            prop_assert!(state.validate().is_ok());
        }
        // A run in which nothing was applied would show nothing.
        prop_assert!(applied > 0 || deltas.len() < 10);
    }

    /// The difference of any two states leads from one to the other, and there is none where they are equal.
    #[test]
    fn the_difference_leads_from_one_snapshot_to_the_other(first in deltas(), second in deltas()) {
        let (mut from, mut to) = (snapshot(base()), snapshot(base()));
        first.iter().for_each(|delta| drop(from.apply(delta)));
        second.iter().for_each(|delta| drop(to.apply(delta)));
        let way = from.difference(&to);
        prop_assert_eq!(way.is_empty(), from == to);
        prop_assert_eq!(from == to, from.digest() == to.digest());
        let mut reached = from.clone();
        prop_assert_eq!(reached.apply(&way), Ok(()));
        prop_assert_eq!(&reached, &to);
        prop_assert_eq!(reached.digest(), to.digest());
        prop_assert!(reached.difference(&to).is_empty());
    }

    /// Any order of routes is reached from any other by moves alone, no more than there are routes out of
    /// order.
    #[test]
    fn an_order_is_reached_by_the_fewest_moves(order in Just((0..9_usize).collect::<Vec<_>>()).prop_shuffle()) {
        let routes: Vec<_> =
            (0..9).map(|n| route(&format!("r{n}"), &format!("/{n}"), "c0", "p0", None)).collect();
        let others: Vec<_> = base().into_iter().filter(|one| !matches!(one, pumicehead_resources::Resource::Route(_))).collect();
        let with = |routes: Vec<_>| snapshot(others.iter().cloned().chain(routes));
        let from = with(routes.clone());
        let to = with(order.iter().map(|&n| routes[n].clone()).collect());
        let way = from.difference(&to);
        let only_moves = way.changes.iter().all(|change| matches!(change, Change::MoveRoute { .. }));
        prop_assert!(only_moves);
        // Those of the longest rising sequence stay.
        let rising = longest_rise(&order);
        prop_assert_eq!(way.changes.len(), order.len() - rising);
        let mut reached = from.clone();
        prop_assert_eq!(reached.apply(&way), Ok(()));
        prop_assert_eq!(&reached, &to);
        prop_assert_eq!(from.digest() == to.digest(), rising == order.len());
    }
}

/// Length of the longest rising sequence, by trying all.
fn longest_rise(order: &[usize]) -> usize {
    let mut best = vec![1; order.len()];
    for at in 0..order.len() {
        for before in 0..at {
            if order[before] < order[at] {
                best[at] = best[at].max(best[before] + 1);
            }
        }
    }
    best.into_iter().max().unwrap_or_default()
}

/// Many routes that all move cost no search each.
#[test]
fn reversing_many_routes_takes_little_time() {
    let count = 15_000;
    let routes: Vec<_> =
        (0..count).map(|n| route(&format!("q{n}"), &format!("/{n}"), "c0", "p0", None)).collect();
    let with = |routes: Vec<_>| snapshot(base().into_iter().chain(routes));
    let from = with(routes.clone());
    let to = with(routes.into_iter().rev().collect());
    let way = from.difference(&to);
    assert_eq!(way.changes.len(), count - 1);
    let mut reached: Snapshot = from;
    reached.apply(&way).unwrap();
    assert!(reached == to);
}
