//! Counts requests and attempts in the ledger and the metrics.

use pumicehead_policy::{AttemptOutcome, EndpointId, Nanos, RequestId};

use super::Recorder;
use crate::code_tables::outcome_code;
use crate::event::{ListenerRejection, PoolId};
use crate::loss_cause::{LossCause, to_micro_weight};
use crate::loss_ledger::{EndpointKey, LossKey, NO_ENDPOINT, TrafficKey, TrafficTotals};
use crate::request_progress::LossAssessment;

/// Greatest relative latency of an attempt, in thousandths; larger ones count as this one.
const MAX_RELATIVE_LATENCY_PERMILLE: u64 = 100_000;

/// An attempt that has ended.
pub(super) struct EndedAttempt {
    pub(super) id: RequestId,
    pub(super) endpoint: EndpointId,
    pub(super) outcome: AttemptOutcome,
    pub(super) duration: Nanos,
    /// Part of the duration that was spent on getting a connection.
    pub(super) connect_time: Nanos,
}

impl Recorder {
    /// Adds a request that has ended to the ledger.
    pub(super) fn account_request(
        &mut self,
        at: Nanos,
        pool: PoolId,
        class: u16,
        assessment: &LossAssessment,
    ) {
        let traffic = self.ledger.traffic.row_mut(at, TrafficKey { pool, class });
        traffic.requests += 1;
        traffic.offered += assessment.offered;
        traffic.earned += assessment.earned;
        if let Some(cause) = assessment.cause {
            let endpoint = assessment.endpoint.map_or(NO_ENDPOINT, |endpoint| endpoint.0);
            let loss = self.ledger.losses.row_mut(at, LossKey { pool, class, cause: cause.code(), endpoint });
            loss.requests += 1;
            loss.lost += assessment.lost();
        }
    }

    /// Adds a request that a listener rejected to the ledger and the metrics.
    pub(super) fn account_rejection(
        &mut self,
        at: Nanos,
        pool: PoolId,
        class: u16,
        reason: ListenerRejection,
    ) {
        let weight = self.class(pool, class).map_or(0, |class| to_micro_weight(class.priority_weight));
        let cause = Some(LossCause::from_rejection(reason));
        let assessment =
            LossAssessment { offered: weight, earned: 0, cause, endpoint: None, no_retry_reason: None };
        self.account_request(at, pool, class, &assessment);
        self.metrics.request_rejected(reason);
    }

    /// Adds an attempt that has ended to the ledger and the metrics.
    pub(super) fn account_attempt(&mut self, at: Nanos, pool: PoolId, ended: &EndedAttempt) {
        let duration_us = ended.duration / 1_000;
        let class = self.open.get(&(pool, ended.id)).map(|open| open.class);
        let relative_latency = class.map_or(0, |class| {
            let traffic = self.ledger.traffic.row_mut(at, TrafficKey { pool, class });
            account_class_attempt(traffic, ended.outcome, duration_us)
        });
        let row = self.ledger.endpoints.row_mut(at, EndpointKey { pool, endpoint: ended.endpoint.0 });
        row.attempts_by_outcome[outcome_code(ended.outcome)] += 1;
        row.connect_us += ended.connect_time / 1_000;
        if ended.outcome == AttemptOutcome::Success {
            row.successful_us += duration_us;
            row.relative_latency_permille += relative_latency;
        } else {
            row.unsuccessful_us += duration_us;
        }
        self.metrics.attempt_ended(ended.outcome);
    }
}

/// Adds an attempt to the totals of its class. Returns its duration relative to the mean of the class, in thousandths; 0 unless
/// it succeeded.
fn account_class_attempt(traffic: &mut TrafficTotals, outcome: AttemptOutcome, duration_us: u64) -> u64 {
    if outcome != AttemptOutcome::Success {
        traffic.unsuccessful_attempts += 1;
        return 0;
    }
    traffic.successful_attempts += 1;
    traffic.successful_us += duration_us;
    traffic.min_successful_us_plus_one = match traffic.min_successful_us_plus_one {
        0 => duration_us + 1,
        fastest => fastest.min(duration_us + 1),
    };
    let mean_us = (traffic.successful_us / traffic.successful_attempts).max(1);
    (duration_us * 1_000 / mean_us).min(MAX_RELATIVE_LATENCY_PERMILLE)
}
