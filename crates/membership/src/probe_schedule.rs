//! SWIM's randomized round-robin: every member is probed once in a round, in a new random order each time.

use std::collections::VecDeque;

use rand_core::RngCore;

use crate::random::shuffle;
use crate::record::MemberId;

/// Maximum number of members that are probed out of turn.
const MAX_URGENT: usize = 32;

/// Decides whom to probe next.
#[derive(Clone, Debug, Default)]
pub struct ProbeSchedule {
    /// The rest of the round under way; the last one is next.
    round: Vec<MemberId>,
    urgent: VecDeque<MemberId>,
}

impl ProbeSchedule {
    /// Probes a member out of turn; ignored while `MAX_URGENT` others wait.
    pub fn prioritize(&mut self, id: MemberId) {
        if !self.urgent.contains(&id) && self.urgent.len() < MAX_URGENT {
            self.urgent.push_back(id);
        }
    }

    /// Inserts a new member at a random place of the round under way: a round of a large fleet takes minutes, and a crash soon
    /// after the start would go unnoticed until the next one.
    pub fn insert(&mut self, id: MemberId, rng: &mut impl RngCore) {
        if !self.round.is_empty() && !self.round.contains(&id) {
            let position = rng.next_u64() as usize % (self.round.len() + 1);
            self.round.insert(position, id);
        }
    }

    /// The next member for which `is_eligible` holds; `all_members` gives those of a new round.
    pub fn next(
        &mut self,
        is_eligible: impl Fn(MemberId) -> bool,
        all_members: impl FnOnce() -> Vec<MemberId>,
        rng: &mut impl RngCore,
    ) -> Option<MemberId> {
        while let Some(id) = self.urgent.pop_front() {
            if is_eligible(id) {
                return Some(id);
            }
        }
        if let Some(id) = self.pop_eligible(&is_eligible) {
            return Some(id);
        }
        self.round = all_members();
        shuffle(&mut self.round, rng);
        self.pop_eligible(&is_eligible)
    }

    fn pop_eligible(&mut self, is_eligible: impl Fn(MemberId) -> bool) -> Option<MemberId> {
        while let Some(id) = self.round.pop() {
            if is_eligible(id) {
                return Some(id);
            }
        }
        None
    }
}
