//! The membership of a fleet by its size: real processes and hollow nodes on loopback, and larger fleets in virtual time.
//!
//! Each step relies on the one before: first a small fleet, in which the messages of hollow nodes are compared with those of
//! real ones; then one fleet that grows to its full size, in which a process is killed and many nodes restart; then what
//! sockets can't show: the loss of a zone, a partition between two regions, three times the size. Each row states whether its
//! nodes are real, hollow or virtual.

mod growth;
mod parity;
mod virtual_time;

use std::io;
use std::thread;
use std::time::Duration;

use crate::report::Report;
pub use growth::{Burst, Growth, Rest, Size};
pub use parity::{Parity, Rate};
pub use virtual_time::{Cut, VirtualJoin, VirtualSize, ZoneGone};

/// Budget of a node for control, as a share of a core.
pub const CPU_BUDGET: f64 = 0.034;
/// Memory budget of a node for control, in bytes.
pub const MEMORY_BUDGET: f64 = 64e6;
/// Traffic budget of a node for control, in bytes per second.
pub const BYTES_BUDGET: f64 = 9_000.0;
/// Limit of the time until all nodes consider a killed process dead.
const DETECTION_LIMIT: Duration = Duration::from_secs(10);
/// Time over which a burst is averaged for the comparison with the budget.
const BURST_SPAN_SECONDS: f64 = 60.0;
/// Columns of the table.
const COLUMNS: [&str; 12] = [
    "members",
    "nodes are",
    "converged, s",
    "gossip done, s",
    "messages/s",
    "bytes/s",
    "core, %",
    "MB",
    "detected: first, s",
    "last, s",
    "peak bytes/s",
    "peak of one node",
];

/// All results.
#[derive(Debug)]
pub struct FleetFigures {
    /// Hollow nodes compared with real ones.
    pub parity: Parity,
    /// One fleet that grows.
    pub growth: Growth,
    /// Fleets in virtual time, by size.
    pub virtual_sizes: Vec<VirtualSize>,
    /// Fleets in virtual time whose nodes all start at once.
    pub joins: Vec<VirtualJoin>,
    /// All nodes of a zone lost at once.
    pub zone: ZoneGone,
    /// Two regions partitioned from each other for a minute.
    pub cut: Cut,
}

/// Runs all measurements, in about half a minute, or some minutes with `full`. The node has to be built beside this program.
///
/// # Errors
/// Processes or sockets that can't be created.
pub fn measure(seed: u64, full: bool) -> io::Result<FleetFigures> {
    // Virtual time needs a core and no sockets; the fleets on sockets are idle most of the time, and the processor time of their
    // loops is counted separately.
    let (parity, growth, simulated) = thread::scope(|scope| {
        let parity = scope.spawn(|| parity::measure(seed, full));
        let simulated = scope.spawn(|| simulate(seed, full));
        let growth = growth::measure(seed, full);
        (parity.join(), growth, simulated.join())
    });
    let failed = || io::Error::other("measurement thread panicked");
    let (parity, growth) = (parity.map_err(|_| failed())??, growth?);
    let (virtual_sizes, joins, zone, cut) = simulated.map_err(|_| failed())?;
    Ok(FleetFigures { parity, growth, virtual_sizes, joins, zone, cut })
}

fn simulate(seed: u64, full: bool) -> (Vec<VirtualSize>, Vec<VirtualJoin>, ZoneGone, Cut) {
    let sizes: &[usize] = if full { &[58, 145, 290, 580, 1_740] } else { &[58, 145, 290, 580] };
    let joins: &[usize] = if full { &[14, 29, 58, 145, 290] } else { &[14, 29, 58, 145] };
    let most = if full { 580 } else { 145 };
    (
        sizes.iter().map(|nodes| virtual_time::size(*nodes, seed)).collect(),
        joins.iter().map(|nodes| virtual_time::join(*nodes, seed)).collect(),
        virtual_time::zone_gone(most, seed),
        virtual_time::regions_cut(most, seed),
    )
}

fn seconds(span: Option<Duration>) -> String {
    span.map_or("no".into(), |span| format!("{:.1}", span.as_secs_f64()))
}

fn megabytes(bytes: f64) -> String {
    format!("{:.2}", bytes / 1e6)
}

