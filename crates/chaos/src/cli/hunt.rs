//! `hunt`: runs generated scenarios for a given time; keeps the failed runs and the one with the lowest service.

use std::fs;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use indicatif::{ProgressBar, ProgressStyle};

use super::HuntArgs;
use super::commands::node_program;
use super::error::CliError;
use super::single_run::{RunResult, RunSetup};
use crate::check::Violation;
use crate::scenario::Scenario;

/// `indicatif` template of the progress bar.
const BAR_TEMPLATE: &str = "{bar:40} {pos}/{len} s  {msg}";

/// The run with the lowest served share during faults, of those without a violation.
struct LowestService {
    served_share: f64,
    seed: u64,
}

/// State of a hunt.
struct Hunt<'a> {
    args: &'a HuntArgs,
    setup: RunSetup,
    bar: ProgressBar,
    runs: u64,
    failed_runs: u64,
    lowest_service: Option<LowestService>,
}

/// Runs generated scenarios. Keeps runs with a violation, and of the others the one that served least during faults. The exit
/// code is 1 if any run had a violation.
pub(super) fn hunt(args: &HuntArgs) -> Result<ExitCode, CliError> {
    Scenario::generate(args.seed, args.nodes, args.endpoints).validate()?;
    let setup = RunSetup { node_program: node_program(None)?, record_at_end: true };
    fs::create_dir_all(&args.keep)?;
    let style = ProgressStyle::with_template(BAR_TEMPLATE).expect("the template is valid");
    let bar = ProgressBar::new(args.seconds).with_style(style);
    let mut hunt = Hunt { args, setup, bar, runs: 0, failed_runs: 0, lowest_service: None };
    let (start, limit) = (Instant::now(), Duration::from_secs(args.seconds));
    while start.elapsed() < limit {
        hunt.run_next()?;
        hunt.bar.set_position(start.elapsed().as_secs());
        hunt.bar.set_message(hunt.counts());
    }
    hunt.bar.finish_and_clear();
    println!("{}; kept in {}", hunt.counts(), args.keep.display());
    if let Some(LowestService { served_share, seed }) = hunt.lowest_service {
        println!(
            "lowest service without a violation: seed {seed}, {:.1}% of the worth served during faults",
            served_share * 100.0
        );
    }
    Ok(if hunt.failed_runs == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

impl Hunt<'_> {
    fn run_next(&mut self) -> Result<(), CliError> {
        let seed = self.args.seed + self.runs;
        let scenario = Scenario::generate(seed, self.args.nodes, self.args.endpoints);
        let directory = self.args.keep.join(&scenario.name);
        let RunResult { summary, violations } = self.setup.run(&scenario, &directory)?;
        self.runs += 1;
        let served_share = summary.served_share[1];
        let is_lowest = self.lowest_service.as_ref().is_none_or(|lowest| served_share < lowest.served_share);
        if let Some(first) = violations.first() {
            self.failed_runs += 1;
            self.bar.suspend(|| print_violations(seed, violations.len(), first));
        } else if is_lowest {
            let before = self.lowest_service.replace(LowestService { served_share, seed });
            if let Some(before) = before {
                fs::remove_dir_all(self.args.keep.join(format!("drawn-{}", before.seed)))?;
            }
        } else {
            fs::remove_dir_all(&directory)?;
        }
        Ok(())
    }

    fn counts(&self) -> String {
        format!("{} runs, {} with violations", self.runs, self.failed_runs)
    }
}

fn print_violations(seed: u64, count: usize, first: &Violation) {
    println!("seed {seed}: {count} violations, the first is {}: {}", first.checker, first.text);
}
