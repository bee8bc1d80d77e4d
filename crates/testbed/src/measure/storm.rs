//! What a fleet of processes loses in each standing scenario, as `pumicehead-chaos` plays them; beside another build of the
//! node where one is named.

use std::io;
use std::path::Path;
use std::process::Command;
use std::thread;

use serde::Deserialize;

use super::Plan;
use crate::program::{build, built};
use crate::report::Report;

/// Played without `--long`: one of each kind (a process stalled, killed; links cut, one way).
const SHORT: [&str; 4] = ["asymmetric-cut", "crash-under-load", "cut-from-servers", "stall-one"];
/// Storms at the same time: each has some ten processes, which use little.
const AT_ONCE: usize = 2;
/// Plays of one scenario until the storm was itself in time.
const PLAYS: usize = 3;

/// What `pumicehead-chaos run --json` says, as far as it is shown.
#[derive(Deserialize)]
struct Outcome {
    asked: u64,
    served: [f64; 3],
    worst: [f64; 3],
    recovered_s: Option<f64>,
    refused: u64,
    failed: u64,
    unanswered: u64,
    lag_us: u64,
    finds: Vec<Find>,
}

#[derive(Deserialize)]
struct Find {
    checker: String,
}

fn play(name: &str, seed: u64, node: Option<&Path>) -> io::Result<Outcome> {
    let mut last = None;
    for _ in 0..PLAYS {
        let mut command = Command::new(built("pumicehead-chaos")?);
        command.args(["run", name, "--json", "--seed", &seed.to_string()]);
        if let Some(node) = node {
            command.arg("--node").arg(node);
        }
        let done = command.output()?;
        let outcome: Outcome = serde_json::from_slice(&done.stdout).map_err(|_| {
            io::Error::other(format!("{name}: {}", String::from_utf8_lossy(&done.stderr).trim()))
        })?;
        let void = outcome.finds.iter().any(|find| find.checker == "lag");
        last = Some(outcome);
        if !void {
            break;
        }
    }
    last.ok_or_else(|| io::ErrorKind::Other.into())
}

/// What a link of the storm's adds to a round trip, in microseconds.
fn relay() -> io::Result<f64> {
    #[derive(Deserialize)]
    struct Cost {
        direct_us: f64,
        through_us: f64,
    }
    let done = Command::new(built("pumicehead-chaos")?).args(["cost", "--json"]).output()?;
    let cost: Cost = serde_json::from_slice(&done.stdout)?;
    Ok(cost.through_us - cost.direct_us)
}

/// Names of all standing scenarios.
fn all() -> io::Result<Vec<String>> {
    let done = Command::new(built("pumicehead-chaos")?).arg("list").output()?;
    let text = String::from_utf8_lossy(&done.stdout).into_owned();
    Ok(text.lines().filter_map(|line| line.split_whitespace().next().map(str::to_owned)).collect())
}

/// Runs it, with the node of another build in turn where one is named.
///
/// # Errors
/// Programs that can't be built or started.
pub fn measure(plan: Plan, beside: Option<&Path>) -> io::Result<Report> {
    build("pumicehead")?;
    build("pumicehead-chaos")?;
    let columns = [
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
    let mut report = Report::new("storm", &columns);
    let names = if plan.long { all()? } else { SHORT.map(str::to_owned).to_vec() };
    // Two sides of one scenario one after another, so that both meet the same machine.
    let mut plays: Vec<(String, Option<&Path>)> = Vec::new();
    for name in names {
        plays.push((name.clone(), None));
        plays.extend(beside.map(|node| (name, Some(node))));
    }
    let mut outcomes = Vec::new();
    for part in plays.chunks(AT_ONCE) {
        let done: Vec<io::Result<Outcome>> = thread::scope(|scope| {
            let started: Vec<_> =
                part.iter().map(|(name, node)| scope.spawn(move || play(name, plan.seed, *node))).collect();
            let failed = || Err(io::Error::other("a thread failed"));
            started.into_iter().map(|play| play.join().unwrap_or_else(|_| failed())).collect()
        });
        outcomes.extend(done);
    }
    let relay = relay()?;
    let (mut broken, mut during, mut count, mut lag) = (0, 0.0, 0.0, 0);
    for ((name, node), outcome) in plays.iter().zip(outcomes) {
        let outcome = outcome?;
        let percent = |share: f64| format!("{:.1}", share * 100.0);
        let void = outcome.finds.iter().any(|find| find.checker == "lag");
        let rules = match (void, outcome.finds.is_empty()) {
            (true, _) => "void".to_owned(),
            (_, true) => "kept".to_owned(),
            _ => format!("{} BROKEN", outcome.finds.len()),
        };
        report.row(&[
            name.clone(),
            if node.is_some() { "beside" } else { "this" }.to_owned(),
            outcome.asked.to_string(),
            percent(outcome.served[0]),
            percent(outcome.served[1]),
            percent(outcome.served[2]),
            percent(outcome.worst[1]),
            outcome.recovered_s.map_or("no".to_owned(), |after| format!("{after:.0}")),
            outcome.refused.to_string(),
            outcome.failed.to_string(),
            outcome.unanswered.to_string(),
            rules,
            format!("{:.1}", outcome.lag_us as f64 / 1e3),
        ]);
        if node.is_some() {
            continue;
        }
        report.claim(!void, format!("{name}: the storm was in time"));
        report.claim(void || outcome.finds.is_empty(), format!("{name}: all rules kept"));
        report.claim(outcome.recovered_s.is_some(), format!("{name}: service is back"));
        if name.starts_with("stall") {
            report.claim(
                outcome.refused == 0,
                format!("{name}: none that waited is refused beside idle servers"),
            );
        }
        broken += outcome.finds.len();
        during += outcome.served[1];
        count += 1.0;
        lag = lag.max(outcome.lag_us);
    }
    report.figure("scenarios", count);
    report.figure("finds", broken);
    report.figure("served_during", format!("{:.4}", during / f64::max(count, 1.0)));
    report.figure("relay_us", format!("{relay:.1}"));
    report.figure("lag_ms", format!("{:.1}", lag as f64 / 1e3));
    Ok(report)
}
