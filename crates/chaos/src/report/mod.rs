//! Renders a run as an HTML page: service by second and class, states of processes and faults, and violations.

mod charts;

use plotters::drawing::DrawingAreaErrorKind;

use crate::SECOND;
use crate::check::{ServiceSummary, Violation};
use crate::history::History;
use crate::scenario::Scenario;

/// Largest number of violations in a page.
const MAX_VIOLATIONS: usize = 500;
/// Head of the page.
const HEAD: &str = "<!doctype html><meta charset=\"utf-8\"><title>chaos run</title><style>body{font:14px sans-serif;margin:2em;max-width:980px}\
                    td,th{padding:2px 10px;text-align:left}.bad{color:#b00020}</style>";

/// A chart could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("can't draw a chart: {source}")]
pub struct ChartError {
    /// Why it could not be drawn.
    #[from]
    source: DrawingAreaErrorKind<std::io::Error>,
}

/// Returns the page. `explanations` is the proxy program's output for the nodes' recordings; it may be empty.
///
/// # Errors
/// A chart that can't be drawn.
pub fn html(
    scenario: &Scenario,
    history: &History,
    violations: &[Violation],
    explanations: &str,
) -> Result<String, ChartError> {
    let summary = ServiceSummary::new(scenario, history);
    let duration_s = history.events.last().map_or(1.0, |event| event.at as f64 / SECOND as f64).max(1.0);
    let mut page = String::from(HEAD);
    page += &title(scenario, &summary, violations.len());
    page += &summary_table(&summary);
    page += &charts::service_chart(history, duration_s)?;
    page += &charts::state_chart(scenario, history, duration_s)?;
    page += &violation_table(violations);
    if !explanations.is_empty() {
        page +=
            &format!("<h2>Explanations from the nodes' recordings</h2><pre>{}</pre>", escape(explanations));
    }
    Ok(page)
}

fn title(scenario: &Scenario, summary: &ServiceSummary, violations: usize) -> String {
    let verdict = match violations {
        0 => "all rules kept</p>".to_owned(),
        count => format!("<b class=\"bad\">{count} violations</b></p>"),
    };
    let (name, seed, requests) = (escape(&scenario.name), scenario.seed, summary.requests);
    format!("<h1>{name}</h1><p>seed {seed}, {requests} requests; {verdict}")
}

fn summary_table(summary: &ServiceSummary) -> String {
    let percent = |share: f64| format!("{:.1}%", share * 100.0);
    let [before, during, after] = summary.served_share.map(percent);
    let [worst_1s, worst_5s, worst_10s] = summary.worst_share.map(percent);
    let recovered = summary.recovered_s.map_or("no".to_owned(), |after| format!("{after:.0} s"));
    format!(
        "<table><tr><th>worth served<th>before<th>during<th>after<th>worst 1 s<th>5 s<th>10 s<th>recovered\
         <tr><td><td>{before}<td>{during}<td>{after}<td>{worst_1s}<td>{worst_5s}<td>{worst_10s}<td>{recovered}</table>"
    )
}

fn violation_table(violations: &[Violation]) -> String {
    let mut table = String::from("<h2>Violations</h2><table>");
    for violation in violations.iter().take(MAX_VIOLATIONS) {
        let at_s = violation.at as f64 / SECOND as f64;
        let (checker, text) = (escape(&violation.checker), escape(&violation.text));
        table += &format!("<tr><td>{at_s:.3} s<td>{checker}<td>{text}");
    }
    table += if violations.is_empty() { "</table><p>none</p>" } else { "</table>" };
    table
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
