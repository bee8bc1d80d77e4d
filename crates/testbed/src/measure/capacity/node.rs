//! One node: the cost of each factor of its configuration, the cost with all factors large at once, and latencies.
//!
//! The corner is the size at which all factors are large at once. The slope of a figure is the increase of the figure for each
//! unit of a factor.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use super::Options;
use super::claims::{self, Measured};
use super::file::{Change, Variant, text};
use super::load::{LoadPlan, LoadResult, LoadedNode, run_rounds};
use super::process::NodeProcess;
use super::sample::{ChangeCost, Sample, cost_of_changes, sample_all};
use super::size::{FACTORS, Factor, SMALLEST, Size};
use super::table::{self, Growth, RESIDENT};
use crate::program::{ListeningProgram, built};
use crate::report::Report;

/// Service time of a backend.
const SERVICE: &str = "1ms";
/// Backends per loopback address; further ones use the next address.
const BACKENDS_AN_ADDRESS: usize = 2_000;
/// Rounds of the full run; the short run has one.
const FULL_ROUNDS: usize = 3;
/// Numbers of consecutive changes through whose costs a line is fitted: in the full run, and in the short one.
const FULL_CHANGES_IN_A_ROW: [usize; 4] = [1, 2, 4, 8];
const CHANGES_IN_A_ROW: [usize; 4] = [1, 2, 3, 4];
/// The loads: the name of each load, and the change that the configuration gets during the load.
const LOADS: [(&str, Option<Change>); 3] = [
    ("no changes", None),
    ("values change", Some(Change::Value)),
    ("a tenant comes and goes", Some(Change::Tenant)),
];

/// A build of the node that is measured.
struct Build {
    name: &'static str,
    program: PathBuf,
}

/// Measurements of a build at the corner, and samples of the build at the smallest size.
struct Corner {
    samples: Vec<Sample>,
    smallest: Vec<Sample>,
    loads: Vec<LoadResult>,
}

/// The measured builds, the backends that they forward to, and the measurements.
pub struct NodeFigures {
    builds: Vec<Build>,
    backends: ListeningProgram,
    corner: Size,
    growths: Vec<Growth>,
    changes: Vec<ChangeCost>,
    corners: Vec<Corner>,
}

/// Measures memory, processor time and the event loop. Other load of the machine has little effect on these as long as some
/// processor time is free.
///
/// # Errors
/// Programs that do not start or answer.
pub fn measure_costs(options: &Options) -> io::Result<NodeFigures> {
    let corner = Size::corner(options.full);
    let own = Build { name: "this build", program: built("pumicehead")? };
    let other = options.beside.iter().map(|path| Build { name: "beside", program: path.clone() });
    let builds: Vec<_> = std::iter::once(own).chain(other).collect();
    let backends = start_backends(corner.backends)?;
    let rounds = if options.full { FULL_ROUNDS } else { 1 };
    let growths = measure_growths(&builds[0], corner, rounds, &backends.addresses)?;
    let corners = measure_corners(&builds, corner, rounds, &backends.addresses)?;
    let changes = changes_in_a_row(&builds[0], corner, options.full, &backends.addresses)?;
    Ok(NodeFigures { builds, backends, corner, growths, changes, corners })
}

impl NodeFigures {
    /// Adds the rows of costs.
    pub fn show_costs(&self, report: &mut Report) {
        for (build, found) in self.builds.iter().zip(&self.corners) {
            table::sample_row(report, format!("{}: {}", build.name, SMALLEST.describe()), &found.smallest);
            table::sample_row(report, format!("{}: {}", build.name, self.corner.describe()), &found.samples);
        }
        show_growths(report, &self.growths, self.corner);
        table::change_rows(report, &self.changes);
    }

    /// Measures latencies of each build under each kind of change, in turn, and adds their rows. Nothing else may run meanwhile.
    ///
    /// # Errors
    /// Nodes that do not start or answer.
    pub fn measure_latencies(&mut self, options: &Options, report: &mut Report) -> io::Result<()> {
        let (plan, backends) = (load_plan(options), &self.backends.addresses);
        let mut nodes = Vec::new();
        for (name, change) in LOADS {
            for build in &self.builds {
                let name = format!("{}: {name}", build.name);
                nodes.push(LoadedNode::start(name, &build.program, change, self.corner, backends)?);
            }
        }
        let results = run_rounds(&mut nodes, &plan, self.corner, backends)?;
        table::load_head(report, plan.span, plan.rounds);
        for (place, (node, result)) in nodes.iter().zip(results).enumerate() {
            table::load_row(report, node, &result);
            self.corners[place % self.builds.len()].loads.push(result);
        }
        Ok(())
    }

    /// Adds figures and claims of this build, and figures of the other one.
    pub fn judge(&self, report: &mut Report) {
        for (place, found) in self.corners.iter().enumerate() {
            let [quiet, values, tenants] = &found.loads[..] else { continue };
            let (samples, smallest) = (&found.samples[..], &found.smallest[..]);
            let measured = Measured { corner: self.corner, samples, smallest, quiet, values, tenants };
            if place == 0 {
                claims::add_figures(report, &measured);
                claims::judge_samples(report, &measured);
                claims::judge_load(report, &measured);
            } else {
                claims::add_beside(report, &measured);
            }
        }
    }
}

