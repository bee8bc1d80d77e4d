//! Candidates of a selection.

use super::*;

fn candidate(position: usize, score: f64) -> Candidate {
    Candidate { score, endpoint: EndpointIndex(position) }
}

#[test]
fn the_best_two_are_kept_and_ties_go_to_the_first() {
    let mut trace = SelectionTrace::default();
    for (position, score) in [3.0, 2.0, 2.0, 1.0, 9.0].into_iter().enumerate() {
        trace.add(candidate(position, score));
    }
    assert_eq!(trace.best, Some(candidate(3, 1.0)));
    assert_eq!(trace.runner_up, Some(candidate(1, 2.0)));
    assert_eq!(trace.candidates, 5);
}
