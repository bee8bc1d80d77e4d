//! Rates and concurrency of this node's own traffic.

use crate::decaying_rate::DecayingRate;
use crate::{Nanos, seconds};

/// Memory of traffic rates, in seconds.
pub(crate) const RATE_MEMORY_S: f64 = 3.0;
/// A rate of traffic over [`RATE_MEMORY_S`].
pub(crate) type Rate = DecayingRate<{ (RATE_MEMORY_S * 1000.0) as u32 }>;

/// This node's own traffic.
#[derive(Default)]
pub(crate) struct TrafficStats {
    /// Requests that arrived.
    pub arrivals: Rate,
    /// Successful work, in requests of mean cost.
    pub served: Rate,
    /// Attempts in flight at all endpoints, those outside of the subset included.
    pub total_in_flight: usize,
    /// Mean number of attempts in flight at the subset over the last second or so.
    pub mean_in_flight: f64,
    /// When `mean_in_flight` was last updated.
    pub mean_updated_at: Nanos,
}

impl TrafficStats {
    /// Brings the mean up to `now`, with `in_flight` attempts since the last update. Must be called before
    /// that number changes.
    pub fn update_mean(&mut self, in_flight: usize, now: Nanos) {
        let weight = 1.0 - (-seconds(now.saturating_sub(self.mean_updated_at))).exp();
        self.mean_in_flight += weight * (in_flight as f64 - self.mean_in_flight);
        self.mean_updated_at = now;
    }

    /// Leaves a span in which this process did not run out of all rates.
    pub fn skip(&mut self, span: Nanos) {
        self.arrivals.skip(span);
        self.served.skip(span);
        self.mean_updated_at += span;
    }
}

#[cfg(test)]
#[path = "../tests/unit/traffic_stats.rs"]
mod tests;
