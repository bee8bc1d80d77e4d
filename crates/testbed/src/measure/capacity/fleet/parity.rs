//! Compares the messages that hollow nodes and real nodes send.

use std::collections::HashMap;
use std::io;
use std::time::Duration;

use pumicehead_membership::wire::FrameKind;

use crate::hollow::counts::{DATAGRAM_HEADER_BYTES, DATAGRAM_KINDS, Received};
use crate::hollow::mixed::MixedFleet;
use crate::program::LIMIT;

/// Tolerated relative difference between hollow and real nodes. Targets of probes are drawn at random, so that all nodes receive
/// equally many only over many rounds.
const TOLERANCE: f64 = 0.15;
/// The same over the longer span of a full measurement.
const TOLERANCE_FULL: f64 = 0.05;

/// Messages or bytes of one kind that a node sends per second.
#[derive(Clone, Debug)]
pub struct Rate {
    /// What is counted.
    pub what: &'static str,
    /// The mean of the real nodes.
    pub real: f64,
    /// The mean of the hollow nodes.
    pub hollow: f64,
    /// Whether a claim depends on it; push-pull exchanges, for one, are too few in a short span.
    pub is_judged: bool,
}

impl Rate {
    /// Ratio of hollow to real; `None` where the real nodes sent nothing.
    #[must_use]
    pub fn ratio(&self) -> Option<f64> {
        (self.real > 0.0).then(|| self.hollow / self.real)
    }
}

/// The comparison.
#[derive(Clone, Debug)]
pub struct Parity {
    /// Real nodes.
    pub real: usize,
    /// Hollow nodes.
    pub hollow: usize,
    /// Time over which messages were counted.
    pub span: Duration,
    /// Tolerated relative difference of the rates that a claim depends on.
    pub tolerance: f64,
    /// Rates by kind.
    pub rates: Vec<Rate>,
}

/// Measures a small fleet at rest.
pub(super) fn measure(seed: u64, full: bool) -> io::Result<Parity> {
    let (real, hollow) = (4, 16);
    let (seconds, tolerance) = if full { (57, TOLERANCE_FULL) } else { (10, TOLERANCE) };
    let span = Duration::from_secs(seconds);
    let fleet = MixedFleet::start(real, hollow, seed)?;
    if fleet.wait_until_converged(LIMIT).after.is_none() {
        return Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "the member tables of a fleet of 20 did not converge",
        ));
    }
    let _ = fleet.wait_for_broadcasts(LIMIT);
    let counted = fleet.count_received(span);
    Ok(Parity { real, hollow, span, tolerance, rates: rates(&fleet, &counted, span) })
}

/// Extracts a figure from what was received from a node.
type Figure = Box<dyn Fn(&Received) -> u64>;

fn figures() -> Vec<(&'static str, bool, Figure)> {
    let mut figures: Vec<(_, _, Figure)> = vec![
        ("datagrams", true, Box::new(Received::all_datagrams)),
        (
            "bytes of datagrams, with headers",
            true,
            Box::new(|from| from.datagram_bytes + DATAGRAM_HEADER_BYTES * from.all_datagrams()),
        ),
    ];
    for (place, (_, name)) in DATAGRAM_KINDS.iter().enumerate() {
        figures.push((*name, false, Box::new(move |from| from.datagrams[place])));
    }
    for (step, name) in [(FrameKind::Digest, "digests"), (FrameKind::InSync, "answers to digests: in sync")] {
        figures.push((name, false, Box::new(move |from| from.frames[step as usize])));
    }
    figures.push(("bytes of frames", false, Box::new(|from| from.frame_bytes)));
    figures
}

fn rates(fleet: &MixedFleet, counted: &HashMap<String, Received>, span: Duration) -> Vec<Rate> {
    let (real, hollow) = means(fleet);
    let mean = |names: &Mean, figure: &Figure| {
        let sum: u64 = names.names.iter().filter_map(|name| counted.get(name)).map(figure).sum();
        sum as f64 * names.scale / names.names.len().max(1) as f64 / span.as_secs_f64()
    };
    let rate = |(what, is_judged, figure): (_, _, Figure)| Rate {
        what,
        real: mean(&real, &figure),
        hollow: mean(&hollow, &figure),
        is_judged,
    };
    figures().into_iter().map(rate).collect()
}

/// The nodes, hollow or real, whose mean is computed.
struct Mean {
    names: Vec<String>,
    /// Factor from what hollow peers receive, which alone is counted, to what all peers receive.
    scale: f64,
}

/// The real and the hollow nodes of a fleet.
fn means(fleet: &MixedFleet) -> (Mean, Mean) {
    let peers = fleet.len() as f64 - 1.0;
    let hollow = fleet.hollow().len() as f64;
    let real_names = fleet.real().iter().map(|node| node.name().to_owned()).collect();
    let hollow_names = fleet.hollow().iter().map(|node| node.name().to_owned()).collect();
    (
        Mean { names: real_names, scale: peers / hollow },
        Mean { names: hollow_names, scale: peers / (hollow - 1.0).max(1.0) },
    )
}
