//! A fleet report as text.

use crate::fleet::report::{FleetReport, MemberReport};

/// A summary, warnings about the node that was asked, and a row for each member.
pub fn render(report: &FleetReport) -> String {
    let mut text = format!(
        "{} as {} sees it: {} there, {} share the servers, view {}\n",
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
        text += "a later process has this node's name: it is no member any more\n";
    } else if !report.joined {
        text += "it has not heard from the fleet yet\n";
    }
    if report.isolated {
        text += "most of those that it asks do not answer: it may be cut off itself\n";
    }
    if report.health_multiplier > 1 {
        text += &format!(
            "its own health is {} (1 is good): it doubts others so many times as long\n",
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
