//! Detects stalls of the event loop: periods in which this process was stopped or got no processor time.

use pumicehead_policy::{Nanos, SECOND};

/// A delay above this threshold may be a stall. It spans several scheduling periods of 100 ms, and is well below any
/// deadline.
const STALL_THRESHOLD: Nanos = SECOND / 4;
/// Maximum time without a delay that is required after a delay, before another delay counts as a stall.
const MAX_RECOVERY_TIME: Nanos = SECOND;

/// Distinguishes single stalls from constant load. If every turn of the event loop is slow, the node lacks processor
/// time and has to shed load according to its measurements. So a delay only counts as a stall if the loop ran without
/// delay before it for as long as the last delay took, or for [`MAX_RECOVERY_TIME`].
#[derive(Clone, Copy, Debug, Default)]
pub struct StallDetector {
    last: Option<Delay>,
}

/// A delay above [`STALL_THRESHOLD`].
#[derive(Clone, Copy, Debug)]
struct Delay {
    ended_at: Nanos,
    duration: Nanos,
}

impl StallDetector {
    /// Records that the loop made no progress between two times; returns the duration if it counts as a stall.
    pub fn observe(&mut self, from: Nanos, to: Nanos) -> Option<Nanos> {
        let duration = to.saturating_sub(from);
        if duration <= STALL_THRESHOLD {
            return None;
        }
        let has_recovered =
            self.last.is_none_or(|last| from >= last.ended_at + last.duration.min(MAX_RECOVERY_TIME));
        self.last = Some(Delay { ended_at: to, duration });
        has_recovered.then_some(duration)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/stall.rs"]
mod tests;
