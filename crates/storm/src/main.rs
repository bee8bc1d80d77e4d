//! Storms from the command line.

use std::fs;
use std::io::{self, Write};
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use pumicehead_storm::check::{self, Find, Service, Summary};
use pumicehead_storm::run::{Tools, built, folder, play};
use pumicehead_storm::scenario::Scenario;
use pumicehead_storm::{SECOND, keeper, stand, standing};
use serde::Serialize;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Crashes, stalls and bad links over a fleet of real processes on loopback, and what clients saw of them.
#[derive(Parser)]
#[command(
    name = "pumicehead-storm",
    version,
    after_help = "Exit codes: 0 all rules kept, 1 not, or the run is void, 2 it can't be played."
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a scenario: the name of a standing one, a file, or `drawn` for one drawn from the seed.
    Run {
        /// Which.
        scenario: String,
        /// For all draws, in place of the scenario's own.
        #[arg(long)]
        seed: Option<u64>,
        /// Keeps history, logs, configurations and recordings in this folder.
        #[arg(long)]
        keep: Option<PathBuf>,
        /// The node to play it with; as it is built beside this program, where none is named.
        #[arg(long)]
        node: Option<PathBuf>,
        /// One JSON object in place of the table.
        #[arg(long)]
        json: bool,
    },
    /// The standing scenarios.
    List,
    /// Checks a history that was kept.
    Check {
        /// The folder.
        folder: PathBuf,
    },
    /// Part of a storm: a server.
    #[command(hide = true)]
    Server(stand::Server),
    /// Part of a storm: discovery.
    #[command(hide = true)]
    Discover {
        /// For so many nodes.
        nodes: usize,
    },
    /// Part of a storm: becomes a program once the keeper knows of it.
    #[command(hide = true)]
    Begin {
        /// Which.
        program: String,
        /// With what.
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        arguments: Vec<String>,
    },
    /// Part of a storm: ends what it leaves.
    #[command(hide = true)]
    Keeper,
}

fn main() -> ExitCode {
    carry_out(Arguments::parse().command).unwrap_or_else(|error| {
        eprintln!("pumicehead-storm: {error}");
        ExitCode::from(2)
    })
}

type Failure = Box<dyn std::error::Error>;

fn carry_out(command: Command) -> Result<ExitCode, Failure> {
    match command {
        Command::Run { scenario, seed, keep, node, json } => {
            let mut scenario = find(&scenario, seed)?;
            scenario.seed = seed.unwrap_or(scenario.seed);
            let kept = keep.is_some();
            let folder = keep.map_or_else(|| folder("run"), Ok)?;
            let node = node.map_or_else(|| built("pumicehead"), Ok)?;
            let tools = Tools { node, storm: std::env::current_exe()?, folder: folder.clone() };
            let history = play(&scenario, &tools)?;
            if kept {
                fs::write(folder.join("scenario.toml"), toml::to_string(&scenario)?)?;
                history.write(&mut io::BufWriter::new(fs::File::create(folder.join("history.jsonl"))?))?;
            }
            let finds = check::run(&scenario, &history);
            if !kept {
                fs::remove_dir_all(&folder)?;
            }
            Ok(show(&scenario, &Service::of(&scenario, &history), &finds, json)?)
        }
        Command::List => {
            for (name, text) in standing::ALL {
                let scenario = Scenario::parse(text)?;
                println!(
                    "{name:<24}{:>3} nodes {:>3} servers {:>5.0} s",
                    scenario.fleet.nodes,
                    scenario.fleet.servers,
                    scenario.span_s()
                );
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Check { folder } => {
            let scenario = Scenario::parse(&fs::read_to_string(folder.join("scenario.toml"))?)?;
            let file = io::BufReader::new(fs::File::open(folder.join("history.jsonl"))?);
            let history = pumicehead_storm::history::History::read(file)?;
            let finds = check::run(&scenario, &history);
            Ok(show(&scenario, &Service::of(&scenario, &history), &finds, false)?)
        }
        Command::Server(server) => on_a_loop(stand::serve(server)),
        Command::Discover { nodes } => on_a_loop(stand::discover(nodes)),
        Command::Begin { program, arguments } => {
            keeper::begin(&program, &arguments)?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Keeper => {
            keeper::keep(io::stdin().lock())?;
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn find(name: &str, seed: Option<u64>) -> Result<Scenario, Failure> {
    if name == "drawn" {
        return Ok(Scenario::drawn(seed.unwrap_or(1), 5, 4));
    }
    if let Some((_, text)) = standing::ALL.iter().find(|(known, _)| *known == name) {
        return Ok(Scenario::parse(text)?);
    }
    let text = fs::read_to_string(name)
        .map_err(|error| format!("{name} is no standing scenario and no file: {error}"))?;
    Ok(Scenario::parse(&text).map_err(|error| format!("{name}: {error}"))?)
}

fn on_a_loop(serve: impl Future<Output = io::Result<()>>) -> Result<ExitCode, Failure> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve)?;
    Ok(ExitCode::SUCCESS)
}

/// What a run came to.
#[derive(Serialize)]
struct Outcome<'a> {
    scenario: &'a str,
    seed: u64,
    #[serde(flatten)]
    summary: &'a Summary,
    finds: &'a [Find],
}

/// Finds that are shown; `check` has them all.
const SHOWN: usize = 20;

fn show(scenario: &Scenario, summary: &Summary, finds: &[Find], json: bool) -> io::Result<ExitCode> {
    let mut out = io::stdout().lock();
    if json {
        let outcome = Outcome { scenario: &scenario.name, seed: scenario.seed, summary, finds };
        writeln!(out, "{}", serde_json::to_string(&outcome)?)?;
    } else {
        let percent = |share: f64| format!("{:.1}%", share * 100.0);
        let [before, during, after] = summary.served.map(percent);
        let [one, five, ten] = summary.worst.map(percent);
        writeln!(out, "{} (seed {}): {} requests", scenario.name, scenario.seed, summary.asked)?;
        writeln!(out, "worth served   before {before}   during {during}   after {after}")?;
        writeln!(out, "worst          1 s {one}   5 s {five}   10 s {ten}")?;
        writeln!(
            out,
            "refused {}   failed {}   unanswered {}",
            summary.refused, summary.failed, summary.unanswered
        )?;
        match summary.recovered_s {
            Some(after) => writeln!(out, "recovered      {after:.0} s after the last fault")?,
            None => writeln!(out, "recovered      no")?,
        }
        writeln!(out, "storm's lag    {:.1} ms at most", summary.lag_us as f64 / 1e3)?;
        for find in finds.iter().take(SHOWN) {
            writeln!(out, "{:9.3} s  {}: {}", find.at as f64 / SECOND as f64, find.checker, find.text)?;
        }
        if finds.len() > SHOWN {
            writeln!(out, "and {} more", finds.len() - SHOWN)?;
        }
        writeln!(out, "rules: {}", if finds.is_empty() { "kept" } else { "BROKEN" })?;
    }
    Ok(if finds.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
