//! The fleet on the command line: asked of a running node where it takes calls.

use std::collections::BTreeMap;
use std::error::Error;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::Duration;

use clap::Subcommand;
use serde::Deserialize;

use crate::report::{error, print};

/// A node answers within some milliseconds.
const PATIENCE: Duration = Duration::from_secs(10);
/// Longest answer: the largest fleet's.
const LONGEST: u64 = 16 << 20;
/// Between two looks of `watch`.
const LOOK: Duration = Duration::from_millis(500);

/// What is asked.
#[derive(Subcommand)]
pub enum Question {
    /// Who there is, and what each is held for.
    Members {
        /// Where the node takes calls.
        address: SocketAddr,
        /// As one JSON object.
        #[arg(long)]
        json: bool,
    },
    /// Changes as they come, until interrupted.
    Watch {
        /// Where the node takes calls.
        address: SocketAddr,
        /// Each as a JSON object on a line.
        #[arg(long)]
        json: bool,
    },
    /// Why a node is held for what it is.
    Why {
        /// Which node.
        node: String,
        /// Where another one takes calls, which is asked.
        address: SocketAddr,
        /// As one JSON object.
        #[arg(long)]
        json: bool,
    },
}

#[derive(Deserialize)]
struct View {
    fleet: String,
    me: String,
    fingerprint: String,
    joined: bool,
    superseded: bool,
    cut: bool,
    health: u32,
    there: usize,
    nodes: u32,
    members: Vec<Entry>,
}

#[derive(Clone, Deserialize)]
struct Entry {
    name: String,
    state: String,
    phase: String,
    here: bool,
    zone: String,
    address: String,
    epoch: String,
    incarnation: u64,
    number: u32,
    since_s: Option<f64>,
    heard_s: Option<f64>,
    says: String,
    #[serde(default)]
    why: Vec<String>,
}

/// Asks, and prints the answer.
///
/// # Errors
/// What keeps it from coming.
pub fn tell(question: &Question) -> Result<(), Box<dyn Error>> {
    match question {
        Question::Members { address, json } => {
            let text = ask(*address, "FLEET members")?;
            if *json {
                print(&text);
                return Ok(());
            }
            let view: View = serde_json::from_str(&text)?;
            print(&table(&view));
            Ok(())
        }
        Question::Why { node, address, json } => {
            let text = ask(*address, &format!("FLEET why {node}"))?;
            if *json {
                print(&text);
                return Ok(());
            }
            let entry: Entry = serde_json::from_str(&text)?;
            print(&format!(
                "{} is held {}{}, process {} saying {}\n",
                entry.name,
                entry.state,
                entry.since_s.map_or(String::new(), |since| format!(" for {since:.1} s")),
                entry.epoch,
                entry.incarnation
            ));
            entry.why.iter().for_each(|why| print(&format!("- {why}\n")));
            let heard = entry.heard_s.map_or("never".into(), |heard| format!("{heard:.1} s ago"));
            print(&format!("- this node heard from it itself {heard}\n"));
            Ok(())
        }
        Question::Watch { address, json } => watch(*address, *json),
    }
}

fn table(view: &View) -> String {
    let mut out = format!(
        "{} as {} sees it: {} there, {} share the servers, view {}\n",
        view.fleet, view.me, view.there, view.nodes, view.fingerprint
    );
    if view.superseded {
        out += "a later process has this node's name: it is no member any more\n";
    } else if !view.joined {
        out += "it has not heard from the fleet yet\n";
    }
    if view.cut {
        out += "most of those that it asks do not answer: it may be cut off itself\n";
    }
    if view.health > 1 {
        out += &format!(
            "its own health is {} (1 is good): it doubts others so many times as long\n",
            view.health
        );
    }
    out += &format!(
        "{:<20} {:<8} {:<9} {:<5} {:>4} {:>9} {:>9}  {:<22} {:<12} {}\n",
        "name", "state", "phase", "here", "no", "since", "heard", "address", "zone", "says"
    );
    for one in &view.members {
        let age = |age: Option<f64>| age.map_or("never".into(), |age| format!("{age:.1} s"));
        out += &format!(
            "{:<20} {:<8} {:<9} {:<5} {:>4} {:>9} {:>9}  {:<22} {:<12} {}\n",
            one.name,
            one.state,
            one.phase,
            if one.here { "yes" } else { "no" },
            one.number,
            age(one.since_s),
            age(one.heard_s),
            one.address,
            one.zone,
            one.says
        );
    }
    out
}

fn watch(address: SocketAddr, json: bool) -> Result<(), Box<dyn Error>> {
    let mut known: Option<BTreeMap<String, (String, bool)>> = None;
    loop {
        let view: View = serde_json::from_str(&ask(address, "FLEET members")?)?;
        let now: BTreeMap<_, _> =
            view.members.iter().map(|one| (one.name.clone(), (one.state.clone(), one.here))).collect();
        if let Some(known) = &known {
            for one in &view.members {
                let before = known.get(&one.name);
                if before == now.get(&one.name) {
                    continue;
                }
                let from = before.map_or("new", |(state, _)| state);
                let here = if one.here { "" } else { ", not reached from here" };
                if json {
                    let change = serde_json::json!({
                        "name": one.name, "from": from, "to": one.state, "here": one.here, "says": one.says,
                        "fingerprint": view.fingerprint,
                    });
                    print(&format!("{change}\n"));
                } else {
                    print(&format!("{}: {from} -> {}{here}, says {}\n", one.name, one.state, one.says));
                }
            }
            for name in known.keys().filter(|name| !now.contains_key(*name)) {
                if json {
                    print(&format!("{}\n", serde_json::json!({ "name": name, "to": "forgotten" })));
                } else {
                    print(&format!("{name}: forgotten\n"));
                }
            }
        } else if !json {
            print(&table(&view));
        }
        known = Some(now);
        sleep(LOOK);
    }
}

/// One call and its answer.
fn ask(address: SocketAddr, call: &str) -> Result<String, Box<dyn Error>> {
    let named = |error: std::io::Error| format!("{address}: {error}");
    let mut stream = TcpStream::connect_timeout(&address, PATIENCE).map_err(named)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.set_write_timeout(Some(PATIENCE))?;
    stream.write_all(format!("{call}\n").as_bytes()).map_err(named)?;
    let mut bytes = Vec::new();
    stream.take(LONGEST).read_to_end(&mut bytes).map_err(named)?;
    let text = String::from_utf8(bytes)?;
    if let Some(why) = text.strip_prefix("ERR ") {
        return Err(format!("{address}: {}", why.trim()).into());
    }
    if text.is_empty() {
        error("pumicehead: the node ended before it answered");
        return Err(format!("{address}: no answer").into());
    }
    Ok(text)
}
