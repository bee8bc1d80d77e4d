//! Checks that nodes that are about to exit answer what they have taken.

use std::collections::BTreeSet;

use super::begun_responses::begun_responses;
use super::requests::executed_ids;
use super::{Checker, Violation, client_requests};
use crate::history::{ClientOutcome, EventKind, History, ProcessState};
use crate::scenario::Scenario;
use crate::{MS, Nanos};

/// Time before the end of its process in which a node may break the remaining connections.
const EXIT_MARGIN: Nanos = 200 * MS;

/// A node that got SIGTERM breaks no connection with a request on it before it is killed. Only requests that reached an
/// endpoint count: a close may cross any other one before the node has read it.
pub struct TerminatedNodesAnswer;

/// The time from SIGTERM until a process is killed or has exited.
#[derive(Clone, Copy, Debug)]
struct Termination {
    node: usize,
    from: Nanos,
    to: Nanos,
}

impl Checker for TerminatedNodesAnswer {
    fn name(&self) -> &'static str {
        "terminated nodes answer"
    }

    fn check(&self, _: &Scenario, history: &History) -> Vec<Violation> {
        let terminations = terminations(history);
        let owed = owed_ids(history);
        let mut violations = Vec::new();
        for request in client_requests(history) {
            let Some(end) = request.end else { continue };
            let is_broken = matches!(end.outcome, ClientOutcome::ConnectionBroken | ClientOutcome::TimedOut);
            let during = terminations.iter().find(|termination| {
                termination.node == request.node
                    && (termination.from..termination.to.saturating_sub(EXIT_MARGIN)).contains(&end.at)
            });
            if let Some(termination) = during.filter(|_| is_broken && owed.contains(&request.id)) {
                let text = format!(
                    "request {:x} at node {}: {} {} ms after SIGTERM, {} ms before the process was gone",
                    request.id,
                    request.node,
                    end.outcome,
                    (end.at - termination.from) / MS,
                    (termination.to - end.at) / MS
                );
                violations.push(self.violation(end.at, text));
            }
        }
        violations
    }
}

/// Returns the ids of the requests whose responses endpoints would have written to their end.
fn owed_ids(history: &History) -> BTreeSet<u64> {
    let begun = begun_responses(history);
    let is_reset = |id: &u64| begun.get(id).is_some_and(|all| all.iter().any(|response| !response.is_sound));
    executed_ids(history).into_iter().filter(|id| !is_reset(id)).collect()
}

fn terminations(history: &History) -> Vec<Termination> {
    let mut terminations: Vec<Termination> = Vec::new();
    for event in &history.events {
        let EventKind::NodeState { node, state } = event.kind else { continue };
        let open = terminations.iter_mut().find(|open| open.node == node && open.to == Nanos::MAX);
        match (state, open) {
            (ProcessState::Stopping, None) => {
                terminations.push(Termination { node, from: event.at, to: Nanos::MAX });
            }
            (ProcessState::Down, Some(open)) => open.to = event.at,
            _ => {}
        }
    }
    // Without its end, nothing is known of a termination.
    terminations.retain(|termination| termination.to != Nanos::MAX);
    terminations
}
