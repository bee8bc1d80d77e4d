//! The node's clock: the Unix time at its start, advanced by the monotonic clock. It never jumps, and can be compared
//! with the start times of endpoints, which are Unix times.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use pumicehead_policy::{Nanos, SECOND};
use tokio::time::Instant;

/// Nanoseconds in a millisecond.
pub const MILLISECOND: Nanos = SECOND / 1_000;
/// Maximum offset from the start of the clock that is converted to an [`Instant`], in nanoseconds; a greater one
/// might overflow.
const MAX_INSTANT_OFFSET: Nanos = u32::MAX as Nanos * SECOND;

/// A clock whose copies show the same time. Times are in Unix nanoseconds.
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

    /// Returns the time at which the clock was started.
    pub fn started_at(&self) -> Nanos {
        self.started_at
    }

    /// Returns the current time.
    pub fn now(&self) -> Nanos {
        self.time_of(Instant::now())
    }

    /// Returns the time of an instant.
    pub fn time_of(&self, instant: Instant) -> Nanos {
        self.started_at + instant.saturating_duration_since(self.start).as_nanos() as Nanos
    }

    /// Returns the instant of a time.
    pub fn instant_at(&self, time: Nanos) -> Instant {
        let ahead = time.saturating_sub(self.started_at).min(MAX_INSTANT_OFFSET);
        self.start + Duration::from_nanos(ahead)
    }
}

/// Returns the time of the system clock, in Unix nanoseconds.
pub fn unix_ns() -> Nanos {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as Nanos
}
