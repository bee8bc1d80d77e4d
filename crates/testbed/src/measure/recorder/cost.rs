//! Processor time of a request by the recorder's level.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::{fs, io};

use pumicehead_load_generator::engine::{Progress, Protocol, Setup, run};
use pumicehead_load_generator::mix::{Mix, Plan as RequestPlan};
use pumicehead_load_generator::schedule::{Arrivals, Schedule};
use pumicehead_load_generator::shape::Shape;
use pumicehead_load_generator::{Nanos, SECOND};

use super::SERVERS;
use super::node::{Admin, configuration};
use crate::measure::Plan;
use crate::program::{StandaloneNode, memory, temporary};
use crate::report::Report;
use crate::standin::{ServiceModel, StandIn};

/// Load under which the levels are compared, in requests per second.
const RATE: f64 = 4_000.0;
/// Length of a load at one level.
const SPAN: Nanos = SECOND / 4;
/// Rounds in which the levels take turns; the median of the rounds' ratios counts.
const ROUNDS: usize = 30;
/// Rounds of a long run.
const LONG_ROUNDS: usize = 4 * ROUNDS;
/// Most processor time of a request with the recorder on, as a multiple of that with the recorder off.
const MAX_RATIO: f64 = 1.03;
/// Levels of the admin command `RECORD`; the first is the baseline.
const LEVELS: [&str; 3] = ["off", "on", "full"];
const CLASSES: &str = "class read { aim 1200ms; deadline 6s; repeats safe }\n\
                       class submit { aim 600ms; deadline 1200ms; worth 10; repeats unsafe }";

pub(super) fn measure(plan: Plan, report: &mut Report) -> io::Result<()> {
    let work = ServiceModel { service_time: Duration::ZERO, response_bytes: 200 };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let servers = (0..SERVERS).map(|_| StandIn::start(any, work)).collect::<io::Result<Vec<_>>>()?;
    let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
    let file = temporary(".conf");
    fs::write(&file, configuration(&addresses, CLASSES, "descriptors 4000; held 20000"))?;
    let node = StandaloneNode::start_on(&file, 1, Some(0));
    let admin = Admin::of(&node);
    let memory_before = memory(node.pid());
    let costs = cost_by_level(plan, &node, admin)?;
    for (level, own) in LEVELS.iter().zip(&costs) {
        add_level(level, own, &costs[0], report);
    }
    report.figure("grown_bytes", memory(node.pid()).saturating_sub(memory_before));
    let metrics = admin.call("METRICS")?;
    let (used, limit) =
        (gauge(&metrics, "pumicehead_recorder_bytes"), gauge(&metrics, "pumicehead_recorder_most_bytes"));
    report.figure("recorder_bytes", used);
    report.claim(used <= limit, format!("the recorder uses at most {limit} bytes of memory: {used} bytes"));
    fs::remove_file(file)
}

/// Returns the processor time of a request in each round, in microseconds, by level.
fn cost_by_level(plan: Plan, node: &StandaloneNode, admin: Admin) -> io::Result<[Vec<f64>; LEVELS.len()]> {
    let mut costs: [Vec<f64>; LEVELS.len()] = Default::default();
    // Warm-up: limits settle and connections are opened.
    request_cost_us(plan, node)?;
    for round in 0..if plan.long { LONG_ROUNDS } else { ROUNDS } {
        // Each level comes first equally often, as the first of a round meets the machine in a different state.
        for turn in 0..LEVELS.len() {
            let level = (round + turn) % LEVELS.len();
            admin.call(&format!("RECORD {}", LEVELS[level]))?;
            costs[level].push(request_cost_us(plan, node)?);
        }
    }
    Ok(costs)
}

fn add_level(level: &str, costs: &[f64], baseline: &[f64], report: &mut Report) {
    let ratios: Vec<_> = costs.iter().zip(baseline).map(|(own, off)| own / off.max(1e-9)).collect();
    let ratio = median(&ratios);
    report.row(&[format!("recorder {level}"), format!("{:.2}", median(costs)), format!("{ratio:.3}")]);
    match level {
        "on" => {
            report.figure("on_ratio", format!("{ratio:.3}"));
            report.claim(
                ratio <= MAX_RATIO,
                format!("processor time with the recorder on is at most {MAX_RATIO} times that with the recorder off"),
            );
        }
        "full" => report.figure("full_ratio", format!("{ratio:.3}")),
        _ => report.figure("off_us", format!("{:.1}", median(costs))),
    }
}

/// Loads the node for [`SPAN`] and returns its processor time for a request, in microseconds.
fn request_cost_us(plan: Plan, node: &StandaloneNode) -> io::Result<f64> {
    let schedule = Schedule::new(Shape::Constant(RATE), Arrivals::Poisson, SPAN, plan.seed);
    let requests = RequestPlan::generated(schedule, Mix::default(), plan.seed);
    let setup = Setup {
        targets: vec![node.address()],
        protocol: Protocol::Http,
        threads: 2,
        connections: 500,
        closed: None,
        relaxed: false,
        seed: plan.seed,
    };
    let before = node.cpu_seconds();
    let results = run(&requests, &setup, &Arc::new(Progress::default()))?;
    Ok((node.cpu_seconds() - before) * 1e6 / results.requests().max(1) as f64)
}

/// A gauge of the metrics page; NaN where it is missing.
fn gauge(metrics: &str, name: &str) -> f64 {
    let value = metrics.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    value.and_then(|value| value.parse::<f64>().ok()).unwrap_or(f64::NAN)
}

fn median(values: &[f64]) -> f64 {
    let mut values = values.to_vec();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}
