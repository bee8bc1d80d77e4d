//! Exclusion reasons and the rate-limited log.

use super::*;

#[test]
fn exclusions_are_counted_and_the_most_common_is_returned() {
    let mut reasons = ExclusionReasons::default();
    assert_eq!(reasons.most_common(), None);
    (0..300).for_each(|_| reasons.add(ExclusionReason::SlowStart));
    reasons.add(ExclusionReason::AtLimit);
    assert_eq!((reasons.0, reasons.most_common()), ([1, 0, 0, 255, 0], Some(ExclusionReason::SlowStart)));
}

#[test]
fn lines_of_one_kind_are_rate_limited() {
    let mut log = RateLimitedLog::default();
    let ejected = |n| DecisionEvent::Ejected { endpoint: EndpointId(n), duration: SECOND };
    assert_eq!(log.line(&ejected(1), SECOND).as_deref(), Some("endpoint 1 ejected for 1.0 s"));
    assert_eq!(log.line(&ejected(2), 2 * SECOND), None);
    assert_eq!(log.line(&DecisionEvent::OverloadEnded, 2 * SECOND).as_deref(), Some("overload ended"));
    assert!(log.line(&ejected(2), 6 * SECOND).is_some());
    assert_eq!(log.line(&DecisionEvent::Queued { id: RequestId(1), queued: 2 }, 90 * SECOND), None);
}
