//! Statistics of one pool over a time range, and the faults they show.

use std::collections::BTreeMap;

use pumicehead_policy::{AttemptOutcome, Nanos};

use super::Symptom;
use crate::code_tables::outcome_code;
use crate::loss_ledger::{EndpointTotals, TrafficTotals};

/// An endpoint is an outlier if its share of an outcome exceeds this multiple of the others' share.
const OUTLIER_RATIO: f64 = 2.0;
/// Margin by which the share of an outlier exceeds that multiple.
const OUTLIER_MARGIN: f64 = 0.02;
/// Greatest probability that an outlier's count occurs by chance.
const MAX_CHANCE_PROBABILITY: f64 = 1e-3;
/// Lower bound of the share of an outcome at other endpoints, for the probability that a count occurs by chance.
const MIN_FAILURE_SHARE: f64 = 0.01;
/// Fewest responses that a mean is taken of.
const MIN_RESPONSES: u64 = 3;
/// Latency ratio to other endpoints from which an endpoint is slow.
const SLOW_RATIO: f64 = 1.5;
/// Success share above which a slow endpoint does not count as unresponsive.
const MIN_RESPONSIVE_SUCCESS_SHARE: f64 = 0.5;
/// Success share below which a class gets too few responses.
const MAX_STARVED_SUCCESS_SHARE: f64 = 0.2;
/// Success share of other classes from which the endpoints count as healthy.
const MIN_HEALTHY_SUCCESS_SHARE: f64 = 0.8;

/// Totals of one pool over the time range.
#[derive(Default)]
pub(super) struct PoolStats {
    pub(super) endpoints: BTreeMap<u32, EndpointTotals>,
    pub(super) classes: BTreeMap<u16, TrafficTotals>,
}

/// Shares of attempts with certain outcomes, from 0 to 1.
pub(super) struct OutcomeShares {
    /// At the endpoint.
    pub(super) own: f64,
    /// At all other endpoints of the pool.
    pub(super) others: f64,
    /// Number of such attempts at the endpoint.
    pub(super) own_count: u64,
}

impl PoolStats {
    /// Returns the share of attempts that ended with one of the outcomes, at an endpoint and at all others.
    pub(super) fn outcome_shares(&self, endpoint: u32, outcomes: &[AttemptOutcome]) -> OutcomeShares {
        let count = |row: &EndpointTotals| {
            outcomes.iter().map(|outcome| row.attempts_by_outcome[outcome_code(*outcome)]).sum::<u64>()
        };
        let (mut own, mut others) = ((0, 0), (0, 0));
        for (id, row) in &self.endpoints {
            let sum = if *id == endpoint { &mut own } else { &mut others };
            *sum = (sum.0 + count(row), sum.1 + row.attempts());
        }
        let share = |(matching, all): (u64, u64)| matching as f64 / (all as f64).max(1.0);
        OutcomeShares { own: share(own), others: share(others), own_count: own.0 }
    }

    /// Whether an endpoint has these outcomes significantly more often than the others.
    fn is_outlier(&self, endpoint: u32, outcomes: &[AttemptOutcome]) -> bool {
        let OutcomeShares { own, others, own_count: count } = self.outcome_shares(endpoint, outcomes);
        let attempts = self.endpoints.get(&endpoint).map_or(0, EndpointTotals::attempts);
        // Chernoff bound on the probability of a binomial count of k or more: (e n p / k)^k.
        let expected = attempts as f64 * others.max(MIN_FAILURE_SHARE);
        let chance_probability = (std::f64::consts::E * expected / count.max(1) as f64).powf(count as f64);
        count > 0
            && own > OUTLIER_RATIO * others + OUTLIER_MARGIN
            && chance_probability < MAX_CHANCE_PROBABILITY
    }

    /// Returns the ratio of an endpoint's mean latency to the median of the others'; 1 if there are too few responses.
    pub(super) fn latency_ratio(&self, endpoint: u32) -> f64 {
        let successes = |row: &EndpointTotals| row.attempts_by_outcome[outcome_code(AttemptOutcome::Success)];
        let Some(row) = self.endpoints.get(&endpoint).filter(|row| successes(row) >= MIN_RESPONSES) else {
            return 1.0;
        };
        let mean = |row: &EndpointTotals| row.relative_latency_permille as f64 / successes(row).max(1) as f64;
        let mut others: Vec<_> = self
            .endpoints
            .iter()
            .filter(|(id, row)| **id != endpoint && successes(row) > 0)
            .map(|(_, row)| mean(row))
            .collect();
        others.sort_by(f64::total_cmp);
        // The median is robust against another slow endpoint.
        others.get(others.len() / 2).map_or(1.0, |middle| mean(row) / middle.max(1.0))
    }

