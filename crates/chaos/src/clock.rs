//! The machine's monotonic clock: the same in every process, so that what they note can be put in order.

use rustix::time::{ClockId, clock_gettime};

use crate::{Nanos, SECOND};

/// The time now.
#[must_use]
pub fn now() -> Nanos {
    let time = clock_gettime(ClockId::Monotonic);
    // Neither is negative on this clock.
    time.tv_sec.unsigned_abs() * SECOND + time.tv_nsec.unsigned_abs()
}
