//! Entry point of the node. Without arguments and with `EDGE_CONFIG` set, the process runs as the platform's node; otherwise
//! the command line decides.

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
    // The platform starts the process without arguments. Without EDGE_CONFIG, missing arguments are a command line error.
    let on_platform = env::args_os().len() <= 1 && env::var_os("EDGE_CONFIG").is_some();
    let result = if on_platform {
        platform::socket_activation::reexecute_with_listen_fds()
            .map(|()| serve_platform())
            .map_err(Into::into)
    } else {
        cli::run(cli::Arguments::parse().command)
    };
    result.unwrap_or_else(|error| {
        report::print_error(&format!("pumicehead: {error}"));
        if on_platform { ExitCode::FAILURE } else { cli::failure() }
    })
}

fn serve_platform() -> ExitCode {
    let (log, _flush, writer) = log::start_on_event_loop();
    match block_on(platform::serve(log.clone(), writer)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // Written through the log: a stopped reader of standard error must not keep the process from exiting.
            log.write_plain(&format!("pumicehead: {error}"));
            ExitCode::FAILURE
        }
    }
}

/// Runs a task and the tasks that it spawns on the single event loop of the process, until the task returns.
fn block_on(serve: impl Future<Output = Result<(), Box<dyn Error>>> + 'static) -> Result<(), Box<dyn Error>> {
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default())?;
    // Spawned, because each wake-up of the future that `block_on` itself polls is a write to the event loop's wake-up
    // descriptor.
    runtime.block_on(async { task::spawn_local(serve).await? })
}
