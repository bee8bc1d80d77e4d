//! The command line of `pumicehead-testbed`, and of `pumicehead-rig`, its former name.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use crate::measure::{ALL, Plan, capacity, chaos};
use crate::report::Report;
use crate::standin::{ServiceModel, StandIn};
use clap::{Parser, Subcommand, ValueEnum};

/// Measurements and stand-in servers, all on loopback.
#[derive(Parser)]
#[command(name = "pumicehead-testbed", bin_name = "pumicehead-testbed", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs stand-ins for backend servers until the process is stopped.
    StandIn {
        /// Loopback addresses to listen on.
        #[arg(required = true)]
        addresses: Vec<SocketAddr>,
        /// Processing time of a request, in milliseconds.
        #[arg(long, default_value_t = 5)]
        takes_ms: u64,
    },
    /// Capacity of a node and of a fleet, compared with the budgets: cost by each factor alone, and with all factors at once.
    Capacity {
        #[command(flatten)]
        options: Options,
        /// Measure at the size of the target; takes some minutes.
        #[arg(long)]
        full: bool,
        /// Another build of the node, measured in turn with this one.
        #[arg(long)]
        beside: Option<PathBuf>,
        /// The part to measure.
        #[arg(long, value_enum, default_value_t = CapacityPart::All)]
        part: CapacityPart,
    },
    /// Configuration: time of checks and route matches, requests lost by reloads.
    Config(Options),
    /// Processor time of a request compared with a plain TCP relay, and its growth with servers and connections.
    Cost(Options),
    /// FastCGI compared with HTTP: results of the parity scenarios, processor time, memory.
    Fastcgi(Options),
    /// Many nodes and servers in virtual time, with and without planners.
    Fleet(Options),
    /// Membership: crash detection, false positives, convergence and traffic, compared with all-to-all heartbeats.
    #[command(alias = "view")]
    Membership(Options),
    /// Processor time of the flight recorder, and whether a recording identifies injected faults.
    #[command(alias = "eyes")]
    Recorder(Options),
    /// Fleets of processes under crashes, stalls and link faults.
    #[command(alias = "storm")]
    Chaos {
        #[command(flatten)]
        options: Options,
        /// Another build of the node, measured in turn with this one.
        #[arg(long)]
        beside: Option<PathBuf>,
    },
}

/// Parts of the `capacity` measurement.
#[derive(Clone, Copy, ValueEnum)]
enum CapacityPart {
    /// One node and the fleet.
    All,
    /// One node alone.
    Node,
    /// The fleet alone.
    Fleet,
}

impl From<CapacityPart> for capacity::Part {
    fn from(part: CapacityPart) -> Self {
        match part {
            CapacityPart::All => Self::All,
            CapacityPart::Node => Self::Node,
            CapacityPart::Fleet => Self::Fleet,
        }
    }
}

#[derive(clap::Args)]
struct Options {
    /// Seed of random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Longer run with more sizes and rounds.
    #[arg(long)]
    long: bool,
    /// Print one JSON object in place of the table.
    #[arg(long)]
    json: bool,
}

/// Parses the arguments and runs the command. The exit code is 1 where a claim does not hold, and 2 where the command fails.
pub fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        Command::StandIn { addresses, takes_ms } => stand_in(&addresses, takes_ms),
        Command::Capacity { options, full, beside, part } => {
            let full = full || options.long;
            let how = capacity::Options { seed: options.seed, full, beside, part: part.into() };
            capacity::measure(&how).map(|report| show(&report, &options))
        }
        Command::Config(options) => measure("config", &options),
        Command::Cost(options) => measure("cost", &options),
        Command::Fastcgi(options) => measure("fastcgi", &options),
        Command::Fleet(options) => measure("fleet", &options),
        Command::Membership(options) => measure("membership", &options),
        Command::Recorder(options) => measure("recorder", &options),
        Command::Chaos { options, beside } => {
            chaos::measure(options.plan(), beside.as_deref()).map(|report| show(&report, &options))
        }
    };
    done.unwrap_or_else(|error| {
        eprintln!("pumicehead-testbed: {error}");
        ExitCode::from(2)
    })
}

fn measure(name: &str, options: &Options) -> io::Result<ExitCode> {
    let measurement = ALL.iter().find(|(known, _)| *known == name).ok_or(io::ErrorKind::NotFound)?;
    Ok(show(&measurement.1(options.plan())?, options))
}

fn show(report: &Report, options: &Options) -> ExitCode {
    if options.json {
        println!("{}", report.json());
    } else {
        print!("{}", report.text());
    }
    if report.is_ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

impl Options {
    fn plan(&self) -> Plan {
        Plan { seed: self.seed, long: self.long }
    }
}

fn stand_in(addresses: &[SocketAddr], takes_ms: u64) -> io::Result<ExitCode> {
    for &address in addresses {
        if !address.ip().is_loopback() {
            return Err(io::Error::other(format!("{address} is not on loopback")));
        }
        let work = ServiceModel { service_time: Duration::from_millis(takes_ms), ..ServiceModel::default() };
        println!("a stand-in on {}", StandIn::start(address, work)?.address);
    }
    loop {
        std::thread::park();
    }
}
