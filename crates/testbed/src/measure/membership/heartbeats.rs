//! The baseline: each node sends a heartbeat to each other node every second, and considers a node dead after 5 s without one.

use pumicehead_membership::{MS, Nanos, SECOND};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::DATAGRAM_HEADERS;

/// Bytes of a heartbeat: a node's id, an incarnation, a count, and the headers.
const HEARTBEAT: f64 = 24.0 + DATAGRAM_HEADERS;
/// Consecutive missed heartbeats after which a node is considered dead.
const MISSED_UNTIL_DEAD: u32 = 5;
/// Share of the datagrams that is lost.
const LOSS: f64 = 0.05;
/// Interval between heartbeats.
const INTERVAL: Nanos = SECOND;
/// Heartbeats of a round of stalls.
const BEATS_PER_ROUND: u64 = 2;

/// Results of the baseline.
pub(super) struct Baseline {
    pub(super) first_detection: Nanos,
    pub(super) last_detection: Nanos,
    /// Live nodes that some other considered dead, counted once per round of stalls.
    pub(super) false_positives: usize,
    /// Sent by each node.
    pub(super) bytes_per_second: f64,
}

/// Bytes that each of `nodes` sends in a second.
pub(super) fn bytes_per_second(nodes: usize) -> f64 {
    HEARTBEAT * (nodes - 1) as f64
}

/// Simulates a crash, and a span under loss with a tenth of the nodes stalled in each round of 2 s.
pub(super) fn simulate(nodes: usize, seed: u64, span: Nanos) -> Baseline {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut uniform = move || (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
    // A crash at a random moment between heartbeats: each other node waits from the last one that it received.
    let since_beat = (uniform() * INTERVAL as f64) as Nanos;
    let timeout = Nanos::from(MISSED_UNTIL_DEAD) * INTERVAL;
    let mut detections: Vec<_> =
        (1..nodes).map(|_| timeout - since_beat + (uniform() * MS as f64) as Nanos).collect();
    detections.sort_unstable();
    let mut false_positives = 0;
    let mut missed = vec![0u32; nodes * nodes];
    for _ in 0..span / (BEATS_PER_ROUND * INTERVAL) {
        let stalled: Vec<_> = (0..nodes.div_ceil(10)).map(|_| (uniform() * nodes as f64) as usize).collect();
        let mut held_dead = vec![false; nodes];
        for by in 0..nodes {
            for of in 0..nodes {
                for _ in 0..BEATS_PER_ROUND {
                    let lost = by == of || stalled.contains(&of) || stalled.contains(&by) || uniform() < LOSS;
                    let count = &mut missed[by * nodes + of];
                    *count = if lost { *count + 1 } else { 0 };
                    // A stalled node misses the heartbeats of all others too; one round is too short to consider them dead.
                    held_dead[of] |= by != of && *count >= MISSED_UNTIL_DEAD;
                }
            }
        }
        false_positives += held_dead.into_iter().filter(|dead| *dead).count();
    }
    Baseline {
        first_detection: detections.first().copied().unwrap_or_default(),
        last_detection: detections.last().copied().unwrap_or_default(),
        false_positives,
        bytes_per_second: bytes_per_second(nodes),
    }
}
