//! Statistics of one pool over a time range, and the faults they show.

use std::collections::BTreeMap;

use pumicehead_policy::{AttemptOutcome, Nanos};

use super::Symptom;
use crate::code_tables::outcome_index;
use crate::loss_ledger::{EndpointTotals, TrafficTotals};

/// An endpoint is an outlier if its share of an outcome exceeds this multiple of the others' share.
const OUTLIER_RATIO: f64 = 2.0;
/// Margin by which an outlier's share exceeds that multiple.
const OUTLIER_MARGIN: f64 = 0.02;
/// Greatest probability that an outlier's count occurs by chance.
const MAX_CHANCE: f64 = 1e-3;
/// Failure share of other endpoints that the probability assumes at least.
const MIN_FAILURE_SHARE: f64 = 0.01;
/// Fewest responses for a mean.
const MIN_ANSWERS: u64 = 3;
/// Latency ratio to other endpoints from which an endpoint is slow.
const SLOW_RATIO: f64 = 1.5;
/// Success share above which an endpoint is not unresponsive.
const MOSTLY_ANSWERED: f64 = 0.5;
/// Success share below which a class is starved of responses.
const STARVED_ANSWER_SHARE: f64 = 0.2;
/// Success share of other classes from which endpoints are healthy.
const HEALTHY_ANSWER_SHARE: f64 = 0.8;

/// Totals of one pool over the time range.
#[derive(Default)]
pub(super) struct PoolStats {
    pub(super) endpoints: BTreeMap<u32, EndpointTotals>,
    pub(super) classes: BTreeMap<u16, TrafficTotals>,
}

/// Shares of attempts with certain outcomes, from 0 to 1.
pub(super) struct FailureShares {
    /// At the endpoint.
    pub(super) own: f64,
    /// At all other endpoints of the pool.
    pub(super) others: f64,
    /// Number of such attempts at the endpoint.
    pub(super) own_count: u64,
}

impl PoolStats {
    /// Returns the share of attempts that ended with one of the outcomes, at an endpoint and at all others.
    pub(super) fn shares(&self, endpoint: u32, outcomes: &[AttemptOutcome]) -> FailureShares {
        let count = |row: &EndpointTotals| {
            outcomes.iter().map(|outcome| row.attempts_by_outcome[outcome_index(*outcome)]).sum::<u64>()
        };
        let (mut own, mut others) = ((0, 0), (0, 0));
        for (id, row) in &self.endpoints {
            let sum = if *id == endpoint { &mut own } else { &mut others };
            *sum = (sum.0 + count(row), sum.1 + row.attempts());
        }
        let share = |(bad, all): (u64, u64)| bad as f64 / (all as f64).max(1.0);
        FailureShares { own: share(own), others: share(others), own_count: own.0 }
    }

    /// Whether an endpoint has these outcomes significantly more often than the others.
    fn is_outlier(&self, endpoint: u32, outcomes: &[AttemptOutcome]) -> bool {
        let FailureShares { own, others, own_count: count } = self.shares(endpoint, outcomes);
        let attempts = self.endpoints.get(&endpoint).map_or(0, EndpointTotals::attempts);
        // Chernoff bound on the probability of a binomial count of k or more: (e n p / k)^k.
        let expected = attempts as f64 * others.max(MIN_FAILURE_SHARE);
        let chance = (std::f64::consts::E * expected / count.max(1) as f64).powf(count as f64);
        count > 0 && own > OUTLIER_RATIO * others + OUTLIER_MARGIN && chance < MAX_CHANCE
    }

    /// Returns the ratio of an endpoint's latency to the median of the others.
    pub(super) fn latency_ratio(&self, endpoint: u32) -> f64 {
        let answered = |row: &EndpointTotals| row.attempts_by_outcome[outcome_index(AttemptOutcome::Success)];
        let Some(row) = self.endpoints.get(&endpoint).filter(|row| answered(row) >= MIN_ANSWERS) else {
            return 1.0;
        };
        let mean = |row: &EndpointTotals| row.relative_latency_permille as f64 / answered(row).max(1) as f64;
        let mut others: Vec<_> = self
            .endpoints
            .iter()
            .filter(|(id, row)| **id != endpoint && answered(row) > 0)
            .map(|(_, row)| mean(row))
            .collect();
        others.sort_by(f64::total_cmp);
        // The median is robust against another slow endpoint.
        others.get(others.len() / 2).map_or(1.0, |middle| mean(row) / middle.max(1.0))
    }

