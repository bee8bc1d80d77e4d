//! Rows of the table: costs of each node, costs per unit of each factor, and latencies.

use std::time::Duration;

use super::fit::{Line, Point, median};
use super::load::{LoadResult, LoadedNode, RATE};
use super::sample::{ChangeCost, Sample};
use super::size::{Factor, Size};
use crate::report::Report;

/// Bytes of a megabyte in the table and the budgets.
pub const MEGABYTE: f64 = 1e6;
const MILLI: f64 = 1e3;
const MICRO: f64 = 1e6;
const NANO: f64 = 1e9;

/// A column of a node's row, and how its slope (its increase for each unit of a factor) is shown.
pub struct Metric {
    /// Its name and unit.
    pub head: &'static str,
    /// Its value in that unit.
    pub value: fn(&Sample) -> f64,
    /// The unit of a slope, and the factor from the column's unit to it.
    slope_unit: (&'static str, f64),
}

/// The file's size.
pub const FILE: Metric = Metric {
    head: "file MB",
    value: |sample| sample.file_bytes as f64 / MEGABYTE,
    slope_unit: ("B", MEGABYTE),
};
/// Memory at rest after the start.
pub const RESIDENT: Metric =
    Metric { head: "RSS MB", value: |sample| sample.resident as f64 / MEGABYTE, slope_unit: ("B", MEGABYTE) };
/// Most memory over changes.
pub const PEAK: Metric = Metric {
    head: "peak MB",
    value: |sample| sample.change_peak as f64 / MEGABYTE,
    slope_unit: ("B", MEGABYTE),
};
/// Time from the start of the process until it is ready.
pub const READY: Metric =
    Metric { head: "ready ms", value: |sample| millis(sample.ready_after), slope_unit: ("us", MILLI) };
/// Processor time of a start.
pub const START_CPU: Metric =
    Metric { head: "start cpu ms", value: |sample| millis(sample.start_cpu), slope_unit: ("us", MILLI) };
/// Time from SIGHUP until the change is in force.
pub const IN_FORCE: Metric = Metric {
    head: "SIGHUP to in force ms",
    value: |sample| millis(sample.in_force_after),
    slope_unit: ("us", MILLI),
};
/// Processor time of a change.
pub const CHANGE_CPU: Metric =
    Metric { head: "change cpu ms", value: |sample| millis(sample.change_cpu), slope_unit: ("us", MILLI) };
/// The part of [`CHANGE_CPU`] on the event loop's thread.
pub const CHANGE_LOOP_CPU: Metric = Metric {
    head: "change cpu on loop ms",
    value: |sample| millis(sample.change_loop_cpu),
    slope_unit: ("us", MILLI),
};
/// Processor time at rest.
pub const REST_CPU: Metric =
    Metric { head: "rest ms/s", value: |sample| millis(sample.rest_cpu), slope_unit: ("us/s", MILLI) };
/// Processor time of a request.
pub const REQUEST_CPU: Metric = Metric {
    head: "request us",
    value: |sample| sample.request_cpu.as_secs_f64() * MICRO,
    slope_unit: ("ns", NANO / MICRO),
};
/// The longest turn of the event loop, without changes.
pub const TURN_QUIET: Metric = Metric {
    head: "turn, quiet ms",
    value: |sample| millis(sample.quiet.longest_turn),
    slope_unit: ("us", MILLI),
};
/// The longest turn of the event loop, with changes.
pub const TURN_CHANGING: Metric = Metric {
    head: "turn, change ms",
    value: |sample| millis(sample.changing.longest_turn),
    slope_unit: ("us", MILLI),
};
/// The longest time until an answer, without changes.
pub const ANSWER_QUIET: Metric = Metric {
    head: "answer, quiet ms",
    value: |sample| millis(sample.quiet.longest_answer),
    slope_unit: ("us", MILLI),
};
/// The longest time until an answer, with changes.
pub const ANSWER_CHANGING: Metric = Metric {
    head: "answer, change ms",
    value: |sample| millis(sample.changing.longest_answer),
    slope_unit: ("us", MILLI),
};

/// All columns behind the name.
pub const METRICS: [&Metric; 14] = [
    &FILE,
    &RESIDENT,
    &PEAK,
    &READY,
    &START_CPU,
    &IN_FORCE,
    &CHANGE_CPU,
    &CHANGE_LOOP_CPU,
    &REST_CPU,
    &REQUEST_CPU,
    &TURN_QUIET,
    &TURN_CHANGING,
    &ANSWER_QUIET,
    &ANSWER_CHANGING,
];

impl Metric {
    /// The median over rounds.
    #[must_use]
    pub fn median(&self, rounds: &[Sample]) -> f64 {
        median(rounds.iter().map(self.value))
    }
}

/// Samples of one factor that grows alone: one per size and round.
pub struct Growth {
    /// What grows.
    pub factor: Factor,
    /// Sizes, from the smallest.
    pub sizes: [Size; 4],
    /// By size, then by round.
    pub samples: [Vec<Sample>; 4],
}

impl Growth {
    /// The line through the medians, and the lowest and highest slope of the lines of single rounds.
    #[must_use]
    pub fn line(&self, metric: &Metric) -> Option<(Line, (f64, f64))> {
        let rounds = self.samples.iter().map(Vec::len).min().unwrap_or_default();
        let through = |value: &dyn Fn(&[Sample]) -> f64| {
            let point = |(size, samples): (&Size, &Vec<Sample>)| Point {
                x: self.factor.count(*size) as f64,
                y: value(samples),
            };
            Line::fit(&self.sizes.iter().zip(&self.samples).map(point).collect::<Vec<_>>())
        };
        let line = through(&|samples| metric.median(samples))?;
        let slopes = (0..rounds).filter_map(|round| through(&|samples| (metric.value)(&samples[round])));
        let range = slopes.fold((line.slope, line.slope), |(least, most), line| {
            (least.min(line.slope), most.max(line.slope))
        });
        Some((line, range))
    }
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * MILLI
}

/// Formats a number with about three significant digits.
#[must_use]
pub fn short(value: f64) -> String {
    match value.abs() {
        large if large >= 100.0 => format!("{value:.0}"),
        middle if middle >= 10.0 => format!("{value:.1}"),
        _ => format!("{value:.2}"),
    }
}

/// The names of all columns.
#[must_use]
pub fn head() -> Vec<&'static str> {
    std::iter::once("node").chain(METRICS.iter().map(|metric| metric.head)).collect()
}

