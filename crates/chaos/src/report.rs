//! A run as one page: service by second and class, what each process and link was, and what was found.

use plotters::prelude::*;

use crate::check::{Find, Service, requests};
use crate::history::{EventKind, History, ProcessState, RequestClass};
use crate::scenario::Scenario;
use crate::{Nanos, SECOND};

const WIDTH: u32 = 960;
const HEIGHT: u32 = 300;
const BAND: u32 = 16;

/// Why there is no page.
#[derive(Debug, thiserror::Error)]
#[error("the plot: {0}")]
pub struct NoPlot(String);

fn no_plot(error: impl std::fmt::Display) -> NoPlot {
    NoPlot(error.to_string())
}

/// Writes the page; `why` is what the nodes' recordings say.
///
/// # Errors
/// A plot that can't be drawn.
pub fn page(scenario: &Scenario, history: &History, finds: &[Find], why: &str) -> Result<String, NoPlot> {
    let summary = Service::of(scenario, history);
    let span = history.events.last().map_or(1.0, |event| event.at as f64 / SECOND as f64).max(1.0);
    let mut out = String::from(
        "<!doctype html><meta charset=\"utf-8\"><title>storm</title><style>body{font:14px sans-serif;margin:2em;max-width:980px}\
         td,th{padding:2px 10px;text-align:left}.bad{color:#b00020}</style>",
    );
    out += &format!(
        "<h1>{}</h1><p>seed {}, {} requests; ",
        escaped(&scenario.name),
        scenario.seed,
        summary.asked
    );
    out += &match finds.len() {
        0 => "all rules kept</p>".to_owned(),
        count => format!("<b class=\"bad\">{count} finds</b></p>"),
    };
    let percent = |share: f64| format!("{:.1}%", share * 100.0);
    out += &format!(
        "<table><tr><th>worth served<th>before<th>during<th>after<th>worst 1 s<th>5 s<th>10 s<th>recovered\
         <tr><td><td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{}</table>",
        percent(summary.served[0]),
        percent(summary.served[1]),
        percent(summary.served[2]),
        percent(summary.worst[0]),
        percent(summary.worst[1]),
        percent(summary.worst[2]),
        summary.recovered_s.map_or("no".to_owned(), |after| format!("{after:.0} s")),
    );
    out += &service(history, span)?;
    out += &bands(scenario, history, span)?;
    out += "<h2>Found</h2><table>";
    for find in finds.iter().take(500) {
        let at = find.at as f64 / SECOND as f64;
        out += &format!("<tr><td>{at:.3} s<td>{}<td>{}", escaped(&find.checker), escaped(&find.text));
    }
    out += if finds.is_empty() { "</table><p>nothing</p>" } else { "</table>" };
    if !why.is_empty() {
        out += &format!("<h2>Why, by the nodes' recordings</h2><pre>{}</pre>", escaped(why));
    }
    Ok(out)
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Shares served by second, of each class.
fn service(history: &History, span: f64) -> Result<String, NoPlot> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH, HEIGHT)).into_drawing_area();
        area.fill(&WHITE).map_err(no_plot)?;
        let mut chart = ChartBuilder::on(&area)
            .caption("served, by second asked (%)", ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(40)
            .build_cartesian_2d(0.0..span, 0.0..105.0)
            .map_err(no_plot)?;
        chart.configure_mesh().x_desc("s").draw().map_err(no_plot)?;
        let all = requests(history);
        for (class, name, colour) in
            [(RequestClass::Read, "reads", BLUE), (RequestClass::Submit, "submits", RED)]
        {
            let mut seconds = vec![(0u32, 0u32); span as usize + 1];
            for asked in all.iter().filter(|asked| asked.class == class) {
                if let Some(second) = seconds.get_mut((asked.at / SECOND) as usize) {
                    second.0 += 1;
                    second.1 += u32::from(asked.end.is_some_and(|(_, end)| end.is_served()));
                }
            }
            let points = seconds.iter().enumerate().filter(|(_, (asked, _))| *asked > 0);
            let points = points.map(|(at, (asked, served))| {
                (at as f64 + 0.5, 100.0 * f64::from(*served) / f64::from(*asked))
            });
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))
                .map_err(no_plot)?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .border_style(BLACK)
            .background_style(WHITE)
            .draw()
            .map_err(no_plot)?;
        area.present().map_err(no_plot)?;
    }
    Ok(svg)
}

/// A band for each node and server (down, still, ending) and each fault.
fn bands(scenario: &Scenario, history: &History, span: f64) -> Result<String, NoPlot> {
    let (nodes, servers) = (scenario.fleet.nodes, scenario.fleet.servers);
    let mut rows: Vec<String> = (0..nodes).map(|node| format!("node {node}")).collect();
    rows.extend((0..servers).map(|server| format!("server {server}")));
    rows.extend(scenario.fault.iter().map(crate::scenario::Fault::words));
    let height = rows.len() as u32 * BAND + 50;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH, height)).into_drawing_area();
        area.fill(&WHITE).map_err(no_plot)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(260)
            .build_cartesian_2d(0.0..span, rows.len() as f64 - 0.5..-0.5)
            .map_err(no_plot)?;
        let label = |y: &f64| {
            rows.get(y.round() as usize)
                .filter(|_| (y - y.round()).abs() < 0.01 && *y > -0.4)
                .cloned()
                .unwrap_or_default()
        };
        chart
            .configure_mesh()
            .disable_y_mesh()
            .y_labels(rows.len() + 1)
            .y_label_formatter(&label)
            .draw()
            .map_err(no_plot)?;
        for (row, from, to, colour) in spans(scenario, history) {
            let end = if to == Nanos::MAX { span } else { to as f64 / SECOND as f64 };
            let corners = [(from as f64 / SECOND as f64, row as f64 - 0.35), (end, row as f64 + 0.35)];
            chart.draw_series([Rectangle::new(corners, colour.filled())]).map_err(no_plot)?;
        }
        area.present().map_err(no_plot)?;
    }
    Ok(format!("{svg}<p>grey: down; orange: stands still; yellow: ends in order; blue: the fault</p>"))
}

/// Rows with what is not as usual, and its colour.
fn spans(scenario: &Scenario, history: &History) -> Vec<(usize, Nanos, Nanos, RGBColor)> {
    let (nodes, servers) = (scenario.fleet.nodes, scenario.fleet.servers);
    let mut open: std::collections::BTreeMap<usize, (Nanos, RGBColor)> = std::collections::BTreeMap::new();
    let mut all = Vec::new();
    for event in &history.events {
        let (row, colour) = match &event.kind {
            EventKind::NodeState { node, state } => (*node, shown(*state)),
            EventKind::EndpointState { server, state, .. } => (nodes + server, shown(*state)),
            EventKind::Fault { number, begins, .. } => {
                (nodes + servers + number, begins.then_some(RGBColor(120, 160, 220)))
            }
            _ => continue,
        };
        if let Some((from, colour)) = open.remove(&row) {
            all.push((row, from, event.at, colour));
        }
        open.extend(colour.map(|colour| (row, (event.at, colour))));
    }
    all.extend(open.into_iter().map(|(row, (from, colour))| (row, from, Nanos::MAX, colour)));
    all
}

fn shown(state: ProcessState) -> Option<RGBColor> {
    match state {
        ProcessState::Running | ProcessState::Resumed => None,
        ProcessState::Down => Some(RGBColor(120, 120, 120)),
        ProcessState::Paused => Some(RGBColor(240, 150, 40)),
        ProcessState::Stopping => Some(RGBColor(240, 220, 80)),
    }
}
