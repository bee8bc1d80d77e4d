//! Decides how long a successful response that has begun is held, and when it is committed: passed on to the client, so that
//! no other response can replace it. The rules are tabulated in `docs/answers.md`.

use std::fmt;

/// Why a response was committed before it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitReason {
    /// It is longer than what may be held.
    TooLong,
    /// There is no memory to hold it.
    NoMemory,
    /// The time of its attempt is over.
    AttemptOver,
}

impl fmt::Display for CommitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLong => "too long to be held",
            Self::NoMemory => "no memory to hold it",
            Self::AttemptOver => "the time of the attempt is over",
        })
    }
}

/// A successful response whose head has arrived and that is not complete.
#[derive(Clone, Copy, Debug)]
pub struct BegunResponse {
    /// Whether more has arrived than may be held.
    pub exceeds_limit: bool,
    /// Whether there is memory to hold it.
    pub has_memory: bool,
    /// Whether the time of its attempt is over.
    pub is_attempt_over: bool,
    /// Whether another attempt may follow after this one.
    pub may_be_replaced: bool,
}

/// What happens to a response that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldDecision {
    /// More of it is awaited.
    Hold,
    /// It is passed on.
    Commit(CommitReason),
    /// It is dropped in favor of another attempt.
    Replace,
}

impl BegunResponse {
    /// Decides what happens to the response.
    #[must_use]
    pub fn decide(self) -> HoldDecision {
        if self.exceeds_limit {
            return HoldDecision::Commit(CommitReason::TooLong);
        }
        if self.is_attempt_over {
            return if self.may_be_replaced {
                HoldDecision::Replace
            } else {
                HoldDecision::Commit(CommitReason::AttemptOver)
            };
        }
        if self.has_memory { HoldDecision::Hold } else { HoldDecision::Commit(CommitReason::NoMemory) }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/response_commit.rs"]
mod tests;
