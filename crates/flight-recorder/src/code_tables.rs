//! Stored codes of the enums in a recording: the code of a value is its index in a table.
//!
//! Codes are part of the file format. Append to a table; never reorder one.

use pumicehead_policy::decision_event::{NoRetryReason, RejectionReason};
use pumicehead_policy::{AttemptOutcome, EndpointState};

use crate::event::{ExhaustedResource, ListenerRejection, RequestOutcome};

impl RequestOutcome {
    pub(crate) const ALL: [Self; 7] = [
        Self::Served,
        Self::ServedError,
        Self::Rejected,
        Self::Failed,
        Self::DeadlineExceeded,
        Self::BodyFailed,
        Self::ClientDisconnected,
    ];
}

impl ListenerRejection {
    pub(crate) const ALL: [Self; 2] = [Self::RequestLimit, Self::ConnectionLimit];
}

impl ExhaustedResource {
    pub(crate) const ALL: [Self; 2] = [Self::DownstreamConnection, Self::UpstreamConnection];
}

/// States of an endpoint, by their stored codes.
pub(crate) const ENDPOINT_STATES: [EndpointState; 3] =
    [EndpointState::Ready, EndpointState::Draining, EndpointState::Removed];

/// Outcomes of attempts, by their stored codes.
pub(crate) const OUTCOMES: [AttemptOutcome; 8] = [
    AttemptOutcome::Success,
    AttemptOutcome::Error,
    AttemptOutcome::Rejected,
    AttemptOutcome::TimedOut,
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::Reset,
    AttemptOutcome::Cancelled,
    AttemptOutcome::NotSent,
];

/// Reasons for not retrying, by their stored codes.
pub(crate) const NO_RETRY_REASONS: [NoRetryReason; 4] = [
    NoRetryReason::AttemptsExhausted,
    NoRetryReason::NotIdempotent,
    NoRetryReason::NoTimeLeft,
    NoRetryReason::RetryBudgetSpent,
];

/// Returns the code of an attempt's outcome.
#[must_use]
pub fn outcome_code(outcome: AttemptOutcome) -> usize {
    OUTCOMES.iter().position(|&candidate| candidate == outcome).unwrap_or_default()
}

/// Returns the outcome of a code; `None` if the code is unknown.
#[must_use]
pub fn outcome_from_code(code: usize) -> Option<AttemptOutcome> {
    OUTCOMES.get(code).copied()
}

/// Returns the stored code of a value: its index in a table.
pub(crate) fn code_of<T: PartialEq>(table: &[T], value: T) -> u8 {
    table.iter().position(|candidate| *candidate == value).unwrap_or_default() as u8
}

/// Returns the value of a stored code; `None` if the table has no such code.
pub(crate) fn value_at<T: Copy>(table: &[T], code: u8) -> Option<T> {
    table.get(usize::from(code)).copied()
}

/// Returns the stored code of a rejection.
pub(crate) fn rejection_code(rejection: RejectionReason) -> u8 {
    match rejection {
        RejectionReason::ExpectedWaitTooLong => 0,
        RejectionReason::QueueTimeout => 1,
        RejectionReason::KeyOrderTimeout => 2,
        RejectionReason::NoRetry(reason) => 3 + code_of(&NO_RETRY_REASONS, reason),
    }
}

/// Returns the rejection of a stored code.
pub(crate) fn rejection_from_code(code: u8) -> Option<RejectionReason> {
    Some(match code {
        0 => RejectionReason::ExpectedWaitTooLong,
        1 => RejectionReason::QueueTimeout,
        2 => RejectionReason::KeyOrderTimeout,
        code => RejectionReason::NoRetry(value_at(&NO_RETRY_REASONS, code - 3)?),
    })
}
