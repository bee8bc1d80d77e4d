//! Classifies the response of an endpoint for the decision module, and decides whether it may be forwarded. The rules
//! are tabulated in `docs/answers.md`.

use hyper::StatusCode;
use hyper::header::HeaderMap;
use pumicehead_policy::AttemptOutcome;

/// How statuses are classified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusPolicy {
    /// The platform's rules: 200 is a success, any other status an error.
    Platform,
    /// The rules of a gateway: any status that a healthy endpoint may return is a success.
    Gateway,
}

/// The properties of a response's head that determine its class.
#[derive(Clone, Copy, Debug)]
pub struct ResponseHead {
    /// Status.
    pub status: StatusCode,
    /// Whether the response has `X-Unprocessed: 1`, which means that the request was not executed.
    pub unprocessed: bool,
    /// Whether the end of the body can be distinguished from a broken connection.
    pub delimited: bool,
}

/// Class of a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseClass {
    /// Outcome for the decision module.
    pub outcome: AttemptOutcome,
    /// Whether the response may be forwarded.
    pub forward: bool,
}

impl ResponseClass {
    /// Returns the class of a response that is not forwarded.
    pub fn not_forwarded(outcome: AttemptOutcome) -> Self {
        Self { outcome, forward: false }
    }
}

impl StatusPolicy {
    /// Whether the endpoint rejected the request without executing it, regardless of the rest of the response. The
    /// status alone does not prove this, because another server behind the endpoint may have executed the request.
    pub fn is_unprocessed_rejection(self, head: &ResponseHead) -> bool {
        let is_rejection = match self {
            Self::Platform => matches!(head.status.as_u16(), 503 | 504),
            Self::Gateway => matches!(head.status.as_u16(), 429 | 503 | 504),
        };
        is_rejection && head.unprocessed
    }

    /// Classifies a complete response.
    pub fn classify(self, head: &ResponseHead) -> ResponseClass {
        if self.is_unprocessed_rejection(head) {
            return ResponseClass::not_forwarded(AttemptOutcome::Rejected);
        }
        let reset = ResponseClass::not_forwarded(AttemptOutcome::Reset);
        match self {
            Self::Platform if head.status != StatusCode::OK => {
                ResponseClass::not_forwarded(AttemptOutcome::Error)
            }
            _ if !head.delimited => reset,
            Self::Platform => ResponseClass { outcome: AttemptOutcome::Success, forward: true },
            // No upgrade was requested, so what follows is not a response.
            Self::Gateway if head.status == StatusCode::SWITCHING_PROTOCOLS => reset,
            Self::Gateway if is_endpoint_failure(head.status) => {
                ResponseClass { outcome: AttemptOutcome::Error, forward: true }
            }
            Self::Gateway => ResponseClass { outcome: AttemptOutcome::Success, forward: true },
        }
    }
}

/// Whether a status indicates a fault of the endpoint and not of the request. 501 and 505 indicate a fault of the
/// request; if they counted as errors, a single client could get a healthy endpoint ejected.
fn is_endpoint_failure(status: StatusCode) -> bool {
    match status.as_u16() {
        408 | 429 => true,
        501 | 505 => false,
        code => code >= 500,
    }
}

/// Whether a response states that its request was not executed.
pub fn is_marked_unprocessed(headers: &HeaderMap) -> bool {
    headers.get("x-unprocessed").is_some_and(|value| value == "1")
}

#[cfg(test)]
#[path = "../../../tests/unit/response_classification.rs"]
mod tests;
