use hyper::StatusCode;
use pumicehead_fastcgi::record::ProtocolStatus;

use super::*;

fn outcome(protocol: ProtocolStatus, application: u32, progress: ResponseProgress) -> AttemptOutcome {
    FastCgiEnding::Completed(End { application, protocol }, progress).classify().outcome
}

#[test]
fn every_ending_maps_to_its_outcome() {
    use ProtocolStatus::{CantMultiplex, Complete, Other, Overloaded, UnknownRole};
    assert_eq!(FastCgiEnding::ConnectFailed.classify().outcome, AttemptOutcome::ConnectFailed);
    assert_eq!(FastCgiEnding::AtCapacity.classify().outcome, AttemptOutcome::Rejected);
    assert_eq!(
        FastCgiEnding::ConnectionLost { request_written: false }.classify().outcome,
        AttemptOutcome::ConnectFailed
    );
    assert_eq!(
        FastCgiEnding::ConnectionLost { request_written: true }.classify().outcome,
        AttemptOutcome::Reset
    );
    let complete = |status: u16, unprocessed| {
        ResponseProgress::Complete(ResponseHead {
            status: StatusCode::from_u16(status).unwrap(),
            unprocessed,
            delimited: true,
        })
    };
    for status in [CantMultiplex, Overloaded, UnknownRole] {
        assert_eq!(outcome(status, 0, ResponseProgress::Empty), AttemptOutcome::Rejected);
        assert_eq!(outcome(status, 0, ResponseProgress::Malformed), AttemptOutcome::Reset);
        assert_eq!(outcome(status, 0, complete(200, false)), AttemptOutcome::Reset);
    }
    for status in [Complete, Other(9)] {
        for application in [0, 1] {
            assert_eq!(outcome(status, application, ResponseProgress::Empty), AttemptOutcome::Error);
            assert_eq!(outcome(status, application, ResponseProgress::Malformed), AttemptOutcome::Reset);
            assert_eq!(outcome(status, application, complete(200, false)), AttemptOutcome::Success);
            assert_eq!(outcome(status, application, complete(500, false)), AttemptOutcome::Error);
            assert_eq!(outcome(status, application, complete(503, true)), AttemptOutcome::Rejected);
        }
    }
}