    /// Returns the gravest symptom of an endpoint, if it has any.
    pub(super) fn symptom(&self, endpoint: u32) -> Option<Symptom> {
        let outcomes: [(&[AttemptOutcome], Symptom); 5] = [
            (&[AttemptOutcome::TimedOut, AttemptOutcome::Cancelled], Symptom::Unresponsive),
            (&[AttemptOutcome::Reset], Symptom::ConnectionResets),
            (&[AttemptOutcome::ConnectFailed], Symptom::Unreachable),
            (&[AttemptOutcome::Error], Symptom::ErrorResponses),
            (&[AttemptOutcome::Rejected], Symptom::RejectsRequests),
        ];
        let own = outcomes.into_iter().filter(|(outcomes, _)| self.is_outlier(endpoint, outcomes));
        let gravest = own.max_by(|(one, _), (other, _)| {
            let excess = |outcomes| {
                let shares = self.shares(endpoint, outcomes);
                shares.own - shares.others
            };
            excess(one).total_cmp(&excess(other))
        });
        let slow = self.latency_ratio(endpoint) >= SLOW_RATIO;
        match gravest.map(|(_, symptom)| symptom) {
            // Cancelled for being late while it still answers most attempts: slow, not unresponsive.
            Some(Symptom::Unresponsive) if slow && self.answered_share(endpoint) > MOSTLY_ANSWERED => {
                Some(Symptom::SlowResponses)
            }
            None if slow => Some(Symptom::SlowResponses),
            symptom => symptom,
        }
    }

    /// Returns the share of an endpoint's attempts that succeeded.
    fn answered_share(&self, endpoint: u32) -> f64 {
        self.shares(endpoint, &[AttemptOutcome::Success]).own
    }

    /// Returns the microseconds of concurrency that a faulty endpoint used without benefit.
    pub(super) fn wasted_us(&self, endpoint: u32, row: &EndpointTotals) -> u64 {
        if self.symptom(endpoint).is_none() {
            return 0;
        }
        let slow = self.latency_ratio(endpoint);
        let extra = if slow >= SLOW_RATIO { row.answered_us as f64 * (1.0 - 1.0 / slow) } else { 0.0 };
        row.unanswered_us.saturating_add(extra as u64)
    }

    /// Whether a class's objective or deadline is too short for its responses, while other classes are answered.
    pub(super) fn objective_too_short(&self, class: u16, latency_objective: Nanos, deadline: Nanos) -> bool {
        let Some(flow) = self.classes.get(&class) else { return false };
        // What is earned depends on the objective, whatever the deadline.
        if flow.answered_attempts >= MIN_ANSWERS
            && flow.fastest_us_plus_one.saturating_sub(1).saturating_mul(1_000) > latency_objective
        {
            return true;
        }
        let all = flow.answered_attempts + flow.unanswered_attempts;
        let others = self.classes.iter().filter(|(other, _)| **other != class);
        let (answered, tried, took) = others.fold((0, 0, 0), |(a, t, s), (_, other)| {
            (
                a + other.answered_attempts,
                t + other.answered_attempts + other.unanswered_attempts,
                s + other.answered_us,
            )
        });
        let starved =
            all >= MIN_ANSWERS && (flow.answered_attempts as f64) < STARVED_ANSWER_SHARE * all as f64;
        let others_healthy = tried >= MIN_ANSWERS && answered as f64 >= HEALTHY_ANSWER_SHARE * tried as f64;
        // The mean latency of other classes is more than this class allows.
        starved
            && others_healthy
            && took.saturating_mul(1_000) / answered.max(1) > deadline.min(latency_objective) / 2
    }
}
