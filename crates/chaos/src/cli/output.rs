//! Prints the result of a run.

use std::io::{self, Write};
use std::process::ExitCode;

use serde::Serialize;

use crate::SECOND;
use crate::check::{MembershipSummary, ServiceSummary, Violation};
use crate::scenario::Scenario;

/// Largest number of violations that are printed as text.
const MAX_PRINTED_VIOLATIONS: usize = 20;

/// The result of a run, as JSON or text.
#[derive(Serialize)]
pub(super) struct RunOutput<'a> {
    scenario: &'a str,
    seed: u64,
    #[serde(flatten)]
    summary: &'a ServiceSummary,
    #[serde(rename = "finds")]
    violations: &'a [Violation],
}

impl<'a> RunOutput<'a> {
    pub fn new(scenario: &'a Scenario, summary: &'a ServiceSummary, violations: &'a [Violation]) -> Self {
        Self { scenario: &scenario.name, seed: scenario.seed, summary, violations }
    }

    /// Prints to standard output; returns exit code 1 if a rule is violated.
    pub fn print(&self, json: bool) -> io::Result<ExitCode> {
        let mut out = io::stdout().lock();
        if json {
            writeln!(out, "{}", serde_json::to_string(self)?)?;
        } else {
            self.write_summary(&mut out)?;
            self.write_violations(&mut out)?;
        }
        Ok(if self.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }

    fn write_summary(&self, out: &mut impl Write) -> io::Result<()> {
        let summary = self.summary;
        let [before, during, after] = summary.served_share.map(percent);
        let [worst_1s, worst_5s, worst_10s] = summary.worst_share.map(percent);
        writeln!(out, "{} (seed {}): {} requests", self.scenario, self.seed, summary.requests)?;
        writeln!(out, "worth served   before {before}   during {during}   after {after}")?;
        writeln!(out, "worst          1 s {worst_1s}   5 s {worst_5s}   10 s {worst_10s}")?;
        writeln!(
            out,
            "refused {}   failed {}   unanswered {}",
            summary.rejected, summary.failed, summary.unanswered
        )?;
        match summary.recovered_s {
            Some(after) => writeln!(out, "recovered      {after:.0} s after the last fault")?,
            None => writeln!(out, "recovered      no")?,
        }
        if let Some(membership) = &summary.membership {
            write_membership(out, membership)?;
        }
        writeln!(out, "harness lag    {:.1} ms at most", summary.harness_lag_us as f64 / 1e3)
    }

    fn write_violations(&self, out: &mut impl Write) -> io::Result<()> {
        for violation in self.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
            let at_s = violation.at as f64 / SECOND as f64;
            writeln!(out, "{at_s:9.3} s  {}: {}", violation.checker, violation.text)?;
        }
        if self.violations.len() > MAX_PRINTED_VIOLATIONS {
            writeln!(out, "and {} more", self.violations.len() - MAX_PRINTED_VIOLATIONS)?;
        }
        writeln!(out, "rules: {}", if self.violations.is_empty() { "kept" } else { "BROKEN" })
    }
}

fn write_membership(out: &mut impl Write, membership: &MembershipSummary) -> io::Result<()> {
    let detected =
        membership.detected_s.map_or("no".into(), |(first, last)| format!("{first:.1} to {last:.1} s"));
    let converged = membership.converged_s.map_or("no".into(), |after| format!("{after:.1} s"));
    let false_positives = membership.false_positives;
    writeln!(
        out,
        "views          detected {detected}   converged {converged}   false positives {false_positives}"
    )
}

fn percent(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}
