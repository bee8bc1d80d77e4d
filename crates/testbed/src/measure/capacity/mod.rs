//! Capacity at the size that operators need, compared with their budgets: one node by the size of its configuration, and a
//! fleet by its number of nodes.

pub mod claims;
pub mod file;
pub mod fit;
pub mod fleet;
pub mod load;
pub mod node;
pub mod probe;
pub mod process;
pub mod procfs;
pub mod sample;
pub mod size;
pub mod table;

use std::path::PathBuf;
use std::time::Instant;
use std::{io, thread};

use crate::program::{build, build_node};
use crate::report::Report;
use fleet::FleetFigures;
use node::NodeFigures;

/// The parts of the measurement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Part {
    /// One node and the fleet.
    #[default]
    All,
    /// One node alone.
    Node,
    /// The fleet alone.
    Fleet,
}

/// Options of the measurement.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of random numbers.
    pub seed: u64,
    /// Measures at the size of the target, one part after another; otherwise at a fraction of it, with parts in parallel where
    /// they don't disturb each other.
    pub full: bool,
    /// Another build of the node, measured in turn with this one.
    pub beside: Option<PathBuf>,
    /// The part to measure.
    pub part: Part,
}

/// Runs the measurement.
///
/// # Errors
/// Programs that do not build, start or answer.
pub fn measure(options: &Options) -> io::Result<Report> {
    build_node()?;
    build("pumicehead-load-generator")?;
    let start = Instant::now();
    let mut report = Report::new("capacity", &table::head());
    let (node, fleet) = measure_side_by_side(options)?;
    if let Some(mut node) = node {
        node.show_costs(&mut report);
        node.measure_latencies(options, &mut report)?;
        node.judge(&mut report);
    }
    if let Some(fleet) = fleet {
        fleet.add_to(&mut report);
    } else if options.part == Part::All {
        fleet::measure(options.seed, options.full)?.add_to(&mut report);
    }
    report.figure("took_s", format!("{:.0}", start.elapsed().as_secs_f64()));
    Ok(report)
}

/// Measures the parts that may run at the same time: the node's costs, which are mostly processor time and memory, and the
/// fleet, which is idle most of the time. The full run measures the fleet later where both are measured.
fn measure_side_by_side(options: &Options) -> io::Result<(Option<NodeFigures>, Option<FleetFigures>)> {
    let with_node = options.part != Part::Fleet;
    let with_fleet = options.part == Part::Fleet || (options.part == Part::All && !options.full);
    thread::scope(|scope| {
        let fleet = with_fleet.then(|| scope.spawn(|| fleet::measure(options.seed, options.full)));
        let node = with_node.then(|| node::measure_costs(options)).transpose();
        let fleet =
            fleet.map(|fleet| fleet.join().map_err(|_| io::Error::other("fleet measurement panicked")));
        Ok((node?, fleet.transpose()?.transpose()?))
    })
}
