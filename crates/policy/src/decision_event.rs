//! Decisions and their reasons, recorded in addition to the actions for the flight recorder and the log.

use std::fmt;

use crate::time::seconds;
use crate::{EndpointId, Nanos, RequestId, SECOND};

/// Reason why an endpoint couldn't take an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExclusionReason {
    /// Its concurrency limit is reached.
    AtLimit,
    /// It is ejected, or has been silent for too long.
    Outlier,
    /// It is on probation: its only attempt is in flight, or this request may not be that attempt.
    OnProbation,
    /// It is in slow start and its budget is spent.
    SlowStart,
    /// The attempt must not be sent, because of draining, idempotency, key order, time or the number of
    /// attempts.
    NotPermitted,
}

impl ExclusionReason {
    /// All reasons, in their order in [`ExclusionReasons`].
    pub const ALL: [Self; 5] =
        [Self::AtLimit, Self::Outlier, Self::OnProbation, Self::SlowStart, Self::NotPermitted];
}

/// Number of endpoints that couldn't take an attempt, by reason in the order of [`ExclusionReason::ALL`].
/// Each count saturates at 255.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExclusionReasons(pub [u8; 5]);

impl ExclusionReasons {
    /// Counts an endpoint.
    pub fn add(&mut self, reason: ExclusionReason) {
        let count = &mut self.0[reason as usize];
        *count = count.saturating_add(1);
    }

    /// Returns the most common reason; `None` if no endpoint was excluded.
    #[must_use]
    pub fn most_common(&self) -> Option<ExclusionReason> {
        let counted = ExclusionReason::ALL.into_iter().zip(self.0).filter(|&(_, count)| count > 0);
        counted.max_by_key(|&(reason, count)| (count, std::cmp::Reverse(reason))).map(|(reason, _)| reason)
    }
}

/// Reason why a request gets no further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoRetryReason {
    /// It has had the maximum number of attempts.
    AttemptsExhausted,
    /// It may have been executed and must not be executed again.
    NotIdempotent,
    /// There is no time left.
    NoTimeLeft,
    /// The retry budget is spent.
    RetryBudgetSpent,
}

/// Reason why the module gave the final answer itself. Whether that answer is a rejection or a failure
/// depends on the class's idempotency and on whether the request may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// The expected wait of its tier is too large a fraction of its time left.
    ExpectedWaitTooLong,
    /// It was queued until no time was left to meet its objective.
    QueueTimeout,
    /// Its key's turn didn't come in time.
    KeyOrderTimeout,
    /// An attempt was unsuccessful and is not retried.
    NoRetry(NoRetryReason),
}

/// Reason why a concurrency limit changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChangeReason {
    /// The endpoint's utilization differs from that of all endpoints.
    ComparedLatency,
    /// An attempt at the endpoint failed or was rejected.
    Failure,
}

