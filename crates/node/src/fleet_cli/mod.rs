//! The `fleet` command: asks a running node for its view of the fleet where it takes admin commands.

mod request;
mod table;
mod watch;

use std::error::Error;
use std::net::SocketAddr;

use clap::Subcommand;

use self::request::request;
use crate::fleet::report::{FleetReport, MemberReport};
use crate::report::print;

/// What is asked.
#[derive(Subcommand)]
pub enum FleetCommand {
    /// Lists the members and their states.
    Members {
        /// Address where the node takes admin commands.
        address: SocketAddr,
        /// Prints one JSON object.
        #[arg(long)]
        json: bool,
    },
    /// Prints changes as they come, until interrupted.
    Watch {
        /// Address where the node takes admin commands.
        address: SocketAddr,
        /// Prints a JSON object a line.
        #[arg(long)]
        json: bool,
    },
    /// Explains a member's state.
    Why {
        /// Name of the member.
        node: String,
        /// Address where the node that is asked takes admin commands.
        address: SocketAddr,
        /// Prints one JSON object.
        #[arg(long)]
        json: bool,
    },
}

/// Runs the command and prints the answer.
///
/// # Errors
/// No answer, or one that cannot be read.
pub fn run(command: &FleetCommand) -> Result<(), Box<dyn Error>> {
    match command {
        FleetCommand::Members { address, json } => {
            let answer = request(*address, "FLEET members")?;
            if *json {
                print(&answer);
                return Ok(());
            }
            let report: FleetReport = serde_json::from_str(&answer)?;
            print(&table::render(&report));
        }
        FleetCommand::Why { node, address, json } => {
            let answer = request(*address, &format!("FLEET why {node}"))?;
            if *json {
                print(&answer);
                return Ok(());
            }
            print_explanation(&serde_json::from_str(&answer)?);
        }
        FleetCommand::Watch { address, json } => watch::run(*address, *json)?,
    }
    Ok(())
}

fn print_explanation(member: &MemberReport) {
    let in_state = member.in_state_s.map_or(String::new(), |seconds| format!(" for {seconds:.1} s"));
    print(&format!(
        "{} is held {}{in_state}, process {} saying {}\n",
        member.name, member.state, member.epoch, member.incarnation
    ));
    for reason in &member.reasons {
        print(&format!("- {reason}\n"));
    }
    let heard = member.last_heard_s.map_or("never".into(), |seconds| format!("{seconds:.1} s ago"));
    print(&format!("- this node heard from it itself {heard}\n"));
}
