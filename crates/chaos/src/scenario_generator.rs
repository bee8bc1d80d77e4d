//! Generates random scenarios. The order of random draws is part of the interface: a seed always gives the same scenario.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fault_kind::{Fault, FaultKind, FileFault, LinkSide, Misbehavior};
use crate::link::{ConnectPolicy, LinkConditions};
use crate::scenario::{
    Fleet, Host, Load, Scenario, SlowStart, default_concurrency, default_deadline_ms,
    default_service_time_ms, default_submit_share,
};

const SOAK_NODES: usize = 2;
const SOAK_ENDPOINTS: usize = 6;
/// Requests that an endpoint of a soak executes at the same time; it has written the response long after that.
const SOAK_CONCURRENCY: usize = 32;
/// Requests per second at each node of a soak.
const SOAK_REQUESTS_PER_S: f64 = 25.0;
/// Time for which the faults of a soak last, in seconds.
const SOAK_DURATION_S: f64 = 8.0;
/// Idle connections at a node of a soak, more than it has descriptors for.
const SOAK_FLOOD_CONNECTIONS: usize = 400;
/// Longest time for which the platform holds up a node.
const NODE_HOLD_UP_S: f64 = 0.15;

const FILE_FAULTS: [FileFault; 4] =
    [FileFault::Intact, FileFault::Removed, FileFault::Truncated, FileFault::BytesFlipped];
const MISBEHAVIORS: [Misbehavior; 3] =
    [Misbehavior::DeniesExecution, Misbehavior::WrongResponse, Misbehavior::MalformedResponse];
const CONNECT_POLICIES: [ConnectPolicy; 3] =
    [ConnectPolicy::Accept, ConnectPolicy::Refuse, ConnectPolicy::Blackhole];

impl Scenario {
    /// Generates a scenario with two to five faults, which may overlap, for a fleet of the given size.
    #[must_use]
    pub fn generate(seed: u64, nodes: usize, endpoints: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = rng.random_range(2..=5);
        let faults = (0..count).map(|_| random_fault(&mut rng, nodes, endpoints)).collect();
        Self {
            name: format!("drawn-{seed}"),
            seed,
            fleet: Fleet {
                nodes,
                endpoints,
                concurrency: default_concurrency(),
                service_time_ms: default_service_time_ms(),
                slow_start: SlowStart::default(),
                links: LinkConditions::default(),
                membership: false,
                host: Host::default(),
            },
            load: Load {
                requests_per_s: 30.0,
                submit_share: default_submit_share(),
                deadline_ms: default_deadline_ms(),
            },
            fault_free_s: [4.0, 8.0],
            faults,
        }
    }
}

impl Scenario {
    /// Generates a soak: all endpoints write their responses in bursts, nodes are terminated one after another, and some
    /// scenarios have idle connections or a node that is held up as well. Every other node is configured by the platform.
    #[must_use]
    pub fn generate_soak(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let host = if seed.is_multiple_of(2) { Host::Platform } else { Host::Standalone };
        let mut scenario = Self::generate(seed, SOAK_NODES, SOAK_ENDPOINTS);
        scenario.name = format!("soak-{seed}");
        scenario.fleet.host = host;
        scenario.fleet.concurrency = SOAK_CONCURRENCY;
        scenario.load = Load {
            requests_per_s: SOAK_REQUESTS_PER_S,
            submit_share: default_submit_share(),
            deadline_ms: rng.random_range(600..=900),
        };
        scenario.fault_free_s = [0.5, 2.5];
        let bursts = FaultKind::EndpointBursts { endpoints: (0..SOAK_ENDPOINTS).collect() };
        scenario.faults = vec![Fault { start_s: 0.0, duration_s: SOAK_DURATION_S, kind: bursts }];
        for _ in 0..rng.random_range(1..=3) {
            scenario.faults.push(random_soak_fault(&mut rng));
        }
        scenario
    }
}

