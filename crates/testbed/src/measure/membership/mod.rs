//! Membership of the nodes: time to detect a crash, false positives, time until the tables converge, and traffic; in virtual
//! time, compared with all-to-all heartbeats, and with processes under faults.

mod heartbeats;
mod memory;
mod processes;
mod virtual_time;

use std::io;

use pumicehead_membership::{Nanos, SECOND};

use super::Plan;
use crate::program::{build, build_node};
use crate::report::Report;

/// Bytes of the UDP and IPv4 headers of a datagram.
const DATAGRAM_HEADERS: f64 = 28.0;

/// Columns of the table.
const COLUMNS: [&str; 7] = [
    "fleet",
    "detected: first, s",
    "last, s",
    "rejoined: converged, s",
    "healed, s",
    "wronged",
    "bytes/s a node",
];

/// Runs the measurement.
///
/// # Errors
/// Programs that can't be built or started.
pub fn measure(plan: Plan) -> io::Result<Report> {
    build_node()?;
    // Measured first: memory that other parts have freed could be reused, which would hide the growth.
    let entry_bytes = memory::entry_bytes();
    build("pumicehead-chaos")?;
    let mut report = Report::new("view", &COLUMNS);
    processes::measure(plan, &mut report)?;
    let traffic = virtual_time::measure_sizes(plan, &mut report);
    virtual_time::measure_crashes(plan, &mut report);
    // Logarithmic growth from 50 nodes to the largest size is a factor of about two.
    report.claim(traffic.largest <= 2.4 * traffic.of_50, "bytes per node grow at most logarithmically");
    let false_positives = compare_with_heartbeats(plan, &mut report);
    report.claim(false_positives.members == 0, "no live member is considered dead under loss and stalls");
    report.figure("entry_bytes", format!("{entry_bytes:.0}"));
    report.figure("wronged", false_positives.members);
    report.figure("rival_wronged", false_positives.heartbeats);
    report.figure("bytes_50", format!("{:.0}", traffic.of_50));
    report.figure("bytes_most", format!("{:.0}", traffic.largest));
    Ok(report)
}

/// Live members that were considered dead.
struct FalsePositives {
    members: usize,
    heartbeats: usize,
}

/// Compares 50 members with heartbeats from all to all, under loss and stalls.
fn compare_with_heartbeats(plan: Plan, report: &mut Report) -> FalsePositives {
    let span = if plan.long { 3_600 * SECOND } else { 600 * SECOND };
    let members = virtual_time::false_positives(50, plan.seed, span);
    let heartbeats = heartbeats::simulate(50, plan.seed, span);
    report.row(&[
        format!("50, virtual, 5% loss, a tenth stalled, {} s", span / SECOND),
        String::new(),
        String::new(),
        String::new(),
        String::new(),
        members.to_string(),
    ]);
    report.row(&[
        "50, heartbeats to all, the same".into(),
        seconds(Some(heartbeats.first_detection)),
        seconds(Some(heartbeats.last_detection)),
        String::new(),
        String::new(),
        heartbeats.false_positives.to_string(),
        format!("{:.0}", heartbeats.bytes_per_second),
    ]);
    report.row(&[
        "1250, heartbeats to all".into(),
        String::new(),
        String::new(),
        String::new(),
        String::new(),
        String::new(),
        format!("{:.0}", heartbeats::bytes_per_second(1_250)),
    ]);
    FalsePositives { members, heartbeats: heartbeats.false_positives }
}

/// A span as a cell of the table.
fn seconds(span: Option<Nanos>) -> String {
    span.map_or("no".into(), |span| format!("{:.1}", span as f64 / SECOND as f64))
}
