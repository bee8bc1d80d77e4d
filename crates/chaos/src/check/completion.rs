//! Every request is answered.

use std::collections::{BTreeMap, BTreeSet};

use super::exemptions::{TimeSpan, is_exempt, node_exemptions, requests_at_misbehaving_endpoints};
use super::requests::{ClientRequest, RequestEnd};
use super::{Checker, Violation, client_requests};
use crate::history::{ClientOutcome, EventKind, History};
use crate::scenario::Scenario;
use crate::{MS, Nanos, SECOND};

/// How long after its deadline a response may arrive: clients and nodes share one machine.
const RESPONSE_GRACE: Nanos = 500 * MS;
/// How long before a request a fault of its connection may have ended.
const FAULT_AFTERMATH: Nanos = SECOND;

/// Each request has one end, in time, unless its node is exempt; and a successful response is the one made for it.
pub struct EveryRequestAnswered;

impl Checker for EveryRequestAnswered {
    fn name(&self) -> &'static str {
        "none lost"
    }

    fn check(&self, _: &Scenario, history: &History) -> Vec<Violation> {
        let mut violations = self.second_ends(history);
        let requests = client_requests(history);
        let misled = requests_at_misbehaving_endpoints(history);
        let nodes: BTreeSet<_> = requests.iter().map(|request| request.node).collect();
        let exemptions: BTreeMap<_, _> =
            nodes.into_iter().map(|node| (node, node_exemptions(history, node, true))).collect();
        for request in requests {
            let ClientRequest { id, node, started, .. } = request;
            let Some(end) = request.end else {
                violations.push(self.violation(started, format!("request {id:x} at node {node} has no end")));
                continue;
            };
            let wrong = ClientOutcome::Answered { status: 200, matches_request: false };
            if end.outcome == wrong && !misled.contains(&id) {
                violations
                    .push(self.violation(end.at, format!("request {id:x} got an answer made for another")));
            }
            violations.extend(self.late_or_failed(&request, end, &exemptions[&node]));
        }
        violations
    }
}

impl EveryRequestAnswered {
    fn second_ends(&self, history: &History) -> Vec<Violation> {
        let mut ended = BTreeSet::new();
        let second_end = |event: &crate::history::Event| match event.kind {
            EventKind::RequestEnded { id, .. } if !ended.insert(id) => {
                Some(self.violation(event.at, format!("request {id:x} ended twice")))
            }
            _ => None,
        };
        history.events.iter().filter_map(second_end).collect()
    }

    fn late_or_failed(
        &self,
        request: &ClientRequest,
        end: RequestEnd,
        exemptions: &[TimeSpan],
    ) -> Option<Violation> {
        let due = request.deadline + RESPONSE_GRACE;
        let violated = match end.outcome {
            ClientOutcome::Answered { .. } => end.at > due,
            ClientOutcome::ConnectionBroken | ClientOutcome::ConnectFailed | ClientOutcome::TimedOut => true,
        };
        let from = request.started.saturating_sub(FAULT_AFTERMATH);
        if !violated || is_exempt(exemptions, TimeSpan { from, to: end.at.max(due) }) {
            return None;
        }
        let took_ms = (end.at - request.started) / MS;
        let text =
            format!("request {:x} at node {}: {} after {took_ms} ms", request.id, request.node, end.outcome);
        Some(self.violation(end.at, text))
    }
}
