//! Results of a run, as a JSON object and as text tables.

use std::fmt::Write;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::engine::MAX_LATE_SHARE;
use crate::outcome::{OUTCOMES, Outcome, Second, Tally};
use crate::{Nanos, SECOND};

/// Quantiles that are reported.
const QUANTILES: [f64; 9] = [0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999, 0.9999, 1.0];

/// Results of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Description of the run.
    pub title: String,
    /// Duration of the run, in seconds.
    pub seconds: f64,
    /// Whether the generator kept its schedule; if not, the results say nothing about the server.
    pub valid: bool,
    /// Share of requests that the generator started more than 5 ms late.
    pub late_share: f64,
    /// Share of requests that were due while their thread of the generator had too little idle time.
    #[serde(default)]
    pub breathless_share: f64,
    /// Lateness of the generator, in microseconds: p50, p99 and maximum.
    pub lateness_us: (u64, u64, u64),
    /// Number of opened connections.
    pub connections: u64,
    /// All classes together, followed by each class.
    pub classes: Vec<ClassSummary>,
    /// Results by second of the intended time.
    pub by_second: Vec<Second>,
}

/// Results of a class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassSummary {
    /// Name of the class; `all` for all classes together.
    pub name: String,
    /// Number of requests.
    pub requests: u64,
    /// Number of requests by outcome, in the order of [`OUTCOMES`].
    pub ends: [u64; 9],
    /// Number of requests served after the target latency.
    pub late: u64,
    /// Number of retried requests.
    pub retried: u64,
    /// Latencies of served requests: quantile, and latency in microseconds.
    pub served_us: Vec<(f64, u64)>,
    /// Latencies of all requests, in the same form.
    pub all_us: Vec<(f64, u64)>,
}

fn quantiles(histogram: &Histogram<u64>) -> Vec<(f64, u64)> {
    QUANTILES.iter().map(|&share| (share, histogram.value_at_quantile(share))).collect()
}

impl Summary {
    /// Summarizes the counts of a run.
    #[must_use]
    pub fn of(title: &str, span: Nanos, tally: &Tally) -> Self {
        let mut all = ClassSummary {
            name: "all".into(),
            requests: tally.requests(),
            ends: [0; 9],
            late: 0,
            retried: 0,
            served_us: quantiles(&tally.served()),
            all_us: Vec::new(),
        };
        let mut ended = tally.served();
        ended.reset();
        let mut classes = Vec::new();
        for class in &tally.classes {
            all.ends.iter_mut().zip(&class.ends).for_each(|(count, more)| *count += more);
            all.late += class.late;
            all.retried += class.retried;
            let _ = ended.add(&class.all);
            classes.push(ClassSummary {
                name: class.name.clone(),
                requests: class.ends.iter().sum(),
                ends: class.ends,
                late: class.late,
                retried: class.retried,
                served_us: quantiles(&class.served),
                all_us: quantiles(&class.all),
            });
        }
        all.all_us = quantiles(&ended);
        classes.insert(0, all);
        let lateness = &tally.lateness;
        Self {
            title: title.into(),
            seconds: span as f64 / SECOND as f64,
            valid: tally.late_share() <= MAX_LATE_SHARE && tally.saturated_share() <= MAX_LATE_SHARE,
            late_share: tally.late_share(),
            breathless_share: tally.saturated_share(),
            lateness_us: (lateness.value_at_quantile(0.5), lateness.value_at_quantile(0.99), lateness.max()),
            connections: tally.connections,
            classes,
            by_second: tally.seconds.clone(),
        }
    }

    /// Returns a quantile of the latency of served requests over all classes, in microseconds; 0 if it is not one of
    /// the reported quantiles.
    #[must_use]
    pub fn served_us(&self, share: f64) -> u64 {
        let all = self.classes.first().map_or(&[][..], |class| &class.served_us);
        all.iter().find(|(known, _)| *known == share).map_or(0, |(_, us)| *us)
    }

    /// Returns the number of requests with this outcome, over all classes.
    #[must_use]
    pub fn count_of(&self, outcome: Outcome) -> u64 {
        let index = OUTCOMES.iter().position(|known| *known == outcome).unwrap_or(0);
        self.classes.first().map_or(0, |class| class.ends[index])
    }

    /// Formats the results as text tables.
    #[must_use]
    pub fn table(&self) -> String {
        let mut out = format!("{}\n\n", self.title);
        let _ = write!(out, "{:<16}{:>10}", "class", "requests");
        OUTCOMES.iter().for_each(|outcome| {
            let _ = write!(out, "{:>14}", outcome.name());
        });
        let _ = writeln!(out, "{:>10}{:>10}", "late", "retried");
        for class in &self.classes {
            let _ = write!(out, "{:<16}{:>10}", class.name, class.requests);
            class.ends.iter().for_each(|count| {
                let _ = write!(out, "{count:>14}");
            });
            let _ = writeln!(out, "{:>10}{:>10}", class.late, class.retried);
        }
        let _ = write!(out, "\n{:<16}", "served, ms");
        QUANTILES.iter().for_each(|share| {
            let _ = write!(out, "{:>10}", format_quantile(*share));
        });
        out.push('\n');
        for class in &self.classes {
            let _ = write!(out, "{:<16}", class.name);
            class.served_us.iter().for_each(|(_, us)| {
                let _ = write!(out, "{:>10.2}", *us as f64 / 1e3);
            });
            out.push('\n');
        }
        let (p50, p99, most) = self.lateness_us;
        let _ = writeln!(
            out,
            "\ngenerator: p50 {p50} us, p99 {p99} us, most {most} us late; {:.2}% of requests over 5 ms, {:.2}% without idle time; {} connections",
            self.late_share * 100.0,
            self.breathless_share * 100.0,
            self.connections
        );
        if !self.valid {
            out.push_str(
                "INVALID: the generator did not keep its schedule; these results say nothing about the server\n",
            );
        }
        out
    }
}

pub(crate) fn format_quantile(share: f64) -> String {
    if share >= 1.0 {
        return "most".into();
    }
    let text = format!("{:.3}", share * 100.0);
    format!("p{}", text.trim_end_matches('0').trim_end_matches('.'))
}
