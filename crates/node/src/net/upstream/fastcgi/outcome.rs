//! The possible endings of an attempt over FastCGI and their outcomes. The rules are tabulated in
//! `docs/fastcgi-outcomes.md`.

use pumicehead_fastcgi::client::never_ran;
use pumicehead_fastcgi::record::End;
use pumicehead_policy::AttemptOutcome;

use crate::net::upstream::response_classification::{ResponseClass, ResponseHead, StatusPolicy};

/// What has been received of a response.
#[derive(Clone, Copy, Debug)]
pub enum ResponseProgress {
    /// Nothing.
    Empty,
    /// Output that is not a complete response: a truncated or malformed head, a body that differs from the stated
    /// length, or more than the size limit or the memory budget allows.
    Malformed,
    /// A head and a body, which has the stated length if one is stated.
    Complete(ResponseHead),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub enum FastCgiEnding {
    /// No connection was established.
    ConnectFailed,
    /// The application accepts no more connections or requests, according to its stated limits. Nothing was sent.
    AtCapacity,
    /// The connection broke, or the data received on it was not valid FastCGI.
    ConnectionLost {
        /// Whether the last record of the request had been written.
        request_written: bool,
    },
    /// The application ended the request.
    Completed(End, ResponseProgress),
}

impl FastCgiEnding {
    /// Returns the class of the ending. If in doubt, it assumes that the request may have been executed.
    pub fn classify(&self) -> ResponseClass {
        let not_forwarded = ResponseClass::not_forwarded;
        match self {
            Self::ConnectFailed => not_forwarded(AttemptOutcome::ConnectFailed),
            Self::AtCapacity => not_forwarded(AttemptOutcome::Rejected),
            // A request is complete once the empty record that ends its body is written (section 3.3), and is not
            // executed before that.
            Self::ConnectionLost { request_written: false } => not_forwarded(AttemptOutcome::ConnectFailed),
            Self::ConnectionLost { request_written: true } => not_forwarded(AttemptOutcome::Reset),
            Self::Completed(end, ResponseProgress::Empty) if never_ran(end) => {
                not_forwarded(AttemptOutcome::Rejected)
            }
            // The request was rejected but has output, so one of the two is wrong.
            Self::Completed(end, _) if never_ran(end) => not_forwarded(AttemptOutcome::Reset),
            Self::Completed(_, ResponseProgress::Empty) => not_forwarded(AttemptOutcome::Error),
            Self::Completed(_, ResponseProgress::Malformed) => not_forwarded(AttemptOutcome::Reset),
            // The exit status of the application does not concern the response, which is complete regardless of it.
            Self::Completed(_, ResponseProgress::Complete(head)) => StatusPolicy::Gateway.classify(head),
        }
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/fastcgi_outcome.rs"]
mod tests;
