//! Validation of scenarios.

use super::{FaultError, Scenario, ScenarioError};
use crate::fault_kind::{Fault, FaultKind, LinkSide};

/// Largest number of nodes: two CPU cores can run that many processes with their links.
pub const MAX_NODES: usize = 50;
/// Largest number of endpoints.
pub const MAX_ENDPOINTS: usize = 50;
/// Largest number of pairs of a node and an endpoint; each pair has a listener.
pub const MAX_NODE_ENDPOINT_PAIRS: usize = 1_000;
/// Largest number of ordered pairs of members; each pair has a listener and a UDP socket.
pub const MAX_MEMBER_PAIRS: usize = 2_450;
/// Largest number of requests per second over all nodes.
pub const MAX_REQUESTS_PER_S: f64 = 2_000.0;
/// Longest duration of a run, in seconds.
pub const MAX_DURATION_S: f64 = 600.0;
/// Largest number of faults.
pub const MAX_FAULTS: usize = 200;

/// Largest factor of a load burst.
const MAX_BURST_FACTOR: f64 = 20.0;
/// Largest number of connections that are held open at a node.
const MAX_FLOOD_CONNECTIONS: f64 = 1_000.0;

fn check_range(name: &'static str, value: f64, min: f64, max: f64) -> Result<(), ScenarioError> {
    // A NaN is in no range, so it is rejected.
    if (min..=max).contains(&value) {
        Ok(())
    } else {
        Err(ScenarioError::OutOfRange { name, value, min, max })
    }
}

fn check_fault_range(name: &'static str, value: f64, min: f64, max: f64) -> Result<(), FaultError> {
    if (min..=max).contains(&value) { Ok(()) } else { Err(FaultError::OutOfRange { name, value, min, max }) }
}

/// Checks that a list is not empty and contains only numbers under `count`.
fn check_targets(target: &'static str, numbers: &[usize], count: usize) -> Result<(), FaultError> {
    match numbers.iter().find(|number| **number >= count) {
        Some(&number) => Err(FaultError::UnknownTarget { target, number, last: count - 1 }),
        None if numbers.is_empty() => Err(FaultError::NoTarget { target }),
        None => Ok(()),
    }
}

impl Scenario {
    /// Checks that the scenario can be run.
    ///
    /// # Errors
    /// The first value that is out of its range, or the first fault that is not possible.
    pub fn validate(&self) -> Result<(), ScenarioError> {
        self.validate_fleet()?;
        check_range("load.submits", self.load.submit_share, 0.0, 1.0)?;
        check_range("load.patience_ms", self.load.deadline_ms as f64, 100.0, 60_000.0)?;
        check_range("calm_s", self.fault_free_s[0], 1.0, MAX_DURATION_S)?;
        check_range("calm_s", self.fault_free_s[1], 1.0, MAX_DURATION_S)?;
        check_range("the whole run, in seconds", self.duration_s(), 1.0, MAX_DURATION_S)?;
        check_range("the number of faults", self.faults.len() as f64, 0.0, MAX_FAULTS as f64)?;
        self.fleet.links.validate().map_err(|source| ScenarioError::FleetLinks { source })?;
        for (index, fault) in self.faults.iter().enumerate() {
            self.validate_fault(fault)
                .map_err(|source| ScenarioError::Fault { number: index + 1, source })?;
        }
        Ok(())
    }

    fn validate_fleet(&self) -> Result<(), ScenarioError> {
        let fleet = &self.fleet;
        let (nodes, endpoints) = (fleet.nodes, fleet.endpoints);
        check_range("fleet.nodes", nodes as f64, 1.0, MAX_NODES as f64)?;
        check_range("fleet.servers", endpoints as f64, 1.0, MAX_ENDPOINTS as f64)?;
        let pairs = (nodes * endpoints) as f64;
        check_range("fleet.nodes times fleet.servers", pairs, 1.0, MAX_NODE_ENDPOINT_PAIRS as f64)?;
        let member_pairs = if fleet.membership { nodes * (nodes - 1) } else { 0 };
        check_range("pairs of members", member_pairs as f64, 0.0, MAX_MEMBER_PAIRS as f64)?;
        check_range("fleet.places", fleet.concurrency as f64, 1.0, 1_000.0)?;
        check_range("fleet.takes_ms", fleet.service_time_ms, 1.0, 10_000.0)?;
        check_range("fleet.cold, seconds", fleet.slow_start.duration_s, 0.1, 120.0)?;
        check_range("fleet.cold, share", fleet.slow_start.initial_share, 0.01, 1.0)?;
        let requests_per_s = self.load.requests_per_s * nodes as f64;
        check_range("load.rate at all nodes", requests_per_s, 0.1, MAX_REQUESTS_PER_S)
    }

