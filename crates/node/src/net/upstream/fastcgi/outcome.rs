//! How an attempt over FastCGI can end, and what that means. This is the table of `docs/fastcgi-outcomes.md`; it knows
//! nothing of sockets.

use pumicehead_fastcgi::client::never_ran;
use pumicehead_fastcgi::record::End;
use pumicehead_policy::AttemptOutcome;

use crate::net::upstream::response_classification::{ResponseClass, ResponseHead, StatusPolicy};

/// What has come of an answer.
#[derive(Clone, Copy, Debug)]
pub enum ResponseProgress {
    /// Nothing.
    Empty,
    /// Something that is no whole answer: part of a head, a head that is none, another length than is stated, or more
    /// than there is room for.
    Malformed,
    /// A head, and a body of the stated length, if one is.
    Complete(ResponseHead),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub enum FastCgiEnding {
    /// No connection came up.
    ConnectFailed,
    /// The application takes no more connections or requests, by its own word; nothing was sent.
    AtCapacity,
    /// The connection broke, or what came on it was no FastCGI.
    ConnectionLost {
        /// The last record of the request had been written.
        request_written: bool,
    },
    /// The request ended.
    Completed(End, ResponseProgress),
}

impl FastCgiEnding {
    /// What it means. When in doubt, it may have run.
    pub fn classify(&self) -> ResponseClass {
        let without = |outcome| ResponseClass { outcome, forward: false };
        match self {
            Self::ConnectFailed => without(AttemptOutcome::ConnectFailed),
            Self::AtCapacity => without(AttemptOutcome::Rejected),
            // A request is whole with the empty record that ends its body (section 3.3), and runs no sooner.
            Self::ConnectionLost { request_written: false } => without(AttemptOutcome::ConnectFailed),
            Self::ConnectionLost { request_written: true } => without(AttemptOutcome::Reset),
            Self::Completed(end, ResponseProgress::Empty) if never_ran(end) => {
                without(AttemptOutcome::Rejected)
            }
            // Turned away, but with output: one of the two is wrong.
            Self::Completed(end, _) if never_ran(end) => without(AttemptOutcome::Reset),
            // Done, by its own word, with nothing to show: as an error without words.
            Self::Completed(_, ResponseProgress::Empty) => without(AttemptOutcome::Error),
            Self::Completed(_, ResponseProgress::Malformed) => without(AttemptOutcome::Reset),
            // The status of the application is of its process; the answer is whole whatever it says.
            Self::Completed(_, ResponseProgress::Complete(seen)) => StatusPolicy::Gateway.classify(seen),
        }
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/fastcgi_outcome.rs"]
mod tests;
