//! Case: while clients that stopped in the middle of a request hold all places, requests of usual clients on accepted
//! connections get no answer.

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
const MEMORY_MB: usize = 64;
const SOCKETS: usize = 512;
/// Usual clients, each with one connection: far under a third of the descriptors.
const CLIENTS: usize = 20;
/// Clients that send part of a request, stop and stay, all at once.
const STOPPING_CLIENTS: usize = 400;
/// Length of the body that such a client announces, and of the part that it sends.
const BODY: usize = 2_000;
const PART: usize = 1_000;
/// How long a usual client waits for an answer, and what STANDING and PROTOCOL add to that before the request is lost:
/// half a second, and 50 ms on sockets.
const TIME_LEFT_MS: u64 = 1_200;
const SLACK_MS: u64 = 550;
/// Time before the stopping clients come, and the time after that.
const BEFORE: Duration = Duration::from_secs(3);
const AFTER: Duration = Duration::from_secs(8);
/// Time to serve a request.
const SERVICE: Duration = Duration::from_millis(20);

fn main() -> ExitCode {
    exit(run())
}

fn run() -> Result<Verdict, String> {
    let record = Record::create("record.txt")?;
    let behaviour = Behaviour { service: SERVICE, copies: None };
    let backends = [Backend::start("s-1", behaviour, &record)?, Backend::start("s-2", behaviour, &record)?];
    let hosts = vec![host("s-1", backends[0].address, "cdmx"), host("s-2", backends[1].address, "cdmx")];
    let setup = Setup { discovery: discovery::start(&hosts)?, hosts, memory_mb: MEMORY_MB, sockets: SOCKETS };
    let node = Node::start(&setup, &record)?;
    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Mutex::new(BTreeMap::<String, usize>::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (stop, counts, record, address) =
                (stop.clone(), counts.clone(), record.clone(), node.address);
            thread::spawn(move || use_node(address, &stop, &counts, &record))
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
    record.say(format!("descriptors of the node at the end: {:?}", node.descriptors()));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let mut ends = BTreeMap::<String, usize>::new();
    for client in stopping {
        *ends.entry(client.join().map_err(|_| "a client failed")?).or_default() += 1;
    }
    let counts = counts.lock().unwrap();
    record.say(format!("ends of usual requests: {counts:?}"));
    record.say(format!("ends of the clients that stopped: {ends:?}"));
    if !node.is_running() {
        return Err("the node has ended".into());
    }
    let lost = counts.get(LOST).copied().unwrap_or(0);
    record.say(format!("usual requests lost: {lost}"));
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}

/// A request that was written to its last byte on an accepted connection, which stayed open, and that got no answer by
/// its time and the slack.
const LOST: &str = "no answer";

/// A usual client: one request after another, with a pause. Where the node has closed the connection with no answer, it
/// connects again for the next request; such a request counts neither as answered nor as lost.
fn use_node(
    address: SocketAddr,
    stop: &AtomicBool,
    counts: &Mutex<BTreeMap<String, usize>>,
    record: &Record,
) {
    let mut client = Client::new(address);
    while !stop.load(Ordering::SeqCst) {
        let id = new_id();
        let connection = if client.is_connected() { "its connection" } else { "a new connection" };
        record.line(format!("client sends run-submit {id} on {connection}"));
        let wait = Duration::from_millis(TIME_LEFT_MS + SLACK_MS);
        let end = client.ask("run-submit", &id, b"run 1:23.456", TIME_LEFT_MS, wait);
        let (text, time) = match end {
            End::Answered(answer, time) => (answer.status().to_string(), time),
            End::Closed(time) => ("closed".into(), time),
            End::Silent(time) => (LOST.to_owned(), time),
            End::NotConnected => ("not connected".into(), Duration::ZERO),
        };
        record.line(format!("client's run-submit {id}: {text} after {time:?}"));
        *counts.lock().unwrap().entry(text).or_default() += 1;
        thread::sleep(Duration::from_millis(100));
    }
}

/// A client that sends part of a request, stops, stays, and reads what it is sent. Returns how it ended.
fn stop_in_the_middle(address: SocketAddr, stop: &AtomicBool, record: &Record) -> String {
    let start = Instant::now();
    let Ok(mut stream) = TcpStream::connect(address) else { return "not connected".into() };
    let id = new_id();
    let mut request = head("run-submit", &id, TIME_LEFT_MS, BODY).into_bytes();
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