/// Returns a fault of a single node that leaves responses owed, or the drain of an endpoint.
fn random_soak_fault(rng: &mut StdRng) -> Fault {
    let node = rng.random_range(0..SOAK_NODES);
    let start_s = 1.0 + random_tenths_s(rng, SOAK_DURATION_S - 5.0);
    let (duration_s, kind) = match rng.random_range(0..5) {
        0 | 1 => (2.5, FaultKind::Terminate { nodes: vec![node] }),
        2 => (3.0, FaultKind::ConnectionFlood { nodes: vec![node], connections: SOAK_FLOOD_CONNECTIONS }),
        3 => (NODE_HOLD_UP_S, FaultKind::Pause { nodes: vec![node] }),
        _ => (2.0, FaultKind::EndpointDrain { endpoints: vec![rng.random_range(0..SOAK_ENDPOINTS)] }),
    };
    Fault { start_s, duration_s, kind }
}

/// Chooses at least one and at most half of the numbers under `count`, in ascending order.
fn random_subset(rng: &mut StdRng, count: usize) -> Vec<usize> {
    let size = rng.random_range(1..=(count / 2).max(1));
    let mut numbers: Vec<_> = (0..count).collect();
    for index in 0..size {
        let other = rng.random_range(index..count);
        numbers.swap(index, other);
    }
    numbers.truncate(size);
    numbers.sort_unstable();
    numbers
}

fn random_fault(rng: &mut StdRng, node_count: usize, endpoint_count: usize) -> Fault {
    let nodes = random_subset(rng, node_count);
    let endpoints = random_subset(rng, endpoint_count);
    let forward = random_conditions(rng);
    let connect_policy = CONNECT_POLICIES[rng.random_range(0..3)];
    let reverse = if rng.random::<bool>() { forward.clone() } else { LinkConditions::default() };
    let kind = match rng.random_range(0..13) {
        0 => FaultKind::Kill { nodes, file_fault: FILE_FAULTS[rng.random_range(0..FILE_FAULTS.len())] },
        1 => FaultKind::RollingRestart { nodes },
        2 => FaultKind::CrashLoop { nodes, interval_s: 1.0 },
        3 => FaultKind::Pause { nodes },
        4 => FaultKind::Throttle { nodes, paused_share: 0.6 },
        link @ (5 | 6) => FaultKind::Link {
            from: LinkSide::Nodes(nodes),
            to: if link == 5 { LinkSide::Endpoints(endpoints) } else { LinkSide::Discovery },
            connect_policy,
            forward,
            reverse,
            reset_at_end: rng.random(),
        },
        7 => FaultKind::EndpointPause { endpoints },
        8 => FaultKind::EndpointKill { endpoints },
        9 => FaultKind::DiskFull { nodes },
        10 => FaultKind::EndpointSlow { endpoints, factor: 5.0 },
        11 => FaultKind::EndpointMisbehave {
            endpoints,
            misbehavior: MISBEHAVIORS[rng.random_range(0..MISBEHAVIORS.len())],
        },
        _ => FaultKind::EndpointDrain { endpoints },
    };
    let start_s = random_tenths_s(rng, 6.0);
    Fault { start_s, duration_s: 1.0 + random_tenths_s(rng, 5.0), kind }
}

fn random_conditions(rng: &mut StdRng) -> LinkConditions {
    LinkConditions {
        latency_ms: rng.random_range(0.0..200.0_f64).round(),
        loss: (rng.random_range(0.0..0.3_f64) * 100.0).round() / 100.0,
        partitioned: rng.random::<f64>() < 0.4,
        ..LinkConditions::default()
    }
}

/// Returns a random time from 0 to `max_s`, rounded to tenths of a second.
fn random_tenths_s(rng: &mut StdRng, max_s: f64) -> f64 {
    (rng.random_range(0.0..max_s) * 10.0).round() / 10.0
}
