//! Case 9: bad clients stop in the head of a request, stay, and come again as soon as they are turned away. Usual
//! clients' requests wait unread in the listening socket, and that wait is not counted as part of their time.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::support::{
    Backend, Case, Client, Discovery, Message, Node, NodeConfig, Verdict, answer_200, free_address, ms,
    new_id, request, settings, unix_ms,
};

const BACKENDS: usize = 10;
const WORK_MS: u64 = 150;
const MEMORY_MB: u64 = 64;
const SOCKETS: u64 = 256;
const BAD_CLIENTS: usize = 600;
/// So many bytes of a head are sent.
const HEAD_BYTES: usize = 60;
const TIME_LEFT_MS: u64 = 1000;
/// STANDING: up to half a second after its time an answer only earns nothing. PROTOCOL: each time limit is 50 ms longer.
const LOST_AFTER_MS: u64 = TIME_LEFT_MS + 500 + 50;
const REQUEST_EVERY_MS: u64 = 25;
const LENGTH_MS: u64 = 30_000;

struct Answer {
    id: String,
    sent: Instant,
    took: Duration,
    result: Result<u16, String>,
}

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let backends: Vec<_> = (0..BACKENDS)
        .map(|number| {
            let handler = |_: &Message, stream: &mut TcpStream| {
                thread::sleep(ms(WORK_MS));
                stream.write_all(&answer_200(b"done"))?;
                Ok(true)
            };
            Backend::start(&format!("s-{number:08x}"), Arc::new(handler))
        })
        .collect();
    let discovery = Discovery::start(backends.iter().map(Backend::entry).collect());
    let config = NodeConfig {
        name: "n0".into(),
        number: 0,
        nodes: 1,
        listen: free_address(),
        discovery: discovery.address,
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
        seed: unix_ms(),
        known: discovery.known(),
        settings: settings(600, 1200),
    };
    let mut node = match Node::start(&case.folder, &config) {
        Ok(node) => node,
        Err(error) => return Verdict::CouldNotRun(format!("the node was not started: {error}")),
    };
    if !node.wait_ready(ms(10_000)) {
        return Verdict::CouldNotRun("the node was not ready within 10 s".into());
    }
    let address = node.address;
    let (stop, turned_away) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let mut threads = Vec::new();
    for _ in 0..if case.trouble { BAD_CLIENTS } else { 0 } {
        let (stop, turned_away) = (stop.clone(), turned_away.clone());
        threads.push(thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let Ok(mut client) = Client::connect(address) else {
                    thread::sleep(ms(20));
                    continue;
                };
                let bytes = request("POST", "run-submit", &new_id(), None, TIME_LEFT_MS, b"half");
                let _ = client.send(&bytes[..HEAD_BYTES]);
                let _ = client.receive(ms(5000));
                turned_away.fetch_add(1, Ordering::Relaxed);
            }
        }));
    }
    thread::sleep(ms(2000));
    let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
    let end = Instant::now() + ms(LENGTH_MS);
    while Instant::now() < end {
        let answers = answers.clone();
        threads.push(thread::spawn(move || {
            let id = new_id();
            let Ok(mut client) = Client::connect(address) else { return };
            if client.send(&request("POST", "run-submit", &id, None, TIME_LEFT_MS, b"run")).is_err() {
                return;
            }
            let sent = Instant::now();
            let result =
                client.receive(ms(10_000)).map(|answer| answer.status).map_err(|error| error.to_string());
            answers.lock().unwrap().push(Answer { id, sent, took: sent.elapsed(), result });
        }));
        thread::sleep(ms(REQUEST_EVERY_MS));
    }
    stop.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|thread| drop(thread.join()));
    if let Some(status) = node.ended() {
        return Verdict::CouldNotRun(format!("the node has ended: {status}"));
    }
    let mut answers = answers.lock().unwrap();
    answers.sort_by_key(|answer| answer.sent);
    let (mut served, mut lost) = (0, 0);
    for answer in answers.iter() {
        // A connection that is shut unread is allowed where idle clients fill the descriptors; it is not counted.
        let is_lost = answer.took > ms(LOST_AFTER_MS) && answer.result.is_ok();
        let mark = if is_lost { ": LOST" } else { "" };
        record.line(format!(
            "id {} last byte written {:.3}, {:?} after {} ms{mark}",
            answer.id,
            record.at(answer.sent),
            answer.result,
            answer.took.as_millis()
        ));
        lost += usize::from(is_lost);
        served += usize::from(matches!(answer.result, Ok(200)));
    }
    let longest = answers.iter().map(|answer| answer.took.as_millis()).max().unwrap_or(0);
    record.say(format!(
        "{} requests with {TIME_LEFT_MS} ms: {served} served; the longest took {longest} ms; answered over {LOST_AFTER_MS} ms late, so lost: {lost}; bad clients turned away {} times",
        answers.len(),
        turned_away.load(Ordering::Relaxed)
    ));
    if answers.len() < 200 {
        Verdict::CouldNotRun("too few requests".into())
    } else if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
