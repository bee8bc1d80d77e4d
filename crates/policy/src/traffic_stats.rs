//! Rates and concurrency of this node's own traffic.

use crate::decaying_rate::DecayingRate;
use crate::{Nanos, seconds};

/// Time constant of traffic rates, in seconds.
pub(crate) const RATE_MEMORY_S: f64 = 3.0;
/// A traffic rate with the time constant [`RATE_MEMORY_S`].
pub(crate) type Rate = DecayingRate<{ (RATE_MEMORY_S * 1000.0) as u32 }>;

/// This node's own traffic.
#[derive(Default)]
pub(crate) struct TrafficStats {
    /// Rate of arriving requests.
    pub arrivals: Rate,
    /// Rate of work served, in requests of mean cost per second.
    pub served: Rate,
    /// Attempts in flight at all endpoints, including those outside the subset.
    pub total_in_flight: usize,
    /// Mean number of attempts in flight at the subset over about the last second.
    pub mean_in_flight: f64,
    /// Time of the last update of `mean_in_flight`.
    pub mean_updated_at: Nanos,
}

impl TrafficStats {
    /// Updates the mean to `now`, with `in_flight` attempts since the last update. Must be called before that
    /// number changes.
    pub fn update_mean(&mut self, in_flight: usize, now: Nanos) {
        let weight = 1.0 - (-seconds(now.saturating_sub(self.mean_updated_at))).exp();
        self.mean_in_flight += weight * (in_flight as f64 - self.mean_in_flight);
        self.mean_updated_at = now;
    }

    /// Excludes a span in which this process did not run from all rates.
    pub fn exclude_span(&mut self, span: Nanos) {
        self.arrivals.exclude_span(span);
        self.served.exclude_span(span);
        self.mean_updated_at += span;
    }
}

#[cfg(test)]
#[path = "../tests/unit/traffic_stats.rs"]
mod tests;
