//! The node. Started without arguments and with `EDGE_CONFIG` it is the platform's node, otherwise what the command line says.

mod admin_listener;
mod cli;
mod descriptor_budget;
mod fleet;
mod fleet_cli;
mod introspection;
mod log;
mod net;
mod platform;
mod recording_cli;
mod report;
mod standalone;

use std::env;
use std::error::Error;
use std::process::ExitCode;

use clap::Parser;
use tokio::runtime::{Builder, LocalOptions};
use tokio::task;

fn main() -> ExitCode {
    // The platform starts it with no arguments; without EDGE_CONFIG that is a mistake on the command line.
    let on_platform = env::args_os().len() <= 1 && env::var_os("EDGE_CONFIG").is_some();
    let done = if on_platform {
        platform::socket_activation::reexecute_with_listen_fds()
            .map(|()| serve_platform())
            .map_err(Into::into)
    } else {
        cli::run(cli::Arguments::parse().command)
    };
    done.unwrap_or_else(|error| {
        report::error(&format!("pumicehead: {error}"));
        if on_platform { ExitCode::FAILURE } else { cli::failure() }
    })
}

fn serve_platform() -> ExitCode {
    let (log, _flush, writer) = log::start_on_event_loop();
    match block_on(platform::serve(log.clone(), writer)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // Through the log: a reader of standard error that has stopped must not keep the process from ending.
            log.write_plain(&format!("pumicehead: {error}"));
            ExitCode::FAILURE
        }
    }
}

/// Runs a task and those that it spawns on the process's one event loop, until the task returns.
fn block_on(serve: impl Future<Output = Result<(), Box<dyn Error>>> + 'static) -> Result<(), Box<dyn Error>> {
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default())?;
    // Spawned, since each wake of the future that the runtime blocks on would be a write to the loop's own descriptor.
    runtime.block_on(async { task::spawn_local(serve).await? })
}
