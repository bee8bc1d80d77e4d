//! Polls a node's view of the fleet and prints its changes.

use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Duration;

use serde_json::json;

use super::request::request;
use super::table;
use crate::fleet::report::{FleetReport, MemberReport};
use crate::report::print;

/// Delay between two requests.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The properties of a member whose changes are printed.
#[derive(Clone, PartialEq, Eq)]
struct Observed {
    state: String,
    reachable_from_here: bool,
}

/// Prints changes until a request fails.
///
/// # Errors
/// Returns the error of the request that failed, or of a reply that can't be parsed.
pub fn run(address: SocketAddr, json: bool) -> Result<(), Box<dyn Error>> {
    let mut previous: Option<BTreeMap<String, Observed>> = None;
    loop {
        let report: FleetReport = serde_json::from_str(&request(address, "FLEET members")?)?;
        let current: BTreeMap<_, _> = report.members.iter().map(observe).collect();
        if let Some(previous) = &previous {
            print_changes(previous, &current, &report, json);
        } else if !json {
            print(&table::render(&report));
        }
        previous = Some(current);
        sleep(POLL_INTERVAL);
    }
}

fn observe(member: &MemberReport) -> (String, Observed) {
    let reachable_from_here = member.reachable_from_here;
    (member.name.clone(), Observed { state: member.state.clone(), reachable_from_here })
}

fn print_changes(
    previous: &BTreeMap<String, Observed>,
    current: &BTreeMap<String, Observed>,
    report: &FleetReport,
    json: bool,
) {
    for member in &report.members {
        let before = previous.get(&member.name);
        if before != current.get(&member.name) {
            let from = before.map_or("new", |observed| &observed.state);
            print(&change(member, from, &report.fingerprint, json));
        }
    }
    for name in previous.keys().filter(|name| !current.contains_key(*name)) {
        print(&if json {
            format!("{}\n", json!({ "name": name, "to": "forgotten" }))
        } else {
            format!("{name}: forgotten\n")
        });
    }
}

fn change(member: &MemberReport, from: &str, fingerprint: &str, json: bool) -> String {
    let MemberReport { name, state, reporter, reachable_from_here, .. } = member;
    if json {
        let change = json!({
            "name": name, "from": from, "to": state, "here": reachable_from_here, "says": reporter,
            "fingerprint": fingerprint,
        });
        return format!("{change}\n");
    }
    let reachability = if *reachable_from_here { "" } else { ", unreachable from this node" };
    format!("{name}: {from} -> {state}{reachability}, reported by {reporter}\n")
}