/// A decision or an observation of the module.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DecisionEvent {
    /// A request was classified.
    Classified {
        /// The request.
        id: RequestId,
        /// Its tier, 0 for the highest.
        tier: u8,
        /// Its weight, reduced if its tenant is over its share.
        priority_weight: f32,
        /// A response after this is late.
        objective_deadline: Nanos,
    },
    /// A request was queued, or waits for its key's turn.
    Queued {
        /// The request.
        id: RequestId,
        /// Number of queued requests of all tiers.
        queued: u32,
    },
    /// An endpoint was selected.
    EndpointSelected {
        /// The request.
        id: RequestId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Its score: latency ratio times attempts in flight plus one. The lowest score is selected.
        score: f32,
        /// The endpoint with the second-best score, and that score.
        runner_up: Option<(EndpointId, f32)>,
        /// This node's attempts in flight there before this one.
        in_flight: u16,
        /// Its concurrency limit.
        limit: f32,
        /// Number of endpoints that couldn't take the attempt, by reason.
        exclusions: ExclusionReasons,
    },
    /// No endpoint could be selected.
    NoEndpointAvailable {
        /// The request.
        id: RequestId,
        /// Number of excluded endpoints, by reason; all zero if this node had no capacity at all.
        exclusions: ExclusionReasons,
    },
    /// The module gave the final answer itself.
    AnsweredWithoutEndpoint {
        /// The request.
        id: RequestId,
        /// Reason for the answer.
        reason: RejectionReason,
        /// The expected wait divided by the time left, for [`RejectionReason::ExpectedWaitTooLong`];
        /// otherwise 0.
        wait_share: f32,
    },
    /// An endpoint's concurrency limit changed.
    LimitChanged {
        /// The endpoint.
        endpoint: EndpointId,
        /// Limit before the change.
        from: f32,
        /// Limit after the change.
        to: f32,
        /// Reason for the change.
        reason: LimitChangeReason,
    },
    /// All limits changed with the utilization of all endpoints.
    AllLimitsChanged {
        /// Factor applied to the limits.
        factor: f32,
        /// Smoothed latency relative to its target. Limits fall above 1.
        utilization: f32,
    },
    /// An endpoint was ejected.
    Ejected {
        /// The endpoint.
        endpoint: EndpointId,
        /// Duration of the ejection.
        duration: Nanos,
    },
    /// An endpoint on probation has answered successfully.
    Reinstated {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// The number of outliers among the endpoints in use; recorded when panic mode begins or ends.
    OutlierRatio {
        /// Number of outliers.
        outliers: u32,
        /// Number of endpoints in use.
        total: u32,
        /// Whether most endpoints are outliers, so that none is treated as one.
        panic_mode: bool,
    },
    /// A request was rejected for its expected wait or by a queue timeout, for the first time since the queue
    /// was last empty.
    OverloadStarted {
        /// Number of queued requests.
        queued: u32,
    },
    /// The queue is empty again.
    OverloadEnded,
    /// Discovery is no longer watched.
    WatchLost,
    /// Discovery is watched again.
    WatchRestored,
}

impl DecisionEvent {
    /// Returns whether the event is rare enough for a log.
    #[must_use]
    pub fn is_logged(&self) -> bool {
        self.log_kind().is_some()
    }

    /// Returns the index of the event's kind among the kinds that are logged.
    fn log_kind(&self) -> Option<usize> {
        Some(match self {
            Self::WatchLost => 0,
            Self::OutlierRatio { .. } => 1,
            Self::OverloadStarted { .. } => 2,
            Self::OverloadEnded => 3,
            Self::Reinstated { .. } => 4,
            Self::WatchRestored => 5,
            Self::Ejected { .. } => 6,
            _ => return None,
        })
    }
}

impl fmt::Display for DecisionEvent {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::WatchLost => write!(out, "discovery lost, keeping the last endpoints"),
            Self::WatchRestored => write!(out, "discovery restored"),
            Self::OutlierRatio { outliers, total, panic_mode } => {
                write!(out, "{outliers} of {total} endpoints are outliers; panic mode: {panic_mode}")
            }
            Self::OverloadStarted { queued } => {
                write!(out, "overload started: {queued} requests queued")
            }
            Self::OverloadEnded => write!(out, "overload ended"),
            Self::Ejected { endpoint, duration } => {
                write!(out, "endpoint {} ejected for {:.1} s", endpoint.0, seconds(*duration))
            }
            Self::Reinstated { endpoint } => write!(out, "endpoint {} reinstated", endpoint.0),
            other => write!(out, "{other:?}"),
        }
    }
}

/// Number of kinds of events that are logged.
const LOG_KINDS: usize = 7;
/// Minimum time between two lines of one kind.
const LOG_INTERVAL: Nanos = 5 * SECOND;

/// Log lines of decision events, rate-limited by kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateLimitedLog([Nanos; LOG_KINDS]);

impl RateLimitedLog {
    /// Returns the line to be logged at `now`, if any.
    pub fn line(&mut self, event: &DecisionEvent, now: Nanos) -> Option<String> {
        let last = &mut self.0[event.log_kind()?];
        if *last != 0 && now < *last + LOG_INTERVAL {
            return None;
        }
        *last = now;
        Some(event.to_string())
    }
}

#[cfg(test)]
#[path = "../tests/unit/decision_event.rs"]
mod tests;
