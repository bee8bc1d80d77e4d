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
pub struct Stalls {
    /// When the last one ended, and how long it took.
    last: Option<(Nanos, Nanos)>,
}

impl Stalls {
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
mod tests {
    use super::*;

    const MS: Nanos = SECOND / 1_000;

    /// Guards that a process that is stopped now and then is excused, each time.
    #[test]
    fn stalls_far_apart_are_told() {
        let mut stalls = Stalls::default();
        assert_eq!(stalls.seen(0, 200 * MS), None, "a little late is not a stall");
        assert_eq!(stalls.seen(SECOND, 6 * SECOND), Some(5 * SECOND));
        assert_eq!(stalls.seen(7 * SECOND, 8 * SECOND), Some(SECOND));
        // 300 ms of each second.
        for number in 10..20 {
            assert_eq!(stalls.seen(number * SECOND, number * SECOND + 300 * MS), Some(300 * MS));
        }
    }

    /// Guards that a node short of processor learns what it sees and refuses by it: turn after turn of 300 ms is no stall.
    #[test]
    fn turn_after_turn_is_load() {
        let mut stalls = Stalls::default();
        let told =
            (0..100).filter_map(|turn| stalls.seen(turn * 310 * MS, turn * 310 * MS + 300 * MS)).count();
        assert_eq!(told, 1);
    }
}
