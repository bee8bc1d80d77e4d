//! What a server's answer means for the decision module, and whether it may be passed on. This is the table of
//! `docs/answers.md`; it knows nothing of sockets.

use hyper::StatusCode;
use pumicehead_policy::AttemptOutcome;

/// Whose reading of statuses holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusPolicy {
    /// The platform's: 200 is served, anything else has failed.
    Platform,
    /// A gateway's: what a healthy server may well answer is served.
    Gateway,
}

/// The status line and what else counts of an answer's head.
#[derive(Clone, Copy, Debug)]
pub struct ResponseHead {
    /// Its status.
    pub status: StatusCode,
    /// It says `X-Unprocessed: 1`: the request never ran.
    pub unprocessed: bool,
    /// Its end can be told from a connection that broke.
    pub delimited: bool,
}

/// What an answer means once all of it is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseClass {
    /// For the module.
    pub outcome: AttemptOutcome,
    /// It may be passed on.
    pub forward: bool,
}

impl StatusPolicy {
    /// Whether the request was turned away unseen, whatever becomes of the rest of the answer.
    pub fn is_unprocessed_rejection(self, seen: &ResponseHead) -> bool {
        let status = match self {
            Self::Platform => matches!(seen.status.as_u16(), 503 | 504),
            Self::Gateway => matches!(seen.status.as_u16(), 429 | 503 | 504),
        };
        // A status by itself proves nothing: a server behind the server may have done the work.
        status && seen.unprocessed
    }

    /// A whole answer's meaning.
    pub fn classify(self, seen: &ResponseHead) -> ResponseClass {
        if self.is_unprocessed_rejection(seen) {
            return ResponseClass { outcome: AttemptOutcome::Rejected, forward: false };
        }
        let reset = ResponseClass { outcome: AttemptOutcome::Reset, forward: false };
        match self {
            Self::Platform if seen.status != StatusCode::OK => {
                ResponseClass { outcome: AttemptOutcome::Error, forward: false }
            }
            _ if !seen.delimited => reset,
            Self::Platform => ResponseClass { outcome: AttemptOutcome::Success, forward: true },
            // Nobody asked for another protocol: what follows is no answer.
            Self::Gateway if seen.status == StatusCode::SWITCHING_PROTOCOLS => reset,
            Self::Gateway => {
                let outcome = if Self::is_failing(seen.status) {
                    AttemptOutcome::Error
                } else {
                    AttemptOutcome::Success
                };
                ResponseClass { outcome, forward: true }
            }
        }
    }

    /// Statuses that speak of the server's state, not of the request. 501 and 505 speak of the request: were they
    /// errors, one client could have a healthy server set aside.
    fn is_failing(status: StatusCode) -> bool {
        match status.as_u16() {
            408 | 429 => true,
            501 | 505 => false,
            code => code >= 500,
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/response_classification.rs"]
mod tests;
