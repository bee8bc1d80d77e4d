//! Properties of snapshots and deltas for arbitrary sequences of changes.

mod common;

use common::*;
use proptest::prelude::*;
use pumicehead_resources::{Change, Delta, Snapshot};

/// Random sequences of deltas, each with 1 to 3 changes.
fn deltas() -> impl Strategy<Value = Vec<Delta>> {
    let delta = prop::collection::vec(change(), 1..4).prop_map(common::delta);
    prop::collection::vec(delta, 1..40)
}

proptest! {
    #![proptest_config(cases(400))]

    /// After each delta, the changed tables equal those of a snapshot that is built from the same resources.
    #[test]
    fn applied_deltas_give_the_same_state_as_a_rebuild(deltas in deltas()) {
        let mut state = snapshot(base());
        let mut applied = 0;
        for delta in &deltas {
            let before = state.clone();
            if state.apply(delta).is_ok() {
                applied += 1;
            } else {
                prop_assert_eq!(&state, &before, "a rejected delta must not change the snapshot");
            }
            // Except for routes, the order of resources has no meaning, so all others are reversed.
            let mut rebuilt = resources(&state);
            let first_route = rebuilt.len() - state.routes().count();
            rebuilt[..first_route].reverse();
            let rebuilt = snapshot(rebuilt);
            prop_assert_eq!(&rebuilt, &state);
            prop_assert_eq!(rebuilt.digest(), state.digest());
            prop_assert!(state.validate().is_ok());
        }
        // Long sequences must have at least one valid delta, or the test would check nothing.
        prop_assert!(applied > 0 || deltas.len() < 10);
    }

    /// The difference of any two states turns one into the other, and is empty if they are equal.
    #[test]
    fn the_difference_turns_one_snapshot_into_the_other(first in deltas(), second in deltas()) {
        let (mut from, mut to) = (snapshot(base()), snapshot(base()));
        first.iter().for_each(|delta| drop(from.apply(delta)));
        second.iter().for_each(|delta| drop(to.apply(delta)));
        let difference = from.difference(&to);
        prop_assert_eq!(difference.is_empty(), from == to);
        prop_assert_eq!(from == to, from.digest() == to.digest());
        let mut result = from.clone();
        prop_assert_eq!(result.apply(&difference), Ok(()));
        prop_assert_eq!(&result, &to);
        prop_assert_eq!(result.digest(), to.digest());
        prop_assert!(result.difference(&to).is_empty());
    }

    /// Any order of routes is reached from another with moves only, as many as there are routes outside of
    /// the longest increasing subsequence.
    #[test]
    fn an_order_is_reached_by_the_fewest_moves(order in Just((0..9_usize).collect::<Vec<_>>()).prop_shuffle()) {
        let routes: Vec<_> =
            (0..9).map(|n| route(&format!("r{n}"), &format!("/{n}"), "c0", "p0", None)).collect();
        let others: Vec<_> = base().into_iter().filter(|one| !matches!(one, pumicehead_resources::Resource::Route(_))).collect();
        let with = |routes: Vec<_>| snapshot(others.iter().cloned().chain(routes));
        let from = with(routes.clone());
        let to = with(order.iter().map(|&n| routes[n].clone()).collect());
        let difference = from.difference(&to);
        let only_moves = difference.changes.iter().all(|change| matches!(change, Change::MoveRoute { .. }));
        prop_assert!(only_moves);
        let unmoved = longest_increasing_subsequence(&order);
        prop_assert_eq!(difference.changes.len(), order.len() - unmoved);
        let mut result = from.clone();
        prop_assert_eq!(result.apply(&difference), Ok(()));
        prop_assert_eq!(&result, &to);
        prop_assert_eq!(from.digest() == to.digest(), unmoved == order.len());
    }
}

/// Length of the longest increasing subsequence, in quadratic time.
fn longest_increasing_subsequence(order: &[usize]) -> usize {
    let mut longest = vec![1; order.len()];
    for at in 0..order.len() {
        for before in 0..at {
            if order[before] < order[at] {
                longest[at] = longest[at].max(longest[before] + 1);
            }
        }
    }
    longest.into_iter().max().unwrap_or_default()
}

/// Guards against a linear search for each move, which would take quadratic time.
#[test]
fn reversing_many_routes_takes_little_time() {
    let count = 15_000;
    let routes: Vec<_> =
        (0..count).map(|n| route(&format!("q{n}"), &format!("/{n}"), "c0", "p0", None)).collect();
    let with = |routes: Vec<_>| snapshot(base().into_iter().chain(routes));
    let from = with(routes.clone());
    let to = with(routes.into_iter().rev().collect());
    let difference = from.difference(&to);
    assert_eq!(difference.changes.len(), count - 1);
    let mut result: Snapshot = from;
    result.apply(&difference).unwrap();
    assert!(result == to);
}
