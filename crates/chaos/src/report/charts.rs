//! Charts of a report, as SVG.

use std::collections::BTreeMap;

use plotters::prelude::*;

use super::ChartError;
use crate::check::client_requests;
use crate::history::{ClientOutcome, EventKind, History, ProcessState, RequestClass};
use crate::scenario::Scenario;
use crate::{Nanos, SECOND};

/// Width of all charts, in pixels.
const WIDTH: u32 = 960;
/// Height of the chart of service, in pixels.
const SERVICE_HEIGHT: u32 = 300;
/// Height of a row in the chart of states, in pixels.
const ROW_HEIGHT: u32 = 16;
/// Height of the axis below the rows, in pixels.
const STATE_AXIS_HEIGHT: u32 = 50;

const DOWN_COLOR: RGBColor = RGBColor(120, 120, 120);
const PAUSED_COLOR: RGBColor = RGBColor(240, 150, 40);
const STOPPING_COLOR: RGBColor = RGBColor(240, 220, 80);
const FAULT_COLOR: RGBColor = RGBColor(120, 160, 220);

/// Draws the share of successful requests by the second in which they were sent, with a line per class.
pub(super) fn service_chart(history: &History, duration_s: f64) -> Result<String, ChartError> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH, SERVICE_HEIGHT)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption("requests served (%), by second sent", ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(40)
            .build_cartesian_2d(0.0..duration_s, 0.0..105.0)?;
        chart.configure_mesh().x_desc("s").draw()?;
        let lines = [(RequestClass::Read, "reads", BLUE), (RequestClass::Submit, "submits", RED)];
        for (class, name, color) in lines {
            let points = served_percent_by_second(history, class, duration_s);
            chart
                .draw_series(LineSeries::new(points, color.stroke_width(2)))?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .border_style(BLACK)
            .background_style(WHITE)
            .draw()?;
        area.present()?;
    }
    Ok(svg)
}

/// Returns points of time in seconds and served share in percent, for all seconds in which requests were sent.
fn served_percent_by_second(history: &History, class: RequestClass, duration_s: f64) -> Vec<(f64, f64)> {
    #[derive(Clone, Default)]
    struct Second {
        requested: u32,
        served: u32,
    }
    let mut seconds = vec![Second::default(); duration_s as usize + 1];
    for request in client_requests(history).iter().filter(|request| request.class == class) {
        if let Some(second) = seconds.get_mut((request.started / SECOND) as usize) {
            second.requested += 1;
            second.served += u32::from(request.outcome().is_some_and(ClientOutcome::is_success));
        }
    }
    let with_requests = seconds.iter().enumerate().filter(|(_, second)| second.requested > 0);
    with_requests
        .map(|(at, second)| (at as f64 + 0.5, 100.0 * f64::from(second.served) / f64::from(second.requested)))
        .collect()
}

/// Draws a row for each node, endpoint and fault, with bars while a process does not run or a fault is active.
pub(super) fn state_chart(
    scenario: &Scenario,
    history: &History,
    duration_s: f64,
) -> Result<String, ChartError> {
    let rows = row_labels(scenario);
    let height = rows.len() as u32 * ROW_HEIGHT + STATE_AXIS_HEIGHT;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH, height)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(260)
            .build_cartesian_2d(0.0..duration_s, rows.len() as f64 - 0.5..-0.5)?;
        let label = |y: &f64| {
            rows.get(y.round() as usize)
                .filter(|_| (y - y.round()).abs() < 0.01 && *y > -0.4)
                .cloned()
                .unwrap_or_default()
        };
        chart.configure_mesh().disable_y_mesh().y_labels(rows.len() + 1).y_label_formatter(&label).draw()?;
        for bar in state_bars(scenario, history) {
            let end = if bar.to == Nanos::MAX { duration_s } else { bar.to as f64 / SECOND as f64 };
            let start = bar.from as f64 / SECOND as f64;
            let corners = [(start, bar.row as f64 - 0.35), (end, bar.row as f64 + 0.35)];
            chart.draw_series([Rectangle::new(corners, bar.color.filled())])?;
        }
        area.present()?;
    }
    Ok(format!("{svg}<p>grey: down; orange: paused; yellow: stopping; blue: fault active</p>"))
}

fn row_labels(scenario: &Scenario) -> Vec<String> {
    let nodes = (0..scenario.fleet.nodes).map(|node| format!("node {node}"));
    let endpoints = (0..scenario.fleet.endpoints).map(|endpoint| format!("server {endpoint}"));
    let faults = scenario.faults.iter().map(crate::fault_kind::Fault::describe);
    nodes.chain(endpoints).chain(faults).collect()
}

/// A bar in the chart of states.
struct StateBar {
    row: usize,
    from: Nanos,
    /// `Nanos::MAX` if the bar lasts until the end.
    to: Nanos,
    color: RGBColor,
}

fn state_bars(scenario: &Scenario, history: &History) -> Vec<StateBar> {
    let (nodes, endpoints) = (scenario.fleet.nodes, scenario.fleet.endpoints);
    let mut open: BTreeMap<usize, StateBar> = BTreeMap::new();
    let mut bars = Vec::new();
    for event in &history.events {
        let (row, color) = match &event.kind {
            EventKind::NodeState { node, state } => (*node, state_color(*state)),
            EventKind::EndpointState { endpoint, state, .. } => (nodes + endpoint, state_color(*state)),
            EventKind::Fault { index, begins, .. } => {
                (nodes + endpoints + index, begins.then_some(FAULT_COLOR))
            }
            _ => continue,
        };
        bars.extend(open.remove(&row).map(|bar| StateBar { to: event.at, ..bar }));
        if let Some(color) = color {
            open.insert(row, StateBar { row, from: event.at, to: Nanos::MAX, color });
        }
    }
    bars.extend(open.into_values());
    bars
}

fn state_color(state: ProcessState) -> Option<RGBColor> {
    match state {
        ProcessState::Running | ProcessState::Resumed => None,
        ProcessState::Down => Some(DOWN_COLOR),
        ProcessState::Paused => Some(PAUSED_COLOR),
        ProcessState::Stopping => Some(STOPPING_COLOR),
    }
}
