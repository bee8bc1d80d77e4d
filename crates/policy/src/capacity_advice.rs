//! Advice of capacity planners, and the weight that it has as it ages.
//!
//! Advice can only make a node more careful, or give it capacity of an endpoint in slow start that another
//! node has lent.

use rustc_hash::FxHashMap;

use crate::{CapacityAdvice, EndpointId, Nanos};

/// An endpoint to avoid looks this many times as slow. It then gets requests only if no other endpoint has
/// capacity, so that advice against all endpoints, or all but one, changes little.
const LATENCY_PENALTY: f64 = 16.0;
/// Maximum number of endpoints that are remembered as draining: far more than ever drain at a time.
const MAX_DRAINING: usize = 25_000;

/// The current advice.
#[derive(Debug, Default)]
pub struct CurrentAdvice {
    avoid: FxHashMap<EndpointId, ()>,
    issued_at: Nanos,
    valid_for: Nanos,
    lent: FxHashMap<EndpointId, f64>,
    granted: FxHashMap<EndpointId, f64>,
    granted_until: Nanos,
    /// Start times of draining processes, by endpoint. A process never stops draining.
    draining: FxHashMap<EndpointId, Nanos>,
}

impl CurrentAdvice {
    /// Replaces all advice except for the draining endpoints, which are added to the known ones.
    pub fn replace(&mut self, advice: &CapacityAdvice, now: Nanos) {
        self.avoid = advice.avoid.iter().map(|&endpoint| (endpoint, ())).collect();
        self.issued_at = now.saturating_sub(advice.age);
        self.valid_for = advice.valid_for;
        self.lent = advice.lent.iter().copied().collect();
        self.granted = advice.granted.iter().copied().collect();
        self.granted_until = now.saturating_add(advice.granted_for);
        for &(endpoint, started_at) in &*advice.draining {
            if self.draining.len() < MAX_DRAINING || self.draining.contains_key(&endpoint) {
                self.draining.insert(endpoint, started_at);
            }
        }
    }

    /// Returns the rate that an endpoint in slow start may get from this node before the warm-up fraction is
    /// applied, in requests per second: `own`, less what was lent, plus what was granted.
    #[must_use]
    pub fn slow_start_rate(&self, endpoint: EndpointId, own: f64, now: Nanos) -> f64 {
        let granted = self.granted.get(&endpoint).filter(|_| now < self.granted_until);
        let lent = self.lent.get(&endpoint).copied().unwrap_or(0.0);
        (own - lent).max(0.0) + granted.copied().unwrap_or(0.0).max(0.0)
    }

    /// Returns the factor, at least 1, by which an endpoint is to look slower. It is constant in the first
    /// half of the advice's validity and falls to 1 in the second half, so that its end causes no jump.
    #[must_use]
    pub fn latency_penalty(&self, endpoint: EndpointId, started_at: Nanos, now: Nanos) -> f64 {
        if self.draining.get(&endpoint) == Some(&started_at) {
            return LATENCY_PENALTY;
        }
        if !self.avoid.contains_key(&endpoint) {
            return 1.0;
        }
        let age = now.saturating_sub(self.issued_at) as f64 / (self.valid_for as f64).max(1.0);
        1.0 + (LATENCY_PENALTY - 1.0) * (2.0 - 2.0 * age).clamp(0.0, 1.0)
    }
}

#[cfg(test)]
#[path = "../tests/unit/capacity_advice.rs"]
mod tests;
