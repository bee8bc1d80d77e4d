//! Causes of lost priority weight, with their stored codes and their texts.
//! Weights are integers, in millionths, so that all sums are exact.

use std::fmt;

use pumicehead_policy::AttemptOutcome;

use crate::code_tables::outcome_from_code;
use crate::event::ListenerRejection;

/// Priority weight in millionths.
pub type MicroWeight = u64;

/// Converts a weight to millionths; NaN is 0.
#[must_use]
pub fn to_micro_weight(weight: f64) -> MicroWeight {
    // The cast saturates.
    (weight * 1e6).round() as MicroWeight
}

/// A phase of a request. The order of variants is part of the file format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestPhase {
    /// The client sent the request.
    Upload,
    /// It waited for an endpoint with capacity.
    Queue,
    /// Attempts before the last one failed.
    EarlierAttempts,
    /// The last attempt waited for a connection.
    Connect,
    /// The endpoint of the last attempt worked on it.
    Endpoint,
}

impl RequestPhase {
    const ALL: [Self; 5] = [Self::Upload, Self::Queue, Self::EarlierAttempts, Self::Connect, Self::Endpoint];
}

/// Why a request lost priority weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LossCause {
    /// Rejected: the queue of its tier was too long.
    QueueTooLong,
    /// Rejected: it was queued until almost no time was left.
    QueueTimeout,
    /// Rejected: earlier requests with its ordering key took too long.
    KeyOrderTimeout,
    /// Its last attempt failed with the outcome of this code, and there was no retry.
    AttemptFailed(u8),
    /// Served after its latency objective.
    ObjectiveMissed(RequestPhase),
    /// Without a response at its deadline.
    DeadlineExceeded(RequestPhase),
    /// Its client disconnected before the response.
    ClientDisconnected(RequestPhase),
    /// Its body was too slow, too long or cut off.
    BodyFailed,
    /// A listener rejected it: at the limit of connections if true, at the limit of concurrent requests otherwise.
    RejectedByListener(bool),
    /// Causes of rows that were merged for lack of memory, and unknown causes.
    Other,
}

impl LossCause {
    /// Returns the stored code.
    #[must_use]
    pub fn code(self) -> u8 {
        match self {
            Self::QueueTooLong => 0,
            Self::QueueTimeout => 1,
            Self::KeyOrderTimeout => 2,
            Self::AttemptFailed(outcome) => 10 + outcome,
            Self::ObjectiveMissed(phase) => 20 + phase as u8,
            Self::DeadlineExceeded(phase) => 30 + phase as u8,
            Self::ClientDisconnected(phase) => 40 + phase as u8,
            Self::BodyFailed => 50,
            Self::RejectedByListener(connections) => 60 + u8::from(connections),
            Self::Other => 255,
        }
    }

    /// Returns the cause of a stored code; [`LossCause::Other`] if it is unknown.
    #[must_use]
    pub fn from_code(code: u8) -> Self {
        let phase = |start: u8| RequestPhase::ALL.get(usize::from(code - start)).copied();
        match code {
            0 => Self::QueueTooLong,
            1 => Self::QueueTimeout,
            2 => Self::KeyOrderTimeout,
            10..=17 => Self::AttemptFailed(code - 10),
            20..=24 => phase(20).map_or(Self::Other, Self::ObjectiveMissed),
            30..=34 => phase(30).map_or(Self::Other, Self::DeadlineExceeded),
            40..=44 => phase(40).map_or(Self::Other, Self::ClientDisconnected),
            50 => Self::BodyFailed,
            60 | 61 => Self::RejectedByListener(code == 61),
            _ => Self::Other,
        }
    }

    /// Returns the phase that took the time, for causes that have one.
    #[must_use]
    pub fn phase(self) -> Option<RequestPhase> {
        match self {
            Self::ObjectiveMissed(phase)
            | Self::DeadlineExceeded(phase)
            | Self::ClientDisconnected(phase) => Some(phase),
            _ => None,
        }
    }

    /// Returns the cause for a rejection by a listener.
    #[must_use]
    pub fn from_rejection(reason: ListenerRejection) -> Self {
        Self::RejectedByListener(reason == ListenerRejection::ConnectionLimit)
    }
}

impl fmt::Display for RequestPhase {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::Upload => "its client was slow to send it",
            Self::Queue => "it waited for a server with room",
            Self::EarlierAttempts => "earlier attempts took the time",
            Self::Connect => "a connection took long",
            Self::Endpoint => "the server took long",
        })
    }
}

impl fmt::Display for LossCause {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::QueueTooLong => write!(out, "refused: the queue was too long for its time"),
            Self::QueueTimeout => write!(out, "refused: held until its time was nearly up"),
            Self::KeyOrderTimeout => write!(out, "refused: its key's turn did not come"),
            Self::AttemptFailed(outcome) => {
                write!(
                    out,
                    "failed: {}",
                    outcome_from_code(usize::from(*outcome)).map_or("unknown", outcome_text)
                )
            }
            Self::ObjectiveMissed(phase) => write!(out, "late: {phase}"),
            Self::DeadlineExceeded(phase) => write!(out, "no answer in time: {phase}"),
            Self::ClientDisconnected(phase) => write!(out, "the client left: {phase}"),
            Self::BodyFailed => write!(out, "failed: its body was too slow, too long or broke off"),
            Self::RejectedByListener(false) => write!(out, "turned away: the node holds as many as it may"),
            Self::RejectedByListener(true) => write!(out, "turned away: no place for another connection"),
            Self::Other => write!(out, "other causes"),
        }
    }
}

/// Returns the text of an attempt's outcome. It must not change, as metrics have it as the value of a label.
#[must_use]
pub fn outcome_text(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Success => "answered",
        AttemptOutcome::Error => "answered with an error",
        AttemptOutcome::Rejected => "turned away as full",
        AttemptOutcome::TimedOut => "no answer in time",
        AttemptOutcome::ConnectFailed => "no connection",
        AttemptOutcome::Reset => "the connection broke",
        AttemptOutcome::Cancelled => "called back",
        AttemptOutcome::NotSent => "never sent",
    }
}
