use super::*;

fn whole(reading: StatusPolicy, status: u16, unprocessed: bool, framed: bool) -> (AttemptOutcome, bool) {
    let seen = ResponseHead { status: StatusCode::from_u16(status).unwrap(), unprocessed, delimited: framed };
    let verdict = reading.classify(&seen);
    (verdict.outcome, verdict.forward)
}

#[test]
fn a_gateway_passes_on_what_servers_answer() {
    for status in [200, 201, 204, 206, 301, 304, 400, 401, 404, 409, 412, 501, 505] {
        assert_eq!(
            whole(StatusPolicy::Gateway, status, false, true),
            (AttemptOutcome::Success, true),
            "{status}"
        );
        assert_eq!(
            whole(StatusPolicy::Gateway, status, false, false),
            (AttemptOutcome::Reset, false),
            "{status}"
        );
    }
    for status in [408, 429, 500, 502, 503, 504, 507, 599] {
        assert_eq!(
            whole(StatusPolicy::Gateway, status, false, true),
            (AttemptOutcome::Error, true),
            "{status}"
        );
    }
    assert_eq!(whole(StatusPolicy::Gateway, 101, false, true), (AttemptOutcome::Reset, false));
}

#[test]
fn only_the_word_and_the_status_together_prove_that_nothing_ran() {
    for status in [429, 503, 504] {
        assert_eq!(
            whole(StatusPolicy::Gateway, status, true, false),
            (AttemptOutcome::Rejected, false),
            "{status}"
        );
    }
    assert_eq!(whole(StatusPolicy::Gateway, 500, true, true), (AttemptOutcome::Error, true));
    assert_eq!(whole(StatusPolicy::Gateway, 200, true, true), (AttemptOutcome::Success, true));
    assert_eq!(whole(StatusPolicy::Platform, 503, true, false), (AttemptOutcome::Rejected, false));
    assert_eq!(whole(StatusPolicy::Platform, 503, false, true), (AttemptOutcome::Error, false));
    assert_eq!(whole(StatusPolicy::Platform, 429, true, true), (AttemptOutcome::Error, false));
}

#[test]
fn the_platform_knows_200_alone() {
    for status in [201, 204, 304, 404] {
        assert_eq!(
            whole(StatusPolicy::Platform, status, false, true),
            (AttemptOutcome::Error, false),
            "{status}"
        );
    }
    assert_eq!(whole(StatusPolicy::Platform, 200, false, true), (AttemptOutcome::Success, true));
    assert_eq!(whole(StatusPolicy::Platform, 200, false, false), (AttemptOutcome::Reset, false));
}
