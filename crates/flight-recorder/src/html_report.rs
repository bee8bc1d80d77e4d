//! A self-contained HTML report: weight offered and earned, ejected endpoints, limits and losses.

use std::collections::BTreeMap;

use plotters::prelude::*;
use pumicehead_policy::{Nanos, SECOND};

use crate::bounded_text::escape_html;
use crate::breakdown::Breakdown;
use crate::event::PoolId;
use crate::findings;
use crate::loss_ledger::{LossLedger, NO_ENDPOINT};
use crate::recording::Recording;
use crate::timeline_text;

/// Greatest number of endpoints in charts: those with the most attempts.
const MAX_ENDPOINTS: usize = 12;
/// Greatest number of timelines in the report.
const MAX_TIMELINES: usize = 10;
/// Width and height of a chart, in pixels.
const CHART_SIZE: (u32, u32) = (1_000, 260);

/// Why a chart could not be drawn.
type ChartError = Box<dyn std::error::Error>;

type Points = Vec<(f64, f64)>;
/// Attempts of an endpoint in one slot; times in seconds since the start.
struct EndpointSlot {
    from: f64,
    to: f64,
    failed_share: f64,
    ejected: f64,
}

fn seconds(at: Nanos, start: Nanos) -> f64 {
    at.saturating_sub(start) as f64 / SECOND as f64
}

fn line_chart(title: &str, unit: &str, series: &[(String, Points)], end: f64) -> Result<String, ChartError> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, CHART_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let max_y =
            series.iter().flat_map(|(_, points)| points).fold(0.0, |max_y: f64, (_, y)| max_y.max(*y));
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..end.max(1.0), 0.0..(max_y * 1.05).max(1.0))?;
        chart
            .configure_mesh()
            .x_desc("seconds since the start")
            .y_desc(unit)
            .light_line_style(WHITE)
            .draw()?;
        for (number, (name, points)) in series.iter().enumerate() {
            let colour = Palette99::pick(number).to_rgba();
            chart
                .draw_series(LineSeries::new(points.iter().copied(), colour))?
                .label(name.as_str())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        }
        chart
            .configure_series_labels()
            .border_style(BLACK.mix(0.2))
            .background_style(WHITE.mix(0.8))
            .draw()?;
        area.present()?;
    }
    Ok(svg)
}

/// Draws a row per endpoint: green in slots without failed attempts, otherwise red, the stronger the more attempts failed,
/// with a black line below it for the time of ejection.
fn endpoint_chart(rows: &[(String, Vec<EndpointSlot>)], end: f64) -> Result<String, ChartError> {
    let mut svg = String::new();
    {
        let height = 48 + 22 * rows.len() as u32;
        let area = SVGBackend::with_string(&mut svg, (CHART_SIZE.0, height)).into_drawing_area();
        area.fill(&WHITE)?;
        let count = rows.len() as f64;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(120)
            .build_cartesian_2d(0.0..end.max(1.0), 0.0..count.max(1.0))?;
        let name =
            |y: &f64| rows.get((*y - 0.5).round() as usize).map_or(String::new(), |(name, _)| name.clone());
        chart.configure_mesh().disable_mesh().y_labels(0).y_label_formatter(&name).draw()?;
        for (row, (name, slots)) in rows.iter().enumerate() {
            let low = row as f64;
            let area = chart.plotting_area();
            area.draw(&Text::new(name.clone(), (0.0, low + 0.9), ("sans-serif", 11)))?;
            for &EndpointSlot { from, to, failed_share, ejected } in slots {
                let fill = RED.mix(0.1 + 0.9 * failed_share.clamp(0.0, 1.0));
                let fill = if failed_share > 0.0 { fill } else { GREEN.mix(0.25) };
                area.draw(&Rectangle::new([(from, low + 0.25), (to, low + 0.75)], fill.filled()))?;
                if ejected > 0.0 {
                    area.draw(&Rectangle::new(
                        [(from, low + 0.08), (from + ejected, low + 0.2)],
                        BLACK.filled(),
                    ))?;
                }
            }
        }
        area.present()?;
    }
    Ok(svg)
}

/// Returns the endpoints with the most attempts.
fn busiest_endpoints(ledger: &LossLedger) -> Vec<(PoolId, u32)> {
    let mut sums: BTreeMap<(PoolId, u32), u64> = BTreeMap::new();
    for (_, key, row) in
        ledger.endpoints.rows_between(0, Nanos::MAX).filter(|(_, key, _)| key.endpoint != NO_ENDPOINT)
    {
        *sums.entry((key.pool, key.endpoint)).or_default() += row.attempts();
    }
    let mut all: Vec<_> = sums.into_iter().collect();
    all.sort_by_key(|&(key, count)| (std::cmp::Reverse(count), key));
    all.into_iter().take(MAX_ENDPOINTS).map(|(key, _)| key).collect()
}

