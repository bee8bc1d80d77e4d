//! Checks that requests that are not idempotent are executed at most once.

use std::collections::{BTreeMap, BTreeSet};

use super::exemptions::requests_at_misbehaving_endpoints;
use super::{Checker, Violation, client_requests};
use crate::Nanos;
use crate::history::{ClientOutcome, EventKind, History, ProcessState, RequestClass};
use crate::scenario::Scenario;

/// A submit is executed at most once, and not at all if its client got a response that allows a retry. Requests at misbehaving
/// endpoints are exempt: a node may retry a request that an endpoint reports as not executed.
pub struct AtMostOnceExecution;

/// Where a submit was executed.
struct Execution {
    endpoint: usize,
    incarnation: u32,
}

impl Checker for AtMostOnceExecution {
    fn name(&self) -> &'static str {
        "effects once"
    }

    fn check(&self, _: &Scenario, history: &History) -> Vec<Violation> {
        let submits: BTreeMap<_, _> = client_requests(history)
            .into_iter()
            .filter(|request| request.class == RequestClass::Submit)
            .map(|request| (request.id, request))
            .collect();
        let exempt_ids = requests_at_misbehaving_endpoints(history);
        let mut executions: BTreeMap<u64, Execution> = BTreeMap::new();
        // The client sends a request again whose connection broke when its node was killed.
        let mut resent_ids = BTreeSet::new();
        let mut stopped_at: BTreeMap<usize, Nanos> = BTreeMap::new();
        let mut violations = Vec::new();
        for event in &history.events {
            if let EventKind::NodeState { node, state: ProcessState::Down } = event.kind {
                stopped_at.insert(node, event.at);
            }
            if let EventKind::RequestResent { id } = event.kind {
                resent_ids.insert(id);
            }
            let EventKind::RequestExecuted { id, endpoint, incarnation, .. } = event.kind else { continue };
            let Some(submit) = submits.get(&id).filter(|_| !exempt_ids.contains(&id)) else { continue };
            let was_stopped = stopped_at.get(&submit.node).is_some_and(|stopped| *stopped > submit.started);
            let first = executions.insert(id, Execution { endpoint, incarnation });
            if let Some(first) = first.filter(|_| !(was_stopped && resent_ids.contains(&id))) {
                let text = format!(
                    "submit {id:x} was executed at server {} (incarnation {}) and at server {endpoint} (incarnation {incarnation})",
                    first.endpoint, first.incarnation
                );
                violations.push(self.violation(event.at, text));
            }
            if submit.outcome().is_some_and(ClientOutcome::is_rejected) {
                let text = format!(
                    "submit {id:x} was rejected as safe to retry, but was executed at server {endpoint}"
                );
                violations.push(self.violation(event.at, text));
            }
        }
        violations
    }
}
