//! The node's clock: Unix time at the start, then the monotonic clock. It never jumps, and servers' births map onto it.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use pumicehead_policy::{Nanos, SECOND};
use tokio::time::Instant;

/// The clock; copies tell the same time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    start_unix: Nanos,
}

impl Clock {
    /// From now on.
    pub fn start() -> Self {
        Self { start: Instant::now(), start_unix: unix_ns() }
    }

    /// The time of its start.
    pub fn started_at(&self) -> Nanos {
        self.start_unix
    }

    /// The time now.
    pub fn now(&self) -> Nanos {
        self.time_of(Instant::now())
    }

    /// The time of an instant.
    pub fn time_of(&self, instant: Instant) -> Nanos {
        self.start_unix + instant.saturating_duration_since(self.start).as_nanos() as Nanos
    }

    /// The instant of a time.
    pub fn instant_at(&self, at: Nanos) -> Instant {
        // Some bound, or a far time would not fit the clock.
        let span = at.saturating_sub(self.start_unix).min(u64::from(u32::MAX) * SECOND);
        self.start + Duration::from_nanos(span)
    }
}

/// The machine's clock.
pub fn unix_ns() -> Nanos {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as Nanos
}
