//! Processor time of a request in the node, compared with a relay that only forwards bytes, the lower bound for any proxy, and
//! its growth with servers and connections.

use std::fmt::Write as _;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;
use std::{fs, thread};

use pumicehead_load_generator::engine::{Progress, Protocol, Setup, run};
use pumicehead_load_generator::mix::{Mix, Plan};
use pumicehead_load_generator::outcome::Outcome;
use pumicehead_load_generator::report::Summary;
use pumicehead_load_generator::schedule::{Arrivals, Schedule};
use pumicehead_load_generator::shape::Shape;
use pumicehead_load_generator::{Nanos, SECOND};

use super::Plan as Run;
use crate::program::{ListeningProgram, StandaloneNode, build, build_node, cpu_seconds, memory, temporary};
use crate::report::Report;

/// Load at which costs are compared, in requests per second; one core has capacity for much more.
const RATE: f64 = 4_000.0;
/// Length of a load on one target.
const SPAN: Nanos = SECOND * 6 / 10;
/// Rounds in which the targets are loaded in turn; the median counts. The speed of a shared machine varies from second to
/// second by more than the differences that are measured.
const ROUNDS: usize = 3;
/// The highest rate of the search, in requests per second.
const MAX_RATE: f64 = 64_000.0;
/// The search ends where the lowest rate that fails is within this ratio of the highest that does not.
const SEARCH_RATIO: f64 = 1.2;
/// Numbers of servers and of connections.
const SERVERS: [usize; 4] = [10, 50, 250, 1_000];
const CONNECTIONS: [usize; 3] = [10, 1_000, 5_000];
/// Limit of the processor time of a request in the node, as a multiple of the relay's.
const MAX_COST_RATIO: f64 = 2.0;
/// Limit of the growth of that time from the fewest servers to the most, as a ratio.
const MAX_GROWTH: f64 = 1.1;
/// Limit of the p99 latency in microseconds: the latency objective of the quicker class.
const LATENCY_OBJECTIVE_US: u64 = 600_000;
/// The core that the measured process is pinned to; the load generator has the others.
const CORE: usize = 0;

/// Runs the measurement.
///
/// # Errors
/// Programs that do not build or start.
pub fn measure(plan: Run) -> io::Result<Report> {
    build_node()?;
    build("pumicehead-load-generator")?;
    let mut report =
        Report::new("cost", &["what", "us cpu a request", "p50 us", "p99 us", "p99.9 us", "served %"]);
    let servers = servers(10)?;
    compare(plan, &servers, &mut report)?;
    growth(plan, &mut report)?;
    connections(plan, &servers, &mut report)?;
    Ok(report)
}

/// A target of a comparison, with its results.
struct LoadTarget {
    name: String,
    address: SocketAddr,
    pid: Option<u32>,
    /// Length of its warm-up, in multiples of [`SPAN`].
    warm: u64,
    /// Processor time of a request by round, in microseconds.
    costs: Vec<f64>,
    /// Results of the last round.
    last: Option<Summary>,
}

impl LoadTarget {
    fn new(name: String, address: SocketAddr, pid: Option<u32>) -> Self {
        Self { name, address, pid, warm: 1, costs: Vec::new(), last: None }
    }

    fn cost(&self) -> f64 {
        let mut costs = self.costs.clone();
        costs.sort_by(f64::total_cmp);
        costs.get(costs.len() / 2).copied().unwrap_or_default()
    }
}

/// Loads the targets in turn, round after round, and adds a row for each.
fn run_rounds(plan: Run, rounds: usize, all: &mut [LoadTarget], report: &mut Report) -> io::Result<()> {
    for target in &*all {
        // Warm-up: limits settle and connections are opened, more of them with a thousand servers.
        run_load(plan, target.address, RATE, SPAN * target.warm, None)?;
    }
    for _ in 0..rounds {
        for target in &mut *all {
            let (summary, cost) = run_load(plan, target.address, RATE, SPAN, target.pid)?;
            target.costs.push(cost);
            target.last = Some(summary);
        }
    }
    for target in &*all {
        if let Some(summary) = &target.last {
            row(report, &target.name, summary, target.pid.map(|_| target.cost()));
        }
    }
    Ok(())
}

/// Starts a process with `count` stand-in servers.
fn servers(count: usize) -> io::Result<ListeningProgram> {
    let mut arguments = vec!["stand-in".to_owned(), "--service".into(), "1ms".into()];
    arguments.extend((0..count).map(|_| "127.0.0.1:0".to_owned()));
    ListeningProgram::start("pumicehead-load", &arguments, None, count)
}

fn relay(targets: &[SocketAddr]) -> io::Result<ListeningProgram> {
    let mut arguments = vec!["relay".to_owned(), "127.0.0.1:0".into()];
    arguments.extend(targets.iter().map(ToString::to_string));
    ListeningProgram::start("pumicehead-load", &arguments, Some(CORE), 1)
}

