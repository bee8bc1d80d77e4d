//! Case 10: all open watches fall silent. The nodes leave them late and then all call discovery, which works through calls in
//! turn. Backends that begin to drain go on getting new requests after the grace.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::support::{
    Backend, Case, Client, Discovery, Entry, Message, Node, NodeConfig, Verdict, answer_200, free_address,
    ms, new_id, request, settings, unix_ms,
};

const NODES: usize = 16;
/// Discovery can take a call from every node in this time (BENCH: `all_call_s`, 2 to 8 s).
const ALL_CALLS: Duration = ms(5000);
const BACKENDS: usize = 4;
/// A quarter of the backends drain.
const DRAINING: usize = BACKENDS / 4;
const CLIENTS_PER_NODE: usize = 2;
const PAUSE_MS: u64 = 60;
const WORK_MS: u64 = 60;
/// When the drain begins, after the watches fell silent.
const DRAIN_AFTER_MS: u64 = 100;
/// STANDING: a change counts as told 6 s after discovery had it and could be reached. Settings: 2 s of grace. PROTOCOL:
/// each time limit is 50 ms longer.
const STOP_AFTER_DRAIN_MS: u64 = 6000 + 2000 + 50;
/// When the backends that drain end; by then all nodes have long to be done with them.
const GONE_AFTER_DRAIN_MS: u64 = 9000;

/// An attempt at a backend.
struct Run {
    backend: usize,
    id: String,
    at: Instant,
    is_cut: bool,
}

fn backend(number: usize, runs: &Arc<Mutex<Vec<Run>>>, gone: &Arc<AtomicBool>) -> Backend {
    let (runs, gone) = (runs.clone(), gone.clone());
    let handler = move |message: &Message, stream: &mut TcpStream| {
        let is_gone = || number < DRAINING && gone.load(Ordering::SeqCst);
        if is_gone() {
            return Ok(false);
        }
        let id = message.field("x-correlation-id").to_owned();
        let index = {
            let mut runs = runs.lock().unwrap();
            runs.push(Run { backend: number, id, at: Instant::now(), is_cut: false });
            runs.len() - 1
        };
        thread::sleep(ms(WORK_MS));
        if is_gone() {
            runs.lock().unwrap()[index].is_cut = true;
            return Ok(false);
        }
        stream.write_all(&answer_200(b"done"))?;
        Ok(true)
    };
    Backend::start(&format!("s-{number:08x}"), Arc::new(handler))
}

fn client(address: SocketAddr, stop: &AtomicBool, failed: &Mutex<Vec<String>>) {
    let mut connection: Option<Client> = None;
    while !stop.load(Ordering::Relaxed) {
        if connection.is_none() {
            connection = Client::connect(address).ok();
        }
        let Some(open) = connection.as_mut() else {
            thread::sleep(ms(50));
            continue;
        };
        let id = new_id();
        let answer = open.exchange(&request("POST", "run-submit", &id, None, 1200, b"run"), ms(3000));
        let status = answer.as_ref().map_or(0, |answer| answer.status);
        if !matches!(status, 200 | 429 | 503) {
            failed.lock().unwrap().push(format!("{id} status {status}"));
        }
        if !answer.is_ok_and(|answer| answer.field("connection") != "close") {
            connection = None;
        }
        thread::sleep(ms(PAUSE_MS));
    }
}

