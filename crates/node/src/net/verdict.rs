//! What a server's answer means for the decision module, and whether it may be passed on. This is the table of
//! `docs/answers.md`; it knows nothing of sockets.

use hyper::StatusCode;
use pumicehead_policy::AttemptOutcome;

/// Whose reading of statuses holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// The platform's: 200 is served, anything else has failed.
    Platform,
    /// A gateway's: what a healthy server may well answer is served.
    Gateway,
}

/// The status line and what else counts of an answer's head.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    /// Its status.
    pub status: StatusCode,
    /// It says `X-Unprocessed: 1`: the request never ran.
    pub unprocessed: bool,
    /// Its end can be told from a connection that broke.
    pub framed: bool,
}

/// What an answer means once all of it is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// For the module.
    pub outcome: AttemptOutcome,
    /// It may be passed on.
    pub pass: bool,
}

impl Reading {
    /// Whether the request was turned away unseen, whatever becomes of the rest of the answer.
    pub fn turned_away(self, seen: &Seen) -> bool {
        let status = match self {
            Self::Platform => matches!(seen.status.as_u16(), 503 | 504),
            Self::Gateway => matches!(seen.status.as_u16(), 429 | 503 | 504),
        };
        // A status by itself proves nothing: a server behind the server may have done the work.
        status && seen.unprocessed
    }

    /// A whole answer's meaning.
    pub fn whole(self, seen: &Seen) -> Verdict {
        if self.turned_away(seen) {
            return Verdict { outcome: AttemptOutcome::Rejected, pass: false };
        }
        let reset = Verdict { outcome: AttemptOutcome::Reset, pass: false };
        match self {
            Self::Platform if seen.status != StatusCode::OK => {
                Verdict { outcome: AttemptOutcome::Error, pass: false }
            }
            _ if !seen.framed => reset,
            Self::Platform => Verdict { outcome: AttemptOutcome::Success, pass: true },
            // Nobody asked for another protocol: what follows is no answer.
            Self::Gateway if seen.status == StatusCode::SWITCHING_PROTOCOLS => reset,
            Self::Gateway => {
                let outcome = if Self::is_failing(seen.status) {
                    AttemptOutcome::Error
                } else {
                    AttemptOutcome::Success
                };
                Verdict { outcome, pass: true }
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
mod tests {
    use super::*;

    fn whole(reading: Reading, status: u16, unprocessed: bool, framed: bool) -> (AttemptOutcome, bool) {
        let seen = Seen { status: StatusCode::from_u16(status).unwrap(), unprocessed, framed };
        let verdict = reading.whole(&seen);
        (verdict.outcome, verdict.pass)
    }

    #[test]
    fn a_gateway_passes_on_what_servers_answer() {
        for status in [200, 201, 204, 206, 301, 304, 400, 401, 404, 409, 412, 501, 505] {
            assert_eq!(
                whole(Reading::Gateway, status, false, true),
                (AttemptOutcome::Success, true),
                "{status}"
            );
            assert_eq!(
                whole(Reading::Gateway, status, false, false),
                (AttemptOutcome::Reset, false),
                "{status}"
            );
        }
        for status in [408, 429, 500, 502, 503, 504, 507, 599] {
            assert_eq!(
                whole(Reading::Gateway, status, false, true),
                (AttemptOutcome::Error, true),
                "{status}"
            );
        }
        assert_eq!(whole(Reading::Gateway, 101, false, true), (AttemptOutcome::Reset, false));
    }

    #[test]
    fn only_the_word_and_the_status_together_prove_that_nothing_ran() {
        for status in [429, 503, 504] {
            assert_eq!(
                whole(Reading::Gateway, status, true, false),
                (AttemptOutcome::Rejected, false),
                "{status}"
            );
        }
        assert_eq!(whole(Reading::Gateway, 500, true, true), (AttemptOutcome::Error, true));
        assert_eq!(whole(Reading::Gateway, 200, true, true), (AttemptOutcome::Success, true));
        assert_eq!(whole(Reading::Platform, 503, true, false), (AttemptOutcome::Rejected, false));
        assert_eq!(whole(Reading::Platform, 503, false, true), (AttemptOutcome::Error, false));
        assert_eq!(whole(Reading::Platform, 429, true, true), (AttemptOutcome::Error, false));
    }

    #[test]
    fn the_platform_knows_200_alone() {
        for status in [201, 204, 304, 404] {
            assert_eq!(
                whole(Reading::Platform, status, false, true),
                (AttemptOutcome::Error, false),
                "{status}"
            );
        }
        assert_eq!(whole(Reading::Platform, 200, false, true), (AttemptOutcome::Success, true));
        assert_eq!(whole(Reading::Platform, 200, false, false), (AttemptOutcome::Reset, false));
    }
}
