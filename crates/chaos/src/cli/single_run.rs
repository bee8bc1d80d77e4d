//! Runs of one scenario for `hunt` and `shrink`.

use std::path::{Path, PathBuf};

use super::error::CliError;
use super::scenario_source::keep_run;
use crate::check::{ServiceSummary, Violation, find_violations, is_void};
use crate::run::{RunOptions, run_scenario};
use crate::scenario::Scenario;

/// Largest number of void runs in a row before the machine counts as too busy.
const MAX_VOID_RUNS: usize = 5;

/// Result of a run.
pub(super) struct RunResult {
    pub summary: ServiceSummary,
    /// Violations of all rules.
    pub violations: Vec<Violation>,
}

/// Options for all runs of a command.
pub(super) struct RunSetup {
    /// The proxy program.
    pub node_program: PathBuf,
    /// Whether all running nodes write recordings at the end.
    pub record_at_end: bool,
}

impl RunSetup {
    /// Runs a scenario in a directory, repeats it while the run is void, and keeps the run there.
    pub fn run(&self, scenario: &Scenario, directory: &Path) -> Result<RunResult, CliError> {
        let options = RunOptions {
            node_program: self.node_program.clone(),
            chaos_program: std::env::current_exe()?,
            work_dir: directory.to_owned(),
            record_at_end: self.record_at_end,
        };
        for _ in 0..MAX_VOID_RUNS {
            let history = run_scenario(scenario, &options)?;
            let violations = find_violations(scenario, &history);
            if is_void(&violations) {
                continue;
            }
            keep_run(directory, scenario, &history)?;
            return Ok(RunResult { summary: ServiceSummary::new(scenario, &history), violations });
        }
        Err(CliError::MachineTooBusy)
    }
}
