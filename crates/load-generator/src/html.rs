//! Results as a self-contained HTML page: latency percentiles, and results by second.

use std::fmt::Write;

use crate::outcome::{OUTCOMES, Outcome};
use crate::report::{Summary, format_quantile};

const WIDTH: f64 = 860.0;
const HEIGHT: f64 = 260.0;
const LEFT: f64 = 64.0;
const BOTTOM: f64 = 30.0;
/// Wide enough for the right half of the last axis label.
const RIGHT: f64 = 28.0;
/// Maximum number of points of a line over time. If there are more seconds, several are combined into one point that
/// shows the highest of their values.
const MAX_POINTS: usize = 600;

/// Colours that remain distinguishable in print and for most people with colour vision deficiency.
const COLOURS: [&str; 6] = ["#0b6e99", "#c8501a", "#2f7d32", "#7a3e9d", "#8a6d00", "#555555"];

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// Formats the results as an HTML page.
#[must_use]
pub fn page(summary: &Summary) -> String {
    let mut out = String::from(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Load</title><style>\n\
         body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:920px;color:#1d1d1f}\n\
         table{border-collapse:collapse;margin:1em 0;font-variant-numeric:tabular-nums}\n\
         td,th{padding:.2em .5em;text-align:right;border-bottom:1px solid #ddd}td:first-child,th:first-child{text-align:left}\n\
         .bad{background:#c8501a;color:#fff;padding:.5em 1em}svg{display:block;margin:.5em 0 1.5em}\n\
         h1{font-size:1.3em}h2{font-size:1.05em;margin-top:1.6em}text{font:12px system-ui,sans-serif;fill:#333}\n\
         </style></head><body>\n",
    );
    let _ = writeln!(out, "<h1>{}</h1>", escape(&summary.title));
    if !summary.valid {
        out.push_str("<p class=\"bad\">Invalid: the generator did not keep its schedule. These results say nothing about the server.</p>\n");
    }
    outcome_table(summary, &mut out);
    out.push_str("<h2>Latency of served requests, from the intended time</h2>\n");
    percentile_plot(summary, &mut out);
    percentile_table(summary, &mut out);
    out.push_str("<h2>Requests by second of their intended time</h2>\n");
    seconds_plot(summary, &mut out);
    out.push_str("<h2>Mean and maximum latency by second, ms</h2>\n");
    latency_plot(summary, &mut out);
    let (p50, p99, most) = summary.lateness_us;
    let _ = writeln!(
        out,
        "<p>The generator started its requests {p50} &micro;s late at p50, {p99} &micro;s at p99 and {most} &micro;s at most, \
         and opened {} connections.</p>\n</body></html>",
        summary.connections
    );
    out
}

fn outcome_table(summary: &Summary, out: &mut String) {
    out.push_str("<table><tr><th>class</th><th>requests</th>");
    OUTCOMES.iter().for_each(|outcome| {
        let _ = write!(out, "<th>{}</th>", outcome.name());
    });
    out.push_str("<th>late</th></tr>\n");
    for class in &summary.classes {
        let _ = write!(out, "<tr><td>{}</td><td>{}</td>", escape(&class.name), class.requests);
        class.ends.iter().for_each(|count| {
            let _ = write!(out, "<td>{count}</td>");
        });
        let _ = writeln!(out, "<td>{}</td></tr>", class.late);
    }
    out.push_str("</table>\n");
}

fn percentile_table(summary: &Summary, out: &mut String) {
    out.push_str("<table><tr><th>ms</th>");
    let shares = summary.classes.first().map_or(&[][..], |class| &class.served_us);
    shares.iter().for_each(|(share, _)| {
        let _ = write!(out, "<th>{}</th>", format_quantile(*share));
    });
    out.push_str("</tr>\n");
    for class in &summary.classes {
        let _ = write!(out, "<tr><td>{}</td>", escape(&class.name));
        class.served_us.iter().for_each(|(_, us)| {
            let _ = write!(out, "<td>{:.2}</td>", *us as f64 / 1e3);
        });
        out.push_str("</tr>\n");
    }
    out.push_str("</table>\n");
}

struct Plot {
    body: String,
    max_y: f64,
}

impl Plot {
    fn new(max_y: f64) -> Self {
        Self { body: String::new(), max_y: if max_y > 0.0 { max_y } else { 1.0 } }
    }

    fn x(&self, share: f64) -> f64 {
        LEFT + share * (WIDTH - LEFT - RIGHT)
    }

    fn y(&self, value: f64) -> f64 {
        (HEIGHT - BOTTOM) - (value / self.max_y).min(1.0) * (HEIGHT - BOTTOM - 24.0)
    }

    fn line(&mut self, points: &[(f64, f64)], colour: &str, name: &str, index: usize) {
        let mut list = String::new();
        points.iter().for_each(|(x, y)| {
            let _ = write!(list, "{:.1},{:.1} ", self.x(*x), self.y(*y));
        });
        let _ = writeln!(
            self.body,
            "<polyline points=\"{list}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"1.8\"/>"
        );
        let x = LEFT + 10.0 + index as f64 * 130.0;
        let _ = writeln!(
            self.body,
            "<rect x=\"{x}\" y=\"4\" width=\"12\" height=\"12\" fill=\"{colour}\"/><text x=\"{}\" y=\"14\">{}</text>",
            x + 17.0,
            escape(name)
        );
    }

    fn label_x(&mut self, share: f64, text: &str) {
        let x = self.x(share);
        let _ = writeln!(
            self.body,
            "<text x=\"{x:.1}\" y=\"{}\" text-anchor=\"middle\">{text}</text>",
            HEIGHT - 10.0
        );
    }

    fn finish(self, out: &mut String) {
        let _ = writeln!(out, "<svg width=\"{WIDTH}\" height=\"{HEIGHT}\" role=\"img\">");
        for part in 0..=4 {
            let value = self.max_y * f64::from(part) / 4.0;
            let y = self.y(value);
            let _ = writeln!(
                out,
                "<line x1=\"{LEFT}\" x2=\"{}\" y1=\"{y:.1}\" y2=\"{y:.1}\" stroke=\"#e2e2e2\"/>",
                WIDTH - RIGHT
            );
            let shown = if self.max_y >= 20.0 { format!("{value:.0}") } else { format!("{value:.2}") };
            let _ = writeln!(
                out,
                "<text x=\"{}\" y=\"{:.1}\" text-anchor=\"end\">{shown}</text>",
                LEFT - 8.0,
                y + 4.0
            );
        }
        out.push_str(&self.body);
        out.push_str("</svg>\n");
    }
}

/// Plots latency by percentile, on an axis that is logarithmic in the share of requests beyond the percentile.
fn percentile_plot(summary: &Summary, out: &mut String) {
    let max = summary.classes.iter().flat_map(|class| &class.served_us).map(|(_, us)| *us as f64 / 1e3);
    let mut plot = Plot::new(max.fold(0.0, f64::max));
    let position = |share: f64| (-(1.0 - share).max(1e-5).log10() / 5.0).clamp(0.0, 1.0);
    for (number, class) in summary.classes.iter().enumerate() {
        let points: Vec<_> =
            class.served_us.iter().map(|(share, us)| (position(*share), *us as f64 / 1e3)).collect();
        plot.line(&points, COLOURS[number % COLOURS.len()], &class.name, number);
    }
    for (share, text) in
        [(0.5, "p50"), (0.9, "p90"), (0.99, "p99"), (0.999, "p99.9"), (0.9999, "p99.99"), (1.0, "most")]
    {
        plot.label_x(position(share), text);
    }
    plot.finish(out);
}

/// Returns the points of a line over time, from one value per second.
fn points_over_time(values: &[f64]) -> Vec<(f64, f64)> {
    let step = values.len().div_ceil(MAX_POINTS).max(1);
    let last = values.len().saturating_sub(1).max(1) as f64;
    let joined = values.chunks(step).enumerate();
    joined.map(|(n, chunk)| ((n * step) as f64 / last, chunk.iter().copied().fold(0.0, f64::max))).collect()
}

fn time_axis_labels(plot: &mut Plot, seconds: usize) {
    for part in 0..=4u32 {
        let share = f64::from(part) / 4.0;
        let at = share * seconds.saturating_sub(1) as f64;
        let text = if seconds < 20 { format!("{at:.1} s") } else { format!("{at:.0} s") };
        plot.label_x(share, &text);
    }
}

fn seconds_plot(summary: &Summary, out: &mut String) {
    let seconds = &summary.by_second;
    let sum = |outcomes: &[Outcome]| -> Vec<f64> {
        let indices: Vec<_> = outcomes
            .iter()
            .filter_map(|outcome| OUTCOMES.iter().position(|known| known == outcome))
            .collect();
        seconds
            .iter()
            .map(|second| indices.iter().map(|&index| second.ends[index]).sum::<u64>() as f64)
            .collect()
    };
    let others: Vec<_> = OUTCOMES
        .iter()
        .copied()
        .filter(|outcome| !matches!(outcome, Outcome::Served | Outcome::Refused))
        .collect();
    let late: Vec<f64> = seconds.iter().map(|second| second.late as f64).collect();
    let lines = [
        ("due", sum(&OUTCOMES)),
        ("served", sum(&[Outcome::Served])),
        ("late", late),
        ("refused", sum(&[Outcome::Refused])),
        ("failed", sum(&others)),
    ];
    let most = lines[0].1.iter().copied().fold(0.0, f64::max);
    let mut plot = Plot::new(most);
    for (index, (name, values)) in lines.iter().enumerate() {
        plot.line(&points_over_time(values), COLOURS[(index + 5) % COLOURS.len()], name, index);
    }
    time_axis_labels(&mut plot, seconds.len());
    plot.finish(out);
}

fn latency_plot(summary: &Summary, out: &mut String) {
    let seconds = &summary.by_second;
    let most: Vec<f64> = seconds.iter().map(|second| second.most_us as f64 / 1e3).collect();
    let mean = |second: &crate::outcome::Second| second.sum_us as f64 / 1e3 / second.ends[0].max(1) as f64;
    let mean: Vec<f64> = seconds.iter().map(mean).collect();
    let mut plot = Plot::new(most.iter().copied().fold(0.0, f64::max));
    plot.line(&points_over_time(&mean), COLOURS[0], "mean", 0);
    plot.line(&points_over_time(&most), COLOURS[1], "most", 1);
    time_axis_labels(&mut plot, seconds.len());
    plot.finish(out);
}
