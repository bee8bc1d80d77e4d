//! `shrink`: finds the smallest part of a scenario that still violates a rule.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use indicatif::ProgressBar;

use super::ShrinkArgs;
use super::commands::node_program;
use super::error::CliError;
use super::scenario_source::find_scenario;
use super::single_run::RunSetup;
use crate::run::temporary_dir;
use crate::scenario::Scenario;
use crate::shrink::Shrinker;

/// Shrinks a scenario and prints the smallest one that still fails.
pub(super) fn shrink(args: ShrinkArgs) -> Result<ExitCode, CliError> {
    let scenario = find_scenario(&args.file.display().to_string(), None)?;
    let setup = RunSetup { node_program: node_program(args.node)?, record_at_end: false };
    let trial = Trial { setup, work_dir: temporary_dir("shrink")?, runs: args.runs.max(1) };
    let start = Instant::now();
    if !trial.fails(&scenario)? {
        trial.remove()?;
        return Err(CliError::NothingToShrink { runs: trial.runs });
    }
    let mut shrinker = Shrinker::new(scenario);
    let bar = ProgressBar::new_spinner();
    while start.elapsed() < Duration::from_secs(args.seconds)
        && let Some(candidate) = shrinker.next_candidate()
    {
        shrinker.record_result(trial.fails(&candidate)?);
        let faults = shrinker.smallest().faults.len();
        bar.set_message(format!("{} tried, {faults} faults left", shrinker.tried()));
        bar.tick();
    }
    bar.finish_and_clear();
    trial.remove()?;
    print!("{}", toml::to_string(shrinker.smallest())?);
    Ok(ExitCode::SUCCESS)
}

/// Setup for the runs of a candidate.
struct Trial {
    setup: RunSetup,
    work_dir: PathBuf,
    runs: u32,
}

impl Trial {
    /// Returns whether any of the runs of a scenario violates a rule.
    fn fails(&self, scenario: &Scenario) -> Result<bool, CliError> {
        for _ in 0..self.runs {
            if !self.setup.run(scenario, &self.work_dir)?.violations.is_empty() {
                return Ok(true);
            }
        }
        Ok(false)
    }

    fn remove(&self) -> Result<(), CliError> {
        Ok(fs::remove_dir_all(&self.work_dir)?)
    }
}
