//! The pace of streams in virtual time.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use pumicehead_slow_peer::{GiveUp, Pace, Rules, Side};

const RULES: Rules = Rules {
    silence: Duration::from_secs(10),
    window: Duration::from_secs(2),
    least: 1_000,
    longest: Duration::from_secs(600),
    ahead: Duration::from_millis(250),
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn who_is_silent_is_blamed() {
    let start = Instant::now();
    let rules = Rules { least: 0, ..RULES };
    let mut pace = Pace::new(rules, start);
    assert_eq!(pace.look(start + ms(9_999)), Ok(()));
    assert_eq!(pace.look(start + ms(10_000)), Err(GiveUp::Silent(Side::Source)));
    pace.moved(1, start + ms(10_000));
    assert_eq!(pace.look(start + ms(19_999)), Ok(()));
    assert_eq!(pace.look(start + ms(20_000)), Err(GiveUp::Silent(Side::Sink)));
    pace.wants_more(start + ms(20_000));
    // Asking again for what is not there is no movement.
    pace.wants_more(start + ms(29_000));
    assert_eq!(pace.look(start + ms(30_000)), Err(GiveUp::Silent(Side::Source)));
}

#[test]
fn who_was_waited_for_most_is_the_slow_one() {
    for (on_sink, blamed) in [(1_500, Side::Sink), (500, Side::Source)] {
        let start = Instant::now();
        let mut pace = Pace::new(RULES, start);
        pace.moved(10, start);
        pace.wants_more(start + ms(on_sink));
        assert_eq!(pace.look(start + ms(2_000)), Err(GiveUp::Slow(blamed)));
    }
}

#[test]
fn a_wait_across_windows_is_counted_in_each() {
    let start = Instant::now();
    let mut pace = Pace::new(RULES, start);
    pace.moved(5_000, start + ms(100));
    assert_eq!(pace.look(start + ms(2_000)), Ok(()));
    // Still waiting for the sink, through the whole second window.
    assert_eq!(pace.look(start + ms(4_000)), Err(GiveUp::Slow(Side::Sink)));
    let mut pace = Pace::new(RULES, start);
    pace.moved(5_000, start + ms(100));
    assert_eq!(pace.look(start + ms(2_000)), Ok(()));
    pace.wants_more(start + ms(2_100));
    assert_eq!(pace.look(start + ms(4_000)), Err(GiveUp::Slow(Side::Source)));
}

#[test]
fn the_source_is_ahead_once_the_sink_is_waited_for() {
    let start = Instant::now();
    let mut pace = Pace::new(RULES, start);
    assert!(!pace.source_is_ahead(start + ms(9_000)));
    pace.moved(1, start);
    assert!(!pace.source_is_ahead(start + ms(249)));
    assert!(pace.source_is_ahead(start + ms(250)));
    pace.wants_more(start + ms(260));
    assert!(!pace.source_is_ahead(start + ms(9_000)));
}

#[test]
fn no_stream_lasts_for_ever() {
    let start = Instant::now();
    let mut pace = Pace::new(RULES, start);
    let end = (1..).map(|second| start + ms(second * 1_000)).find_map(|now| {
        pace.moved(u64::MAX / 2, now);
        pace.look(now).err().map(|why| (why, now))
    });
    assert_eq!(end, Some((GiveUp::TooLong, start + RULES.longest)));
    assert_eq!(pace.bytes(), u64::MAX, "a count that is full stays so");
}

/// What happens to a stream: after so many milliseconds, so many bytes come (0: more is asked for).
fn happenings() -> impl Strategy<Value = Vec<(u64, u64)>> {
    prop::collection::vec((0..3_000u64, prop_oneof![Just(0), 1..3_000u64]), 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Once nothing moves, whoever is waited for is given up within the silence, looked at each half second; and it
    /// is never blamed on the side that was not waited for at all since the window began.
    #[test]
    fn what_stands_still_ends(happenings in happenings()) {
        let mut now = Instant::now();
        let mut pace = Pace::new(RULES, now);
        for (later, bytes) in happenings {
            now += ms(later);
            if bytes == 0 { pace.wants_more(now) } else { pace.moved(bytes, now) }
            let _ = pace.look(now);
        }
        let (stopped, waited_for) = (now, pace.waited_for());
        let why = loop {
            now += ms(500);
            if let Err(why) = pace.look(now) && now > stopped + RULES.window * 2 {
                break why;
            }
            prop_assert!(now <= stopped + RULES.silence);
        };
        prop_assert!(matches!(why, GiveUp::Silent(side) | GiveUp::Slow(side) if side == waited_for));
    }

    /// A stream in which enough moves in every second is never given up, however it is cut and whoever is waited for.
    #[test]
    fn who_keeps_pace_is_left_alone(pieces in prop::collection::vec((1..200u64, any::<bool>()), 1..300)) {
        let mut now = Instant::now();
        let mut pace = Pace::new(RULES, now);
        for (later, asked) in pieces {
            now += ms(later);
            pace.moved(later, now);
            if asked { pace.wants_more(now) }
            // 1 byte a millisecond, looked at each 200 ms at the latest: over 2 s at least 1,800.
            prop_assert_eq!(pace.look(now), Ok(()));
        }
    }
}