/// Adds a node's row: medians over rounds.
pub fn sample_row(report: &mut Report, name: String, rounds: &[Sample]) {
    let mut cells = vec![name];
    cells.extend(METRICS.iter().map(|metric| short(metric.median(rounds))));
    report.row(&cells);
}

/// Adds the heading of the rows of slopes, with the unit of each column.
pub fn slope_head(report: &mut Report) {
    let mut cells = vec!["cost of one more unit (range over rounds; largest residual)".to_owned()];
    cells.extend(METRICS.iter().map(|metric| metric.slope_unit.0.to_owned()));
    report.row(&cells);
}

/// Adds a row with a factor's slopes.
pub fn slope_row(report: &mut Report, growth: &Growth) {
    let several = growth.samples[0].len() > 1;
    let cell = |metric: &&Metric| {
        let Some((line, (least, most))) = growth.line(metric) else { return String::new() };
        let unit = metric.slope_unit.1;
        let range =
            if several { format!(" {}..{}", short(least * unit), short(most * unit)) } else { String::new() };
        format!("{}{range}; {:.0}%", short(line.slope * unit), line.error * 100.0)
    };
    let mut cells = vec![growth.factor.one().to_owned()];
    cells.extend(METRICS.iter().map(cell));
    report.row(&cells);
}

/// Adds rows for consecutive changes, and one with the cost per change.
pub fn change_rows(report: &mut Report, costs: &[ChangeCost]) {
    let head =
        ["changes of one value in a row", "peak MB", "SIGHUP to in force ms", "cpu ms", "cpu on loop ms"];
    report.row(&head.map(str::to_owned));
    for cost in costs {
        report.row(&[
            cost.changes.to_string(),
            short(cost.peak as f64 / MEGABYTE),
            short(millis(cost.in_force_after)),
            short(millis(cost.cpu)),
            short(millis(cost.loop_cpu)),
        ]);
    }
    let line = |value: fn(&ChangeCost) -> f64| {
        let points: Vec<_> =
            costs.iter().map(|cost| Point { x: cost.changes as f64, y: value(cost) }).collect();
        Line::fit(&points)
            .map_or(String::new(), |line| format!("{}; {:.0}%", short(line.slope), line.error * 100.0))
    };
    report.row(&[
        "cost of one more change (largest residual)".into(),
        line(|cost| cost.peak as f64 / MEGABYTE),
        String::new(),
        line(|cost| millis(cost.cpu)),
        line(|cost| millis(cost.loop_cpu)),
    ]);
}

/// Adds the heading of the rows of latencies.
pub fn load_head(report: &mut Report, span: Duration, rounds: usize) {
    let name = format!("constant {RATE}/s, Poisson, {rounds} x {} s", span.as_secs_f64());
    let head = [
        name.as_str(),
        "changes",
        "requests",
        "refused",
        "failed",
        "p50 ms",
        "p99 ms",
        "p99 of rounds",
        "longest ms",
        "direct p50",
        "direct p99",
        "direct longest",
        "turn ms",
        "stalls logged",
        "generator",
    ];
    report.row(&head.map(str::to_owned));
}

/// Adds a loaded node's row, with the latencies of direct requests to the backends at the same time.
pub fn load_row(report: &mut Report, node: &LoadedNode, result: &LoadResult) {
    let LoadResult { through, p99_of_rounds: (least, most), direct, longest_turn, changes, stalls } = result;
    let kept = if through.valid && direct.valid { "in time" } else { "late" };
    report.row(&[
        node.name.clone(),
        changes.to_string(),
        through.requests.to_string(),
        through.refused.to_string(),
        through.failed.to_string(),
        short(millis(through.p50)),
        short(millis(through.p99)),
        format!("{}..{}", short(millis(*least)), short(millis(*most))),
        short(millis(through.longest)),
        short(millis(direct.p50)),
        short(millis(direct.p99)),
        short(millis(direct.longest)),
        short(millis(*longest_turn)),
        stalls.to_string(),
        kept.into(),
    ]);
}
