//! What was decided and why, beside the actions: for a flight recorder and for the log.

use std::fmt;

use crate::time::seconds;
use crate::{EndpointId, Nanos, RequestId, SECOND};

/// Why an endpoint couldn't take an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExclusionReason {
    /// Its concurrency limit is reached.
    AtLimit,
    /// It is ejected, or silent for too long.
    Outlier,
    /// It is on probation: its one attempt is in flight, or this request may not be that attempt.
    OnProbation,
    /// It is in slow start, and its budget is spent.
    SlowStart,
    /// The attempt must not be sent: because of draining, idempotency, the order of a key, the time or the
    /// number of attempts.
    NotPermitted,
}

impl ExclusionReason {
    /// All of them, in their order in [`ExclusionReasons`].
    pub const ALL: [Self; 5] =
        [Self::AtLimit, Self::Outlier, Self::OnProbation, Self::SlowStart, Self::NotPermitted];
}

/// How many endpoints couldn't take an attempt, by reason in the order of [`ExclusionReason::ALL`]; more than
/// 255 count as 255.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExclusionReasons(pub [u8; 5]);

impl ExclusionReasons {
    /// Counts an endpoint.
    pub fn add(&mut self, reason: ExclusionReason) {
        let count = &mut self.0[reason as usize];
        *count = count.saturating_add(1);
    }

    /// The commonest reason; `None` if no endpoint was excluded.
    #[must_use]
    pub fn most(&self) -> Option<ExclusionReason> {
        let counted = ExclusionReason::ALL.into_iter().zip(self.0).filter(|&(_, count)| count > 0);
        counted.max_by_key(|&(reason, count)| (count, std::cmp::Reverse(reason))).map(|(reason, _)| reason)
    }
}

/// Why a request gets no further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoRetryReason {
    /// It has made all the attempts that it may.
    AttemptsExhausted,
    /// It may have been executed, and must not be executed again.
    NotIdempotent,
    /// There is no time left.
    NoTimeLeft,
    /// The retry budget is spent.
    RetryBudgetSpent,
}

/// Why the module gave the final answer itself. Whether that is a rejection or a failure depends on whether
/// the request may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// The expected wait of its tier is too large a share of its time left.
    ExpectedWaitTooLong,
    /// It was queued until no time was left for its objective.
    QueueTimeout,
    /// Its key's turn didn't come in time.
    KeyOrderTimeout,
    /// An attempt was unsuccessful, and there is no retry.
    NoRetry(NoRetryReason),
}

/// Why a concurrency limit changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChangeReason {
    /// The endpoint's latency differs from that of the others.
    ComparedLatency,
    /// An attempt there failed or was rejected.
    Failure,
}

/// A decision or a finding of the module.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DecisionEvent {
    /// A request was classified.
    Classified {
        /// Which.
        id: RequestId,
        /// Its tier, 0 the highest.
        tier: u8,
        /// Its weight, reduced if its tenant is over its share.
        priority_weight: f32,
        /// A response after this is late.
        objective_deadline: Nanos,
    },
    /// A request is queued, or waits for its key's turn.
    Queued {
        /// Which.
        id: RequestId,
        /// How many are queued, of all tiers.
        queued: u32,
    },
    /// An endpoint was selected.
    EndpointSelected {
        /// For which request.
        id: RequestId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Its latency ratio, times attempts in flight and one; the least is best.
        score: f32,
        /// The runner-up and its score.
        runner_up: Option<(EndpointId, f32)>,
        /// Own attempts there before this one.
        in_flight: u16,
        /// Its concurrency limit.
        limit: f32,
        /// The endpoints that couldn't take it.
        exclusions: ExclusionReasons,
    },
    /// No endpoint could be selected.
    NoEndpointAvailable {
        /// For which request.
        id: RequestId,
        /// The reasons; all zero if this node had no capacity at all.
        exclusions: ExclusionReasons,
    },
    /// The module gives the final answer itself.
    AnsweredWithoutEndpoint {
        /// To which request.
        id: RequestId,
        /// Why.
        reason: RejectionReason,
        /// The expected wait over the time left, for [`RejectionReason::ExpectedWaitTooLong`]; else 0.
        wait_share: f32,
    },
    /// An endpoint's concurrency limit changed.
    LimitChanged {
        /// Whose.
        endpoint: EndpointId,
        /// Before.
        from: f32,
        /// From now on.
        to: f32,
        /// Why.
        reason: LimitChangeReason,
    },
    /// All limits changed with the utilization of all endpoints.
    AllLimitsChanged {
        /// By this factor.
        factor: f32,
        /// Smoothed latency relative to its target: above 1 limits fall.
        utilization: f32,
    },
    /// An endpoint was ejected.
    Ejected {
        /// Which.
        endpoint: EndpointId,
        /// For how long.
        duration: Nanos,
    },
    /// An endpoint on probation has answered.
    Reinstated {
        /// Which.
        endpoint: EndpointId,
    },
    /// How many endpoints in use are outliers, when panic mode begins or ends.
    OutlierRatio {
        /// So many.
        outliers: u32,
        /// Of so many.
        total: u32,
        /// Most do, so none is treated as an outlier.
        panic_mode: bool,
    },
    /// The first request was rejected for its expected wait or a queue timeout since the queue was last
    /// empty.
    OverloadStarted {
        /// How many requests are queued.
        queued: u32,
    },
    /// The queue is empty again.
    OverloadEnded,
    /// Discovery is no longer being watched.
    WatchLost,
    /// Discovery is being watched again.
    WatchRestored,
}

impl DecisionEvent {
    /// Whether it is rare enough for a log.
    #[must_use]
    pub fn is_logged(&self) -> bool {
        self.log_kind().is_some()
    }

    /// Its position among the kinds of logged events.
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

/// How many kinds of events are logged.
const LOG_KINDS: usize = 7;
/// Least time between two lines of one kind.
const LOG_INTERVAL: Nanos = 5 * SECOND;

/// Log lines of decision events, one of each kind every few seconds.
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
