//! SWIM's randomized round-robin: each round probes every member once, in a new random order.

use std::collections::VecDeque;

use rand_core::RngCore;

use crate::random::shuffle;
use crate::record::MemberId;

/// Maximum number of members that are probed out of turn.
const MAX_URGENT: usize = 32;

/// Decides which member to probe next.
#[derive(Clone, Debug, Default)]
pub struct ProbeSchedule {
    /// Members left in the current round, in reverse order.
    round: Vec<MemberId>,
    urgent: VecDeque<MemberId>,
}

impl ProbeSchedule {
    /// Schedules an out-of-turn probe of a member. Ignored if one is scheduled already or `MAX_URGENT` are.
    pub fn prioritize(&mut self, id: MemberId) {
        if !self.urgent.contains(&id) && self.urgent.len() < MAX_URGENT {
            self.urgent.push_back(id);
        }
    }

    /// Inserts a new member at a random position of the current round. A round takes minutes in a large fleet, and without this
    /// a crash soon after the start would not be detected before the next round.
    pub fn insert(&mut self, id: MemberId, rng: &mut impl RngCore) {
        if !self.round.is_empty() && !self.round.contains(&id) {
            let position = rng.next_u64() as usize % (self.round.len() + 1);
            self.round.insert(position, id);
        }
    }

    /// Returns the next eligible member. Starts a new round with `all_members` if the current one has none left.
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
