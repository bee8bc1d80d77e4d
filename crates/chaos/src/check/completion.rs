//! Checks that every request gets one response, in time.

use std::collections::{BTreeMap, BTreeSet};

use super::begun_responses::begun_responses;
use super::exemptions::{
    TimeSpan, crowded_spans, is_exempt, node_exemptions, requests_at_misbehaving_endpoints,
};
use super::requests::executed_ids;
use super::requests::{ClientRequest, RequestEnd};
use super::{Checker, Violation, client_requests};
use crate::history::{ClientOutcome, EventKind, History};
use crate::scenario::Scenario;
use crate::{MS, Nanos, SECOND};

/// Time after its deadline within which a response may arrive: clients and nodes share one machine.
const RESPONSE_GRACE: Nanos = 500 * MS;
/// Time after the end of a fault for which the fault may still affect new requests.
const FAULT_AFTERMATH: Nanos = SECOND;

/// Each request ends once and in time, unless its node is exempt, and a successful response belongs to its request.
pub struct EveryRequestAnswered;

impl Checker for EveryRequestAnswered {
    fn name(&self) -> &'static str {
        "none lost"
    }

    fn check(&self, _: &Scenario, history: &History) -> Vec<Violation> {
        let mut violations = self.duplicate_ends(history);
        let requests = client_requests(history);
        let exempt_ids = requests_at_misbehaving_endpoints(history);
        let begun = begun_responses(history);
        let executed = executed_ids(history);
        let nodes: BTreeSet<_> = requests.iter().map(|request| request.node).collect();
        let exemptions: BTreeMap<_, _> =
            nodes.iter().map(|&node| (node, node_exemptions(history, node, true))).collect();
        let crowded: BTreeMap<_, _> =
            nodes.iter().map(|&node| (node, crowded_spans(history, node))).collect();
        for request in requests {
            let ClientRequest { id, node, started, .. } = request;
            let Some(end) = request.end else {
                violations
                    .push(self.violation(started, format!("request {id:x} at node {node} never ended")));
                continue;
            };
            let wrong = ClientOutcome::Answered { status: 200, matches_request: false };
            if end.outcome == wrong && !exempt_ids.contains(&id) {
                violations.push(
                    self.violation(end.at, format!("request {id:x} got the response to another request")),
                );
            }
            // A response that has begun by the deadline may end later, or be reset by its endpoint.
            let may_end_late = begun
                .get(&id)
                .is_some_and(|responses| responses.iter().any(|response| response.at < request.deadline));
            let is_unread = end.outcome == ClientOutcome::ConnectionBroken
                && !executed.contains(&id)
                && is_exempt(&crowded[&node], TimeSpan { from: request.started, to: end.at });
            if !may_end_late && !is_unread {
                violations.extend(self.late_or_failed(&request, end, &exemptions[&node]));
            }
        }
        violations
    }
}

impl EveryRequestAnswered {
    /// Returns a violation for each end of a request after the first one.
    fn duplicate_ends(&self, history: &History) -> Vec<Violation> {
        let mut ended = BTreeSet::new();
        let duplicate_end = |event: &crate::history::Event| match event.kind {
            EventKind::RequestEnded { id, .. } if !ended.insert(id) => {
                Some(self.violation(event.at, format!("request {id:x} ended twice")))
            }
            _ => None,
        };
        history.events.iter().filter_map(duplicate_end).collect()
    }

    /// Returns a violation if a request ended late or without a response, and its node was not exempt meanwhile.
    fn late_or_failed(
        &self,
        request: &ClientRequest,
        end: RequestEnd,
        exemptions: &[TimeSpan],
    ) -> Option<Violation> {
        let due = request.deadline + RESPONSE_GRACE;
        let is_violation = match end.outcome {
            ClientOutcome::Answered { .. } => end.at > due,
            ClientOutcome::ConnectionBroken | ClientOutcome::ConnectFailed | ClientOutcome::TimedOut => true,
        };
        let from = request.started.saturating_sub(FAULT_AFTERMATH);
        if !is_violation || is_exempt(exemptions, TimeSpan { from, to: end.at.max(due) }) {
            return None;
        }
        let took_ms = (end.at - request.started) / MS;
        let text =
            format!("request {:x} at node {}: {} after {took_ms} ms", request.id, request.node, end.outcome);
        Some(self.violation(end.at, text))
    }
}
