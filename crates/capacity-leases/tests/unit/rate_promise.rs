//! Arithmetic of rates, and precedence among promised rates.

use super::*;

#[test]
fn parts_of_a_split_rate_never_exceed_the_whole() {
    let whole = Rate::from_requests_per_second_f64(5_200.0);
    for count in [1, 3, 7, 1_250, 10_000, 1 << 41] {
        let part = whole.split(count);
        let sum = u128::from(part.micro_requests()) * u128::from(count);
        assert!(sum <= u128::from(whole.micro_requests()), "{count}");
    }
    assert_eq!(whole.split(0), Rate::ZERO);
    assert_eq!(Rate::from_micro_requests(u64::MAX), Rate::MAX);
    assert_eq!(Rate::from_micro_requests(3).saturating_sub(Rate::from_micro_requests(5)), Rate::ZERO);
    for wrong in [f64::NAN, -1.0, f64::NEG_INFINITY] {
        assert_eq!(Rate::from_requests_per_second_f64(wrong), Rate::ZERO);
    }
    assert_eq!(Rate::from_requests_per_second_f64(f64::INFINITY), Rate::MAX);
    assert_eq!(Rate::from_requests_per_second_f64(0.25).requests_per_second(), 0.25);
}

#[test]
fn the_largest_promise_is_in_effect_until_it_expires() {
    let rate = Rate::from_micro_requests;
    let mut promises = RatePromises::default();
    promises.add(rate(10), 100);
    promises.add(rate(4), 200);
    promises.add(rate(3), 150);
    assert_eq!([0, 99, 100, 199, 200].map(|t| promises.rate_at(t)), [10, 10, 4, 4, 0].map(rate));
    promises.add(rate(4), 300);
    assert_eq!((promises.entries.len(), promises.rate_at(299)), (2, rate(4)));
    promises.add(rate(20), 300);
    assert_eq!((promises.entries.len(), promises.rate_at(0)), (1, rate(20)));
    // Of two promises with the same expiry the larger one is in effect, in whichever order they were made.
    promises.add(rate(5), 300);
    assert_eq!((promises.entries.len(), promises.rate_at(0)), (1, rate(20)));
    assert!(!promises.expire(300));
}
