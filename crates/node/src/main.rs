//! The node.

#![allow(dead_code, reason = "the standalone node, which comes next, uses the seams that are made here")]

mod net;
mod places;
mod platform;

use std::error::Error;
use std::process::ExitCode;

use tokio::runtime::Builder;
use tokio::task::LocalSet;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pumicehead: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn Error>> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, platform::serve())
}