fn node(servers: &[SocketAddr]) -> io::Result<(StandaloneNode, std::path::PathBuf)> {
    let mut text = String::from("listener public { address 127.0.0.1:0 }\npool boards {\n");
    for (n, address) in servers.iter().enumerate() {
        let _ = writeln!(text, "server s{n} {{ address {address} }}");
    }
    text.push_str(
        "}\nclass read { aim 1200ms; deadline 6s; repeats safe }\nclass submit { aim 600ms; deadline 1200ms; worth 10; repeats unsafe }\n\
         route submit { path /runs/**; method POST; class submit; pool boards }\n\
         route read { path /boards/**; class read; pool boards }\n\
         limits { descriptors 40000; held 20000 }\n",
    );
    let file = temporary(".conf");
    fs::write(&file, text)?;
    let node = StandaloneNode::start_on(&file, 1, Some(CORE));
    Ok((node, file))
}

/// Loads a target at a rate. Returns the results, and the processor time of a request in the process `pid`, in microseconds.
fn run_load(
    plan: Run,
    target: SocketAddr,
    rate: f64,
    span: Nanos,
    pid: Option<u32>,
) -> io::Result<(Summary, f64)> {
    let schedule = Schedule::new(Shape::Constant(rate), Arrivals::Poisson, span, plan.seed);
    let drawn = Plan::generated(schedule, Mix::default(), plan.seed);
    let setup = Setup {
        targets: vec![target],
        protocol: Protocol::Http,
        threads: 2,
        connections: 2_000,
        closed: None,
        relaxed: false,
        seed: plan.seed,
    };
    let before = pid.map_or(0.0, cpu_seconds);
    let tally = run(&drawn, &setup, &Arc::new(Progress::default()))?;
    let used = pid.map_or(0.0, cpu_seconds) - before;
    let summary = Summary::of("cost", span, &tally);
    Ok((summary, used * 1e6 / tally.requests().max(1) as f64))
}

fn served(summary: &Summary) -> f64 {
    100.0 * summary.count_of(Outcome::Served) as f64 / summary.classes[0].requests.max(1) as f64
}

fn row(report: &mut Report, name: &str, summary: &Summary, cost: Option<f64>) {
    let us = |share| summary.served_us(share).to_string();
    let cost = cost.map_or(String::new(), |cost| format!("{cost:.1}"));
    report.row(&[name.into(), cost, us(0.5), us(0.99), us(0.999), format!("{:.2}", served(summary))]);
}

fn compare(plan: Run, servers: &ListeningProgram, report: &mut Report) -> io::Result<()> {
    let targets = &servers.addresses;
    let relay = relay(targets)?;
    let (node, file) = node(targets)?;
    let mut all = [
        LoadTarget::new(format!("direct, {RATE:.0}/s"), targets[0], None),
        LoadTarget::new(format!("relay, {RATE:.0}/s"), relay.addresses[0], Some(relay.pid())),
        LoadTarget::new(format!("node, {RATE:.0}/s"), node.address(), Some(node.pid())),
    ];
    run_rounds(plan, if plan.long { 5 * ROUNDS } else { ROUNDS }, &mut all, report)?;
    let [direct, relayed, through] = &all;
    let (relay_cost, node_cost) = (relayed.cost(), through.cost());
    report.figure("relay_us", format!("{relay_cost:.1}"));
    report.figure("node_us", format!("{node_cost:.1}"));
    report.figure("cost_ratio", format!("{:.2}", node_cost / relay_cost.max(1e-9)));
    if let (Some(direct), Some(through)) = (&direct.last, &through.last) {
        for (share, figure) in [(0.5, "p50_added_us"), (0.99, "p99_added_us"), (0.999, "p999_added_us")] {
            report.figure(figure, through.served_us(share).saturating_sub(direct.served_us(share)));
        }
    }
    report.claim(
        node_cost <= MAX_COST_RATIO * relay_cost,
        format!(
            "processor time of a request in the node is at most {MAX_COST_RATIO} times that in the relay"
        ),
    );
    for (target, figure) in all.iter().zip(["direct_held", "relay_held", "node_held"]) {
        let held = max_sustained_rate(plan, target, report)?;
        report.figure(figure, format!("{held:.0}"));
    }
    let _ = fs::remove_file(file);
    Ok(())
}

