//! How an attempt over FastCGI can end, and what that means. This is the table of `docs/fastcgi-outcomes.md`; it knows
//! nothing of sockets.

use pumicehead_fastcgi::client::never_ran;
use pumicehead_fastcgi::record::End;
use pumicehead_policy::AttemptOutcome;

use crate::net::verdict::{Reading, Seen, Verdict};

/// What has come of an answer.
#[derive(Clone, Copy, Debug)]
pub enum Got {
    /// Nothing.
    Nothing,
    /// Something that is no whole answer: part of a head, a head that is none, another length than is stated, or more
    /// than there is room for.
    Spoilt,
    /// A head, and a body of the stated length, if one is.
    Whole(Seen),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub enum Ending {
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
    Ended(End, Got),
}

impl Ending {
    /// What it means. When in doubt, it may have run.
    pub fn verdict(&self) -> Verdict {
        let without = |outcome| Verdict { outcome, pass: false };
        match self {
            Self::NoConnection => without(AttemptOutcome::ConnectFailed),
            Self::NoRoom => without(AttemptOutcome::Rejected),
            // A request is whole with the empty record that ends its body (section 3.3), and runs no sooner.
            Self::Broken { sent: false } => without(AttemptOutcome::ConnectFailed),
            Self::Broken { sent: true } => without(AttemptOutcome::Reset),
            Self::Ended(end, Got::Nothing) if never_ran(end) => without(AttemptOutcome::Rejected),
            // Turned away, but with output: one of the two is wrong.
            Self::Ended(end, _) if never_ran(end) => without(AttemptOutcome::Reset),
            // Done, by its own word, with nothing to show: as an error without words.
            Self::Ended(_, Got::Nothing) => without(AttemptOutcome::Error),
            Self::Ended(_, Got::Spoilt) => without(AttemptOutcome::Reset),
            // The status of the application is of its process; the answer is whole whatever it says.
            Self::Ended(_, Got::Whole(seen)) => Reading::Gateway.whole(seen),
        }
    }
}

#[cfg(test)]
mod tests {
    use hyper::StatusCode;
    use pumicehead_fastcgi::record::ProtocolStatus;

    use super::*;

    fn ended(protocol: ProtocolStatus, application: u32, got: Got) -> AttemptOutcome {
        Ending::Ended(End { application, protocol }, got).verdict().outcome
    }

    #[test]
    fn every_ending_has_its_outcome() {
        use ProtocolStatus::{CantMultiplex, Complete, Other, Overloaded, UnknownRole};
        assert_eq!(Ending::NoConnection.verdict().outcome, AttemptOutcome::ConnectFailed);
        assert_eq!(Ending::NoRoom.verdict().outcome, AttemptOutcome::Rejected);
        assert_eq!(Ending::Broken { sent: false }.verdict().outcome, AttemptOutcome::ConnectFailed);
        assert_eq!(Ending::Broken { sent: true }.verdict().outcome, AttemptOutcome::Reset);
        let seen = |status: u16, unprocessed| {
            Got::Whole(Seen { status: StatusCode::from_u16(status).unwrap(), unprocessed, framed: true })
        };
        for status in [CantMultiplex, Overloaded, UnknownRole] {
            assert_eq!(ended(status, 0, Got::Nothing), AttemptOutcome::Rejected);
            assert_eq!(ended(status, 0, Got::Spoilt), AttemptOutcome::Reset);
            assert_eq!(ended(status, 0, seen(200, false)), AttemptOutcome::Reset);
        }
        for status in [Complete, Other(9)] {
            for application in [0, 1] {
                assert_eq!(ended(status, application, Got::Nothing), AttemptOutcome::Error);
                assert_eq!(ended(status, application, Got::Spoilt), AttemptOutcome::Reset);
                assert_eq!(ended(status, application, seen(200, false)), AttemptOutcome::Success);
                assert_eq!(ended(status, application, seen(500, false)), AttemptOutcome::Error);
                assert_eq!(ended(status, application, seen(503, true)), AttemptOutcome::Rejected);
            }
        }
    }
}
