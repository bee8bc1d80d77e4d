//! The monotonic clock of the machine. All processes share it, so that their events can be ordered.

use rustix::time::{ClockId, clock_gettime};

use crate::{Nanos, SECOND};

/// Returns the current time of `CLOCK_MONOTONIC`.
#[must_use]
pub fn now() -> Nanos {
    let time = clock_gettime(ClockId::Monotonic);
    // Neither part is negative on this clock.
    time.tv_sec.unsigned_abs() * SECOND + time.tv_nsec.unsigned_abs()
}