/// Returns the highest rate at which a target's p99 is within [`LATENCY_OBJECTIVE_US`], by doubling and then bisection down to
/// [`SEARCH_RATIO`].
fn max_sustained_rate(plan: Run, target: &LoadTarget, report: &mut Report) -> io::Result<f64> {
    let (mut held, mut broken) = (RATE, f64::INFINITY);
    let mut breaks = None;
    while held < MAX_RATE && broken > SEARCH_RATIO * held {
        let rate = if broken.is_finite() { (held * broken).sqrt() } else { (2.0 * held).min(MAX_RATE) };
        let (summary, _) = run_load(plan, target.address, rate, SPAN / 2, None)?;
        if summary.valid && served(&summary) >= 99.0 && summary.served_us(0.99) <= LATENCY_OBJECTIVE_US {
            held = rate;
        } else {
            broken = rate;
            breaks = Some(summary);
        }
        // Lets requests in flight finish, which would otherwise count for the next rate.
        thread::sleep(Duration::from_millis(50));
    }
    let what = target.name.split(',').next().unwrap_or_default();
    if let Some(summary) = breaks {
        let why = if summary.valid { "" } else { " (limited by the load generator)" };
        row(report, &format!("{what} fails at {broken:.0}/s{why}"), &summary, None);
    }
    Ok(held)
}

fn growth(plan: Run, report: &mut Report) -> io::Result<()> {
    let servers = SERVERS.iter().map(|&count| servers(count)).collect::<io::Result<Vec<_>>>()?;
    let nodes = servers.iter().map(|servers| node(&servers.addresses)).collect::<io::Result<Vec<_>>>()?;
    let mut all: Vec<LoadTarget> = nodes
        .iter()
        .zip(SERVERS)
        .map(|((node, _), count)| {
            let target = LoadTarget::new(format!("node, {count} servers"), node.address(), Some(node.pid()));
            LoadTarget { warm: 1 + count as u64 / 300, ..target }
        })
        .collect();
    // Two relays show the cost of more sockets alone: one relay forwards to the fewest servers, the other to the most servers.
    let ends = [&servers[0], &servers[SERVERS.len() - 1]];
    let relays = ends.map(|servers| relay(&servers.addresses));
    for (relay, servers) in relays.iter().zip(ends) {
        let Ok(relay) = relay else { continue };
        let name = format!("relay, {} servers", servers.addresses.len());
        all.push(LoadTarget::new(name, relay.addresses[0], Some(relay.pid())));
    }
    run_rounds(plan, if plan.long { 5 * ROUNDS } else { ROUNDS }, &mut all, report)?;
    for (_, file) in &nodes {
        let _ = fs::remove_file(file);
    }
    let grown = |from: usize, to: usize| all[to].cost() / all[from].cost().max(1e-9);
    let growth = grown(0, SERVERS.len() - 1);
    report.figure("growth_servers", format!("{growth:.2}"));
    if all.len() == SERVERS.len() + 2 {
        report.figure("relay_growth_servers", format!("{:.2}", grown(SERVERS.len(), SERVERS.len() + 1)));
    }
    report.claim(
        growth <= MAX_GROWTH,
        format!(
            "processor time of a request grows at most {MAX_GROWTH} times from {} to {} servers",
            SERVERS[0], SERVERS[3]
        ),
    );
    Ok(())
}

/// Measures processor time and memory with idle client connections.
fn connections(plan: Run, servers: &ListeningProgram, report: &mut Report) -> io::Result<()> {
    let nodes = CONNECTIONS.iter().map(|_| node(&servers.addresses)).collect::<io::Result<Vec<_>>>()?;
    let (mut all, mut open, mut lines) = (Vec::new(), Vec::new(), Vec::new());
    for (&count, (node, _)) in CONNECTIONS.iter().zip(&nodes) {
        let before = memory(node.pid());
        for _ in 0..count {
            let mut stream = TcpStream::connect(node.address())?;
            stream.set_read_timeout(Some(Duration::from_secs(10)))?;
            stream.write_all(b"GET /boards/x HTTP/1.1\r\nHost: a\r\n\r\n")?;
            let _ = stream.read(&mut [0; 2_048])?;
            open.push(stream);
        }
        thread::sleep(Duration::from_millis(100));
        let each = memory(node.pid()).saturating_sub(before) / count as u64;
        lines.push(format!("node, {count} idle connections: {each} bytes for each connection"));
        if count == CONNECTIONS[CONNECTIONS.len() - 1] {
            report.figure("bytes_a_connection", each);
        }
        all.push(LoadTarget::new(
            format!("node, {count} connections beside"),
            node.address(),
            Some(node.pid()),
        ));
    }
    run_rounds(plan, if plan.long { 5 * ROUNDS } else { ROUNDS }, &mut all, report)?;
    for line in lines {
        report.row(&[line]);
    }
    for (_, file) in &nodes {
        let _ = fs::remove_file(file);
    }
    report.figure(
        "growth_connections",
        format!("{:.2}", all[CONNECTIONS.len() - 1].cost() / all[0].cost().max(1e-9)),
    );
    Ok(())
}
