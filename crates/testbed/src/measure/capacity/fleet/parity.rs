//! Whether a hollow node sends what a real one does.

use std::collections::HashMap;
use std::io;
use std::time::Duration;

use pumicehead_membership::wire::FrameKind;

use crate::hollow::counts::{DATAGRAM_HEADER_BYTES, DATAGRAM_KINDS, Received};
use crate::hollow::mixed::MixedFleet;
use crate::program::LIMIT;

/// Hollow and real figures differ by no more than this part. Whom a node probes is drawn: only over many rounds do all get as many.
const TOLERANCE: f64 = 0.15;
/// The same over the longer span of a full measurement.
const TOLERANCE_FULL: f64 = 0.05;

/// What a node sends in a second, of one kind.
#[derive(Clone, Debug)]
pub struct Rate {
    /// Of what.
    pub what: &'static str,
    /// The mean of the real nodes.
    pub real: f64,
    /// The mean of the hollow nodes.
    pub hollow: f64,
    /// Whether the claim is about it: comparisons of views are few in a short span.
    pub is_judged: bool,
}

impl Rate {
    /// Hollow to real; `None` where the real ones sent nothing.
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
    /// Counted for so long.
    pub span: Duration,
    /// The part by which judged figures may differ.
    pub tolerance: f64,
    /// What they sent.
    pub rates: Vec<Rate>,
}

/// Counts a small fleet at rest.
pub(super) fn measure(seed: u64, full: bool) -> io::Result<Parity> {
    let (real, hollow) = (4, 16);
    let (seconds, tolerance) = if full { (57, TOLERANCE_FULL) } else { (10, TOLERANCE) };
    let span = Duration::from_secs(seconds);
    let fleet = MixedFleet::start(real, hollow, seed)?;
    if fleet.wait_until_converged(LIMIT).after.is_none() {
        return Err(io::Error::new(io::ErrorKind::TimedOut, "a fleet of 20 does not settle"));
    }
    let _ = fleet.wait_for_broadcasts(LIMIT);
    let counted = fleet.count_received(span);
    Ok(Parity { real, hollow, span, tolerance, rates: rates(&fleet, &counted, span) })
}

/// A figure of what was received from a node.
type Figure = Box<dyn Fn(&Received) -> u64>;

fn figures() -> Vec<(&'static str, bool, Figure)> {
    let mut figures: Vec<(_, _, Figure)> = vec![
        ("datagrams", true, Box::new(Received::all_datagrams)),
        (
            "bytes of datagrams, with heads",
            true,
            Box::new(|from| from.datagram_bytes + DATAGRAM_HEADER_BYTES * from.all_datagrams()),
        ),
    ];
    for (place, (_, name)) in DATAGRAM_KINDS.iter().enumerate() {
        figures.push((*name, false, Box::new(move |from| from.datagrams[place])));
    }
    for (step, name) in [(FrameKind::Digest, "digests"), (FrameKind::InSync, "answers to digests: same")] {
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

/// Nodes of one sort.
struct Mean {
    names: Vec<String>,
    /// Only hollow peers count what they receive: by how much that is to be raised for all peers.
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
