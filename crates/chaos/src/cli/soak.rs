//! `soak`: runs generated scenarios whose endpoints write responses in bursts; keeps the failed runs.

use std::fs;
use std::process::ExitCode;

use super::SoakArgs;
use super::commands::node_program;
use super::error::CliError;
use super::single_run::{RunResult, RunSetup};
use crate::scenario::Scenario;

/// Runs a scenario for each seed and prints a line for each. The exit code is 1 if any run had a violation.
pub(super) fn soak(args: SoakArgs) -> Result<ExitCode, CliError> {
    let setup = RunSetup { node_program: node_program(args.node)?, record_at_end: false };
    fs::create_dir_all(&args.keep)?;
    let mut failed_runs = 0;
    for seed in args.seed..args.seed + args.seeds {
        let scenario = Scenario::generate_soak(seed);
        let directory = args.keep.join(&scenario.name);
        let RunResult { summary, violations } = setup.run(&scenario, &directory)?;
        println!(
            "seed {seed}: {} requests, {:.1}% of the worth served, {} refused, {} failed, {} unanswered, {} violations",
            summary.requests,
            summary.served_share[1] * 100.0,
            summary.rejected,
            summary.failed,
            summary.unanswered,
            violations.len()
        );
        for violation in &violations {
            println!("    {}: {}", violation.checker, violation.text);
        }
        if violations.is_empty() {
            fs::remove_dir_all(&directory)?;
        } else {
            failed_runs += 1;
        }
    }
    println!("{} runs, {failed_runs} with violations", args.seeds);
    Ok(if failed_runs == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
