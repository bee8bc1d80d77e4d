//! Scenarios: a fleet, its load, and faults with their times. A scenario is read from a TOML file or generated from a seed; the
//! serde attributes hold the keywords of the files.

mod error;
mod validation;

use serde::{Deserialize, Serialize};

pub use error::{FaultError, ScenarioError};
pub use validation::{
    MAX_DURATION_S, MAX_ENDPOINTS, MAX_FAULTS, MAX_MEMBER_PAIRS, MAX_NODE_ENDPOINT_PAIRS, MAX_NODES,
    MAX_REQUESTS_PER_S,
};

use crate::fault_kind::Fault;
use crate::link::LinkConditions;

/// A scenario that can be run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name, for reports.
    pub name: String,
    /// Seed of the requests, of damage to files and of the links, except for replies over TCP links.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// The processes.
    pub fleet: Fleet,
    /// The requests.
    pub load: Load,
    /// Fault-free time before the first fault and after the last one, in seconds.
    #[serde(rename = "calm_s")]
    pub fault_free_s: [f64; 2],
    /// The faults.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

/// The processes of a run, and the links between them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of endpoints.
    #[serde(rename = "servers")]
    pub endpoints: usize,
    /// Requests that an endpoint executes at the same time; further ones are queued there.
    #[serde(default = "default_concurrency", rename = "places")]
    pub concurrency: usize,
    /// Mean service time of a request, in milliseconds: half of it is constant, the rest exponentially distributed.
    #[serde(default = "default_service_time_ms", rename = "takes_ms")]
    pub service_time_ms: f64,
    /// Warm-up of a restarted endpoint.
    #[serde(default, rename = "cold")]
    pub slow_start: SlowStart,
    /// Conditions of all links without a fault.
    #[serde(default)]
    pub links: LinkConditions,
    /// Whether the nodes are members of a group, with links to each other.
    #[serde(default, rename = "members")]
    pub membership: bool,
    /// What configures the nodes.
    #[serde(default, skip_serializing_if = "Host::is_standalone")]
    pub host: Host,
}

/// What configures the nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Host {
    /// A file in the configuration language of operators.
    #[default]
    Standalone,
    /// The platform.
    Platform,
}

impl Host {
    fn is_standalone(&self) -> bool {
        *self == Self::Standalone
    }
}

/// Warm-up of an endpoint: its concurrency grows linearly, from a share of the full concurrency. Stored as `[seconds, share]`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct SlowStart {
    /// Seconds until the endpoint is warm.
    pub duration_s: f64,
    /// Share of its concurrency at the start, between 0 and 1.
    pub initial_share: f64,
}

impl Default for SlowStart {
    fn default() -> Self {
        Self { duration_s: 10.0, initial_share: 0.2 }
    }
}

impl From<(f64, f64)> for SlowStart {
    fn from((duration_s, initial_share): (f64, f64)) -> Self {
        Self { duration_s, initial_share }
    }
}

impl From<SlowStart> for (f64, f64) {
    fn from(slow_start: SlowStart) -> Self {
        (slow_start.duration_s, slow_start.initial_share)
    }
}

/// The requests of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests per second at each node.
    #[serde(rename = "rate")]
    pub requests_per_s: f64,
    /// Share of requests that are not idempotent, between 0 and 1.
    #[serde(default = "default_submit_share", rename = "submits")]
    pub submit_share: f64,
    /// Deadline of a request, in milliseconds.
    #[serde(default = "default_deadline_ms", rename = "patience_ms")]
    pub deadline_ms: u64,
}

fn default_seed() -> u64 {
    1
}

pub(crate) fn default_concurrency() -> usize {
    8
}

pub(crate) fn default_service_time_ms() -> f64 {
    20.0
}

pub(crate) fn default_submit_share() -> f64 {
    0.4
}

pub(crate) fn default_deadline_ms() -> u64 {
    1_200
}

impl Scenario {
    /// Reads a scenario from TOML and validates it.
    ///
    /// # Errors
    /// Text that is not a scenario, or a scenario that [`Scenario::validate`] rejects.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let scenario: Self = toml::from_str(text)?;
        scenario.validate()?;
        Ok(scenario)
    }

    /// Returns the end of the last fault, in seconds after the start of the load.
    #[must_use]
    pub fn faults_end_s(&self) -> f64 {
        let ends = self.faults.iter().map(|fault| fault.start_s + fault.duration_s);
        self.fault_free_s[0] + ends.fold(0.0, f64::max)
    }

    /// Returns the duration of the load, in seconds.
    #[must_use]
    pub fn duration_s(&self) -> f64 {
        self.faults_end_s() + self.fault_free_s[1]
    }
}
