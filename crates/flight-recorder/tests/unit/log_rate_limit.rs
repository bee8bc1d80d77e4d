//! Unit tests of `log_rate_limit`.

use super::*;

#[test]
fn repeated_messages_are_limited_and_counted() {
    let mut limiter = LogRateLimiter::default();
    let logged = (0..1_000_000u64).filter(|n| limiter.check(1, n * 1_000).0).count();
    assert_eq!(logged, MESSAGES_PER_INTERVAL as usize);
    assert_eq!(limiter.check(2, 0), (true, None), "other kinds have limits of their own");
    assert_eq!(limiter.drain_expired(INTERVAL - 1), []);
    let suppressed = SuppressedMessages { kind: 1, count: 999_990, interval: INTERVAL };
    assert_eq!(
        (limiter.drain_expired(INTERVAL), limiter.drain_expired(INTERVAL)),
        (vec![suppressed], vec![])
    );
    assert_eq!(limiter.check(1, INTERVAL), (true, None));
}

#[test]
fn suppressed_messages_are_reported_in_the_next_interval() {
    let mut limiter = LogRateLimiter::default();
    (0..15).for_each(|_| {
        limiter.check(7, 5);
    });
    assert_eq!(
        limiter.check(7, INTERVAL + 9),
        (true, Some(SuppressedMessages { kind: 7, count: 5, interval: INTERVAL + 4 }))
    );
    assert_eq!(limiter.drain_expired(9 * INTERVAL), []);
}

#[test]
fn kinds_are_bounded() {
    let mut limiter = LogRateLimiter::default();
    (0..100_000).for_each(|kind| {
        limiter.check(kind, 0);
    });
    assert!(limiter.kinds.len() <= MAX_KINDS + 1);
}
