//! Case: the second copy of an answer, some milliseconds late, is given to another request.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use review_standin::backend::{Backend, Behaviour, LateCopies, body};
use review_standin::client::{Client, End, new_id};
use review_standin::node::{Node, Setup, host};
use review_standin::record::Record;
use review_standin::{Verdict, delay, discovery, exit, has_trouble};

/// One-way delay between the node and its backends, in another site (BRIEF: 10 to 20 ms one way between sites).
const ONE_WAY: Duration = Duration::from_millis(10);
/// How much later a second copy is sent (STANDING: "some milliseconds late").
const LATE: Duration = Duration::from_millis(6);
/// One answer in this many is followed by a second copy.
const ONE_IN: usize = 10;
/// Clients, each with one connection.
const CLIENTS: usize = 16;
/// Time before the second copies begin, the time in which they are sent, and the time after that.
const BEFORE: Duration = Duration::from_secs(3);
const COPYING: Duration = Duration::from_secs(2);
const AFTER: Duration = Duration::from_secs(6);
/// Time to serve a request.
const SERVICE: Duration = Duration::from_millis(15);

fn main() -> ExitCode {
    exit(run())
}

fn run() -> Result<Verdict, String> {
    let record = Record::create("record.txt")?;
    let copies = Some(LateCopies { one_in: ONE_IN, delay: LATE });
    let behaviour = Behaviour { service: SERVICE, copies };
    let backends = [Backend::start("s-1", behaviour, &record)?, Backend::start("s-2", behaviour, &record)?];
    let mut hosts = Vec::new();
    for (backend, name) in backends.iter().zip(["s-1", "s-2"]) {
        hosts.push(host(name, delay::start(backend.address, ONE_WAY)?, "queretaro"));
    }
    let setup = Setup { discovery: discovery::start(&hosts)?, hosts, memory_mb: 64, sockets: 512 };
    let node = Node::start(&setup, &record)?;
    let (stop, foreign) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let counts = Arc::new(Mutex::new(BTreeMap::<String, usize>::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (stop, foreign, counts, record) =
                (stop.clone(), foreign.clone(), counts.clone(), record.clone());
            let address = node.address;
            thread::spawn(move || {
                let mut client = Client::new(address);
                let class = if number % 2 == 0 { "board-read" } else { "run-submit" };
                while !stop.load(Ordering::SeqCst) {
                    ask(&mut client, class, &foreign, &counts, &record);
                }
            })
        })
        .collect();
    thread::sleep(BEFORE);
    if has_trouble() {
        record.line("from now on some answers are followed by a second copy");
        backends.iter().for_each(|backend| backend.copies_on.store(true, Ordering::SeqCst));
    }
    thread::sleep(COPYING);
    backends.iter().for_each(|backend| backend.copies_on.store(false, Ordering::SeqCst));
    // The last copy that was decided on is sent by then.
    thread::sleep(10 * LATE);
    let during = foreign.lock().unwrap().len();
    record.line("no second copy is sent any more");
    thread::sleep(AFTER);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let copied: usize = backends.iter().map(|backend| backend.copied.load(Ordering::SeqCst)).sum();
    let mut run = BTreeMap::<String, usize>::new();
    for backend in &backends {
        backend.run.lock().unwrap().iter().for_each(|id| *run.entry(id.clone()).or_default() += 1);
    }
    let twice: Vec<_> = run.iter().filter(|(_, times)| **times > 1).map(|(id, _)| id.clone()).collect();
    record.say(format!("requests run by backends: {}; second copies sent: {copied}", run.len()));
    record.say(format!("requests run twice: {} {twice:?}", twice.len()));
    record.say(format!("ends of requests: {:?}", counts.lock().unwrap()));
    let foreign = foreign.lock().unwrap();
    record.say(format!(
        "requests that got the answer to another request: {} until the last second copy, {} after it",
        during,
        foreign.len() - during
    ));
    foreign.iter().for_each(|line| record.line(line));
    if !node.is_running() {
        return Err("the node has ended".into());
    }
    if has_trouble() && copied == 0 {
        return Err("no second copy was sent".into());
    }
    Ok(if foreign.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// Sends one request and checks its answer.
fn ask(
    client: &mut Client,
    class: &str,
    foreign: &Mutex<Vec<String>>,
    counts: &Mutex<BTreeMap<String, usize>>,
    record: &Record,
) {
    let id = new_id();
    let (left, sent): (u64, &[u8]) =
        if class == "board-read" { (6000, b"") } else { (1200, b"run 1:23.456") };
    record.line(format!("client sends {class} {id}"));
    let end = client.ask(class, &id, sent, left, Duration::from_millis(left + 550));
    let end = match end {
        End::Answered(answer, time) => {
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            record.line(format!("client got {} `{text}` for {id} after {time:?}", answer.status()));
            if answer.status() == 200 && text != body(&id) {
                foreign.lock().unwrap().push(format!("  {class} {id} was served with `{text}`"));
            }
            let wait = answer.header("retry-after").and_then(|text| text.parse().ok()).unwrap_or(0.0);
            thread::sleep(Duration::from_secs_f64(wait));
            answer.status().to_string()
        }
        End::Closed(time) => {
            record.line(format!("connection closed for {id} after {time:?}"));
            "closed".into()
        }
        End::Silent(time) => {
            record.line(format!("no answer for {id} after {time:?}"));
            "no answer".into()
        }
        End::NotConnected => "not connected".into(),
    };
    *counts.lock().unwrap().entry(end).or_default() += 1;
}
