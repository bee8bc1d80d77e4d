//! The node's clock: Unix time at its start, then the monotonic clock. It never jumps, and start times of endpoints, which
//! are Unix times, can be compared with it.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use pumicehead_policy::{Nanos, SECOND};
use tokio::time::Instant;

/// Nanoseconds in a millisecond.
pub const MILLISECOND: Nanos = SECOND / 1_000;
/// Furthest time ahead that has an instant, in nanoseconds: a greater one need not fit.
const MAX_INSTANT_OFFSET: Nanos = u32::MAX as Nanos * SECOND;

/// A clock; its copies show the same time. Times are Unix nanoseconds.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    started_at: Nanos,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self { start: Instant::now(), started_at: unix_ns() }
    }

    /// When it was started.
    pub fn started_at(&self) -> Nanos {
        self.started_at
    }

    /// The time now.
    pub fn now(&self) -> Nanos {
        self.time_of(Instant::now())
    }

    /// The time of an instant.
    pub fn time_of(&self, instant: Instant) -> Nanos {
        self.started_at + instant.saturating_duration_since(self.start).as_nanos() as Nanos
    }

    /// The instant of a time.
    pub fn instant_at(&self, time: Nanos) -> Instant {
        let ahead = time.saturating_sub(self.started_at).min(MAX_INSTANT_OFFSET);
        self.start + Duration::from_nanos(ahead)
    }
}

/// The system's clock, in Unix nanoseconds.
pub fn unix_ns() -> Nanos {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as Nanos
}
