//! How an attempt over FastCGI can end, and what that means: the table of `docs/fastcgi-outcomes.md`.

use pumicehead_fastcgi::client::never_ran;
use pumicehead_fastcgi::record::End;
use pumicehead_policy::AttemptOutcome;

use crate::net::upstream::response_classification::{ResponseClass, ResponseHead, StatusPolicy};

/// What has come of a response.
#[derive(Clone, Copy, Debug)]
pub enum ResponseProgress {
    /// Nothing.
    Empty,
    /// Something that is no complete response: a head that is cut off or malformed, another length than is stated, or
    /// more than the bounds or the memory budget allow.
    Malformed,
    /// A head, and a body of the stated length, if one is stated.
    Complete(ResponseHead),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub enum FastCgiEnding {
    /// No connection was established.
    ConnectFailed,
    /// The application takes no more connections or requests, as it has said; nothing was sent.
    AtCapacity,
    /// The connection broke, or what came on it was no FastCGI.
    ConnectionLost {
        /// The last record of the request had been written.
        request_written: bool,
    },
    /// The application ended the request.
    Completed(End, ResponseProgress),
}

impl FastCgiEnding {
    /// Returns what it means. In doubt, the request may have been executed.
    pub fn classify(&self) -> ResponseClass {
        let not_forwarded = ResponseClass::not_forwarded;
        match self {
            Self::ConnectFailed => not_forwarded(AttemptOutcome::ConnectFailed),
            Self::AtCapacity => not_forwarded(AttemptOutcome::Rejected),
            // A request is complete with the empty record that ends its body (section 3.3), and is not executed before.
            Self::ConnectionLost { request_written: false } => not_forwarded(AttemptOutcome::ConnectFailed),
            Self::ConnectionLost { request_written: true } => not_forwarded(AttemptOutcome::Reset),
            Self::Completed(end, ResponseProgress::Empty) if never_ran(end) => {
                not_forwarded(AttemptOutcome::Rejected)
            }
            // Rejected, but with output: one of the two is wrong.
            Self::Completed(end, _) if never_ran(end) => not_forwarded(AttemptOutcome::Reset),
            Self::Completed(_, ResponseProgress::Empty) => not_forwarded(AttemptOutcome::Error),
            Self::Completed(_, ResponseProgress::Malformed) => not_forwarded(AttemptOutcome::Reset),
            // The application's exit status is not the response's: the response is complete whatever it is.
            Self::Completed(_, ResponseProgress::Complete(head)) => StatusPolicy::Gateway.classify(head),
        }
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/fastcgi_outcome.rs"]
mod tests;
