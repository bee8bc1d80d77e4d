//! One fleet that grows: what joining takes, what a node spends at rest, a process killed, a burst of restarts.

use std::io;
use std::time::{Duration, Instant};

use crate::hollow::counts::{DATAGRAM_HEADER_BYTES, FRAME_LENGTH_BYTES, Received};
use crate::hollow::mixed::{Convergence, Detection, MixedFleet, NotDetected};
use crate::hollow::process::RealNode;

/// What is grown.
struct Scale {
    /// Nodes by step.
    sizes: [usize; 4],
    /// Real processes among them.
    real: usize,
    /// Nodes that restart at once.
    restarts: usize,
    /// A node's spending at rest is measured for so long.
    span: Duration,
}

/// What fits into half a minute.
const SHORT: Scale = Scale { sizes: [14, 29, 43, 58], real: 6, restarts: 32, span: Duration::from_secs(2) };
/// The size that operators need.
const FULL: Scale =
    Scale { sizes: [58, 145, 290, 580], real: 36, restarts: 320, span: Duration::from_secs(10) };
/// From a node's end to its next start.
const RESTART_PAUSE: Duration = Duration::from_secs(1);
/// Views that are not one by then are taken not to settle.
const SETTLE_LIMIT: Duration = Duration::from_secs(120);

/// What a node spends at rest.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rest {
    /// Messages a second, datagrams and frames.
    pub messages: f64,
    /// Bytes a second, with heads of UDP and IPv4.
    pub bytes: f64,
    /// Share of a core.
    pub cpu: f64,
    /// Bytes: the most of the real nodes' resident memory, or what a hollow node's view takes, counted.
    pub memory: f64,
}

/// The fleet at one size.
#[derive(Clone, Debug)]
pub struct Size {
    /// All nodes.
    pub nodes: usize,
    /// Real ones among them.
    pub real: usize,
    /// Until all saw all, after the last was started.
    pub joined: Convergence,
    /// From then until nothing was left to pass on; figures at rest are of the time after.
    pub quiet: Option<Duration>,
    /// The mean of the hollow nodes.
    pub hollow_rest: Rest,
    /// The mean of the real nodes; memory is the most of them.
    pub real_rest: Rest,
}

/// Many restarts at once.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Nodes that restarted.
    pub restarted: usize,
    /// Hollow nodes, which were counted.
    pub counted: usize,
    /// What came of it; times from the moment at which they went.
    pub settled: Convergence,
    /// Processor time that a hollow node took until views were one.
    pub cpu_seconds_a_node: f64,
}

impl Burst {
    /// Bytes that a node sent in the worst second, on the mean.
    #[must_use]
    pub fn peak_bytes_a_node(&self) -> f64 {
        self.settled.peak_bytes as f64 / self.counted.max(1) as f64
    }

    /// Bytes that a node sent in all, on the mean.
    #[must_use]
    pub fn bytes_a_node(&self) -> f64 {
        self.settled.sent.bytes as f64 / self.counted.max(1) as f64
    }
}

/// The fleet that grew.
#[derive(Clone, Debug)]
pub struct Growth {
    /// By size.
    pub sizes: Vec<Size>,
    /// A killed process.
    pub detection: Result<Detection, NotDetected>,
    /// Restarts.
    pub burst: Burst,
    /// Processes at the most: nodes, their guards and this one.
    pub processes: usize,
    /// Times that hollow nodes noticed that this process had stood still: the machine was too busy for the figures.
    pub stalls: u64,
}

impl Growth {
    /// Nodes at the end.
    #[must_use]
    pub fn nodes(&self) -> usize {
        self.sizes.last().map_or(0, |size| size.nodes)
    }
}

/// Measures it.
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

/// What nodes spend at rest; the real ones' messages are counted by their hollow peers.
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
    // Only hollow peers count; the others receive as much.
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

/// Bytes as they are on the link.
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
