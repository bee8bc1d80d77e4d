//! Case: clients that stop in the middle of a request take the node over its memory limit, so that it is killed.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_standin::backend::{Backend, Behaviour};
use review_standin::client::{Client, End, head, new_id};
use review_standin::node::{Node, Setup, host};
use review_standin::record::Record;
use review_standin::{Verdict, discovery, exit, has_trouble};

/// Limits of the node (LATER: 32 to 192 MB, 256 to 1,024 descriptors).
const MEMORY_MB: usize = 48;
const SOCKETS: usize = 640;
/// Usual clients, each with one connection: far under a third of the descriptors.
const CLIENTS: usize = 20;
/// Clients that send part of a request, stop and stay.
const STOPPING_CLIENTS: usize = 380;
/// Length of the body that such a client announces (PROTOCOL: at most 64 KiB), and of the part that it sends.
const BODY: usize = 64 << 10;
const PART: usize = 60_000;
/// Time before these clients come, and the time after that.
const BEFORE: Duration = Duration::from_secs(3);
const AFTER: Duration = Duration::from_secs(8);
/// Time to serve a request.
const SERVICE: Duration = Duration::from_millis(20);
/// Interval at which the platform looks at the node's memory.
const LOOK: Duration = Duration::from_millis(10);

fn main() -> ExitCode {
    exit(run())
}

fn run() -> Result<Verdict, String> {
    let record = Record::create("record.txt")?;
    let behaviour = Behaviour { service: SERVICE, copies: None };
    let backends = [Backend::start("s-1", behaviour, &record)?, Backend::start("s-2", behaviour, &record)?];
    let hosts = vec![host("s-1", backends[0].address, "cdmx"), host("s-2", backends[1].address, "cdmx")];
    let setup = Setup { discovery: discovery::start(&hosts)?, hosts, memory_mb: MEMORY_MB, sockets: SOCKETS };
    let node = Arc::new(Node::start(&setup, &record)?);
    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Mutex::new(BTreeMap::<String, usize>::new()));
    let platform = watch_memory(&node, &stop, &record);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (stop, counts, record, address) =
                (stop.clone(), counts.clone(), record.clone(), node.address);
            thread::spawn(move || use_node(address, number, &stop, &counts, &record))
        })
        .collect();
    thread::sleep(BEFORE);
    let mut stopping = Vec::new();
    if has_trouble() {
        record.line(format!(
            "{STOPPING_CLIENTS} clients come, send {PART} of {BODY} bytes of a body, and stop"
        ));
        for _ in 0..STOPPING_CLIENTS {
            let (address, stop, record) = (node.address, stop.clone(), record.clone());
            stopping.push(thread::spawn(move || stop_in_the_middle(address, &stop, &record)));
        }
    }
    thread::sleep(AFTER);
    stop.store(true, Ordering::SeqCst);
    let memory = platform.join().map_err(|_| "the platform failed")?;
    let ended_by_itself = !memory.killed && !node.is_running();
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let mut ends = BTreeMap::<String, usize>::new();
    for client in stopping {
        *ends.entry(client.join().map_err(|_| "a client failed")?).or_default() += 1;
    }
    record.say(format!("ends of usual requests: {:?}", counts.lock().unwrap()));
    record.say(format!("ends of the clients that stopped: {ends:?}"));
    record.say(format!(
        "memory of the node: {:.1} MB at most, limit {MEMORY_MB} MB; killed: {}; ended by itself: {ended_by_itself}",
        memory.peak as f64 / 1e6,
        memory.killed
    ));
    Ok(if memory.killed || ended_by_itself { Verdict::Broken } else { Verdict::Held })
}

/// What the platform saw.
struct Memory {
    /// Peak of the resident memory, in bytes.
    peak: usize,
    /// Whether the node was over its limit, and so was killed.
    killed: bool,
}

/// The platform: kills the node once it is over its memory limit (DEPLOY).
fn watch_memory(node: &Arc<Node>, stop: &Arc<AtomicBool>, record: &Record) -> thread::JoinHandle<Memory> {
    let (node, stop, record) = (node.clone(), stop.clone(), record.clone());
    thread::spawn(move || {
        let mut memory = Memory { peak: 0, killed: false };
        let mut recorded = 0;
        while !stop.load(Ordering::SeqCst) && !memory.killed {
            let Some(bytes) = node.resident_bytes() else { break };
            memory.peak = memory.peak.max(bytes);
            if memory.peak > recorded + (1 << 20) {
                recorded = memory.peak;
                record.line(format!(
                    "memory of the node: {:.1} MB, descriptors: {:?}",
                    memory.peak as f64 / 1e6,
                    node.descriptors()
                ));
            }
            // The limit is taken in units of 1,048,576 bytes, the larger reading.
            if bytes > MEMORY_MB << 20 {
                record.say(format!(
                    "the node is over its limit with {:.1} MB: it is killed",
                    bytes as f64 / 1e6
                ));
                node.kill();
                memory.killed = true;
            }
            thread::sleep(LOOK);
        }
        memory
    })
}

/// A usual client: one request after another, with a pause.
fn use_node(
    address: SocketAddr,
    number: usize,
    stop: &AtomicBool,
    counts: &Mutex<BTreeMap<String, usize>>,
    record: &Record,
) {
    let mut client = Client::new(address);
    let class = if number % 2 == 0 { "board-read" } else { "run-submit" };
    let (left, body): (u64, &[u8]) =
        if class == "board-read" { (6000, b"") } else { (1200, b"run 1:23.456") };
    while !stop.load(Ordering::SeqCst) {
        let id = new_id();
        let end = client.ask(class, &id, body, left, Duration::from_millis(left + 550));
        let text = match end {
            End::Answered(answer, _) => answer.status().to_string(),
            End::Closed(_) => "closed".into(),
            End::Silent(_) => "no answer".into(),
            End::NotConnected => "not connected".into(),
        };
        record.line(format!("client's {class} {id}: {text}"));
        *counts.lock().unwrap().entry(text).or_default() += 1;
        thread::sleep(Duration::from_millis(100));
    }
}

/// A client that sends part of a request, stops, stays, and reads what it is sent. Returns how it ended.
fn stop_in_the_middle(address: SocketAddr, stop: &AtomicBool, record: &Record) -> String {
    let start = Instant::now();
    let Ok(mut stream) = TcpStream::connect(address) else { return "not connected".into() };
    let id = new_id();
    let mut request = head("run-submit", &id, 1200, BODY).into_bytes();
    request.resize(request.len() + PART, b'x');
    if stream.write_all(&request).is_err() {
        return "closed while writing".into();
    }
    let _ = stream.set_read_timeout(Some(Duration::from_millis(100)));
    let mut answer = [0; 512];
    while !stop.load(Ordering::SeqCst) {
        match stream.read(&mut answer) {
            Ok(count) => {
                let text = String::from_utf8_lossy(&answer[..count]).into_owned();
                let first = text.lines().next().unwrap_or("closed").to_owned();
                record.line(format!("client that stopped at {id}: `{first}` after {:?}", start.elapsed()));
                return first;
            }
            Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock) => {}
            Err(_) => return "closed".into(),
        }
    }
    "nothing".into()
}
