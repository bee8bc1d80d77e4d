//! FastCGI beside HTTP: whether all scenarios end alike, what a request costs over each pairing, and how much memory
//! a thousand requests on one connection take.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::Plan;
use crate::parity::{compare_all, pairings, text};
use crate::program::{Standalone, build_node};
use crate::report::Report;
use crate::scripted_backend::{Act, Protocol, ProtocolClient, ScriptedBackends, ScriptedRequest, served};

/// Clients that ask one request after another.
const CLIENTS: usize = 8;
/// How long each pairing is asked, a round.
const ROUND: Duration = Duration::from_millis(1_500);
/// Rounds in which the pairings take turns: a noisy moment meets them alike.
const ROUNDS: usize = 3;
/// FastCGI on both sides may cost so many times HTTP's processor time a request.
const MOST_COST: f64 = 1.2;
/// Requests that are open at once on one connection.
const MULTIPLEXED: u16 = 1_000;
/// Most memory that these may take, beside what the node takes by itself.
const MOST_MEMORY: u64 = 32 << 20;

/// Runs it.
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
    let (table, faults) = compare_all();
    for (name, seen) in &table {
        let mut row = vec![(*name).to_owned()];
        row.extend(seen.iter().map(|seen| format!("{} / {} / {}", seen.status, seen.attempts, seen.effects)));
        report.row(&row);
    }
    report.figure("scenarios", table.len());
    report.figure("differences", faults.len());
    let first = faults.first().cloned().unwrap_or_default();
    report.claim(faults.is_empty(), format!("all scenarios end alike; the first that does not: {first}"));
}

/// What one pairing took.
#[derive(Default)]
struct Cost {
    /// Latencies, in microseconds.
    took: Vec<u64>,
    seconds: f64,
    cpu: f64,
    odd: usize,
}

fn costs(plan: Plan, report: &mut Report) -> io::Result<()> {
    let mut nodes = Vec::new();
    for (front, back) in pairings() {
        let boards =
            ScriptedBackends::new(Arc::new(|_: &ScriptedRequest| served("rank 1  0:01:02.345  runner\n")));
        let servers: Vec<_> = (0..4).map(|_| boards.start(back)).collect();
        nodes.push((front, Standalone::start(&text(front, back, &servers, ""), 1)));
    }
    let mut costs: Vec<Cost> = nodes.iter().map(|_| Cost::default()).collect();
    for (front, node) in &nodes {
        // Limits are learned, and connections come up.
        load(*front, node, Duration::from_millis(500))?;
    }
    for _ in 0..ROUNDS * if plan.long { 5 } else { 1 } {
        for ((front, node), cost) in nodes.iter().zip(&mut costs) {
            let (cpu, start) = (node.cpu_seconds(), Instant::now());
            let (took, odd) = load(*front, node, ROUND)?;
            cost.seconds += start.elapsed().as_secs_f64();
            cost.cpu += node.cpu_seconds() - cpu;
            cost.took.extend(took);
            cost.odd += odd;
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
    report.claim(ratio <= MOST_COST, format!("FastCGI on both sides costs at most {MOST_COST} times HTTP"));
    let odd: usize = costs.iter().map(|cost| cost.odd).sum();
    report.claim(odd == 0, format!("every request is served; {odd} were not"));
    Ok(())
}

fn quantile(list: &mut [u64], part: f64) -> f64 {
    list.sort_unstable();
    let place = (list.len() as f64 * part) as usize;
    list.get(place.min(list.len().saturating_sub(1))).copied().unwrap_or_default() as f64
}

/// Asks a node for a time: latencies, and how many answers were other than 200.
fn load(front: Protocol, node: &Standalone, span: Duration) -> io::Result<(Vec<u64>, usize)> {
    let over = Arc::new(AtomicBool::new(false));
    let address = node.address();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let over = over.clone();
            thread::spawn(move || -> io::Result<(Vec<u64>, usize)> {
                let mut client = ProtocolClient::connect(address, front)?;
                let (mut took, mut odd) = (Vec::new(), 0);
                while !over.load(Ordering::Relaxed) {
                    let start = Instant::now();
                    let answer = client.ask("GET", "/boards/any", "X-Unit: 1\r\n", b"");
                    took.push(start.elapsed().as_micros() as u64);
                    odd += usize::from(answer.status != 200);
                }
                Ok((took, odd))
            })
        })
        .collect();
    thread::sleep(span);
    over.store(true, Ordering::Relaxed);
    let (mut all, mut odd) = (Vec::new(), 0);
    for client in clients {
        let (took, wrong) = client.join().map_err(|_| io::Error::other("a client failed"))??;
        all.extend(took);
        odd += wrong;
    }
    Ok((all, odd))
}

fn memory(report: &mut Report) -> io::Result<()> {
    let act = || Act::Later(Duration::from_millis(20), Box::new(served("rank 1")));
    let boards = ScriptedBackends::new(Arc::new(move |_: &ScriptedRequest| act())).multiplexing();
    let servers: Vec<_> = (0..4).map(|_| boards.start(Protocol::FastCgi)).collect();
    let node = Standalone::start(&text(Protocol::FastCgi, Protocol::FastCgi, &servers, ""), 1);
    let mut client = ProtocolClient::connect(node.address(), Protocol::FastCgi)?;
    let _ = client.ask("GET", "/boards/any", "X-Unit: 1\r\n", b"");
    let before = node.peak_memory();
    for _ in 0..MULTIPLEXED {
        client.send("POST", "/runs/any", "X-Unit: 1\r\n", &[b'x'; 4_096])?;
    }
    // Output ends, and ends of requests.
    let mut ends = 0;
    while ends < usize::from(MULTIPLEXED) {
        let records = client.records(1);
        if records.is_empty() {
            break;
        }
        ends += records
            .iter()
            .filter(|record| record.kind == pumicehead_fastcgi::record::Kind::EndRequest)
            .count();
    }
    let more = node.peak_memory().saturating_sub(before);
    let mib = |bytes: u64| format!("{:.1}", bytes as f64 / f64::from(1 << 20));
    report.row(&[
        "memory of 1,000 on one connection, MiB".into(),
        String::new(),
        String::new(),
        String::new(),
        mib(more),
    ]);
    report.figure("multiplexed_mib", mib(more));
    report.claim(ends == usize::from(MULTIPLEXED), "each of the multiplexed requests ends");
    report.claim(more <= MOST_MEMORY, "their memory keeps its bound");
    Ok(())
}
