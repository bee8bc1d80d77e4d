//! What the design carries at the size that operators need: one node by its configuration, and a fleet by its size, beside
//! the operators' budgets.

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

/// What is measured.
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

/// How it is measured.
#[derive(Clone, Debug)]
pub struct Options {
    /// For random numbers.
    pub seed: u64,
    /// At the target's size, and in turn; or else at a part of it, and side by side where that does no harm.
    pub full: bool,
    /// Another build of the node, played in turn with this one.
    pub beside: Option<PathBuf>,
    /// What is measured.
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

/// What may run at the same time: the node's costs, which are processor time and memory for the most part, and the fleet,
/// which waits most of the time. The full run leaves the fleet for later where both are measured.
fn measure_side_by_side(options: &Options) -> io::Result<(Option<NodeFigures>, Option<FleetFigures>)> {
    let with_node = options.part != Part::Fleet;
    let with_fleet = options.part == Part::Fleet || (options.part == Part::All && !options.full);
    thread::scope(|scope| {
        let fleet = with_fleet.then(|| scope.spawn(|| fleet::measure(options.seed, options.full)));
        let node = with_node.then(|| node::measure_costs(options)).transpose();
        let fleet = fleet.map(|fleet| fleet.join().map_err(|_| io::Error::other("a thread failed")));
        Ok((node?, fleet.transpose()?.transpose()?))
    })
}
