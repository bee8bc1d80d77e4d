//! Why the module decided as it did: small facts beside its actions, for a recorder and for the log. They
//! decide nothing, and whoever does not read them loses nothing.

use std::fmt;

use crate::time::seconds;
use crate::{EndpointId, Nanos, RequestId, SECOND};

/// Why a server was passed over in a pick.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExclusionReason {
    /// This node's places there are taken.
    AtLimit,
    /// Set aside after failures, or silent for too long.
    Outlier,
    /// Back after failures, and its one trial is out or this request may not be it.
    OnProbation,
    /// Just started: what a cold server may be sent is spent.
    SlowStart,
    /// A rule forbids it for this request: a drain, an effect that must not repeat, a turn, the time or the
    /// tries.
    NotPermitted,
}

impl ExclusionReason {
    /// All of them, in their order in [`ExclusionReasons`].
    pub const ALL: [Self; 5] =
        [Self::AtLimit, Self::Outlier, Self::OnProbation, Self::SlowStart, Self::NotPermitted];
}

/// How many servers were passed over in a pick, by hurdle in the order of [`ExclusionReason::ALL`]; a pick
/// looks at some tens of servers at most, and more than 255 count as 255.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExclusionReasons(pub [u8; 5]);

impl ExclusionReasons {
    /// One more.
    pub fn add(&mut self, hurdle: ExclusionReason) {
        let count = &mut self.0[hurdle as usize];
        *count = count.saturating_add(1);
    }

    /// What stood in the way of most servers; `None` where no server was looked at.
    #[must_use]
    pub fn most(&self) -> Option<ExclusionReason> {
        let counted = ExclusionReason::ALL.into_iter().zip(self.0).filter(|&(_, count)| count > 0);
        counted.max_by_key(|&(hurdle, count)| (count, std::cmp::Reverse(hurdle))).map(|(hurdle, _)| hurdle)
    }
}

/// Why a request gets no further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoRetryReason {
    /// It has made all the attempts that it may.
    AttemptsExhausted,
    /// It may have run, and must not take effect again.
    NotIdempotent,
    /// There is no time left.
    NoTimeLeft,
    /// Retries are a share of requests, and that is spent.
    RetryBudgetSpent,
}

/// The rule by which the module gives a final answer of its own. Whether it is worded as a refusal or as a
/// failure depends on whether the request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// Its tier's queue is so long that the wait would take too large a share of its time.
    QueueTooLong,
    /// It was held until nearly no time was left for its aim.
    QueueTimeout,
    /// Its key's turn did not come in time.
    KeyOrderTimeout,
    /// An attempt has ended badly, and there is no other.
    NoRetry(NoRetryReason),
}

/// Why a limit moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChangeReason {
    /// The server's latency differs from the others'.
    ComparedLatency,
    /// An attempt there failed or was turned away.
    Failure,
}

/// A fact.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DecisionEvent {
    /// A request was ranked.
    Classified {
        /// Which.
        id: RequestId,
        /// Its tier, 0 the highest.
        tier: u8,
        /// Its worth, less what its tenant is over its share.
        priority_weight: f32,
        /// An answer after this is late.
        objective_deadline: Nanos,
    },
    /// It waits: no server has room for it.
    Queued {
        /// Which.
        id: RequestId,
        /// How many wait with it, of all tiers.
        queued: u32,
    },
    /// A server was picked.
    EndpointSelected {
        /// For which request.
        id: RequestId,
        /// The server.
        endpoint: EndpointId,
        /// Its smoothed latency over the expected, times own attempts and one.
        score: f32,
        /// The runner-up and its score.
        runner_up: Option<(EndpointId, f32)>,
        /// Own attempts there before this one.
        in_flight: u16,
        /// Its limit.
        limit: f32,
        /// Who was passed over.
        exclusions: ExclusionReasons,
    },
    /// No server could be picked.
    NoEndpointAvailable {
        /// For which request.
        id: RequestId,
        /// What stood in the way; all zero where the sum of limits was used up before any was looked at.
        exclusions: ExclusionReasons,
    },
    /// The module gives the final answer itself.
    AnsweredWithoutEndpoint {
        /// To which request.
        id: RequestId,
        /// By which rule.
        reason: RejectionReason,
        /// The queue's wait as the rule saw it, over the time left; 0 where the rule does not look at it.
        pressure: f32,
    },
    /// A server's limit moved.
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
    /// All limits moved with the latency of all.
    AllLimitsChanged {
        /// By this factor.
        factor: f32,
        /// Smoothed latency over its mark: above 1 they fall.
        utilization: f32,
    },
    /// A server is set aside.
    Ejected {
        /// Which.
        endpoint: EndpointId,
        /// For how long.
        duration: Nanos,
    },
    /// It has answered again.
    Reinstated {
        /// Which.
        endpoint: EndpointId,
    },
    /// How many servers in use look out of order.
    OutlierRatio {
        /// So many.
        outliers: u32,
        /// Of so many.
        total: u32,
        /// Most do: then it is not they, and all are used.
        panic_mode: bool,
    },
    /// Overload begins.
    OverloadStarted {
        /// Requests held.
        queued: u32,
    },
    /// It is over.
    OverloadEnded,
    /// The list of servers is no longer told.
    WatchLost,
    /// It is again.
    WatchRestored,
}

impl DecisionEvent {
    /// Whether it belongs in a log as it is: few and telling.
    #[must_use]
    pub fn is_logged(&self) -> bool {
        self.kind().is_some()
    }

    /// Its kind among news.
    fn kind(&self) -> Option<usize> {
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
            Self::WatchLost => write!(out, "list of servers lost, going on with the last one"),
            Self::WatchRestored => write!(out, "list of servers regained"),
            Self::OutlierRatio { outliers, total, panic_mode } => {
                write!(out, "{outliers} of {total} servers look out of order; most in doubt: {panic_mode}")
            }
            Self::OverloadStarted { queued } => {
                write!(out, "overload entered: {queued} requests held, refusing the lowest tiers")
            }
            Self::OverloadEnded => write!(out, "overload left"),
            Self::Ejected { endpoint, duration } => {
                write!(out, "server {} set aside for {:.1} s", endpoint.0, seconds(*duration))
            }
            Self::Reinstated { endpoint } => write!(out, "server {} is back", endpoint.0),
            other => write!(out, "{other:?}"),
        }
    }
}

/// Least time between two lines of one kind.
const EVERY: Nanos = 5 * SECOND;

/// Picks, for hosts that keep a plain log, a line of each kind of news every few seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateLimitedLog([Nanos; 7]);

impl RateLimitedLog {
    /// The line, where there is one to log at `now`.
    pub fn line(&mut self, note: &DecisionEvent, now: Nanos) -> Option<String> {
        let last = &mut self.0[note.kind()?];
        if *last != 0 && now < *last + EVERY {
            return None;
        }
        *last = now;
        Some(note.to_string())
    }
}

#[cfg(test)]
#[path = "../tests/unit/decision_event.rs"]
mod tests;
