//! One fleet that grows: time to join, cost of a node at rest, detection of a killed process, a burst of restarts.

use std::io;
use std::time::{Duration, Instant};

use crate::hollow::counts::{DATAGRAM_HEADER_BYTES, FRAME_LENGTH_BYTES, Received};
use crate::hollow::mixed::{Convergence, Detection, MixedFleet, NotDetected};
use crate::hollow::process::RealNode;

/// Sizes and durations of a run.
struct Scale {
    /// Nodes by step.
    sizes: [usize; 4],
    /// Real processes among them.
    real: usize,
    /// Nodes that restart at once.
    restarts: usize,
    /// Time over which the cost at rest is measured.
    span: Duration,
}

/// Scale of the short run, which takes half a minute.
const SHORT: Scale = Scale { sizes: [14, 29, 43, 58], real: 6, restarts: 32, span: Duration::from_secs(2) };
/// The size that operators need.
const FULL: Scale =
    Scale { sizes: [58, 145, 290, 580], real: 36, restarts: 320, span: Duration::from_secs(10) };
/// Time between a node's stop and its next start.
const RESTART_PAUSE: Duration = Duration::from_secs(1);
/// Timeout of waits for convergence, for the end of gossip and for the detection of a killed process.
const SETTLE_LIMIT: Duration = Duration::from_secs(120);

/// Cost of a node at rest.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rest {
    /// Datagrams and frames per second.
    pub messages: f64,
    /// Bytes per second, with UDP and IPv4 headers.
    pub bytes: f64,
    /// Share of a core.
    pub cpu: f64,
    /// Memory in bytes: the highest resident memory of a real node, or the mean size of a hollow node's member table.
    pub memory: f64,
}

/// The fleet at one size.
#[derive(Clone, Debug)]
pub struct Size {
    /// All nodes.
    pub nodes: usize,
    /// Real ones among them.
    pub real: usize,
    /// Time until all member tables were equal, after the last node was started.
    pub joined: Convergence,
    /// Time from then until no updates were left to gossip; the cost at rest is measured after that.
    pub quiet: Option<Duration>,
    /// The mean of the hollow nodes.
    pub hollow_rest: Rest,
    /// The mean of the real nodes; memory is their maximum.
    pub real_rest: Rest,
}

/// Many nodes restarted at once.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Nodes that restarted.
    pub restarted: usize,
    /// Hollow nodes, whose messages were counted.
    pub counted: usize,
    /// Convergence and traffic, measured from the moment at which the nodes left.
    pub settled: Convergence,
    /// Mean processor time of a hollow node until the member tables were equal.
    pub cpu_seconds_a_node: f64,
}

impl Burst {
    /// Mean bytes per node in the second with the most traffic.
    #[must_use]
    pub fn peak_bytes_a_node(&self) -> f64 {
        self.settled.peak_bytes as f64 / self.counted.max(1) as f64
    }

    /// Mean bytes per node over the whole burst.
    #[must_use]
    pub fn bytes_a_node(&self) -> f64 {
        self.settled.sent.bytes as f64 / self.counted.max(1) as f64
    }
}

/// Results of the growing fleet.
#[derive(Clone, Debug)]
pub struct Growth {
    /// By size.
    pub sizes: Vec<Size>,
    /// A killed process.
    pub detection: Result<Detection, NotDetected>,
    /// Restarts.
    pub burst: Burst,
    /// Peak number of processes: nodes, their guards and this one.
    pub processes: usize,
    /// Stalls of this process that hollow nodes detected; any means that the machine was too busy for valid figures.
    pub stalls: u64,
}

impl Growth {
    /// Nodes at the end.
    #[must_use]
    pub fn nodes(&self) -> usize {
        self.sizes.last().map_or(0, |size| size.nodes)
    }
}

/// Runs the measurement.
pub(super) fn measure(seed: u64, full: bool) -> io::Result<Growth> {
    let Scale { sizes, real, restarts, span } = if full { FULL } else { SHORT };
    let mut fleet = MixedFleet::start(real, sizes[0] - real, seed)?;
    let mut measured = Vec::new();
    for nodes in sizes {
        fleet.add_hollow(nodes.saturating_sub(fleet.len()))?;
        let joined = fleet.wait_until_converged(SETTLE_LIMIT);
        let quiet = fleet.wait_for_broadcasts(SETTLE_LIMIT);
        let (hollow_rest, real_rest) = rest(&fleet, span);
        measured.push(Size { nodes, real, joined, quiet, hollow_rest, real_rest });
    }
    let detection = fleet.kill_real(SETTLE_LIMIT);
    let burst = burst(&mut fleet, restarts)?;
    Ok(Growth { sizes: measured, detection, burst, processes: 2 * real + 1, stalls: fleet.stalls() })
}

/// Measures the cost of hollow and of real nodes at rest; messages of real nodes are counted by their hollow peers.
fn rest(fleet: &MixedFleet, span: Duration) -> (Rest, Rest) {
    let (sent, cpu) = (fleet.sent(), fleet.hollow_cpu_seconds());
    let real_cpu = || fleet.real().iter().map(RealNode::cpu_seconds).sum::<f64>();
    let (real_cpu_before, start) = (real_cpu(), Instant::now());
    let counted = fleet.count_received(span);
    let seconds = start.elapsed().as_secs_f64();
    let (sent, cpu) = (fleet.sent().since(sent), fleet.hollow_cpu_seconds() - cpu);
    let real_cpu = real_cpu() - real_cpu_before;
    let (hollow, real) = (fleet.hollow().len() as f64, fleet.real().len() as f64);
    let hollow_rest = Rest {
        messages: sent.messages() as f64 / hollow / seconds,
        bytes: sent.bytes as f64 / hollow / seconds,
        cpu: cpu / hollow / seconds,
        memory: fleet.hollow_table_bytes() as f64 / hollow,
    };
    let received: Vec<Received> =
        fleet.real().iter().filter_map(|node| counted.get(node.name()).copied()).collect();
    // Only hollow peers count what they receive; the scale assumes that real peers receive as much.
    let scale = (fleet.len() as f64 - 1.0) / hollow / real / seconds;
    let sum = |figure: fn(&Received) -> u64| received.iter().map(figure).sum::<u64>() as f64;
    let real_rest = Rest {
        messages: sum(|from| from.all_datagrams() + from.all_frames()) * scale,
        bytes: sum(bytes) * scale,
        cpu: real_cpu / real / seconds,
        memory: fleet.real().iter().map(RealNode::memory).max().unwrap_or_default() as f64,
    };
    (hollow_rest, real_rest)
}

/// Bytes with UDP and IPv4 headers and length prefixes.
fn bytes(from: &Received) -> u64 {
    let heads = DATAGRAM_HEADER_BYTES * from.all_datagrams() + FRAME_LENGTH_BYTES * from.all_frames();
    from.datagram_bytes + from.frame_bytes + heads
}

fn burst(fleet: &mut MixedFleet, restarts: usize) -> io::Result<Burst> {
    let counted = fleet.hollow().len();
    let restarted = restarts.min(counted);
    let cpu = fleet.hollow_cpu_seconds();
    let settled = fleet.restart_hollow(restarted, RESTART_PAUSE, SETTLE_LIMIT)?;
    let cpu_seconds_a_node = (fleet.hollow_cpu_seconds() - cpu) / counted.max(1) as f64;
    Ok(Burst { restarted, counted, settled, cpu_seconds_a_node })
}