/// A row of the table, filled in by column.
struct Row([String; COLUMNS.len()]);

impl Row {
    fn new(members: impl ToString, nodes_are: &str) -> Self {
        let mut cells: [String; COLUMNS.len()] = Default::default();
        cells[0] = members.to_string();
        cells[1] = nodes_are.into();
        Self(cells)
    }

    fn set(mut self, column: &str, value: impl ToString) -> Self {
        if let Some(place) = COLUMNS.iter().position(|known| *known == column) {
            self.0[place] = value.to_string();
        }
        self
    }

    fn rest(self, rest: &Rest) -> Self {
        self.set("messages/s", format!("{:.2}", rest.messages))
            .set("bytes/s", format!("{:.0}", rest.bytes))
            .set("core, %", format!("{:.2}", rest.cpu * 100.0))
            .set("MB", megabytes(rest.memory))
    }
}

impl FleetFigures {
    /// Adds its rows, figures and claims to a report.
    pub fn add_to(&self, report: &mut Report) {
        self.add_parity(report);
        report.row(&COLUMNS.map(str::to_owned));
        self.add_growth(report);
        self.add_virtual(report);
        self.claim_budgets(report);
    }

    fn add_parity(&self, report: &mut Report) {
        let head = format!(
            "sent by a node a second, {} real and {} hollow, counted by peers over {:.0} s",
            self.parity.real,
            self.parity.hollow,
            self.parity.span.as_secs_f64()
        );
        report.row(&[head, "real".into(), "hollow".into(), "hollow/real".into()]);
        for rate in &self.parity.rates {
            report.row(&[
                rate.what.into(),
                format!("{:.2}", rate.real),
                format!("{:.2}", rate.hollow),
                rate.ratio().map_or(String::new(), |ratio| format!("{ratio:.3}")),
            ]);
        }
        for rate in self.parity.rates.iter().filter(|rate| rate.is_judged) {
            let within = rate.ratio().is_some_and(|ratio| (ratio - 1.0).abs() <= self.parity.tolerance);
            let percent = self.parity.tolerance * 100.0;
            report.claim(
                within,
                format!("hollow nodes send as much as real ones, within {percent:.0}%: {}", rate.what),
            );
        }
    }

    fn add_growth(&self, report: &mut Report) {
        for size in &self.growth.sizes {
            let joined = seconds(size.joined.after);
            report.row(
                &Row::new(size.nodes, &format!("{} hollow", size.nodes - size.real))
                    .set("converged, s", joined)
                    .set("gossip done, s", seconds(size.quiet))
                    .set("peak bytes/s", size.joined.peak_bytes / (size.nodes - size.real) as u64)
                    .set("peak of one node", size.joined.peak_node_bytes)
                    .rest(&size.hollow_rest)
                    .0,
            );
            report.row(&Row::new(size.nodes, &format!("{} real", size.real)).rest(&size.real_rest).0);
            let rests = size.joined.after.is_some() && size.quiet.is_some();
            report.claim(rests, format!("{} nodes: member tables converge, and gossip ends", size.nodes));
        }
        let most = self.growth.nodes();
        let detection = self.growth.detection.ok();
        report.row(
            &Row::new(format!("{most} nodes, a process killed"), "hollow, real")
                .set("detected: first, s", seconds(detection.map(|found| found.first)))
                .set("last, s", seconds(detection.map(|found| found.last)))
                .0,
        );
        let in_time = detection.is_some_and(|found| found.last <= DETECTION_LIMIT);
        report.claim(in_time, format!("all {most} nodes detect a killed process within {DETECTION_LIMIT:?}"));
        let burst = &self.growth.burst;
        report.row(
            &Row::new(format!("{most} nodes, {} restart at once", burst.restarted), "hollow")
                .set("converged, s", seconds(burst.settled.after))
                .set("peak bytes/s", format!("{:.0}", burst.peak_bytes_a_node()))
                .set("peak of one node", burst.settled.peak_node_bytes)
                .0,
        );
        report.claim(burst.settled.after.is_some(), "member tables converge after a burst of restarts");
        report.figure("fleet_nodes", most);
        report.figure("fleet_processes", self.growth.processes);
        report.figure("fleet_burst_peak_bytes", format!("{:.0}", burst.peak_bytes_a_node()));
        report
            .figure("fleet_burst_peak_of_budget", format!("{:.1}", burst.peak_bytes_a_node() / BYTES_BUDGET));
        report.figure("fleet_burst_bytes", format!("{:.0}", burst.bytes_a_node()));
        report.figure("fleet_burst_cpu_s", format!("{:.3}", burst.cpu_seconds_a_node));
        report.figure("fleet_stalls", self.growth.stalls);
    }

