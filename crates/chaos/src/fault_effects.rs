//! Combined effects of all active faults on links, endpoints and load. Does no I/O.

use serde::{Deserialize, Serialize};

use crate::fault_kind::{Fault, FaultKind, LinkSide, Misbehavior};
use crate::link::{ConnectPolicy, LinkConditions, LinkEnd, LinkPath, LinkState};
use crate::scenario::Scenario;

/// Returns the factor on the request rate, `at_s` seconds after the start of the load. Factors of concurrent bursts multiply.
#[must_use]
pub fn load_factor(scenario: &Scenario, at_s: f64) -> f64 {
    let bursts = scenario.faults.iter().filter_map(|fault| match fault.kind {
        FaultKind::LoadBurst { factor } => {
            let start_s = scenario.fault_free_s[0] + fault.start_s;
            (start_s..start_s + fault.duration_s).contains(&at_s).then_some(factor)
        }
        _ => None,
    });
    bursts.product()
}

/// How an endpoint responds. Sent to its process as JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointBehavior {
    /// Factor on the service time.
    #[serde(rename = "slow")]
    pub slowdown: f64,
    /// Kind of wrong responses, if it sends any.
    #[serde(rename = "lie")]
    pub misbehavior: Option<Misbehavior>,
    /// Seed of responses that are written in bursts, if they are.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub bursts: Option<u64>,
}

impl Default for EndpointBehavior {
    fn default() -> Self {
        Self { slowdown: 1.0, misbehavior: None, bursts: None }
    }
}

/// Returns how an endpoint responds under the active faults of a scenario with this seed: slowdowns multiply, the last
/// misbehavior applies.
#[must_use]
pub fn endpoint_behavior(seed: u64, active_faults: &[&Fault], endpoint: usize) -> EndpointBehavior {
    let mut behavior = EndpointBehavior::default();
    for fault in active_faults {
        match &fault.kind {
            FaultKind::EndpointSlow { endpoints, factor } if endpoints.contains(&endpoint) => {
                behavior.slowdown *= factor;
            }
            FaultKind::EndpointMisbehave { endpoints, misbehavior } if endpoints.contains(&endpoint) => {
                behavior.misbehavior = Some(*misbehavior);
            }
            FaultKind::EndpointBursts { endpoints } if endpoints.contains(&endpoint) => {
                behavior.bursts = Some(seed);
            }
            _ => {}
        }
    }
    behavior
}

/// Returns the state of a link under the active faults: conditions combine, the strictest connect policy applies.
#[must_use]
pub fn link_state(fault_free: &LinkConditions, active_faults: &[&Fault], path: LinkPath) -> LinkState {
    let mut state = LinkState {
        connect_policy: ConnectPolicy::Accept,
        forward: fault_free.clone(),
        reverse: fault_free.clone(),
    };
    for fault in active_faults {
        match &fault.kind {
            FaultKind::Partition { groups } if is_partitioned(groups, path) => {
                state.forward.partitioned = true;
                state.reverse.partitioned = true;
            }
            FaultKind::Link { from, to, connect_policy, forward, reverse, .. }
                if from.contains(path.from) && to.contains(path.to) =>
            {
                state.connect_policy = state.connect_policy.stricter(*connect_policy);
                state.forward = state.forward.combine(forward);
                state.reverse = state.reverse.combine(reverse);
            }
            _ => {}
        }
    }
    // A TCP handshake needs both directions.
    if state.forward.partitioned || state.reverse.partitioned {
        state.connect_policy = ConnectPolicy::Blackhole;
    }
    state
}

/// Returns whether both ends are nodes in different groups of a partition.
fn is_partitioned(groups: &[Vec<usize>], path: LinkPath) -> bool {
    let (LinkEnd::Node(from), LinkEnd::Node(to)) = (path.from, path.to) else { return false };
    let group_of = |node: usize| groups.iter().position(|group| group.contains(&node));
    match (group_of(from), group_of(to)) {
        (Some(a), Some(b)) => a != b,
        _ => false,
    }
}

impl LinkSide {
    /// Returns whether an end of a link is on this side.
    #[must_use]
    pub fn contains(&self, end: LinkEnd) -> bool {
        match (self, end) {
            (Self::Clients, LinkEnd::Clients) | (Self::Discovery, LinkEnd::Discovery) => true,
            (Self::Nodes(nodes), LinkEnd::Node(node)) => nodes.contains(&node),
            (Self::Endpoints(endpoints), LinkEnd::Endpoint(endpoint)) => endpoints.contains(&endpoint),
            _ => false,
        }
    }
}