fn start_nodes(case: &Case, discovery: &Discovery) -> Result<Vec<Node>, Verdict> {
    let nodes: Result<Vec<_>, _> = (0..NODES)
        .map(|number| {
            let config = NodeConfig {
                name: format!("n{number}"),
                number,
                nodes: NODES,
                listen: free_address(),
                discovery: discovery.address,
                memory_mb: 64,
                sockets: 256,
                seed: unix_ms() * 64 + number as u64,
                known: discovery.known(),
                settings: settings(600, 1200),
            };
            Node::start(&case.folder, &config)
        })
        .collect();
    let nodes = nodes.map_err(|error| Verdict::CouldNotRun(format!("a node was not started: {error}")))?;
    if !nodes.iter().all(|node| node.wait_ready(ms(10_000))) {
        return Err(Verdict::CouldNotRun("a node was not ready within 10 s".into()));
    }
    let until = Instant::now() + ms(20_000);
    while discovery.opened() < NODES as u64 {
        if Instant::now() > until {
            return Err(Verdict::CouldNotRun("not every node has a watch".into()));
        }
        thread::sleep(ms(20));
    }
    Ok(nodes)
}

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let gone = Arc::new(AtomicBool::new(false));
    let backends: Vec<_> = (0..BACKENDS).map(|number| backend(number, &runs, &gone)).collect();
    let entries = backends.iter().map(Backend::entry).collect();
    let discovery = Discovery::with_capacity(entries, ALL_CALLS / NODES as u32);
    let mut nodes = match start_nodes(case, &discovery) {
        Ok(nodes) => nodes,
        Err(verdict) => return verdict,
    };
    record.line(format!("{NODES} nodes are ready, each has a watch"));
    let (stop, failed) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let clients: Vec<_> = (0..NODES * CLIENTS_PER_NODE)
        .map(|number| {
            let (stop, failed, address) = (stop.clone(), failed.clone(), nodes[number % NODES].address);
            thread::spawn(move || client(address, &stop, &failed))
        })
        .collect();
    thread::sleep(ms(3000));
    // Something else changes, so that the nodes have just heard of discovery.
    discovery.set(Entry { block: 1, ..backends[BACKENDS - 1].entry() });
    thread::sleep(ms(50));
    let silent_at = Instant::now();
    if case.trouble {
        discovery.silence_open_watches();
        record.line("all open watches fall silent");
    }
    thread::sleep(ms(DRAIN_AFTER_MS));
    let drain_at = Instant::now();
    for backend in &backends[..DRAINING] {
        discovery.set(Entry { health: "leaving", ..backend.entry() });
    }
    record.line(format!("discovery has the drain of the first {DRAINING} of {BACKENDS} backends"));
    thread::sleep(ms(GONE_AFTER_DRAIN_MS));
    gone.store(true, Ordering::SeqCst);
    record.line("the backends that drain end");
    thread::sleep(ms(3000));
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    if let Some(status) = nodes.iter_mut().find_map(Node::ended) {
        return Verdict::CouldNotRun(format!("a node has ended: {status}"));
    }
    for (at, text) in discovery.calls.lock().unwrap().iter() {
        record.line(format!("call of discovery at {:.3}: {text}", record.at(*at)));
    }
    let (runs, binding) = (runs.lock().unwrap(), drain_at + ms(STOP_AFTER_DRAIN_MS));
    let own: Vec<_> = runs.iter().filter(|run| run.backend < DRAINING && run.at >= silent_at).collect();
    for run in &own {
        let end = if run.is_cut { ", cut by its end" } else { "" };
        let late = if run.at > binding { ": LATE" } else { "" };
        record.line(format!("s-{:08x} got {} at {:.3}{end}{late}", run.backend, run.id, record.at(run.at)));
    }
    failed.lock().unwrap().iter().for_each(|line| record.line(format!("failed: {line}")));
    let late = own.iter().filter(|run| run.at > binding).count();
    let cut = own.iter().filter(|run| run.is_cut).count();
    let last =
        own.iter().map(|run| run.at.saturating_duration_since(drain_at).as_secs_f64()).fold(0.0, f64::max);
    record.say(format!(
        "{} attempts in all; the last one at a backend that drains came {last:.3} s after discovery had the drain (bound {:.3} s); late: {late}, of these cut by the backend's end: {cut}",
        runs.len(),
        STOP_AFTER_DRAIN_MS as f64 / 1000.0
    ));
    if runs.len() < 1000 {
        Verdict::CouldNotRun("too few requests".into())
    } else if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
