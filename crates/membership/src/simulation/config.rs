//! Configuration of a simulated fleet.

use crate::settings::Settings;
use crate::{MS, Nanos};

/// Configuration of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// Settings of all members.
    pub settings: Settings,
    /// Number of processes. None of them is running initially.
    pub nodes: usize,
    /// Number of zones. Node `n` is in zone `n % zones`.
    pub zones: usize,
    /// Seed of all random number generators.
    pub seed: u64,
    /// Minimum one-way delay of a link.
    pub delay: Nanos,
    /// Maximum random delay in addition to `delay`.
    pub jitter: Nanos,
    /// Fraction of datagrams and stream frames that are lost. A lost stream frame is retransmitted.
    pub loss: f64,
    /// Fraction of datagrams that are delivered twice.
    pub duplication: f64,
}

impl SimulationConfig {
    /// A fleet whose links lose and duplicate nothing.
    #[must_use]
    pub fn without_faults(nodes: usize, seed: u64) -> Self {
        let settings = Settings::default();
        Self { settings, nodes, zones: 3, seed, delay: MS / 2, jitter: MS / 2, loss: 0.0, duplication: 0.0 }
    }
}