fn charts(recording: &Recording, ledger: &LossLedger) -> Result<String, ChartError> {
    let start = recording.header.start;
    let end = seconds(recording.header.at, start);
    let width = ledger.traffic.width() as f64 / SECOND as f64;
    let mut weights: BTreeMap<Nanos, (f64, f64)> = BTreeMap::new();
    for (at, _, traffic) in ledger.traffic.rows_between(0, Nanos::MAX) {
        let sum = weights.entry(at).or_default();
        *sum = (sum.0 + traffic.offered as f64 / 1e6, sum.1 + traffic.earned as f64 / 1e6);
    }
    let line = |of: fn(&(f64, f64)) -> f64| -> Points {
        weights.iter().map(|(at, sums)| (seconds(*at, start), of(sums) / width)).collect()
    };
    let both = [("asked".to_owned(), line(|sums| sums.0)), ("earned".to_owned(), line(|sums| sums.1))];
    let mut out = line_chart("Worth a second", "worth", &both, end)?;
    let (mut limits, mut rows) = (Vec::new(), Vec::new());
    let width = ledger.endpoints.width() as f64 / SECOND as f64;
    for (pool, id) in busiest_endpoints(ledger) {
        let name = recording.header.endpoint_name(pool, id);
        let slots = || {
            let own = move |key: &crate::loss_ledger::EndpointKey| (key.pool, key.endpoint) == (pool, id);
            ledger.endpoints.rows_between(0, Nanos::MAX).filter(move |(_, key, _)| own(key))
        };
        let points = slots().filter(|(_, _, row)| row.concurrency_limit > 0.0);
        limits.push((
            name.clone(),
            points.map(|(at, _, row)| (seconds(at, start), f64::from(row.concurrency_limit))).collect(),
        ));
        let slots = slots().map(|(at, _, row)| {
            let from = seconds(at, start);
            let failed_share = 1.0 - row.attempts_by_outcome[0] as f64 / row.attempts().max(1) as f64;
            let failed_share = if row.attempts() == 0 { 0.0 } else { failed_share };
            EndpointSlot { from, to: from + width, failed_share, ejected: row.ejected_us as f64 / 1e6 }
        });
        rows.push((name, slots.collect()));
    }
    out += &line_chart("Limits of the busiest servers", "places", &limits, end)?;
    out += "<p>Servers: green answered, red in part not; black below: set aside.</p>";
    out += &endpoint_chart(&rows, end)?;
    Ok(out)
}

/// Renders the report. If a chart can't be drawn, the error takes the place of all charts.
#[must_use]
pub fn write(recording: &Recording) -> String {
    let title = escape_html(&format!("pumicehead {}", recording.header.node));
    let mut out = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title>\
         <style>body{{font:14px/1.4 sans-serif;margin:1.5em auto;max-width:1020px;color:#222}}\
         pre{{background:#f6f6f6;padding:.7em;overflow-x:auto}}svg{{max-width:100%;height:auto}}</style>\
         <h1>{title}</h1><p>{}</p>",
        escape_html(&recording.header.reason)
    );
    if let Some(damage) = recording.damage {
        out += &format!(
            "<p>Recording is damaged from byte {} of {}; only the data before it is shown.</p>",
            damage.offset, damage.file_size
        );
    }
    if let Some(ledger) = &recording.ledger {
        out += "<h2>Causes</h2><ol>";
        for finding in findings::find(&recording.header, ledger, 0, Nanos::MAX).iter().take(8) {
            out += &format!("<li>lost {:.1}: {}</li>", finding.lost as f64 / 1e6, escape_html(&finding.text));
        }
        out += "</ol><h2>The day</h2>";
        out += &charts(recording, ledger).unwrap_or_else(|error| {
            format!("<p>Chart could not be drawn: {}</p>", escape_html(&error.to_string()))
        });
        let breakdown = Breakdown::of_ledger(&recording.header, ledger, 0, Nanos::MAX);
        out += &format!("<h2>What was lost</h2><pre>{}</pre>", escape_lines(&breakdown.to_string()));
    }
    out += "<h2>Some requests</h2>";
    for timeline in recording.timelines.iter().filter(|timeline| timeline.cause.is_some()).take(MAX_TIMELINES)
    {
        out += &format!("<pre>{}</pre>", escape_lines(&timeline_text::render(&recording.header, timeline)));
    }
    out + "</html>\n"
}

/// Escapes text for HTML but keeps its line breaks.
fn escape_lines(text: &str) -> String {
    text.lines().map(escape_html).collect::<Vec<_>>().join("\n")
}
