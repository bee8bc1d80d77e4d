use super::*;

fn classify(policy: StatusPolicy, status: u16, unprocessed: bool, delimited: bool) -> (AttemptOutcome, bool) {
    let head = ResponseHead { status: StatusCode::from_u16(status).unwrap(), unprocessed, delimited };
    let class = policy.classify(&head);
    (class.outcome, class.forward)
}

#[test]
fn gateway_classifies_and_forwards_delimited_responses() {
    for status in [200, 201, 204, 206, 301, 304, 400, 401, 404, 409, 412, 501, 505] {
        assert_eq!(
            classify(StatusPolicy::Gateway, status, false, true),
            (AttemptOutcome::Success, true),
            "{status}"
        );
        assert_eq!(
            classify(StatusPolicy::Gateway, status, false, false),
            (AttemptOutcome::Reset, false),
            "{status}"
        );
    }
    for status in [408, 429, 500, 502, 503, 504, 507, 599] {
        assert_eq!(
            classify(StatusPolicy::Gateway, status, false, true),
            (AttemptOutcome::Error, true),
            "{status}"
        );
    }
    assert_eq!(classify(StatusPolicy::Gateway, 101, false, true), (AttemptOutcome::Reset, false));
}

#[test]
fn rejection_needs_both_the_status_and_the_marker() {
    for status in [429, 503, 504] {
        assert_eq!(
            classify(StatusPolicy::Gateway, status, true, false),
            (AttemptOutcome::Rejected, false),
            "{status}"
        );
    }
    assert_eq!(classify(StatusPolicy::Gateway, 500, true, true), (AttemptOutcome::Error, true));
    assert_eq!(classify(StatusPolicy::Gateway, 200, true, true), (AttemptOutcome::Success, true));
    assert_eq!(classify(StatusPolicy::Platform, 503, true, false), (AttemptOutcome::Rejected, false));
    assert_eq!(classify(StatusPolicy::Platform, 503, false, true), (AttemptOutcome::Error, false));
    assert_eq!(classify(StatusPolicy::Platform, 429, true, true), (AttemptOutcome::Error, false));
}

#[test]
fn platform_counts_only_200_as_success() {
    for status in [201, 204, 304, 404] {
        assert_eq!(
            classify(StatusPolicy::Platform, status, false, true),
            (AttemptOutcome::Error, false),
            "{status}"
        );
    }
    assert_eq!(classify(StatusPolicy::Platform, 200, false, true), (AttemptOutcome::Success, true));
    assert_eq!(classify(StatusPolicy::Platform, 200, false, false), (AttemptOutcome::Reset, false));
}
