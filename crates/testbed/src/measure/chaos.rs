//! Requests that a fleet of processes serves in each built-in scenario of `pumicehead-chaos`, with this build of the node and,
//! in turn, with another build where one is given.

use std::io;
use std::path::Path;
use std::thread;

use super::Plan;
use super::chaos_program::{ScenarioOutcome, relay_cost_us, run_scenario, scenario_names, thread_failed};
use crate::program::build;
use crate::report::Report;

/// Scenarios of a short run, one of each kind of fault: links cut in one direction, a process killed, links cut, a process
/// stalled.
const SHORT_RUN: [&str; 4] = ["asymmetric-cut", "crash-under-load", "cut-from-servers", "stall-one"];
/// Scenarios that run at the same time; each has about ten processes, which use little processor time.
const CONCURRENT_RUNS: usize = 2;

const COLUMNS: [&str; 13] = [
    "scenario",
    "node",
    "asked",
    "before %",
    "during %",
    "after %",
    "worst 5 s %",
    "recovered s",
    "refused",
    "failed",
    "unanswered",
    "rules",
    "lag ms",
];

/// A scenario with a build of the node.
struct ScenarioRun<'a> {
    name: String,
    /// Another build of the node; `None` for this one.
    other_build: Option<&'a Path>,
}

/// Sums over the runs with this build.
#[derive(Default)]
struct Totals {
    scenarios: f64,
    violations: usize,
    served_during: f64,
    max_lag_us: u64,
}

/// Runs the scenarios; each with the other build too where one is named.
///
/// # Errors
/// Programs that can't be built or started.
pub fn measure(plan: Plan, other_build: Option<&Path>) -> io::Result<Report> {
    build("pumicehead")?;
    build("pumicehead-chaos")?;
    let mut report = Report::new("storm", &COLUMNS);
    let names = if plan.long { scenario_names()? } else { SHORT_RUN.map(str::to_owned).to_vec() };
    // Both builds run a scenario in succession, so that they meet the same load of the machine.
    let mut runs = Vec::new();
    for name in names {
        runs.push(ScenarioRun { name: name.clone(), other_build: None });
        runs.extend(other_build.map(|node| ScenarioRun { name, other_build: Some(node) }));
    }
    let outcomes = run_all(&runs, plan.seed);
    let relay_us = relay_cost_us()?;
    let mut totals = Totals::default();
    for (run, outcome) in runs.iter().zip(outcomes) {
        let outcome = outcome?;
        add_row(&mut report, run, &outcome);
        if run.other_build.is_none() {
            add_claims(&mut report, &run.name, &outcome);
            totals.add(&outcome);
        }
    }
    report.figure("scenarios", totals.scenarios);
    report.figure("finds", totals.violations);
    report.figure("served_during", format!("{:.4}", totals.served_during / f64::max(totals.scenarios, 1.0)));
    report.figure("relay_us", format!("{relay_us:.1}"));
    report.figure("lag_ms", format!("{:.1}", totals.max_lag_us as f64 / 1e3));
    Ok(report)
}

fn run_all(runs: &[ScenarioRun<'_>], seed: u64) -> Vec<io::Result<ScenarioOutcome>> {
    let mut outcomes = Vec::new();
    for concurrent in runs.chunks(CONCURRENT_RUNS) {
        let done: Vec<_> = thread::scope(|scope| {
            let started: Vec<_> = concurrent
                .iter()
                .map(|run| scope.spawn(move || run_scenario(&run.name, seed, run.other_build)))
                .collect();
            started.into_iter().map(|run| run.join().unwrap_or_else(|_| Err(thread_failed()))).collect()
        });
        outcomes.extend(done);
    }
    outcomes
}

fn add_row(report: &mut Report, run: &ScenarioRun<'_>, outcome: &ScenarioOutcome) {
    let percent = |share: f64| format!("{:.1}", share * 100.0);
    let rules = match (outcome.lagged(), outcome.violations.is_empty()) {
        (true, _) => "void".to_owned(),
        (_, true) => "kept".to_owned(),
        _ => format!("{} BROKEN", outcome.violations.len()),
    };
    report.row(&[
        run.name.clone(),
        if run.other_build.is_some() { "beside" } else { "this" }.to_owned(),
        outcome.requests.to_string(),
        percent(outcome.served[0]),
        percent(outcome.served[1]),
        percent(outcome.served[2]),
        percent(outcome.worst[1]),
        outcome.recovered_s.map_or("no".to_owned(), |after| format!("{after:.0}")),
        outcome.rejected.to_string(),
        outcome.failed.to_string(),
        outcome.unanswered.to_string(),
        rules,
        format!("{:.1}", outcome.lag_us as f64 / 1e3),
    ]);
}

fn add_claims(report: &mut Report, name: &str, outcome: &ScenarioOutcome) {
    let lagged = outcome.lagged();
    report.claim(!lagged, format!("{name}: the run kept its schedule"));
    report.claim(lagged || outcome.violations.is_empty(), format!("{name}: no invariant violated"));
    report.claim(outcome.recovered_s.is_some(), format!("{name}: service recovered after the faults"));
    if name.starts_with("stall") {
        report.claim(
            outcome.rejected == 0,
            format!("{name}: no queued request is rejected while servers are idle"),
        );
    }
}

impl Totals {
    fn add(&mut self, outcome: &ScenarioOutcome) {
        self.scenarios += 1.0;
        self.violations += outcome.violations.len();
        self.served_during += outcome.served[1];
        self.max_lag_us = self.max_lag_us.max(outcome.lag_us);
    }
}
