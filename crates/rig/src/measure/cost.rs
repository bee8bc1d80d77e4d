//! What the node costs beside a relay that only forwards bytes, which is the least that any proxy can cost, and how
//! that grows with servers and connections.

use std::fmt::Write as _;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;
use std::{fs, thread};

use pumicehead_load::engine::{Progress, Protocol, Setup, run};
use pumicehead_load::mix::{Mix, Plan};
use pumicehead_load::outcome::End;
use pumicehead_load::report::Summary;
use pumicehead_load::schedule::{Arrivals, Schedule};
use pumicehead_load::shape::Shape;
use pumicehead_load::{Nanos, SECOND};

use super::Plan as Run;
use crate::program::{Standalone, Tool, build, build_node, cpu_seconds, memory, temporary};
use crate::report::Report;

/// Load at which costs are compared, a second: well under what one core does.
const RATE: f64 = 4_000.0;
/// How long each is asked.
const SPAN: Nanos = 2 * SECOND;
/// Rates at which the highest that is held is looked for.
const RATES: [f64; 7] = [8_000.0, 12_000.0, 16_000.0, 20_000.0, 25_000.0, 30_000.0, 40_000.0];
/// Numbers of servers and of connections.
const SERVERS: [usize; 4] = [10, 50, 250, 1_000];
const CONNECTIONS: [usize; 3] = [10, 1_000, 5_000];
/// The node may cost so many times the relay's processor time a request ...
const MOST_COST: f64 = 2.0;
/// ... and so many times more with the most servers than with the fewest.
const MOST_GROWTH: f64 = 1.1;
/// What p99 must stay inside, in microseconds: the aim of the quicker class.
const AIM_US: u64 = 600_000;
/// The core of what is measured. The generator has the others.
const CORE: usize = 0;

/// Runs it.
///
/// # Errors
/// Programs that do not build or start.
pub fn measure(plan: Run) -> io::Result<Report> {
    build_node()?;
    build("pumicehead-load")?;
    let mut report =
        Report::new("cost", &["what", "us cpu a request", "p50 us", "p99 us", "p99.9 us", "served %"]);
    let servers = servers(10)?;
    compare(plan, &servers, &mut report)?;
    growth(plan, &mut report)?;
    connections(&servers, &mut report)?;
    Ok(report)
}

/// A process with so many stand-in servers.
fn servers(count: usize) -> io::Result<Tool> {
    let mut arguments = vec!["stand-in".to_owned(), "--service".into(), "1ms".into()];
    arguments.extend((0..count).map(|_| "127.0.0.1:0".to_owned()));
    Tool::start("pumicehead-load", &arguments, None, count)
}

fn node(servers: &[SocketAddr]) -> io::Result<(Standalone, std::path::PathBuf)> {
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
    let node = Standalone::start_on(&file, 1, Some(CORE));
    Ok((node, file))
}

/// Asks a target at a rate; the results, and the processor time a request of a process in microseconds.
fn ask(
    plan: Run,
    target: SocketAddr,
    rate: f64,
    span: Nanos,
    pid: Option<u32>,
) -> io::Result<(Summary, f64)> {
    let schedule = Schedule::new(Shape::Constant(rate), Arrivals::Poisson, span, plan.seed);
    let drawn = Plan::drawn(schedule, Mix::default(), plan.seed);
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
    100.0 * summary.of_end(End::Served) as f64 / summary.classes[0].requests.max(1) as f64
}

fn row(report: &mut Report, name: &str, summary: &Summary, cost: Option<f64>) {
    let us = |share| summary.served_us(share).to_string();
    let cost = cost.map_or(String::new(), |cost| format!("{cost:.1}"));
    report.row(&[name.into(), cost, us(0.5), us(0.99), us(0.999), format!("{:.2}", served(summary))]);
}