    fn validate_fault(&self, fault: &Fault) -> Result<(), FaultError> {
        check_fault_range("at_s", fault.start_s, 0.0, MAX_DURATION_S)?;
        check_fault_range("for_s", fault.duration_s, 0.0, MAX_DURATION_S)?;
        match &fault.kind {
            FaultKind::Kill { nodes, .. }
            | FaultKind::RollingRestart { nodes }
            | FaultKind::Terminate { nodes }
            | FaultKind::Pause { nodes }
            | FaultKind::DiskFull { nodes }
            | FaultKind::WriteRecording { nodes } => self.check_nodes(nodes),
            FaultKind::CrashLoop { nodes, interval_s } => {
                // A process needs time to start: with a shorter interval it would never be up.
                check_fault_range("every_s", *interval_s, 0.2, 60.0)?;
                self.check_nodes(nodes)
            }
            FaultKind::Throttle { nodes, paused_share } => {
                check_fault_range("share", *paused_share, 0.05, 0.95)?;
                self.check_nodes(nodes)
            }
            FaultKind::Link { from, to, forward, reverse, .. } => {
                self.check_link_sides(from, to)?;
                forward.validate()?;
                Ok(reverse.validate()?)
            }
            FaultKind::EndpointSlow { endpoints, factor } => {
                // A factor under 1 would make the endpoint faster.
                check_fault_range("factor", *factor, 1.0, 1_000.0)?;
                self.check_endpoints(endpoints)
            }
            FaultKind::EndpointPause { endpoints }
            | FaultKind::EndpointKill { endpoints }
            | FaultKind::EndpointMisbehave { endpoints, .. }
            | FaultKind::EndpointBursts { endpoints }
            | FaultKind::EndpointDrain { endpoints } => self.check_endpoints(endpoints),
            FaultKind::ConnectionFlood { nodes, connections } => {
                check_fault_range("connections", *connections as f64, 1.0, MAX_FLOOD_CONNECTIONS)?;
                self.check_nodes(nodes)
            }
            FaultKind::Partition { groups } => self.check_partition(groups),
            FaultKind::LoadBurst { factor } => check_fault_range("factor", *factor, 0.0, MAX_BURST_FACTOR),
        }
    }

    fn check_nodes(&self, nodes: &[usize]) -> Result<(), FaultError> {
        check_targets("node", nodes, self.fleet.nodes)
    }

    fn check_endpoints(&self, endpoints: &[usize]) -> Result<(), FaultError> {
        check_targets("server", endpoints, self.fleet.endpoints)
    }

    fn check_link_sides(&self, from: &LinkSide, to: &LinkSide) -> Result<(), FaultError> {
        for side in [from, to] {
            match side {
                LinkSide::Nodes(nodes) => self.check_nodes(nodes)?,
                LinkSide::Endpoints(endpoints) => self.check_endpoints(endpoints)?,
                LinkSide::Clients | LinkSide::Discovery => {}
            }
        }
        let carries_connections = match (from, to) {
            (LinkSide::Clients, LinkSide::Nodes(_))
            | (LinkSide::Nodes(_), LinkSide::Endpoints(_) | LinkSide::Discovery) => true,
            (LinkSide::Nodes(_), LinkSide::Nodes(_)) => self.fleet.membership,
            _ => false,
        };
        if carries_connections { Ok(()) } else { Err(FaultError::NoSuchLink) }
    }

    fn check_partition(&self, groups: &[Vec<usize>]) -> Result<(), FaultError> {
        if !self.fleet.membership || groups.len() < 2 {
            return Err(FaultError::Partition);
        }
        groups.iter().try_for_each(|group| self.check_nodes(group))
    }
}
