//! The configuration of a simulation, and the settings of its nodes' decision modules.

use pumicehead_policy::tenant_shares::TenantShares;
use pumicehead_policy::{Class, Discovery, Idempotency, Nanos, SECOND, Settings, ZoneId};

/// Share of its capacity that a server has at its start.
pub(super) const WARMUP_INITIAL_FRACTION: f64 = 0.2;
/// Time from a server's start until it has its whole capacity.
pub(super) const WARMUP_DURATION: Nanos = 10 * SECOND;
/// A cold server crashes when arrivals over [`OVERLOAD_DURATION`] exceed this multiple of its current capacity.
pub(super) const OVERLOAD_MULTIPLE: f64 = 2.5;
pub(super) const OVERLOAD_DURATION: Nanos = SECOND;

/// Latency objectives of the classes, in the order of [`RequestClass`].
const LATENCY_OBJECTIVES: [Nanos; 2] = [1_200 * SECOND / 1_000, 600 * SECOND / 1_000];
/// Deadlines of the classes.
const DEADLINES: [Nanos; 2] = [6 * SECOND, 1_200 * SECOND / 1_000];

/// A simulated deployment.
#[derive(Clone, Copy, Debug)]
pub struct SimulationConfig {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Nodes; each has a decision module of its own.
    pub nodes: u32,
    /// Servers, of two cores each.
    pub servers: u32,
    /// Arrival rate of requests as a share of the capacity of all warm servers.
    pub load: f64,
    /// Whether nodes send each other load reports.
    pub load_reports: bool,
    /// Planners that all nodes report to; with 0, nodes decide without planners.
    pub planners: usize,
}

/// The class of a request; the discriminant is its id in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestClass {
    /// Idempotent, with the lower priority.
    Read = 0,
    /// Not idempotent, with the higher priority and the shorter deadline.
    Submit = 1,
}

impl RequestClass {
    pub(super) fn latency_objective(self) -> Nanos {
        LATENCY_OBJECTIVES[self as usize]
    }

    pub(super) fn deadline(self) -> Nanos {
        DEADLINES[self as usize]
    }

    fn settings(self) -> Class {
        let (priority_weight, idempotency) = match self {
            Self::Read => (1.0, Idempotency::Idempotent),
            Self::Submit => (10.0, Idempotency::NotIdempotent),
        };
        Class {
            latency_objective: self.latency_objective(),
            objective_per_work: 0.0,
            deadline: self.deadline(),
            priority_weight,
            late_weight: 0.2,
            idempotency,
            ordered_by_key: false,
        }
    }
}

/// The settings of a node's decision module.
pub(super) fn node_settings(config: &SimulationConfig, node_index: u32) -> Settings {
    Settings {
        node_index,
        node_count: config.nodes,
        zone: ZoneId(0),
        zone_count: 1,
        classes: vec![RequestClass::Read.settings(), RequestClass::Submit.settings()],
        tenants: TenantShares::default(),
        over_share_weight: 0.2,
        weight_by_work: false,
        discovery: Discovery::Push,
        tick: SECOND / 1_000,
        max_attempts: 3,
        concurrent_attempts: true,
        cancellation: true,
        retry_after: true,
        max_retry_after: 2 * SECOND,
        connections_have_cost: false,
        cross_zone_cost: 0.0,
        weight_is_capacity: false,
        load_reports: config.load_reports,
        load_report_cost: 0.001,
        poll_interval: 10 * SECOND,
        drain_grace: 2 * SECOND,
        warmup_initial_fraction: WARMUP_INITIAL_FRACTION,
        warmup_duration: WARMUP_DURATION,
        overload_multiple: OVERLOAD_MULTIPLE,
        overload_duration: OVERLOAD_DURATION,
        rejection_may_execute: false,
        key_cooldown: 0,
        drain_idle_close: None,
    }
}
