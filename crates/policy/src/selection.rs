//! The selection of an endpoint for an attempt: least latency times requests in flight, among a random
//! sample.

use crate::balancer::Balancer;
use crate::decision_event::{DecisionEvent, ExclusionReason, ExclusionReasons};
use crate::endpoints::EndpointIndex;
use crate::subsetting::Locality;
use crate::{EndpointId, RequestId};

/// Candidates compared: enough to avoid a bad one, few enough to be fast and to avoid herding.
const MAX_CANDIDATES: usize = 5;
/// Endpoints looked at for that many candidates, where some have no capacity.
const MAX_LOOKS: usize = 4 * MAX_CANDIDATES;
/// Largest random part of a score, relative to it: decides between equal ones.
const SCORE_JITTER: f64 = 0.05;
/// Least weight of an endpoint relative to others.
const MIN_WEIGHT: f64 = 0.1;

/// An endpoint that can take the attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Candidate {
    /// The least is best.
    pub score: f64,
    pub endpoint: EndpointIndex,
}

/// The candidates of one selection.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SelectionTrace {
    pub best: Option<Candidate>,
    pub runner_up: Option<Candidate>,
    pub candidates: usize,
    pub exclusions: ExclusionReasons,
}

impl SelectionTrace {
    /// Adds a candidate; of equal ones the first is best.
    pub fn add(&mut self, candidate: Candidate) {
        let is_better = |other: Candidate| candidate.score < other.score;
        self.candidates += 1;
        if self.best.is_none_or(is_better) {
            self.runner_up = self.best.replace(candidate);
        } else if self.runner_up.is_none_or(is_better) {
            self.runner_up = Some(candidate);
        }
    }
}

impl Balancer {
    /// Returns the endpoint for the next attempt of a request, if any can take it. The own zone comes first
    /// while it has capacity.
    pub(crate) fn select_endpoint(&mut self, id: RequestId) -> Option<EndpointIndex> {
        let mut trace = SelectionTrace::default();
        for locality in Locality::ALL {
            if self.is_locality_full(locality) {
                continue;
            }
            self.sample_candidates(id, locality, &mut trace);
            if let Some(best) = trace.best {
                self.trace(|me| me.endpoint_selected(id, best, &trace));
                return Some(best.endpoint);
            }
        }
        self.trace(|_| DecisionEvent::NoEndpointAvailable { id, exclusions: trace.exclusions });
        None
    }

    /// Compares the endpoints of a locality: all of a few, or a sample of many with a bounded number of
    /// looks.
    fn sample_candidates(&mut self, id: RequestId, locality: Locality, trace: &mut SelectionTrace) {
        let count = self.subset[locality].active.len();
        let compares_all = count <= MAX_CANDIDATES;
        for look in 0..if compares_all { count } else { MAX_LOOKS } {
            let position = if compares_all { look } else { (self.random() * count as f64) as usize };
            let endpoint = self.subset[locality].active[position];
            match self.check_capacity(endpoint, id) {
                Ok(()) => trace.add(Candidate { score: self.score(endpoint), endpoint }),
                Err(reason) => trace.exclusions.add(reason),
            }
            if trace.candidates >= MAX_CANDIDATES {
                break;
            }
        }
    }

    /// Returns why an endpoint can't take an attempt of a request, if so.
    fn check_capacity(&mut self, index: EndpointIndex, id: RequestId) -> Result<(), ExclusionReason> {
        if self.is_at_limit(index) {
            return Err(ExclusionReason::AtLimit);
        }
        if !self.panic_mode {
            if self.is_outlier(index) {
                return Err(ExclusionReason::Outlier);
            }
            if self.endpoints[index].outlier.on_probation && !self.may_probe(index, id) {
                return Err(ExclusionReason::OnProbation);
            }
        }
        if !self.earn_warmup_budget(index) {
            return Err(ExclusionReason::SlowStart);
        }
        if !self.may_send(id, index) {
            return Err(ExclusionReason::NotPermitted);
        }
        Ok(())
    }

    /// Returns whether an endpoint's limit, rounded up, is used up: by the group where its attempts are
    /// known, else by this node.
    fn is_at_limit(&self, index: EndpointIndex) -> bool {
        let endpoint = &self.endpoints[index];
        let (nodes, in_flight) = if self.knows_group_load() {
            (self.nodes_per_endpoint(), self.known_in_flight(index))
        } else {
            (1.0, endpoint.in_flight.len())
        };
        in_flight as f64 >= (endpoint.concurrency_limit * nodes).ceil().max(1.0)
    }

    /// Returns the score of an endpoint: smoothed peak latency relative to the expected, times attempts in
    /// flight and one, over its weight if that is its capacity. Endpoints advised against look slower.
    fn score(&mut self, index: EndpointIndex) -> f64 {
        let jitter = 1.0 + SCORE_JITTER * self.random();
        let endpoint = &self.endpoints[index];
        let has_weight = self.settings.weight_is_capacity;
        let weight = if has_weight { endpoint.weight.max(MIN_WEIGHT) } else { 1.0 };
        let penalty = self.advice.latency_penalty(endpoint.id, endpoint.started_at, self.now);
        let latency = endpoint.selection_latency_ratio(self.now);
        latency * (self.known_in_flight(index) as f64 + 1.0) / weight * jitter * penalty
    }

    fn endpoint_selected(&self, id: RequestId, best: Candidate, trace: &SelectionTrace) -> DecisionEvent {
        let endpoint = &self.endpoints[best.endpoint];
        let runner_up = |other: Candidate| -> (EndpointId, f32) {
            (self.endpoints[other.endpoint].id, other.score as f32)
        };
        DecisionEvent::EndpointSelected {
            id,
            endpoint: endpoint.id,
            score: best.score as f32,
            runner_up: trace.runner_up.map(runner_up),
            in_flight: endpoint.in_flight.len().min(usize::from(u16::MAX)) as u16,
            limit: endpoint.concurrency_limit as f32,
            exclusions: trace.exclusions,
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/selection.rs"]
mod tests;
