//! The `fleet` command: requests the view of the fleet from a running node through its admin address.

mod request;
mod table;
mod watch;

use std::error::Error;
use std::net::SocketAddr;

use clap::Subcommand;

use self::request::request;
use crate::fleet::report::{FleetReport, MemberReport};
use crate::report::print;

/// Subcommands of the `fleet` command.
#[derive(Subcommand)]
pub enum FleetCommand {
    /// Lists the members and their states.
    Members {
        /// Admin address of the node.
        address: SocketAddr,
        /// Print one JSON object.
        #[arg(long)]
        json: bool,
    },
    /// Prints state changes of members until interrupted.
    Watch {
        /// Admin address of the node.
        address: SocketAddr,
        /// Print one JSON object per line.
        #[arg(long)]
        json: bool,
    },
    /// Explains the state of a member.
    Why {
        /// Name of the member.
        node: String,
        /// Admin address of the node whose view is explained.
        address: SocketAddr,
        /// Print one JSON object.
        #[arg(long)]
        json: bool,
    },
}

/// Runs the command and prints the result.
///
/// # Errors
/// Fails if there is no reply, or if the reply can't be parsed.
pub fn run(command: &FleetCommand) -> Result<(), Box<dyn Error>> {
    match command {
        FleetCommand::Members { address, json } => {
            let reply = request(*address, "FLEET members")?;
            if *json {
                print(&reply);
                return Ok(());
            }
            let report: FleetReport = serde_json::from_str(&reply)?;
            print(&table::render(&report));
        }
        FleetCommand::Why { node, address, json } => {
            let reply = request(*address, &format!("FLEET why {node}"))?;
            if *json {
                print(&reply);
                return Ok(());
            }
            print_explanation(&serde_json::from_str(&reply)?);
        }
        FleetCommand::Watch { address, json } => watch::run(*address, *json)?,
    }
    Ok(())
}

fn print_explanation(member: &MemberReport) {
    let in_state = member.in_state_s.map_or(String::new(), |seconds| format!(" for {seconds:.1} s"));
    print(&format!(
        "{}: {}{in_state}, epoch {}, incarnation {}\n",
        member.name, member.state, member.epoch, member.incarnation
    ));
    for reason in &member.reasons {
        print(&format!("- {reason}\n"));
    }
    let last_heard = member.last_heard_s.map_or("never".into(), |seconds| format!("{seconds:.1} s ago"));
    print(&format!("- last heard from by this node: {last_heard}\n"));
}
