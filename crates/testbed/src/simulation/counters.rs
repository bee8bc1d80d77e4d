//! Results of a simulation.

use std::collections::BTreeMap;

/// Counters of a simulation. The four kinds of violation are detected by the simulation, not by the decision modules.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Requests that arrived.
    pub requests: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were served within their latency objective.
    pub within_objective: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Violation: requests without any final answer.
    pub unanswered: u64,
    /// Violation: requests that are not idempotent and ran more than once.
    pub ran_twice: u64,
    /// Violation: attempts that reached a server after the grace period of its drain.
    pub sent_past_drain: u64,
    /// Violation: cold servers that crashed under overload.
    pub overloaded_cold: u64,
    /// Attempts.
    pub attempts: u64,
    /// Attempts at servers that are not healthy, by the second in which they were sent.
    pub attempts_at_unhealthy: BTreeMap<u64, u64>,
    /// Plans that granted a node a higher rate at a cold server than the rate that it had lent.
    pub grants: u64,
    /// Bytes sent between nodes and planners.
    pub planner_bytes: u64,
    /// Pairs of a node and a server with an attempt, by second.
    pub node_server_pairs: BTreeMap<u64, u64>,
}

impl Counters {
    /// Number of violations of all kinds.
    #[must_use]
    pub fn violations(&self) -> u64 {
        self.unanswered + self.ran_twice + self.sent_past_drain + self.overloaded_cold
    }
}
