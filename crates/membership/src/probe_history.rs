//! Recent probe results: a member that gets no answer from most of its probes is probably isolated itself.

use std::collections::VecDeque;

/// Number of probes that are remembered.
const WINDOW: usize = 4;
/// Unanswered probes within the window from which on this member takes itself to be isolated.
const ISOLATION_THRESHOLD: usize = 3;

/// Whether each of the last probes was answered.
#[derive(Clone, Debug, Default)]
pub struct ProbeHistory(VecDeque<bool>);

impl ProbeHistory {
    /// Records the end of a probe.
    pub fn record(&mut self, answered: bool) {
        self.0.push_back(answered);
        if self.0.len() > WINDOW {
            self.0.pop_front();
        }
    }

    /// Whether this member is probably cut off from the fleet.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.0.iter().filter(|answered| !**answered).count() >= ISOLATION_THRESHOLD
    }
}
