//! Tests of the progress limits of streams in virtual time.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use pumicehead_slow_peer::{PaceError, PaceLimits, PaceMonitor, Side};

const LIMITS: PaceLimits = PaceLimits {
    idle_timeout: Duration::from_secs(10),
    window: Duration::from_secs(2),
    min_window_bytes: 1_000,
    max_duration: Duration::from_secs(600),
    min_ahead: Duration::from_millis(250),
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn the_awaited_side_is_idle_after_the_idle_timeout() {
    let start = Instant::now();
    let limits = PaceLimits { min_window_bytes: 0, ..LIMITS };
    let mut pace = PaceMonitor::new(limits, start);
    assert_eq!(pace.check(start + ms(9_999)), Ok(()));
    assert_eq!(pace.check(start + ms(10_000)), Err(PaceError::Idle(Side::Source)));
    pace.on_bytes(1, start + ms(10_000));
    assert_eq!(pace.check(start + ms(19_999)), Ok(()));
    assert_eq!(pace.check(start + ms(20_000)), Err(PaceError::Idle(Side::Sink)));
    pace.on_demand(start + ms(20_000));
    // Repeated demand without data does not restart the wait.
    pace.on_demand(start + ms(29_000));
    assert_eq!(pace.check(start + ms(30_000)), Err(PaceError::Idle(Side::Source)));
}

#[test]
fn the_side_awaited_for_most_of_the_window_is_too_slow() {
    for (sink_wait_ms, slow_side) in [(1_500, Side::Sink), (500, Side::Source)] {
        let start = Instant::now();
        let mut pace = PaceMonitor::new(LIMITS, start);
        pace.on_bytes(10, start);
        pace.on_demand(start + ms(sink_wait_ms));
        assert_eq!(pace.check(start + ms(2_000)), Err(PaceError::TooSlow(slow_side)));
    }
}

#[test]
fn a_wait_across_windows_counts_in_each_window() {
    let start = Instant::now();
    let mut pace = PaceMonitor::new(LIMITS, start);
    pace.on_bytes(5_000, start + ms(100));
    assert_eq!(pace.check(start + ms(2_000)), Ok(()));
    // The sink is awaited for the whole second window.
    assert_eq!(pace.check(start + ms(4_000)), Err(PaceError::TooSlow(Side::Sink)));
    let mut pace = PaceMonitor::new(LIMITS, start);
    pace.on_bytes(5_000, start + ms(100));
    assert_eq!(pace.check(start + ms(2_000)), Ok(()));
    pace.on_demand(start + ms(2_100));
    assert_eq!(pace.check(start + ms(4_000)), Err(PaceError::TooSlow(Side::Source)));
}

#[test]
fn the_source_is_ahead_after_the_sink_is_awaited_for_min_ahead() {
    let start = Instant::now();
    let mut pace = PaceMonitor::new(LIMITS, start);
    assert!(!pace.source_is_ahead(start + ms(9_000)));
    pace.on_bytes(1, start);
    assert!(!pace.source_is_ahead(start + ms(249)));
    assert!(pace.source_is_ahead(start + ms(250)));
    pace.on_demand(start + ms(260));
    assert!(!pace.source_is_ahead(start + ms(9_000)));
}

#[test]
fn a_moving_stream_ends_at_its_max_duration() {
    let start = Instant::now();
    let mut pace = PaceMonitor::new(LIMITS, start);
    let end = (1..).map(|second| start + ms(second * 1_000)).find_map(|now| {
        pace.on_bytes(u64::MAX / 2, now);
        pace.check(now).err().map(|error| (error, now))
    });
    assert_eq!(end, Some((PaceError::MaxDurationExceeded, start + LIMITS.max_duration)));
    assert_eq!(pace.bytes(), u64::MAX, "the byte count saturates");
}

/// Generates stream events: milliseconds since the previous event, and the number of bytes received (0: the sink asks for
/// more).
fn stream_events() -> impl Strategy<Value = Vec<(u64, u64)>> {
    prop::collection::vec((0..3_000u64, prop_oneof![Just(0), 1..3_000u64]), 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Once a stream makes no progress, the awaited side is reported within the idle timeout, never the other side.
    #[test]
    fn a_stream_without_movement_is_aborted_within_the_idle_timeout(stream_events in stream_events()) {
        let mut now = Instant::now();
        let mut pace = PaceMonitor::new(LIMITS, now);
        for (delay_ms, bytes) in stream_events {
            now += ms(delay_ms);
            if bytes == 0 { pace.on_demand(now) } else { pace.on_bytes(bytes, now) }
            let _ = pace.check(now);
        }
        let (stopped, awaited) = (now, pace.awaited_side());
        let error = loop {
            now += ms(500);
            if let Err(error) = pace.check(now) && now > stopped + LIMITS.window * 2 {
                break error;
            }
            prop_assert!(now <= stopped + LIMITS.idle_timeout);
        };
        prop_assert!(matches!(error, PaceError::Idle(side) | PaceError::TooSlow(side) if side == awaited));
    }

    /// A stream with enough bytes in every window is never aborted, whatever the chunk sizes and whichever side is awaited.
    #[test]
    fn a_stream_above_the_minimum_throughput_is_never_aborted(
        chunks in prop::collection::vec((1..200u64, any::<bool>()), 1..300),
    ) {
        let mut now = Instant::now();
        let mut pace = PaceMonitor::new(LIMITS, now);
        for (delay_ms, demanded) in chunks {
            now += ms(delay_ms);
            pace.on_bytes(delay_ms, now);
            if demanded { pace.on_demand(now) }
            // 1 byte per millisecond, checked at least every 200 ms: at least 1,800 bytes in each 2 s window.
            prop_assert_eq!(pace.check(now), Ok(()));
        }
    }
}

/// Guards against a source that is blamed, or that is not ahead, while its sink can't take more data.
#[test]
fn a_blocked_sink_is_awaited() {
    let start = Instant::now();
    let limits = PaceLimits { min_window_bytes: 0, ..LIMITS };
    let mut pace = PaceMonitor::new(limits, start);
    pace.on_bytes(1, start);
    pace.on_demand(start + ms(10));
    pace.on_blocked(start + ms(100));
    // Repeated reports do not restart the wait.
    pace.on_blocked(start + ms(300));
    assert!(!pace.source_is_ahead(start + ms(349)));
    assert!(pace.source_is_ahead(start + ms(350)));
    assert_eq!(pace.check(start + ms(10_100)), Err(PaceError::Idle(Side::Sink)));
}
