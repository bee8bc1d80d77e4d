use super::*;

const MS: Nanos = SECOND / 1_000;

/// A process that is stopped occasionally reports each stall.
#[test]
fn separate_stalls_are_each_reported() {
    let mut stalls = StallDetector::default();
    assert_eq!(stalls.observe(0, 200 * MS), None, "a short delay is not a stall");
    assert_eq!(stalls.observe(SECOND, 6 * SECOND), Some(5 * SECOND));
    assert_eq!(stalls.observe(7 * SECOND, 8 * SECOND), Some(SECOND));
    // A stall of 300 ms in each second.
    for number in 10..20 {
        assert_eq!(stalls.observe(number * SECOND, number * SECOND + 300 * MS), Some(300 * MS));
    }
}

/// A node that lacks processor time sheds load according to its measurements, so consecutive turns of 300 ms each are
/// not stalls.
#[test]
fn consecutive_slow_turns_are_not_stalls() {
    let mut stalls = StallDetector::default();
    let reported =
        (0..100).filter_map(|turn| stalls.observe(turn * 310 * MS, turn * 310 * MS + 300 * MS)).count();
    assert_eq!(reported, 1);
}
