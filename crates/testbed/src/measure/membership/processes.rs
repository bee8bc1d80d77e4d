//! Membership of real processes under the faults of `pumicehead-chaos`.

use std::{fs, io, thread};

use crate::measure::Plan;
use crate::measure::chaos_program::{ScenarioOutcome, run_scenario, thread_failed};
use crate::program::temporary;
use crate::report::Report;

const SHORT_RUN: [&str; 2] = ["members-crash", "members-fifty"];
const LONG_RUN: [&str; 6] = [
    "members-crash",
    "members-stall",
    "members-join",
    "members-asymmetric",
    "members-partition",
    "members-fifty",
];
/// Scenarios that run at the same time; their processes are idle most of the time.
const CONCURRENT_RUNS: usize = 2;
/// The scenario of the control run, in which membership is turned off.
const CONTROL: &str = include_str!("../../../../chaos/scenarios/members-crash.toml");
/// Tolerated random difference between the served shares of two runs.
const RUN_TO_RUN_VARIATION: f64 = 0.03;

/// Adds a row for each scenario.
///
/// # Errors
/// Programs that can't be started, or that fail.
pub(super) fn measure(plan: Plan, report: &mut Report) -> io::Result<()> {
    let names = if plan.long { &LONG_RUN[..] } else { &SHORT_RUN[..] };
    let control = thread::spawn(move || run_control(plan.seed));
    let mut outcomes = Vec::new();
    for concurrent in names.chunks(CONCURRENT_RUNS) {
        let done: Vec<_> = thread::scope(|scope| {
            let started: Vec<_> =
                concurrent.iter().map(|name| scope.spawn(|| run_scenario(name, plan.seed, None))).collect();
            started.into_iter().map(|run| run.join().unwrap_or_else(|_| Err(thread_failed()))).collect()
        });
        outcomes.extend(done.into_iter().collect::<io::Result<Vec<_>>>()?);
    }
    let control = control.join().unwrap_or_else(|_| Err(thread_failed()))?;
    compare_with_control(&control, outcomes.first(), report);
    for (name, outcome) in names.iter().zip(&outcomes) {
        add_scenario(name, outcome, report)?;
    }
    Ok(())
}

/// Runs the control scenario: the first one without membership.
fn run_control(seed: u64) -> io::Result<ScenarioOutcome> {
    let file = temporary(".toml");
    fs::write(&file, CONTROL.replace("members = true", "members = false"))?;
    let outcome = run_scenario(&file.display().to_string(), seed, None);
    fs::remove_file(&file)?;
    outcome
}

fn compare_with_control(control: &ScenarioOutcome, first: Option<&ScenarioOutcome>, report: &mut Report) {
    let served = first.map_or(0.0, |outcome| outcome.served[1]);
    report.claim(
        control.membership.is_none() && control.violations.is_empty(),
        "control: no invariant violated, and no membership results",
    );
    report.claim(
        served >= control.served[1] - RUN_TO_RUN_VARIATION,
        format!(
            "the served share with membership is at least the served share without membership, \
             less {RUN_TO_RUN_VARIATION}"
        ),
    );
    report.figure("served_during", format!("{served:.3}"));
    report.figure("served_during_alone", format!("{:.3}", control.served[1]));
}

fn add_scenario(name: &str, outcome: &ScenarioOutcome, report: &mut Report) -> io::Result<()> {
    let membership = outcome
        .membership
        .as_ref()
        .ok_or_else(|| io::Error::other(format!("{name} has no membership results")))?;
    let detected = membership.detected_s.map(|(first, last)| [format!("{first:.1}"), format!("{last:.1}")]);
    let [first, last] = detected.unwrap_or_default();
    report.row(&[
        format!("{name}, processes"),
        first,
        last,
        membership.converged_s.map_or("no".into(), |after| format!("{after:.1}")),
        String::new(),
        membership.false_positives.to_string(),
    ]);
    report.claim(
        outcome.violations.is_empty(),
        format!("{name}: no invariant violated, member tables converge"),
    );
    report.claim(membership.false_positives == 0, format!("{name}: no running member is considered dead"));
    if name != "members-fifty" {
        return Ok(());
    }
    let detected = membership.detected_s.is_some_and(|(_, last)| last <= 5.0);
    report.claim(detected, "the last of 50 processes detects a crash within 5 s");
    let converged = membership.converged_s.is_some_and(|after| after <= 5.0);
    report.claim(converged, "the member tables of 50 processes are equal again within 5 s");
    if let Some((first, last)) = membership.detected_s {
        report.figure("found_first_s", format!("{first:.1}"));
        report.figure("found_last_s", format!("{last:.1}"));
    }
    Ok(())
}