    fn add_virtual(&self, report: &mut Report) {
        for size in &self.virtual_sizes {
            report.row(
                &Row::new(size.nodes, "virtual")
                    .set("messages/s", format!("{:.2}", size.datagrams))
                    .set("bytes/s", format!("{:.0}", size.bytes))
                    .set("detected: first, s", seconds(size.first))
                    .set("last, s", seconds(size.last))
                    .0,
            );
            let known = size.last.is_some_and(|last| last <= DETECTION_LIMIT);
            report.claim(
                known,
                format!(
                    "{} nodes in virtual time: all detect a crash within {DETECTION_LIMIT:?}",
                    size.nodes
                ),
            );
            let within = size.bytes <= BYTES_BUDGET;
            report.claim(
                within,
                format!("{} nodes in virtual time: bytes a second within the budget", size.nodes),
            );
        }
        for join in &self.joins {
            report.row(
                &Row::new(format!("{} nodes, all start at once", join.nodes), "virtual")
                    .set("converged, s", seconds(join.settled))
                    .set("bytes/s", format!("{:.0}", join.bytes))
                    .0,
            );
            report.claim(
                join.settled.is_some(),
                format!("{} nodes start at once in virtual time: member tables converge", join.nodes),
            );
        }
        if let Some(join) = self.joins.last() {
            report.figure("fleet_join_contests", format!("{}:{:.0}", join.nodes, join.changes));
        }
        let zone = &self.zone;
        report.row(
            &Row::new(format!("{} nodes, all {} nodes of one zone killed", zone.nodes, zone.gone), "virtual")
                .set("detected: first, s", seconds(zone.first))
                .set("last, s", seconds(zone.last))
                .set("peak bytes/s", format!("{:.0}", zone.peak_bytes))
                .0,
        );
        report.claim(zone.last.is_some(), "all running nodes detect the killed nodes of a zone");
        let cut = &self.cut;
        report.row(
            &Row::new(
                format!("{} nodes, two of three regions partitioned for a minute", cut.nodes),
                "virtual",
            )
            .set("converged, s", seconds(cut.healed))
            .set("bytes/s", format!("{:.0}", cut.bytes))
            .set("peak bytes/s", format!("{:.0}", cut.peak_bytes))
            .0,
        );
        report.claim(cut.healed.is_some(), "the member tables of two partitioned regions are equal again");
        report.claim(cut.false_positives == 0, "no member that a third region reaches is considered dead");
        report.figure("fleet_cut_wronged", cut.false_positives);
        report.figure("fleet_cut_bytes", format!("{:.0}", cut.bytes));
    }

    fn claim_budgets(&self, report: &mut Report) {
        let Some(size) = self.growth.sizes.last() else { return };
        for (nodes_are, rest) in [("hollow", &size.hollow_rest), ("real", &size.real_rest)] {
            let claims = [
                (rest.bytes <= BYTES_BUDGET, "bytes a second"),
                (rest.cpu <= CPU_BUDGET, "processor time"),
                (rest.memory <= MEMORY_BUDGET, "memory"),
            ];
            for (holds, what) in claims {
                report.claim(
                    holds,
                    format!("{} {nodes_are} nodes at rest: {what} within the budget", size.nodes),
                );
            }
        }
        let burst = self.growth.burst.bytes_a_node() / BURST_SPAN_SECONDS;
        report.claim(
            burst <= BYTES_BUDGET,
            "a burst of restarts, over a minute: bytes a second within the budget",
        );
        report.figure("fleet_rest_bytes", format!("{:.0}", size.real_rest.bytes));
        report.figure("fleet_rest_cpu_percent", format!("{:.2}", size.real_rest.cpu * 100.0));
        report.figure("fleet_rest_mb", megabytes(size.real_rest.memory));
    }
}