/// Starts a process with the stand-in backends.
fn start_backends(count: usize) -> io::Result<ListeningProgram> {
    let mut arguments = vec!["stand-in".to_owned(), "--service".into(), SERVICE.into()];
    arguments.extend((0..count).map(|number| format!("127.0.{}.1:0", 1 + number / BACKENDS_AN_ADDRESS)));
    ListeningProgram::start("pumicehead-load", &arguments, None, count)
}

fn load_plan(options: &Options) -> LoadPlan {
    let (seed, seconds) = (options.seed, Duration::from_secs);
    if options.full {
        let (warm_up, span, change_every) = (seconds(5), seconds(20), seconds(5));
        LoadPlan { seed, warm_up, span, rounds: FULL_ROUNDS, change_every }
    } else {
        let (warm_up, span, change_every) = (seconds(1), seconds(5), seconds(2));
        LoadPlan { seed, warm_up, span, rounds: 1, change_every }
    }
}

fn measure_growths(
    build: &Build,
    corner: Size,
    rounds: usize,
    backends: &[SocketAddr],
) -> io::Result<Vec<Growth>> {
    let empty = |factor: Factor| Growth { factor, sizes: factor.sizes(corner), samples: Default::default() };
    let mut growths: Vec<_> = FACTORS.into_iter().map(empty).collect();
    for _ in 0..rounds {
        for growth in &mut growths {
            let samples = sample_all(&build.program, &growth.sizes, backends)?;
            growth.samples.iter_mut().zip(samples).for_each(|(all, sample)| all.push(sample));
        }
    }
    Ok(growths)
}

/// Measures each build at the smallest size and at the corner, in turn.
fn measure_corners(
    builds: &[Build],
    corner: Size,
    rounds: usize,
    backends: &[SocketAddr],
) -> io::Result<Vec<Corner>> {
    let empty = |_| Corner { samples: Vec::new(), smallest: Vec::new(), loads: Vec::new() };
    let mut corners: Vec<_> = builds.iter().map(empty).collect();
    for _ in 0..rounds {
        for (build, found) in builds.iter().zip(&mut corners) {
            let samples = sample_all(&build.program, &[SMALLEST, corner], backends)?;
            found.smallest.push(samples[0]);
            found.samples.push(samples[1]);
        }
    }
    Ok(corners)
}

fn show_growths(report: &mut Report, growths: &[Growth], corner: Size) {
    for growth in growths {
        for (size, samples) in growth.sizes.iter().zip(&growth.samples) {
            table::sample_row(report, size.describe(), samples);
        }
    }
    table::slope_head(report);
    for growth in growths {
        table::slope_row(report, growth);
        let (memory, change) = growth.factor.figures();
        for (figure, metric, unit) in
            [(memory, &RESIDENT, table::MEGABYTE), (change, &table::CHANGE_CPU, 1e3)]
        {
            if let Some((line, _)) = growth.line(metric) {
                report.figure(figure, table::short(line.slope * unit));
            }
        }
    }
    report.figure("rss_mb_by_slopes", table::short(predicted_memory(growths, corner)));
}

/// Memory at the corner as predicted by the slopes of memory, in megabytes. The difference to the measured memory is the memory
/// that grows with two factors at once.
fn predicted_memory(growths: &[Growth], corner: Size) -> f64 {
    let Some(base) = growths.first() else { return 0.0 };
    // The first factor's line includes the other factors at their base counts; their further units are added.
    let line = |growth: &Growth| growth.line(&RESIDENT).map(|(line, _)| line);
    let start = line(base).map_or(0.0, |line| line.intercept + line.slope * corner.backends as f64);
    let more = growths[1..].iter().map(|growth| {
        let slope = line(growth).map_or(0.0, |line| line.slope);
        slope * (growth.factor.count(corner) as f64 - base_count(growth.factor, corner))
    });
    start + more.sum::<f64>()
}

/// Count of a factor that the first factor's line already includes.
fn base_count(factor: Factor, corner: Size) -> f64 {
    match factor {
        Factor::Backends | Factor::Tenants => 0.0,
        Factor::Pools => 1.0,
        Factor::Routes => corner.pools as f64,
        // The slope for tenants includes one pool for each tenant.
        Factor::TenantPools => corner.tenants as f64,
    }
}

/// Measures the cost of consecutive changes of one value at the corner.
fn changes_in_a_row(
    build: &Build,
    corner: Size,
    full: bool,
    backends: &[SocketAddr],
) -> io::Result<Vec<ChangeCost>> {
    let mut node = NodeProcess::start(&build.program, &text(corner, backends, Variant::default()))?;
    let (mut made, mut costs) = (0, Vec::new());
    for changes in if full { FULL_CHANGES_IN_A_ROW } else { CHANGES_IN_A_ROW } {
        costs.push(cost_of_changes(&mut node, corner, backends, made..made + changes)?);
        made += changes;
    }
    Ok(costs)
}
