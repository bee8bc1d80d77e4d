//! Recent probe results. A member that gets no direct response to most of its probes is probably isolated itself.

use std::collections::VecDeque;

/// Number of recorded probes.
const WINDOW: usize = 4;
/// Number of recorded probes without a direct response at which this member considers itself isolated.
const ISOLATION_THRESHOLD: usize = 3;

/// For each recent probe, whether the target responded directly, by an ack or by refusing a connection.
#[derive(Clone, Debug, Default)]
pub struct ProbeHistory(VecDeque<bool>);

impl ProbeHistory {
    /// Records whether the target of a probe responded directly.
    pub fn record(&mut self, responded: bool) {
        self.0.push_back(responded);
        if self.0.len() > WINDOW {
            self.0.pop_front();
        }
    }

    /// Whether this member is probably isolated from the fleet.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.0.iter().filter(|responded| !**responded).count() >= ISOLATION_THRESHOLD
    }
}
