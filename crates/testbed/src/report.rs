//! Reports of measurements: a table, the claims that do not hold, and a last line with the verdict and the figures.

use std::fmt::Write;

/// A measurement's report.
#[derive(Debug, Default)]
pub struct Report {
    name: &'static str,
    rows: Vec<Vec<String>>,
    figures: Vec<(&'static str, String)>,
    /// Claims that do not hold.
    failed_claims: Vec<String>,
}

impl Report {
    /// A report without rows; `columns` are the column headings of its table.
    #[must_use]
    pub fn new(name: &'static str, columns: &[&str]) -> Self {
        let head = columns.iter().map(|column| (*column).to_owned()).collect();
        Self { name, rows: vec![head], ..Self::default() }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: &[String]) {
        self.rows.push(cells.to_vec());
    }

    /// Adds a figure to the last line.
    pub fn figure(&mut self, name: &'static str, value: impl ToString) {
        self.figures.push((name, value.to_string()));
    }

    /// Records the result of a claim; `what` is listed in the report where it does not hold.
    pub fn claim(&mut self, holds: bool, what: impl Into<String>) {
        if !holds {
            self.failed_claims.push(what.into());
        }
    }

    /// Returns whether all claims hold.
    #[must_use]
    pub fn is_ok(&self) -> bool {
        self.failed_claims.is_empty()
    }

    /// The report as text.
    #[must_use]
    pub fn text(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or_default();
        let widest = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or_default()
        };
        let widths: Vec<_> = (0..columns).map(widest).collect();
        let mut out = String::new();
        for row in &self.rows {
            for (place, (cell, width)) in row.iter().zip(&widths).enumerate() {
                // The first column is aligned left, the others right.
                let _ =
                    if place == 0 { write!(out, "{cell:<width$}") } else { write!(out, "  {cell:>width$}") };
            }
            out.push('\n');
        }
        for claim in &self.failed_claims {
            let _ = writeln!(out, "does not hold: {claim}");
        }
        let verdict = if self.is_ok() { "ok" } else { "short" };
        let _ = write!(out, "{}: {verdict}", self.name);
        for (name, value) in &self.figures {
            let _ = write!(out, " {name}={value}");
        }
        out.push('\n');
        out
    }

    /// The report as one JSON object.
    #[must_use]
    pub fn json(&self) -> String {
        let figures: serde_json::Map<_, _> = self
            .figures
            .iter()
            .map(|(name, value)| {
                let number = value.parse::<f64>().ok().and_then(serde_json::Number::from_f64);
                let value = number.map_or_else(|| value.clone().into(), serde_json::Value::Number);
                ((*name).to_owned(), value)
            })
            .collect();
        serde_json::json!({
            "name": self.name,
            "ok": self.is_ok(),
            "figures": figures,
            "table": self.rows,
            "short": self.failed_claims,
        })
        .to_string()
    }
}
