//! Compares two sets of runs, taking into account the variation between repeated runs.

use std::fmt::Write;

use thiserror::Error;

use crate::outcome::Outcome;
use crate::report::Summary;

/// Why runs can't be compared.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CompareError {
    /// A side has no runs.
    #[error("each side needs at least one run")]
    NoRuns,
    /// A run is invalid.
    #[error("`{0}` is invalid: the generator did not keep its schedule")]
    Invalid(String),
}

/// Minimum, median and maximum of a measure over several runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Range {
    /// Minimum.
    pub min: f64,
    /// Median.
    pub median: f64,
    /// Maximum.
    pub max: f64,
}

impl Range {
    fn of(mut list: Vec<f64>) -> Self {
        list.sort_by(f64::total_cmp);
        let at = |index: usize| list.get(index).copied().unwrap_or_default();
        let (middle, last) = (list.len() / 2, list.len().saturating_sub(1));
        let median = if list.len().is_multiple_of(2) {
            at(middle.saturating_sub(1)).midpoint(at(middle))
        } else {
            at(middle)
        };
        Self { min: at(0), median, max: at(last) }
    }
}

/// A measure of both sides.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Name of the measure.
    pub name: &'static str,
    /// Values of side A.
    pub a: Range,
    /// Values of side B.
    pub b: Range,
    /// Whether the ranges don't overlap, so that the difference exceeds the variation between repeated runs.
    pub is_distinct: bool,
}

type Measure = (&'static str, fn(&Summary) -> f64);

/// Compares two sides.
///
/// # Errors
/// If a side has no runs, or a run is invalid.
pub fn compare(a: &[Summary], b: &[Summary]) -> Result<Vec<Row>, CompareError> {
    if a.is_empty() || b.is_empty() {
        return Err(CompareError::NoRuns);
    }
    if let Some(bad) = a.iter().chain(b).find(|run| !run.valid) {
        return Err(CompareError::Invalid(bad.title.clone()));
    }
    let measures: [Measure; 7] = [
        ("served, %", |run| percent(run, run.count_of(Outcome::Served))),
        ("refused, %", |run| percent(run, run.count_of(Outcome::Refused))),
        ("late, %", |run| percent(run, run.classes.first().map_or(0, |class| class.late))),
        ("p50, ms", |run| run.served_us(0.5) as f64 / 1e3),
        ("p99, ms", |run| run.served_us(0.99) as f64 / 1e3),
        ("p99.9, ms", |run| run.served_us(0.999) as f64 / 1e3),
        ("most, ms", |run| run.served_us(1.0) as f64 / 1e3),
    ];
    let rows = measures.map(|(name, measure)| {
        let (a, b) = (Range::of(a.iter().map(measure).collect()), Range::of(b.iter().map(measure).collect()));
        Row { name, a, b, is_distinct: a.max < b.min || b.max < a.min }
    });
    Ok(rows.into())
}

fn percent(run: &Summary, count: u64) -> f64 {
    100.0 * count as f64 / run.classes.first().map_or(1, |class| class.requests.max(1)) as f64
}

/// Formats the comparison as a table; `runs` is the number of runs of each side.
#[must_use]
pub fn table(rows: &[Row], runs: (usize, usize)) -> String {
    let mut out = format!(
        "{:<12}{:>30}{:>30}{:>9}\n",
        "", "A: median (least to most)", "B: median (least to most)", "B / A"
    );
    let show = |range: &Range| format!("{:.2} ({:.2} to {:.2})", range.median, range.min, range.max);
    for row in rows {
        let ratio =
            if row.a.median == 0.0 { "-".into() } else { format!("{:.2}", row.b.median / row.a.median) };
        let noise = if row.is_distinct { "" } else { "  within the noise" };
        let _ = writeln!(out, "{:<12}{:>30}{:>30}{ratio:>9}{noise}", row.name, show(&row.a), show(&row.b));
    }
    if runs.0 < 3 || runs.1 < 3 {
        out.push_str("with fewer than three runs a side the noise is hardly known\n");
    }
    out
}
