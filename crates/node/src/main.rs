//! The node. Started with no arguments and with `EDGE_CONFIG` it is the platform's, otherwise what the command line
//! says.

mod calls;
mod cli;
mod eyes;
mod fleet;
mod fleet_cli;
mod log;
mod net;
mod places;
mod platform;
mod report;
mod standalone;
mod why;

use std::env;
use std::error::Error;
use std::process::ExitCode;

use clap::Parser;
use tokio::runtime::{Builder, LocalOptions};
use tokio::task;

fn main() -> ExitCode {
    // The platform starts it with no arguments; what is wrong there is told by the missing variable, not by usage.
    let on_platform = env::args_os().len() <= 1 && env::var_os("EDGE_CONFIG").is_some();
    let done = if on_platform {
        platform::inherited::announce().map(|()| serve_platform())
    } else {
        cli::carry_out(cli::Arguments::parse().command)
    };
    done.unwrap_or_else(|error| {
        report::error(&format!("pumicehead: {error}"));
        if on_platform { ExitCode::FAILURE } else { cli::failed() }
    })
}

fn serve_platform() -> ExitCode {
    let (log, _flush, writer) = log::begin_on_loop();
    match block_on(platform::serve(log.clone(), writer)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // By way of the log: its reader may have stopped, and the process is to end all the same.
            log.write_plain(&format!("pumicehead: {error}"));
            ExitCode::FAILURE
        }
    }
}

/// Runs on the one loop of this process, which ends with it.
fn block_on(serve: impl Future<Output = Result<(), Box<dyn Error>>> + 'static) -> Result<(), Box<dyn Error>> {
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default())?;
    // A task: each wake of what is blocked on is a write to the loop's own descriptor.
    runtime.block_on(async { task::spawn_local(serve).await? })
}
