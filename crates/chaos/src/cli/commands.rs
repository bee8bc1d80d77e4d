//! Executes commands.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use tokio::runtime::Builder;
use tokio::task::LocalSet;

use super::error::CliError;
use super::hunt::hunt;
use super::output::RunOutput;
use super::scenario_source::{KeptRun, find_scenario, keep_run};
use super::shrink_command::shrink;
use super::soak::soak;
use super::{Command, RunArgs};
use crate::builtin_scenarios::BUILTIN_SCENARIOS;
use crate::check::{ServiceSummary, find_violations};
use crate::run::{RunOptions, built_program, run_scenario, temporary_dir};
use crate::scenario::Scenario;
use crate::stand_ins::{run_discovery, run_endpoint};
use crate::{link_overhead, report, supervisor};

/// Name of the proxy program.
const NODE_PROGRAM: &str = "pumicehead";
/// File in the directory of a kept run, with the proxy's explanations of its recordings.
const EXPLANATIONS_FILE: &str = "why.txt";

/// Executes a command. The exit code is a failure if a checked run violates a rule.
pub(super) fn execute(command: Command) -> Result<ExitCode, CliError> {
    match command {
        Command::Run(args) => run(args),
        Command::List => list(),
        Command::Check { directory } => check(&directory),
        Command::Hunt(args) => hunt(&args),
        Command::Soak(args) => soak(args),
        Command::Shrink(args) => shrink(args),
        Command::Report { directory, out } => write_report(&directory, &out),
        Command::LinkOverhead { json } => print_link_overhead(json),
        Command::Endpoint(args) => block_on(run_endpoint(args)),
        Command::Discovery { nodes } => block_on(run_discovery(nodes)),
        Command::Exec { program, arguments } => {
            supervisor::exec_when_watched(&program, &arguments)?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Supervisor => {
            supervisor::supervise(io::stdin().lock())?;
            Ok(ExitCode::SUCCESS)
        }
    }
}

/// Returns the proxy program given on the command line, or by default the one beside this program.
pub(super) fn node_program(argument: Option<PathBuf>) -> io::Result<PathBuf> {
    argument.map_or_else(|| built_program(NODE_PROGRAM), Ok)
}

fn run(args: RunArgs) -> Result<ExitCode, CliError> {
    let mut scenario = find_scenario(&args.scenario, args.seed)?;
    scenario.seed = args.seed.unwrap_or(scenario.seed);
    let keep = args.keep.is_some();
    let work_dir = args.keep.map_or_else(|| temporary_dir("run"), Ok)?;
    let options = RunOptions {
        node_program: node_program(args.node)?,
        chaos_program: std::env::current_exe()?,
        work_dir: work_dir.clone(),
        record_at_end: keep,
    };
    let history = run_scenario(&scenario, &options)?;
    if keep {
        keep_run(&work_dir, &scenario, &history)?;
    } else {
        fs::remove_dir_all(&work_dir)?;
    }
    let violations = find_violations(&scenario, &history);
    let summary = ServiceSummary::new(&scenario, &history);
    Ok(RunOutput::new(&scenario, &summary, &violations).print(args.json)?)
}

fn list() -> Result<ExitCode, CliError> {
    for builtin in BUILTIN_SCENARIOS {
        let scenario = Scenario::parse(builtin.text)?;
        println!(
            "{:<24}{:>3} nodes {:>3} servers {:>5.0} s",
            builtin.name,
            scenario.fleet.nodes,
            scenario.fleet.endpoints,
            scenario.duration_s()
        );
    }
    Ok(ExitCode::SUCCESS)
}

fn check(directory: &Path) -> Result<ExitCode, CliError> {
    let KeptRun { scenario, history } = KeptRun::read(directory)?;
    let violations = find_violations(&scenario, &history);
    let summary = ServiceSummary::new(&scenario, &history);
    Ok(RunOutput::new(&scenario, &summary, &violations).print(false)?)
}

fn write_report(directory: &Path, out: &Path) -> Result<ExitCode, CliError> {
    let KeptRun { scenario, history } = KeptRun::read(directory)?;
    // Runs without recordings have no explanations.
    let explanations = fs::read_to_string(directory.join(EXPLANATIONS_FILE)).unwrap_or_default();
    let violations = find_violations(&scenario, &history);
    fs::write(out, report::html(&scenario, &history, &violations, &explanations)?)?;
    println!("{}", out.display());
    Ok(ExitCode::SUCCESS)
}

fn print_link_overhead(json: bool) -> Result<ExitCode, CliError> {
    let overhead = link_overhead::measure()?;
    if json {
        println!("{}", serde_json::to_string(&overhead)?);
    } else {
        let (direct_us, via_link_us) = (overhead.direct_us, overhead.via_link_us);
        println!("round trip: {direct_us:.1} us direct, {via_link_us:.1} us through an emulated link");
    }
    Ok(ExitCode::SUCCESS)
}

fn block_on(stand_in: impl Future<Output = io::Result<()>>) -> Result<ExitCode, CliError> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, stand_in)?;
    Ok(ExitCode::SUCCESS)
}
