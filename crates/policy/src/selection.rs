//! Selection of an endpoint for an attempt: the lowest product of latency and requests in flight in a random
//! sample.

use crate::balancer::Balancer;
use crate::decision_event::{DecisionEvent, ExclusionReason, ExclusionReasons};
use crate::endpoints::EndpointIndex;
use crate::subsetting::Locality;
use crate::{EndpointId, RequestId};

/// Number of candidates compared: enough to avoid a bad endpoint, few enough to be fast and to avoid herding.
const MAX_CANDIDATES: usize = 5;
/// Maximum number of endpoints drawn to find the candidates, since some may have no capacity.
const MAX_DRAWS: usize = 4 * MAX_CANDIDATES;
/// Maximum random part of a score, relative to it: breaks ties.
const SCORE_JITTER: f64 = 0.05;
/// Minimum weight of an endpoint relative to others.
const MIN_WEIGHT: f64 = 0.1;

/// An endpoint that can take the attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Candidate {
    /// Lower is better.
    pub score: f64,
    pub endpoint: EndpointIndex,
}

/// Candidates and exclusions of one selection.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SelectionTrace {
    pub best: Option<Candidate>,
    pub runner_up: Option<Candidate>,
    pub candidates: usize,
    pub exclusions: ExclusionReasons,
}

impl SelectionTrace {
    /// Adds a candidate. Among equal scores the first one is best.
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
    /// Returns the endpoint for the next attempt of a request, if any can take it. The node's own zone is
    /// preferred while it has capacity.
    pub(crate) fn select_endpoint(&mut self, id: RequestId) -> Option<EndpointIndex> {
        let mut trace = SelectionTrace::default();
        for locality in Locality::ALL {
            if self.is_locality_full(locality) {
                continue;
            }
            self.sample_candidates(id, locality, &mut trace);
            if let Some(best) = trace.best {
                self.trace(|balancer| balancer.endpoint_selected(id, best, &trace));
                return Some(best.endpoint);
            }
        }
        self.trace(|_| DecisionEvent::NoEndpointAvailable { id, exclusions: trace.exclusions });
        None
    }

    /// Compares the endpoints of a locality: all of them if there are few, otherwise a random sample with a
    /// bounded number of draws.
    fn sample_candidates(&mut self, id: RequestId, locality: Locality, trace: &mut SelectionTrace) {
        let count = self.subset[locality].active.len();
        let compares_all = count <= MAX_CANDIDATES;
        for draw in 0..if compares_all { count } else { MAX_DRAWS } {
            let position = if compares_all { draw } else { (self.random() * count as f64) as usize };
            let endpoint = self.subset[locality].active[position];
            match self.check_eligibility(endpoint, id) {
                Ok(()) => trace.add(Candidate { score: self.score(endpoint), endpoint }),
                Err(reason) => trace.exclusions.add(reason),
            }
            if trace.candidates >= MAX_CANDIDATES {
                break;
            }
        }
    }

    /// Checks whether an endpoint can take an attempt of a request. The error says why it can't.
    fn check_eligibility(&mut self, index: EndpointIndex, id: RequestId) -> Result<(), ExclusionReason> {
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

    /// Returns whether an endpoint's limit, rounded up, is used up: by the whole group if its attempts are
    /// known, otherwise by this node.
    fn is_at_limit(&self, index: EndpointIndex) -> bool {
        let endpoint = &self.endpoints[index];
        let (nodes, in_flight) = if self.knows_group_load() {
            (self.nodes_per_endpoint(), self.known_in_flight(index))
        } else {
            (1.0, endpoint.in_flight.len())
        };
        in_flight as f64 >= (endpoint.concurrency_limit * nodes).ceil().max(1.0)
    }

    /// Returns the score of an endpoint: smoothed peak latency relative to the expected latency, times
    /// attempts in flight plus one, divided by its weight if weights are capacities. Endpoints that advice
    /// says to avoid look slower.
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
