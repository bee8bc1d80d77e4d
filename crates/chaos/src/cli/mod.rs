//! The command line of `pumicehead-chaos`. `pumicehead-storm`, the program's former name, has the same commands.

mod commands;
mod error;
mod hunt;
mod output;
mod scenario_source;
mod shrink_command;
mod single_run;
mod soak;

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use tracing::Level;

use crate::stand_ins::EndpointArgs;

/// Injects faults into a fleet of real processes on loopback, and checks the history of each run
#[derive(Parser)]
#[command(
    name = "pumicehead-chaos",
    bin_name = "pumicehead-chaos",
    version,
    after_help = "Exit codes: 0 all rules kept, 1 a rule is violated or the run is void, 2 the command failed."
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
    /// Most detailed level that is logged to standard error: `error`, `warn`, `info`, `debug`
    #[arg(long, global = true, default_value_t = Level::WARN, value_name = "LEVEL")]
    log: Level,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a scenario: a built-in one by its name, a file, or `drawn` for one generated from the seed
    Run(RunArgs),
    /// Lists the built-in scenarios
    List,
    /// Checks the history of a kept run
    Check {
        /// Directory of the run
        #[arg(value_name = "FOLDER")]
        directory: PathBuf,
    },
    /// Generates scenarios and runs them; keeps those that violate a rule, and the one with the lowest service
    Hunt(HuntArgs),
    /// Runs generated scenarios whose endpoints write responses in bursts, one for each seed; keeps those that violate a rule
    Soak(SoakArgs),
    /// Removes and weakens faults of a scenario while it still violates a rule, and prints the smallest one
    Shrink(ShrinkArgs),
    /// Writes a kept run as an HTML page
    Report {
        /// Directory of the run
        #[arg(value_name = "FOLDER")]
        directory: PathBuf,
        /// Path of the page
        #[arg(long, default_value = "storm.html")]
        out: PathBuf,
    },
    /// Measures what an emulated link adds to a round trip
    #[command(name = "cost")]
    LinkOverhead {
        /// Prints one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Part of a run: an endpoint
    #[command(name = "server", hide = true)]
    Endpoint(EndpointArgs),
    /// Part of a run: discovery
    #[command(name = "discover", hide = true)]
    Discovery {
        /// Number of nodes
        nodes: usize,
    },
    /// Part of a run: executes a program once the supervisor watches this process
    #[command(name = "begin", hide = true)]
    Exec {
        /// The program
        program: String,
        /// Its arguments
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        arguments: Vec<String>,
    },
    /// Part of a run: kills processes that the run leaves behind
    #[command(name = "keeper", hide = true)]
    Supervisor,
}

#[derive(clap::Args)]
struct RunArgs {
    /// Name of a built-in scenario, path of a file, or `drawn`
    scenario: String,
    /// Seed that replaces the scenario's own
    #[arg(long)]
    seed: Option<u64>,
    /// Keeps history, logs, configurations and recordings in this directory
    #[arg(long)]
    keep: Option<PathBuf>,
    /// The proxy program; the one beside this program by default
    #[arg(long)]
    node: Option<PathBuf>,
    /// Prints one JSON object instead of the table
    #[arg(long)]
    json: bool,
}

#[derive(clap::Args)]
struct HuntArgs {
    /// Duration, in seconds
    #[arg(long, default_value_t = 600)]
    seconds: u64,
    /// Seed of the first scenario; each further scenario uses the next seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of nodes
    #[arg(long, default_value_t = 5)]
    nodes: usize,
    /// Number of endpoints
    #[arg(long = "servers", value_name = "SERVERS", default_value_t = 4)]
    endpoints: usize,
    /// Directory for the kept runs
    #[arg(long, default_value = "storms")]
    keep: PathBuf,
}

#[derive(clap::Args)]
struct SoakArgs {
    /// Seed of the first scenario; each further scenario uses the next seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of scenarios
    #[arg(long, default_value_t = 50)]
    seeds: u64,
    /// Directory for the kept runs
    #[arg(long, default_value = "soaks")]
    keep: PathBuf,
    /// The proxy program; the one beside this program by default
    #[arg(long)]
    node: Option<PathBuf>,
}

#[derive(clap::Args)]
struct ShrinkArgs {
    /// Path of the scenario
    file: PathBuf,
    /// The proxy program; the one beside this program by default
    #[arg(long)]
    node: Option<PathBuf>,
    /// Runs of each candidate; the candidate fails if any of them does
    #[arg(long = "plays", value_name = "PLAYS", default_value_t = 3)]
    runs: u32,
    /// Starts no new candidate after this time, in seconds
    #[arg(long, default_value_t = 1_200)]
    seconds: u64,
}

/// Parses the arguments and runs the command. Exit codes: 1 if a rule is violated, 2 if the command fails.
pub fn main() -> ExitCode {
    let arguments = Arguments::parse();
    // Fails only if a subscriber is already installed, which then stays in use.
    let _ = tracing_subscriber::fmt().with_max_level(arguments.log).with_writer(io::stderr).try_init();
    commands::execute(arguments.command).unwrap_or_else(|error| {
        eprintln!("pumicehead-chaos: {error}");
        ExitCode::from(2)
    })
}
