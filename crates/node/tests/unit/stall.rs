use super::*;

const MS: Nanos = SECOND / 1_000;

/// Guards that a process that is stopped now and then is excused, each time.
#[test]
fn stalls_far_apart_are_told() {
    let mut stalls = StallDetector::default();
    assert_eq!(stalls.seen(0, 200 * MS), None, "a little late is not a stall");
    assert_eq!(stalls.seen(SECOND, 6 * SECOND), Some(5 * SECOND));
    assert_eq!(stalls.seen(7 * SECOND, 8 * SECOND), Some(SECOND));
    // 300 ms of each second.
    for number in 10..20 {
        assert_eq!(stalls.seen(number * SECOND, number * SECOND + 300 * MS), Some(300 * MS));
    }
}

/// Guards that a node short of processor learns what it sees and refuses by it: turn after turn of 300 ms is no stall.
#[test]
fn turn_after_turn_is_load() {
    let mut stalls = StallDetector::default();
    let told = (0..100).filter_map(|turn| stalls.seen(turn * 310 * MS, turn * 310 * MS + 300 * MS)).count();
    assert_eq!(told, 1);
}
