use hyper::StatusCode;
use pumicehead_fastcgi::record::ProtocolStatus;

use super::*;

fn ended(protocol: ProtocolStatus, application: u32, got: ResponseProgress) -> AttemptOutcome {
    FastCgiEnding::Ended(End { application, protocol }, got).verdict().outcome
}

#[test]
fn every_ending_has_its_outcome() {
    use ProtocolStatus::{CantMultiplex, Complete, Other, Overloaded, UnknownRole};
    assert_eq!(FastCgiEnding::NoConnection.verdict().outcome, AttemptOutcome::ConnectFailed);
    assert_eq!(FastCgiEnding::NoRoom.verdict().outcome, AttemptOutcome::Rejected);
    assert_eq!(FastCgiEnding::Broken { sent: false }.verdict().outcome, AttemptOutcome::ConnectFailed);
    assert_eq!(FastCgiEnding::Broken { sent: true }.verdict().outcome, AttemptOutcome::Reset);
    let seen = |status: u16, unprocessed| {
        ResponseProgress::Whole(ResponseHead {
            status: StatusCode::from_u16(status).unwrap(),
            unprocessed,
            framed: true,
        })
    };
    for status in [CantMultiplex, Overloaded, UnknownRole] {
        assert_eq!(ended(status, 0, ResponseProgress::Nothing), AttemptOutcome::Rejected);
        assert_eq!(ended(status, 0, ResponseProgress::Spoilt), AttemptOutcome::Reset);
        assert_eq!(ended(status, 0, seen(200, false)), AttemptOutcome::Reset);
    }
    for status in [Complete, Other(9)] {
        for application in [0, 1] {
            assert_eq!(ended(status, application, ResponseProgress::Nothing), AttemptOutcome::Error);
            assert_eq!(ended(status, application, ResponseProgress::Spoilt), AttemptOutcome::Reset);
            assert_eq!(ended(status, application, seen(200, false)), AttemptOutcome::Success);
            assert_eq!(ended(status, application, seen(500, false)), AttemptOutcome::Error);
            assert_eq!(ended(status, application, seen(503, true)), AttemptOutcome::Rejected);
        }
    }
}