fn compare(plan: Run, servers: &Tool, report: &mut Report) -> io::Result<()> {
    let targets = &servers.addresses;
    let mut arguments = vec!["relay".to_owned(), "127.0.0.1:0".into()];
    arguments.extend(targets.iter().map(ToString::to_string));
    let relay = Tool::start("pumicehead-load", &arguments, Some(CORE), 1)?;
    let (node, file) = node(targets)?;
    let span = if plan.long { 5 * SPAN } else { SPAN };
    // Limits are learned, connections come up.
    ask(plan, node.address(), RATE, SECOND, None)?;
    let (direct, _) = ask(plan, targets[0], RATE, span, None)?;
    let (relayed, relay_cost) = ask(plan, relay.addresses[0], RATE, span, Some(relay.pid()))?;
    let (through, node_cost) = ask(plan, node.address(), RATE, span, Some(node.pid()))?;
    row(report, &format!("direct, {RATE:.0}/s"), &direct, None);
    row(report, &format!("relay, {RATE:.0}/s"), &relayed, Some(relay_cost));
    row(report, &format!("node, {RATE:.0}/s"), &through, Some(node_cost));
    report.figure("relay_us", format!("{relay_cost:.1}"));
    report.figure("node_us", format!("{node_cost:.1}"));
    report.figure("cost_ratio", format!("{:.2}", node_cost / relay_cost.max(1e-9)));
    report.figure("p99_added_us", through.served_us(0.99).saturating_sub(direct.served_us(0.99)));
    report.claim(
        node_cost <= MOST_COST * relay_cost,
        format!("the node costs at most {MOST_COST} times the relay"),
    );
    for (name, target, figure) in [
        ("direct", targets[0], "direct_held"),
        ("relay", relay.addresses[0], "relay_held"),
        ("node", node.address(), "node_held"),
    ] {
        let mut held = RATE;
        for rate in RATES {
            let (summary, _) = ask(plan, target, rate, SECOND, None)?;
            let sound = summary.valid && served(&summary) >= 99.0 && summary.served_us(0.99) <= AIM_US;
            if !sound {
                let why = if summary.valid { "" } else { " (the generator's own bound)" };
                row(report, &format!("{name} breaks at {rate:.0}/s{why}"), &summary, None);
                break;
            }
            held = rate;
        }
        report.figure(figure, held);
    }
    let _ = fs::remove_file(file);
    Ok(())
}

fn growth(plan: Run, report: &mut Report) -> io::Result<()> {
    let mut costs = Vec::new();
    for count in SERVERS {
        let servers = servers(count)?;
        let (node, file) = node(&servers.addresses)?;
        ask(plan, node.address(), RATE, SECOND, None)?;
        let (summary, cost) = ask(plan, node.address(), RATE, SPAN, Some(node.pid()))?;
        row(report, &format!("node, {count} servers"), &summary, Some(cost));
        costs.push(cost);
        let _ = fs::remove_file(file);
    }
    let growth = costs[SERVERS.len() - 1] / costs[0].max(1e-9);
    report.figure("growth_servers", format!("{growth:.2}"));
    report.claim(
        growth <= MOST_GROWTH,
        format!("no growth beyond {MOST_GROWTH} from {} to {} servers", SERVERS[0], SERVERS[3]),
    );
    Ok(())
}

/// Memory of connections that stay open after an answer.
fn connections(servers: &Tool, report: &mut Report) -> io::Result<()> {
    let (node, file) = node(&servers.addresses)?;
    let mut open = Vec::new();
    let before = memory(node.pid());
    for count in CONNECTIONS {
        while open.len() < count {
            let mut stream = TcpStream::connect(node.address())?;
            stream.set_read_timeout(Some(Duration::from_secs(10)))?;
            stream.write_all(b"GET /boards/x HTTP/1.1\r\nHost: a\r\n\r\n")?;
            let _ = stream.read(&mut [0; 2_048])?;
            open.push(stream);
        }
        thread::sleep(Duration::from_millis(100));
        let each = memory(node.pid()).saturating_sub(before) / count as u64;
        report.row(&[format!("node, {count} connections: {each} bytes each")]);
        if count == CONNECTIONS[2] {
            report.figure("bytes_a_connection", each);
        }
    }
    let _ = fs::remove_file(file);
    Ok(())
}
