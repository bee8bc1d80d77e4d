//! Stand-ins for the clients, backends and the platform around one node, for the cases in `review/`.
//!
//! Everything uses blocking sockets on loopback addresses and threads. The node is a separate process, started by the
//! command `run` of the deploy file.

pub mod backend;
pub mod client;
pub mod delay;
pub mod discovery;
pub mod node;
pub mod record;

use std::process::ExitCode;

/// The result of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// Whether the disruption takes place: it does unless the environment has `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Converts the result of a case to the exit code: 0 held, 1 broken, 2 could not run.
pub fn exit(result: Result<Verdict, String>) -> ExitCode {
    match result {
        Ok(Verdict::Held) => {
            println!("the rule held");
            ExitCode::from(0)
        }
        Ok(Verdict::Broken) => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            println!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
