//! Why a command failed.

use std::io;
use std::path::PathBuf;

use crate::history::HistoryError;
use crate::report::ChartError;
use crate::run::RunError;
use crate::scenario::ScenarioError;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum CliError {
    /// A file, socket or process failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A file of a kept run can't be read.
    #[error("{}: {source}", path.display())]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// Why it can't be read.
        source: io::Error,
    },
    /// There is no built-in scenario of this name, and no such file can be read.
    #[error("`{name}` is neither a built-in scenario nor a readable file: {source}")]
    UnknownScenario {
        /// The name.
        name: String,
        /// Why it can't be read as a file.
        source: io::Error,
    },
    /// A scenario file is not valid.
    #[error("{name}: {source}")]
    ScenarioFile {
        /// Path of the file.
        name: String,
        /// What is wrong with it.
        source: ScenarioError,
    },
    /// A scenario is not valid.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    /// A stored history is not valid.
    #[error(transparent)]
    History(#[from] HistoryError),
    /// A scenario could not be run.
    #[error(transparent)]
    Run(#[from] RunError),
    /// A chart of a report could not be drawn.
    #[error(transparent)]
    Chart(#[from] ChartError),
    /// A scenario could not be written as TOML.
    #[error(transparent)]
    Toml(#[from] toml::ser::Error),
    /// A result could not be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// All runs of a scenario were void.
    #[error("this machine is too busy: every run of the scenario was void")]
    MachineTooBusy,
    /// The scenario to shrink does not fail.
    #[error("no rule was violated in {runs} runs: there is nothing to shrink")]
    NothingToShrink {
        /// Number of runs, none of which failed.
        runs: u32,
    },
}
