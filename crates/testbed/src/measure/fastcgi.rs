//! FastCGI compared with HTTP: whether all parity scenarios have the same result, the cost of a request over each pair of
//! protocols, and the memory of a thousand requests on one connection.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use pumicehead_fastcgi::record::Kind;

use super::Plan;
use crate::parity::{ObservedResult, compare_all, node_config_text, protocol_pairs};
use crate::program::{StandaloneNode, build_node};
use crate::report::Report;
use crate::scripted_backend::{Act, Protocol, ProtocolClient, ScriptedBackends, ScriptedRequest, served};

/// Clients that send one request after another.
const CLIENTS: usize = 8;
/// Length of the load on each pairing in a round.
const ROUND: Duration = Duration::from_millis(1_500);
/// Rounds in which the pairs are loaded in turn, so that noise of the machine affects all alike.
const ROUNDS: usize = 3;
/// Limit of the processor time of a request with FastCGI on both sides, as a multiple of that with HTTP.
const MAX_COST_RATIO: f64 = 1.2;
/// Open requests on one connection.
const MULTIPLEXED: u16 = 1_000;
/// Limit of the memory of the [`MULTIPLEXED`] requests, in bytes.
const MAX_MEMORY: u64 = 32 << 20;

/// Runs the measurement.
///
/// # Errors
/// A node that does not build.
pub fn measure(plan: Plan) -> io::Result<Report> {
    build_node()?;
    let mut report = Report::new("fastcgi", &["what", "http-http", "http-fcgi", "fcgi-http", "fcgi-fcgi"]);
    parity(&mut report);
    costs(plan, &mut report)?;
    memory(&mut report)?;
    Ok(report)
}

/// Final status, attempts and effects of each scenario under each pairing.
fn parity(report: &mut Report) {
    let results = compare_all();
    for scenario in &results {
        let cell = |seen: &ObservedResult| format!("{} / {} / {}", seen.status, seen.attempts, seen.effects);
        let mut row = vec![scenario.name.to_owned()];
        row.extend(scenario.observed.iter().map(cell));
        report.row(&row);
    }
    let differences: Vec<_> = results.iter().flat_map(|scenario| &scenario.differences).collect();
    report.figure("scenarios", results.len());
    report.figure("differences", differences.len());
    let first = differences.first().map_or("none", |first| first.as_str());
    report.claim(
        differences.is_empty(),
        format!("each scenario has the same result over all pairs of protocols; first difference: {first}"),
    );
}

/// Results of one pairing.
#[derive(Default)]
struct Cost {
    /// Latencies, in microseconds.
    took: Vec<u64>,
    /// Time under load, in seconds.
    seconds: f64,
    /// Processor time, in seconds.
    cpu: f64,
    /// Responses other than 200.
    not_served: usize,
}

fn costs(plan: Plan, report: &mut Report) -> io::Result<()> {
    let mut nodes = Vec::new();
    for (front, back) in protocol_pairs() {
        let boards =
            ScriptedBackends::new(Arc::new(|_: &ScriptedRequest| served("rank 1  0:01:02.345  runner\n")));
        let servers: Vec<_> = (0..4).map(|_| boards.start(back)).collect();
        nodes.push((front, StandaloneNode::start(&node_config_text(front, back, &servers, ""), 1)));
    }
    let mut costs: Vec<Cost> = nodes.iter().map(|_| Cost::default()).collect();
    for (front, node) in &nodes {
        // Warm-up: limits settle and connections are opened.
        load(*front, node, Duration::from_millis(500))?;
    }
    for _ in 0..ROUNDS * if plan.long { 5 } else { 1 } {
        for ((front, node), cost) in nodes.iter().zip(&mut costs) {
            let (cpu, start) = (node.cpu_seconds(), Instant::now());
            let load = load(*front, node, ROUND)?;
            cost.seconds += start.elapsed().as_secs_f64();
            cost.cpu += node.cpu_seconds() - cpu;
            cost.took.extend(load.latencies_us);
            cost.not_served += load.not_served;
        }
    }
    let mut row = |name: &str, figure: &dyn Fn(&mut Cost) -> f64, digits: usize| {
        let mut cells = vec![name.to_owned()];
        cells.extend(costs.iter_mut().map(|cost| format!("{:.digits$}", figure(cost))));
        report.row(&cells);
    };
    row("requests a second", &|cost| cost.took.len() as f64 / cost.seconds, 0);
    row("p50, us", &|cost| quantile(&mut cost.took, 0.5), 0);
    row("p99, us", &|cost| quantile(&mut cost.took, 0.99), 0);
    let each = |cost: &Cost| cost.cpu * 1e6 / cost.took.len().max(1) as f64;
    row("processor, us a request", &|cost| each(cost), 1);
    let (http, both) = (each(&costs[0]), each(&costs[3]));
    let ratio = both / http.max(1e-9);
    report.figure("cpu_us_http", format!("{http:.1}"));
    report.figure("cpu_us_fastcgi", format!("{both:.1}"));
    report.figure("cpu_ratio", format!("{ratio:.2}"));
    report.claim(
        ratio <= MAX_COST_RATIO,
        format!("processor time of a request with FastCGI on both sides is at most {MAX_COST_RATIO} times that with HTTP"),
    );
    let not_served: usize = costs.iter().map(|cost| cost.not_served).sum();
    report.claim(not_served == 0, format!("every request is served; requests not served: {not_served}"));
    Ok(())
}

