//! Reads scenarios and kept runs for commands, and writes kept runs.

use std::fs;
use std::io;
use std::path::Path;

use super::error::CliError;
use crate::builtin_scenarios::BUILTIN_SCENARIOS;
use crate::history::History;
use crate::scenario::Scenario;

/// Name of a generated scenario on the command line.
const GENERATED_SCENARIO: &str = "drawn";
/// Number of nodes of a generated scenario.
const GENERATED_NODES: usize = 5;
/// Number of endpoints of a generated scenario.
const GENERATED_ENDPOINTS: usize = 4;
/// Seed of a generated scenario if the command line has none.
const DEFAULT_SEED: u64 = 1;

const SCENARIO_FILE: &str = "scenario.toml";
const HISTORY_FILE: &str = "history.jsonl";

/// Returns a scenario by the name of a built-in one or the path of a file, or generates one.
pub(super) fn find_scenario(name: &str, seed: Option<u64>) -> Result<Scenario, CliError> {
    if name == GENERATED_SCENARIO {
        let seed = seed.unwrap_or(DEFAULT_SEED);
        return Ok(Scenario::generate(seed, GENERATED_NODES, GENERATED_ENDPOINTS));
    }
    if let Some(builtin) = BUILTIN_SCENARIOS.iter().find(|builtin| builtin.name == name) {
        return Ok(Scenario::parse(builtin.text)?);
    }
    let text = fs::read_to_string(name)
        .map_err(|source| CliError::UnknownScenario { name: name.to_owned(), source })?;
    Scenario::parse(&text).map_err(|source| CliError::ScenarioFile { name: name.to_owned(), source })
}

/// A run that was kept in a directory.
pub(super) struct KeptRun {
    pub scenario: Scenario,
    pub history: History,
}

impl KeptRun {
    /// Reads a run from its directory.
    pub fn read(directory: &Path) -> Result<Self, CliError> {
        let read = |name: &str| {
            let path = directory.join(name);
            fs::read_to_string(&path).map_err(|source| CliError::ReadFile { path, source })
        };
        let scenario = Scenario::parse(&read(SCENARIO_FILE)?)?;
        let history = History::read(read(HISTORY_FILE)?.as_bytes())?;
        Ok(Self { scenario, history })
    }
}

/// Writes the scenario and the history of a run into its directory.
pub(super) fn keep_run(directory: &Path, scenario: &Scenario, history: &History) -> Result<(), CliError> {
    fs::write(directory.join(SCENARIO_FILE), toml::to_string(scenario)?)?;
    let file = fs::File::create(directory.join(HISTORY_FILE))?;
    Ok(history.write(&mut io::BufWriter::new(file))?)
}
