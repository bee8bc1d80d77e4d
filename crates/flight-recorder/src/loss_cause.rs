//! What a request's worth came to, and the one cause that its loss is put down to. Worth is counted in millionths and in
//! whole numbers, so that sums are exact however they are cut.

use std::fmt;

use pumicehead_policy::AttemptOutcome;

use crate::code_tables::outcome_at;
use crate::event::ListenerRejection;

/// Millionths of worth.
pub type MicroWeight = u64;

/// A worth in [`MicroWeight`]; what is no number is none.
#[must_use]
pub fn to_micro_weight(worth: f64) -> MicroWeight {
    // Casting holds at the ends of the range.
    (worth * 1e6).round() as MicroWeight
}

/// Where a request's time went.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestPhase {
    /// To its client, until all of it was here.
    Upload,
    /// To waiting for a server with room.
    Queue,
    /// To attempts before the last, which ended badly.
    EarlierAttempts,
    /// To getting a connection for the last attempt.
    Connect,
    /// To the server of the last attempt.
    Endpoint,
}

impl RequestPhase {
    const ALL: [Self; 5] = [Self::Upload, Self::Queue, Self::EarlierAttempts, Self::Connect, Self::Endpoint];
}

/// What a loss is put down to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LossCause {
    /// Refused: its tier's queue was too long.
    QueueTooLong,
    /// Refused: held until its time was nearly up.
    QueueTimeout,
    /// Refused: its key's turn did not come.
    KeyOrderTimeout,
    /// Its last attempt ended so, by the place of the outcome, and there was no other.
    AttemptFailed(u8),
    /// Served after its aim.
    ObjectiveMissed(RequestPhase),
    /// No answer by its deadline.
    DeadlineExceeded(RequestPhase),
    /// Its client left before it had an answer.
    ClientDisconnected(RequestPhase),
    /// Its body was too slow, too long or broke off.
    BodyFailed,
    /// A front turned it away.
    RejectedByListener(bool),
    /// What has no row of its own.
    Other,
}

impl LossCause {
    /// As a number that stays the same across versions.
    #[must_use]
    pub fn code(self) -> u8 {
        match self {
            Self::QueueTooLong => 0,
            Self::QueueTimeout => 1,
            Self::KeyOrderTimeout => 2,
            Self::AttemptFailed(place) => 10 + place,
            Self::ObjectiveMissed(place) => 20 + place as u8,
            Self::DeadlineExceeded(place) => 30 + place as u8,
            Self::ClientDisconnected(place) => 40 + place as u8,
            Self::BodyFailed => 50,
            Self::RejectedByListener(connections) => 60 + u8::from(connections),
            Self::Other => 255,
        }
    }

    /// Of a number; one that is not known is another cause.
    #[must_use]
    pub fn from_code(code: u8) -> Self {
        let place = |start: u8| RequestPhase::ALL.get(usize::from(code - start)).copied();
        match code {
            0 => Self::QueueTooLong,
            1 => Self::QueueTimeout,
            2 => Self::KeyOrderTimeout,
            10..=17 => Self::AttemptFailed(code - 10),
            20..=24 => place(20).map_or(Self::Other, Self::ObjectiveMissed),
            30..=34 => place(30).map_or(Self::Other, Self::DeadlineExceeded),
            40..=44 => place(40).map_or(Self::Other, Self::ClientDisconnected),
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

    /// Of a front's reason.
    #[must_use]
    pub fn from_rejection(why: ListenerRejection) -> Self {
        Self::RejectedByListener(why == ListenerRejection::ConnectionLimit)
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
            Self::AttemptFailed(at) => {
                write!(out, "failed: {}", outcome_at(usize::from(*at)).map_or("unknown", outcome_text))
            }
            Self::ObjectiveMissed(at) => write!(out, "late: {at}"),
            Self::DeadlineExceeded(at) => write!(out, "no answer in time: {at}"),
            Self::ClientDisconnected(at) => write!(out, "the client left: {at}"),
            Self::BodyFailed => write!(out, "failed: its body was too slow, too long or broke off"),
            Self::RejectedByListener(false) => write!(out, "turned away: the node holds as many as it may"),
            Self::RejectedByListener(true) => write!(out, "turned away: no place for another connection"),
            Self::Other => write!(out, "other causes"),
        }
    }
}

/// How an attempt ended, in words.
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
