//! The monotonic clock of the machine: the same in all processes, so that their events can be ordered.

use rustix::time::{ClockId, clock_gettime};

use crate::{Nanos, SECOND};

/// Returns the current time.
#[must_use]
pub fn now() -> Nanos {
    let time = clock_gettime(ClockId::Monotonic);
    // Neither part is negative on this clock.
    time.tv_sec.unsigned_abs() * SECOND + time.tv_nsec.unsigned_abs()
}
