//! Weights for a sample in which each group of pool, class and tenant is represented equally, whatever its request rate.

use pumicehead_policy::{Nanos, SECOND};
use rustc_hash::FxHashMap;

use crate::event::PoolId;

/// Greatest number of groups with a rate of their own; the rest share one.
const MAX_GROUPS: usize = 1_024;
/// Time constant of the decay of a group's count.
const GROUP_RATE_WINDOW: Nanos = 60 * SECOND;

/// The pool, class and tenant of a request.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Group {
    pub(super) pool: PoolId,
    pub(super) class: u16,
    pub(super) tenant: u32,
}

impl Group {
    /// All groups beyond the limit.
    const OTHER: Self = Self { pool: PoolId(u16::MAX), class: u16::MAX, tenant: u32::MAX };
}

/// Exponentially decaying count of a group's requests.
#[derive(Clone, Copy, Default)]
struct GroupRate {
    sum: f64,
    at: Nanos,
}

/// Rates of all groups.
#[derive(Default)]
pub(super) struct GroupRates(FxHashMap<Group, GroupRate>);

impl GroupRates {
    /// Counts a request, and returns its weight in the sample: the inverse of its group's rate.
    pub(super) fn rarity_weight(&mut self, group: Group, at: Nanos) -> f64 {
        let full = self.0.len() >= MAX_GROUPS && !self.0.contains_key(&group);
        let rate = self.0.entry(if full { Group::OTHER } else { group }).or_default();
        let decay = (-(at.saturating_sub(rate.at) as f64) / GROUP_RATE_WINDOW as f64).exp();
        rate.sum = rate.sum * decay + 1.0;
        rate.at = at;
        1.0 / rate.sum
    }
}
