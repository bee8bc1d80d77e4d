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
    Nothing,
    /// Something that is no whole answer: part of a head, a head that is none, another length than is stated, or more
    /// than there is room for.
    Spoilt,
    /// A head, and a body of the stated length, if one is.
    Whole(ResponseHead),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub enum FastCgiEnding {
    /// No connection came up.
    NoConnection,
    /// The application takes no more connections or requests, by its own word; nothing was sent.
    NoRoom,
    /// The connection broke, or what came on it was no FastCGI.
    Broken {
        /// The last record of the request had been written.
        sent: bool,
    },
    /// The request ended.
    Ended(End, ResponseProgress),
}

impl FastCgiEnding {
    /// What it means. When in doubt, it may have run.
    pub fn verdict(&self) -> ResponseClass {
        let without = |outcome| ResponseClass { outcome, pass: false };
        match self {
            Self::NoConnection => without(AttemptOutcome::ConnectFailed),
            Self::NoRoom => without(AttemptOutcome::Rejected),
            // A request is whole with the empty record that ends its body (section 3.3), and runs no sooner.
            Self::Broken { sent: false } => without(AttemptOutcome::ConnectFailed),
            Self::Broken { sent: true } => without(AttemptOutcome::Reset),
            Self::Ended(end, ResponseProgress::Nothing) if never_ran(end) => {
                without(AttemptOutcome::Rejected)
            }
            // Turned away, but with output: one of the two is wrong.
            Self::Ended(end, _) if never_ran(end) => without(AttemptOutcome::Reset),
            // Done, by its own word, with nothing to show: as an error without words.
            Self::Ended(_, ResponseProgress::Nothing) => without(AttemptOutcome::Error),
            Self::Ended(_, ResponseProgress::Spoilt) => without(AttemptOutcome::Reset),
            // The status of the application is of its process; the answer is whole whatever it says.
            Self::Ended(_, ResponseProgress::Whole(seen)) => StatusPolicy::Gateway.whole(seen),
        }
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/fastcgi_outcome.rs"]
mod tests;