    /// Returns the symptom of an endpoint, if it has one. If it is an outlier in several outcomes, the one whose share exceeds
    /// that of the other endpoints the most counts.
    pub(super) fn symptom(&self, endpoint: u32) -> Option<Symptom> {
        let outcomes: [(&[AttemptOutcome], Symptom); 5] = [
            (&[AttemptOutcome::TimedOut, AttemptOutcome::Cancelled], Symptom::Unresponsive),
            (&[AttemptOutcome::Reset], Symptom::ConnectionResets),
            (&[AttemptOutcome::ConnectFailed], Symptom::Unreachable),
            (&[AttemptOutcome::Error], Symptom::ErrorResponses),
            (&[AttemptOutcome::Rejected], Symptom::RejectsRequests),
        ];
        let own = outcomes.into_iter().filter(|(outcomes, _)| self.is_outlier(endpoint, outcomes));
        let worst = own.max_by(|(one, _), (other, _)| {
            let excess = |outcomes| {
                let shares = self.outcome_shares(endpoint, outcomes);
                shares.own - shares.others
            };
            excess(one).total_cmp(&excess(other))
        });
        let slow = self.latency_ratio(endpoint) >= SLOW_RATIO;
        match worst.map(|(_, symptom)| symptom) {
            // Attempts time out or are cancelled because they take too long, but most are answered: slow, not unresponsive.
            Some(Symptom::Unresponsive)
                if slow && self.success_share(endpoint) > MIN_RESPONSIVE_SUCCESS_SHARE =>
            {
                Some(Symptom::SlowResponses)
            }
            None if slow => Some(Symptom::SlowResponses),
            symptom => symptom,
        }
    }

    /// Returns the share of an endpoint's attempts that succeeded.
    fn success_share(&self, endpoint: u32) -> f64 {
        self.outcome_shares(endpoint, &[AttemptOutcome::Success]).own
    }

    /// Returns the concurrency that a faulty endpoint used without a result or beyond the usual latency, in microseconds.
    pub(super) fn wasted_us(&self, endpoint: u32, row: &EndpointTotals) -> u64 {
        if self.symptom(endpoint).is_none() {
            return 0;
        }
        let slow = self.latency_ratio(endpoint);
        let extra = if slow >= SLOW_RATIO { row.successful_us as f64 * (1.0 - 1.0 / slow) } else { 0.0 };
        row.unsuccessful_us.saturating_add(extra as u64)
    }

    /// Whether the latency objective or deadline of a class is too short: its fastest response misses the objective, or it gets
    /// almost no responses while other classes do.
    pub(super) fn objective_too_short(&self, class: u16, latency_objective: Nanos, deadline: Nanos) -> bool {
        let Some(traffic) = self.classes.get(&class) else { return false };
        // A response after the objective earns less, whatever the deadline.
        if traffic.successful_attempts >= MIN_RESPONSES
            && traffic.min_successful_us_plus_one.saturating_sub(1).saturating_mul(1_000) > latency_objective
        {
            return true;
        }
        let all = traffic.successful_attempts + traffic.unsuccessful_attempts;
        let others = self.classes.iter().filter(|(other, _)| **other != class);
        let (successes, attempts, took) = others.fold((0, 0, 0), |(a, t, s), (_, other)| {
            (
                a + other.successful_attempts,
                t + other.successful_attempts + other.unsuccessful_attempts,
                s + other.successful_us,
            )
        });
        let starved = all >= MIN_RESPONSES
            && (traffic.successful_attempts as f64) < MAX_STARVED_SUCCESS_SHARE * all as f64;
        let others_healthy =
            attempts >= MIN_RESPONSES && successes as f64 >= MIN_HEALTHY_SUCCESS_SHARE * attempts as f64;
        // The mean latency of other classes is more than half of what this class allows.
        starved
            && others_healthy
            && took.saturating_mul(1_000) / successes.max(1) > deadline.min(latency_objective) / 2
    }
}
