//! Formats a fleet report as text.

use crate::fleet::report::{FleetReport, MemberReport};

/// Formats a summary, warnings about the reporting node, and a table row for each member.
pub fn render(report: &FleetReport) -> String {
    let mut text = format!(
        "fleet {} as seen by {}: {} active members, {} nodes share the servers, fingerprint {}\n",
        report.fleet, report.node, report.active_members, report.node_count, report.fingerprint
    );
    text += &warnings(report);
    text += &row(["name", "state", "phase", "here", "no", "since", "heard", "address", "zone", "says"]);
    for member in &report.members {
        text += &member_row(member);
    }
    text
}

fn warnings(report: &FleetReport) -> String {
    let mut text = String::new();
    if report.superseded {
        text += "a later process has this node's name: this process is no longer a member\n";
    } else if !report.joined {
        text += "this node has not joined the fleet yet\n";
    }
    if report.isolated {
        text += "most probes that this node sends get no response: it may be isolated\n";
    }
    if report.health_multiplier > 1 {
        text += &format!(
            "the health multiplier of this node is {} (1 is healthy): it multiplies the timeouts for other members\n",
            report.health_multiplier
        );
    }
    text
}

fn member_row(member: &MemberReport) -> String {
    let age = |seconds: Option<f64>| seconds.map_or("never".into(), |seconds| format!("{seconds:.1} s"));
    row([
        &member.name,
        &member.state,
        &member.phase,
        if member.reachable_from_here { "yes" } else { "no" },
        &member.node_number.to_string(),
        &age(member.in_state_s),
        &age(member.last_heard_s),
        &member.address,
        &member.zone,
        &member.reporter,
    ])
}

fn row([name, state, phase, here, number, since, heard, address, zone, reporter]: [&str; 10]) -> String {
    format!(
        "{name:<20} {state:<8} {phase:<9} {here:<5} {number:>4} {since:>9} {heard:>9}  {address:<22} {zone:<12} {reporter}\n"
    )
}
