//! Which delays of the event loop are stalls of this process: stopped by its system, or without a processor for once.

use pumicehead_policy::{Nanos, SECOND};

/// A loop that comes so late to what is due, or takes so long over a turn, has stood still: some periods (of 100 ms) of a
/// system that shares out a processor, and much less than any deadline.
const STALL: Nanos = SECOND / 4;
/// Since a stall the loop has to have been in time for as long as it took, at most this, or what comes is no stall. A node
/// whose every turn takes long is short of processor: what it sees is its load, by which it has to refuse.
const IN_TIME: Nanos = SECOND;

/// The delays seen so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct StallDetector {
    /// When the last one ended, and how long it took.
    last: Option<(Nanos, Nanos)>,
}

impl StallDetector {
    /// The loop got no further from one time to another, and should have: for how long it has stood still, where it has.
    pub fn seen(&mut self, from: Nanos, to: Nanos) -> Option<Nanos> {
        let span = to.saturating_sub(from);
        if span <= STALL {
            return None;
        }
        let alone = self.last.is_none_or(|(end, took)| from >= end + took.min(IN_TIME));
        self.last = Some((to, span));
        alone.then_some(span)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/stall.rs"]
mod tests;
