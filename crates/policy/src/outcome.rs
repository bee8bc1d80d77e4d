//! Outcomes of attempts, and what they prove.

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A successful response.
    Success,
    /// An error response; may have executed.
    Error,
    /// Rejected by the endpoint; not executed, unless
    /// [`Settings::rejection_may_execute`](crate::Settings::rejection_may_execute).
    Rejected,
    /// No response in time; may have executed.
    TimedOut,
    /// No connection could be established; not executed.
    ConnectFailed,
    /// Connection lost; may have executed.
    Reset,
    /// Cancelled by this node; may have executed.
    Cancelled,
    /// Nothing was sent; not executed.
    NotSent,
}

impl AttemptOutcome {
    /// Returns whether the outcome proves that the attempt was not executed. Where endpoints may reject work
    /// that they have started (`rejection_may_execute`), a rejection proves nothing.
    #[must_use]
    pub fn never_executed(self, rejection_may_execute: bool) -> bool {
        matches!(self, Self::ConnectFailed | Self::NotSent)
            || (self == Self::Rejected && !rejection_may_execute)
    }

    /// Returns whether the endpoint may still be executing the attempt.
    #[must_use]
    pub fn may_still_execute(self) -> bool {
        matches!(self, Self::TimedOut | Self::Reset | Self::Cancelled)
    }
}
