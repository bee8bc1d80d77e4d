//! The command line of `pumicehead-chaos`, by which the program of the former name goes too.

use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use crate::check::{self, Find, Service, Summary};
use crate::history::History;
use crate::run::{Tools, built, folder, play};
use crate::scenario::Scenario;
use crate::shrink::Shrink;
use crate::{SECOND, cost, keeper, report, stand, standing};
use clap::{Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use serde::Serialize;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tracing::Level;

/// Crashes, stalls and bad links over a fleet of real processes on loopback, and what clients saw of them.
#[derive(Parser)]
#[command(
    name = "pumicehead-chaos",
    bin_name = "pumicehead-chaos",
    version,
    after_help = "Exit codes: 0 all rules kept, 1 not, or the run is void, 2 it can't be played."
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
    /// What is told on standard error while it goes on: `error`, `warn`, `info`, `debug`.
    #[arg(long, global = true, default_value_t = Level::WARN, value_name = "LEVEL")]
    log: Level,
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
    /// Draws storms and plays them; keeps those that break something, and the one that loses most.
    Hunt {
        /// How long, in seconds.
        #[arg(long, default_value_t = 600)]
        seconds: u64,
        /// Of the first storm; each next one has the next.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Nodes.
        #[arg(long, default_value_t = 5)]
        nodes: usize,
        /// Servers.
        #[arg(long, default_value_t = 4)]
        servers: usize,
        /// Where what is found is kept.
        #[arg(long, default_value = "storms")]
        keep: PathBuf,
    },
    /// Drops and weakens the faults of a scenario while it still breaks a rule, and prints what is left.
    Shrink {
        /// The scenario's file.
        file: PathBuf,
        /// The node to play it with; as it is built beside this program, where none is named.
        #[arg(long)]
        node: Option<PathBuf>,
        /// Plays of each candidate: it fails where one of them does.
        #[arg(long, default_value_t = 3)]
        plays: u32,
        /// No new candidate after so long, in seconds.
        #[arg(long, default_value_t = 1_200)]
        seconds: u64,
    },
    /// Writes a kept run as one page.
    Report {
        /// The folder.
        folder: PathBuf,
        /// The page.
        #[arg(long, default_value = "storm.html")]
        out: PathBuf,
    },
    /// What a link of the storm's adds to a round trip.
    Cost {
        /// One JSON object in place of a line.
        #[arg(long)]
        json: bool,
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

/// Parses the arguments and carries the command out; 1 is returned where a rule is broken, 2 where it fails.
pub fn main() -> ExitCode {
    let arguments = Arguments::parse();
    // Only this storm's own lines: a second one in the process there is not.
    let _ = tracing_subscriber::fmt().with_max_level(arguments.log).with_writer(io::stderr).try_init();
    carry_out(arguments.command).unwrap_or_else(|error| {
        eprintln!("pumicehead-chaos: {error}");
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
            let tools =
                Tools { node, storm: std::env::current_exe()?, folder: folder.clone(), records: kept };
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
            let (scenario, history) = kept(&folder)?;
            let finds = check::run(&scenario, &history);
            Ok(show(&scenario, &Service::of(&scenario, &history), &finds, false)?)
        }
        Command::Hunt { seconds, seed, nodes, servers, keep } => {
            Scenario::drawn(seed, nodes, servers).check()?;
            hunt(Duration::from_secs(seconds), seed, (nodes, servers), &keep)
        }
        Command::Shrink { file, node, plays, seconds } => {
            let name = file.display().to_string();
            let scenario = find(&name, None)?;
            let node = node.map_or_else(|| built("pumicehead"), Ok)?;
            shrink(scenario, &node, plays.max(1), Duration::from_secs(seconds))
        }
        Command::Report { folder, out } => {
            let (scenario, history) = kept(&folder)?;
            let why = fs::read_to_string(folder.join("why.txt")).unwrap_or_default();
            fs::write(&out, report::page(&scenario, &history, &check::run(&scenario, &history), &why)?)?;
            println!("{}", out.display());
            Ok(ExitCode::SUCCESS)
        }
        Command::Cost { json } => {
            let cost = cost::measure()?;
            if json {
                println!("{}", serde_json::to_string(&cost)?);
            } else {
                let (direct, through) = (cost.direct_us, cost.through_us);
                println!("a round trip takes {direct:.1} us, {through:.1} us through a link");
            }
            Ok(ExitCode::SUCCESS)
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

fn kept(folder: &Path) -> Result<(Scenario, History), Failure> {
    let named = |name: &str| {
        let path = folder.join(name);
        fs::read_to_string(&path).map_err(|error| format!("{}: {error}", path.display()))
    };
    let scenario = Scenario::parse(&named("scenario.toml")?)?;
    let history = History::read(named("history.jsonl")?.as_bytes())?;
    Ok((scenario, history))
}

/// Plays a scenario in a folder of its own, and tells what was found; a run that is void is played again.
fn played(
    scenario: &Scenario,
    node: &Path,
    folder: &Path,
    records: bool,
) -> Result<(Summary, Vec<Find>), Failure> {
    let (node, storm) = (node.to_owned(), std::env::current_exe()?);
    let tools = Tools { node, storm, folder: folder.to_owned(), records };
    for _ in 0..VOID_PLAYS {
        let history = play(scenario, &tools)?;
        let finds = check::run(scenario, &history);
        if finds.iter().any(|find| find.checker == "lag") {
            continue;
        }
        fs::write(folder.join("scenario.toml"), toml::to_string(scenario)?)?;
        history.write(&mut io::BufWriter::new(fs::File::create(folder.join("history.jsonl"))?))?;
        return Ok((Service::of(scenario, &history), finds));
    }
    Err("this machine is too busy for a storm".into())
}

/// Plays of a storm that is void before it is given up.
const VOID_PLAYS: usize = 5;

fn hunt(
    span: Duration,
    seed: u64,
    (nodes, servers): (usize, usize),
    keep: &Path,
) -> Result<ExitCode, Failure> {
    let node = built("pumicehead")?;
    fs::create_dir_all(keep)?;
    let start = Instant::now();
    let bar = ProgressBar::new(span.as_secs())
        .with_style(ProgressStyle::with_template("{bar:40} {pos}/{len} s  {msg}")?);
    let (mut broken, mut count, mut worst) = (0, 0, None::<(f64, u64)>);
    while start.elapsed() < span {
        let number = seed + count;
        let scenario = Scenario::drawn(number, nodes, servers);
        let folder = keep.join(&scenario.name);
        let (summary, finds) = played(&scenario, &node, &folder, true)?;
        count += 1;
        let least = worst.is_none_or(|(served, _)| summary.served[1] < served);
        if !finds.is_empty() {
            broken += 1;
            bar.suspend(|| {
                println!(
                    "seed {number}: {} finds, first {}: {}",
                    finds.len(),
                    finds[0].checker,
                    finds[0].text
                )
            });
        } else if least {
            // What lost most until now is no longer kept.
            if let Some((_, other)) = worst.replace((summary.served[1], number)) {
                fs::remove_dir_all(keep.join(format!("drawn-{other}")))?;
            }
        } else {
            fs::remove_dir_all(&folder)?;
        }
        bar.set_position(start.elapsed().as_secs());
        bar.set_message(format!("{count} storms, {broken} broke something"));
    }
    bar.finish_and_clear();
    println!("{count} storms, {broken} broke something; kept in {}", keep.display());
    if let Some((served, seed)) = worst {
        println!(
            "least of those that kept the rules: seed {seed}, {:.1}% of the worth served while faults lasted",
            served * 100.0
        );
    }
    Ok(if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn shrink(scenario: Scenario, node: &Path, plays: u32, span: Duration) -> Result<ExitCode, Failure> {
    let work = folder("shrink")?;
    let start = Instant::now();
    let fails = |one: &Scenario| -> Result<bool, Failure> {
        for _ in 0..plays {
            if !played(one, node, &work, false)?.1.is_empty() {
                return Ok(true);
            }
        }
        Ok(false)
    };
    if !fails(&scenario)? {
        fs::remove_dir_all(&work)?;
        return Err(format!("no rule was broken in {plays} plays: there is nothing to shrink").into());
    }
    let mut shrink = Shrink::of(scenario);
    let bar = ProgressBar::new_spinner();
    while start.elapsed() < span
        && let Some(next) = shrink.candidate()
    {
        shrink.tell(fails(&next)?);
        bar.set_message(format!("{} tried, {} faults left", shrink.tried(), shrink.best().fault.len()));
        bar.tick();
    }
    bar.finish_and_clear();
    fs::remove_dir_all(&work)?;
    print!("{}", toml::to_string(shrink.best())?);
    Ok(ExitCode::SUCCESS)
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
        if let Some(views) = &summary.views {
            let found =
                views.found_s.map_or("no".into(), |(first, last)| format!("{first:.1} to {last:.1} s"));
            let settled = views.settled_s.map_or("no".into(), |after| format!("{after:.1} s"));
            writeln!(out, "views          found {found}   settled {settled}   wronged {}", views.wronged)?;
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
