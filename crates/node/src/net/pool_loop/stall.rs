//! Detects stalls of the event loop: times in which this process was stopped or got no processor.

use pumicehead_policy::{Nanos, SECOND};

/// A delay above this may be a stall. It spans some scheduling periods of 100 ms, and is well below any deadline.
const STALL_THRESHOLD: Nanos = SECOND / 4;
/// Longest time for which the loop has to be punctual after a stall before another delay counts as one.
const MAX_RECOVERY_TIME: Nanos = SECOND;

/// Distinguishes single stalls from constant load. A node whose every turn is slow lacks processor time, and has to shed load by
/// what it measures; only delays after a punctual time as long as the last delay are stalls.
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
    /// Takes that the loop made no progress between two times; returns the duration where that is a stall.
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
