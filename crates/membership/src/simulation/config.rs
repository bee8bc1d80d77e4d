//! What a simulated fleet is made of.

use crate::settings::Settings;
use crate::{MS, Nanos};

/// Configuration of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// Settings of all members.
    pub settings: Settings,
    /// Number of processes; none is started at first.
    pub nodes: usize,
    /// Number of zones; node `n` is in zone `n` modulo this.
    pub zones: usize,
    /// Seed of all random draws.
    pub seed: u64,
    /// Minimum one-way delay of a link.
    pub delay: Nanos,
    /// Maximum of the random delay beyond it.
    pub jitter: Nanos,
    /// Share of datagrams, and of stream segments, that are lost.
    pub loss: f64,
    /// Share of datagrams that are delivered twice.
    pub duplication: f64,
}

impl SimulationConfig {
    /// A fleet on links without loss.
    #[must_use]
    pub fn without_faults(nodes: usize, seed: u64) -> Self {
        let settings = Settings::default();
        Self { settings, nodes, zones: 3, seed, delay: MS / 2, jitter: MS / 2, loss: 0.0, duplication: 0.0 }
    }
}
