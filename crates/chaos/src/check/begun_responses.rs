//! Checks that sound responses that have begun in time arrive whole.

use std::collections::BTreeMap;

use super::exemptions::{TimeSpan, is_exempt, node_exemptions};
use super::requests::ClientRequest;
use super::{Checker, Violation, client_requests};
use crate::history::{ClientOutcome, EventKind, History};
use crate::scenario::Scenario;
use crate::{MS, Nanos, SECOND};

/// Time before a request's deadline by which its response must have begun: clients, nodes and endpoints share one machine.
const BEGIN_MARGIN: Nanos = 100 * MS;
/// Time after the end of a fault for which the fault may still affect new requests.
const FAULT_AFTERMATH: Nanos = SECOND;
/// Longest time from the deadline of a request to the end of a response that has begun by then.
const MAX_RESPONSE_TIME: Nanos = 2 * SECOND;

/// A response that a sound endpoint began before the deadline arrives whole, unless its node or its endpoint was stopped.
pub struct BegunResponsesArrive;

impl Checker for BegunResponsesArrive {
    fn name(&self) -> &'static str {
        "begun responses arrive"
    }

    fn check(&self, _: &Scenario, history: &History) -> Vec<Violation> {
        let begun = begun_responses(history);
        let mut exemptions = BTreeMap::new();
        let mut violations = Vec::new();
        for request in client_requests(history) {
            let Some(responses) = begun.get(&request.id) else { continue };
            let is_owed = responses.iter().all(|response| response.is_sound)
                && responses.iter().any(|response| response.at + BEGIN_MARGIN < request.deadline);
            let arrived = ClientOutcome::Answered { status: 200, matches_request: true };
            if !is_owed || request.outcome() == Some(arrived) {
                continue;
            }
            let node_exemptions = exemptions
                .entry(request.node)
                .or_insert_with(|| node_exemptions(history, request.node, true));
            let span = TimeSpan {
                from: request.started.saturating_sub(FAULT_AFTERMATH),
                to: request.deadline + MAX_RESPONSE_TIME,
            };
            if !is_exempt(node_exemptions, span) {
                violations.push(self.cut_response(&request, responses));
            }
        }
        violations
    }
}

impl BegunResponsesArrive {
    fn cut_response(&self, request: &ClientRequest, responses: &[BegunResponse]) -> Violation {
        let since_start = |at: Nanos| at.saturating_sub(request.started) / MS;
        let begun: Vec<_> = responses.iter().map(|response| since_start(response.at).to_string()).collect();
        let ended = request
            .end
            .map_or("never".to_owned(), |end| format!("{} after {} ms", end.outcome, since_start(end.at)));
        let text = format!(
            "request {:x} at node {}, response begun after {} ms, deadline {} ms: {ended}",
            request.id,
            request.node,
            begun.join(" and "),
            since_start(request.deadline)
        );
        self.violation(request.end.map_or(request.deadline, |end| end.at), text)
    }
}

/// The start of a response.
#[derive(Clone, Copy, Debug)]
pub(super) struct BegunResponse {
    pub at: Nanos,
    pub is_sound: bool,
}

/// Returns the responses that endpoints began to write, by the id of their request.
pub(super) fn begun_responses(history: &History) -> BTreeMap<u64, Vec<BegunResponse>> {
    let mut begun: BTreeMap<u64, Vec<BegunResponse>> = BTreeMap::new();
    for event in &history.events {
        if let EventKind::ResponseBegun { id, is_sound, .. } = event.kind {
            begun.entry(id).or_default().push(BegunResponse { at: event.at, is_sound });
        }
    }
    begun
}
