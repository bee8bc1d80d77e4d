//! Case 10: all open watches fall silent, and discovery, which then has many callers, lets one call fail and answers the next
//! one late. A backend that begins to drain goes on getting new requests after the grace.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::support::{
    Backend, Case, Client, Entry, Message, Verdict, answer_200, ms, new_id, request, settings, single_node,
};

const BACKENDS: usize = 4;
const CLIENTS: usize = 12;
const MEMORY_MB: u64 = 64;
const WORK_MS: u64 = 100;
/// When the watches fall silent, after the node was ready.
const QUIET_MS: u64 = 4000;
/// When the drain begins, after the watches fell silent.
const DRAIN_AFTER_MS: u64 = 100;
/// STANDING: a change counts as told 6 s after discovery had it and could be reached. Settings: 2 s of grace. PROTOCOL:
/// each time limit is 50 ms longer.
const STOP_AFTER_DRAIN_MS: u64 = 6000 + 2000 + 50;
/// When the backend that drains ends; by then all nodes have to be done with it.
const GONE_AFTER_DRAIN_MS: u64 = STOP_AFTER_DRAIN_MS + 400;
/// How long discovery lets a call wait at most (BENCH: `timeout_ms`), and what the calls after the silence meet.
const CALLS: [(Duration, bool); 2] =
    [(Duration::from_millis(2000), false), (Duration::from_millis(1900), true)];

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
        let is_gone = || number == 0 && gone.load(Ordering::SeqCst);
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

fn client(address: std::net::SocketAddr, stop: &AtomicBool, failed: &Mutex<Vec<String>>) {
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
        thread::sleep(ms(60));
    }
}

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let gone = Arc::new(AtomicBool::new(false));
    let backends: Vec<_> = (0..BACKENDS).map(|number| backend(number, &runs, &gone)).collect();
    let (discovery, mut node) = match single_node(case, &backends, MEMORY_MB, settings(600, 1200)) {
        Ok(started) => started,
        Err(verdict) => return verdict,
    };
    let (stop, failed) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (stop, failed, address) = (stop.clone(), failed.clone(), node.address);
            thread::spawn(move || client(address, &stop, &failed))
        })
        .collect();
    thread::sleep(ms(QUIET_MS));
    // Something else changes, so that the node has just heard of discovery.
    discovery.set(Entry { block: 1, ..backends[3].entry() });
    thread::sleep(ms(50));
    let silent_at = Instant::now();
    if case.trouble {
        *discovery.next_calls.lock().unwrap() = CALLS.to_vec();
        discovery.silence_open_watches();
        record.line("the open watch falls silent");
    }
    thread::sleep(ms(DRAIN_AFTER_MS));
    let drain_at = Instant::now();
    discovery.set(Entry { health: "leaving", ..backends[0].entry() });
    record.line("discovery has the drain of s-00000000");
    thread::sleep(ms(GONE_AFTER_DRAIN_MS));
    gone.store(true, Ordering::SeqCst);
    record.line("s-00000000 ends");
    thread::sleep(ms(3000));
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    if let Some(status) = node.ended() {
        return Verdict::CouldNotRun(format!("the node has ended: {status}"));
    }
    for (at, path) in discovery.calls.lock().unwrap().iter() {
        record.line(format!("call of discovery at {:.3}: {path}", record.at(*at)));
    }
    let (runs, binding) = (runs.lock().unwrap(), drain_at + ms(STOP_AFTER_DRAIN_MS));
    let own: Vec<_> = runs.iter().filter(|run| run.backend == 0 && run.at >= silent_at).collect();
    for run in &own {
        let end = if run.is_cut { ", cut by its end" } else { "" };
        let late = if run.at > binding { ": LATE" } else { "" };
        record.line(format!("s-00000000 got {} at {:.3}{end}{late}", run.id, record.at(run.at)));
    }
    failed.lock().unwrap().iter().for_each(|line| record.line(format!("failed: {line}")));
    let late = own.iter().filter(|run| run.at > binding).count();
    let cut = own.iter().filter(|run| run.is_cut).count();
    let last = own
        .iter()
        .map(|run| run.at)
        .max()
        .map_or(0.0, |at| at.saturating_duration_since(drain_at).as_secs_f64());
    record.say(format!(
        "{} attempts in all; the backend that drains got its last one {last:.3} s after discovery had the drain (bound {:.3} s); late: {late}, of these cut by its end: {cut}",
        runs.len(),
        f64::from(STOP_AFTER_DRAIN_MS as u32) / 1000.0
    ));
    if runs.len() < 200 {
        Verdict::CouldNotRun("too few requests".into())
    } else if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