fn quantile(list: &mut [u64], part: f64) -> f64 {
    list.sort_unstable();
    let place = (list.len() as f64 * part) as usize;
    list.get(place.min(list.len().saturating_sub(1))).copied().unwrap_or_default() as f64
}

/// Results of a load.
#[derive(Default)]
struct LoadResult {
    latencies_us: Vec<u64>,
    /// Responses other than 200.
    not_served: usize,
}

/// Loads a node for a span with [`CLIENTS`] connections.
fn load(front: Protocol, node: &StandaloneNode, span: Duration) -> io::Result<LoadResult> {
    let stopped = Arc::new(AtomicBool::new(false));
    let address = node.address();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let stopped = stopped.clone();
            thread::spawn(move || send_until_stopped(address, front, &stopped))
        })
        .collect();
    thread::sleep(span);
    stopped.store(true, Ordering::Relaxed);
    let mut all = LoadResult::default();
    for client in clients {
        let result = client.join().map_err(|_| io::Error::other("client thread panicked"))??;
        all.latencies_us.extend(result.latencies_us);
        all.not_served += result.not_served;
    }
    Ok(all)
}

fn send_until_stopped(address: SocketAddr, front: Protocol, stopped: &AtomicBool) -> io::Result<LoadResult> {
    let mut client = ProtocolClient::connect(address, front)?;
    let mut result = LoadResult::default();
    while !stopped.load(Ordering::Relaxed) {
        let start = Instant::now();
        let answer = client.ask("GET", "/boards/any", "X-Unit: 1\r\n", b"");
        result.latencies_us.push(start.elapsed().as_micros() as u64);
        result.not_served += usize::from(answer.status != 200);
    }
    Ok(result)
}

fn memory(report: &mut Report) -> io::Result<()> {
    let act = || Act::Later(Duration::from_millis(20), Box::new(served("rank 1")));
    let boards = ScriptedBackends::new(Arc::new(move |_: &ScriptedRequest| act())).multiplexing();
    let servers: Vec<_> = (0..4).map(|_| boards.start(Protocol::FastCgi)).collect();
    let node =
        StandaloneNode::start(&node_config_text(Protocol::FastCgi, Protocol::FastCgi, &servers, ""), 1);
    let mut client = ProtocolClient::connect(node.address(), Protocol::FastCgi)?;
    let _ = client.ask("GET", "/boards/any", "X-Unit: 1\r\n", b"");
    let before = node.peak_memory();
    for _ in 0..MULTIPLEXED {
        client.send("POST", "/runs/any", "X-Unit: 1\r\n", &[b'x'; 4_096])?;
    }
    // Each response ends with an EndRequest record after its output.
    let mut ends = 0;
    while ends < usize::from(MULTIPLEXED) {
        let records = client.records(1);
        if records.is_empty() {
            break;
        }
        ends += records.iter().filter(|record| record.kind == Kind::EndRequest).count();
    }
    let more = node.peak_memory().saturating_sub(before);
    let mib = |bytes: u64| format!("{:.1}", bytes as f64 / f64::from(1 << 20));
    report.row(&[
        "memory of 1,000 requests on one connection, MiB".into(),
        String::new(),
        String::new(),
        String::new(),
        mib(more),
    ]);
    report.figure("multiplexed_mib", mib(more));
    report.claim(ends == usize::from(MULTIPLEXED), "each of the multiplexed requests ends");
    report.claim(
        more <= MAX_MEMORY,
        format!("the multiplexed requests take at most {MAX_MEMORY} bytes of memory: {more} bytes"),
    );
    Ok(())
}
