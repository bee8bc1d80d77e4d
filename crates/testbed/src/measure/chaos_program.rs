//! Runs scenarios with `pumicehead-chaos` and reads their results.

use std::io;
use std::path::Path;
use std::process::Command;

use serde::Deserialize;

use crate::program::built;

/// Runs of a scenario until one is on time: a run whose own schedule lagged does not count.
const MAX_RUNS: usize = 3;

/// What `pumicehead-chaos run --json` prints, as far as measurements need it. Shares are of the priority weight, and lists of
/// three are before, during and after the faults.
#[derive(Deserialize)]
pub(super) struct ScenarioOutcome {
    #[serde(rename = "asked")]
    pub(super) requests: u64,
    /// Shares that were served.
    pub(super) served: [f64; 3],
    /// Least shares that were served within 5 s.
    pub(super) worst: [f64; 3],
    /// Time until service was back after the faults, in seconds.
    pub(super) recovered_s: Option<f64>,
    #[serde(rename = "refused")]
    pub(super) rejected: u64,
    pub(super) failed: u64,
    pub(super) unanswered: u64,
    /// The most that the run was behind its own schedule, in microseconds.
    pub(super) lag_us: u64,
    #[serde(rename = "finds")]
    pub(super) violations: Vec<Violation>,
    /// Membership, where the nodes of the scenario are members.
    #[serde(rename = "views")]
    pub(super) membership: Option<MembershipOutcome>,
}

/// A violated invariant, with the checker that found it.
#[derive(Deserialize)]
pub(super) struct Violation {
    checker: String,
}

/// Detection of a crash by the members.
#[derive(Deserialize)]
pub(super) struct MembershipOutcome {
    /// Time until the first and the last of the others considered the member dead, in seconds.
    #[serde(rename = "found_s")]
    pub(super) detected_s: Option<(f64, f64)>,
    /// Time until all member tables were equal, in seconds.
    #[serde(rename = "settled_s")]
    pub(super) converged_s: Option<f64>,
    /// Live members that were considered dead.
    #[serde(rename = "wronged")]
    pub(super) false_positives: u64,
}

impl ScenarioOutcome {
    /// Returns whether the run's own schedule lagged, so that its results do not count.
    pub(super) fn lagged(&self) -> bool {
        self.violations.iter().any(|violation| violation.checker == "lag")
    }
}

/// Runs a scenario, given by its name or its file, until a run is on time; after [`MAX_RUNS`] the last one is returned. `node`
/// is another build of the node.
///
/// # Errors
/// A program that can't be started, or that fails.
pub(super) fn run_scenario(name: &str, seed: u64, node: Option<&Path>) -> io::Result<ScenarioOutcome> {
    let mut last = None;
    for _ in 0..MAX_RUNS {
        let mut command = Command::new(built("pumicehead-chaos")?);
        command.args(["run", name, "--json", "--seed", &seed.to_string()]);
        if let Some(node) = node {
            command.arg("--node").arg(node);
        }
        let done = command.output()?;
        let outcome: ScenarioOutcome = serde_json::from_slice(&done.stdout).map_err(|_| {
            io::Error::other(format!("{name}: {}", String::from_utf8_lossy(&done.stderr).trim()))
        })?;
        let on_time = !outcome.lagged();
        last = Some(outcome);
        if on_time {
            break;
        }
    }
    last.ok_or_else(|| io::ErrorKind::Other.into())
}

/// Returns what a relayed link adds to a round trip, in microseconds.
///
/// # Errors
/// A program that can't be started, or that fails.
pub(super) fn relay_cost_us() -> io::Result<f64> {
    #[derive(Deserialize)]
    struct Cost {
        direct_us: f64,
        through_us: f64,
    }
    let done = Command::new(built("pumicehead-chaos")?).args(["cost", "--json"]).output()?;
    let cost: Cost = serde_json::from_slice(&done.stdout)?;
    Ok(cost.through_us - cost.direct_us)
}

/// Returns the names of all built-in scenarios.
///
/// # Errors
/// A program that can't be started.
pub(super) fn scenario_names() -> io::Result<Vec<String>> {
    let done = Command::new(built("pumicehead-chaos")?).arg("list").output()?;
    let text = String::from_utf8_lossy(&done.stdout).into_owned();
    Ok(text.lines().filter_map(|line| line.split_whitespace().next().map(str::to_owned)).collect())
}

/// The error for a thread that panicked.
pub(super) fn thread_failed() -> io::Error {
    io::Error::other("scenario thread panicked")
}
