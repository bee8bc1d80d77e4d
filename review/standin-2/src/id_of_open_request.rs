//! Case 6: a bad client sends the id of another client's open request, while that request waits in the node for memory.

use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use crate::support::{
    Backend, Case, Client, Message, Record, Verdict, answer_200, ms, new_id, request, settings, single_node,
};

const BACKENDS: usize = 40;
const CLIENTS: usize = 100;
const ROUNDS: usize = 12;
const BODY_BYTES: usize = 60_000;
/// Every so many usual requests a bad client sends the id of one.
const BAD_EVERY: usize = 5;
const BAD_BODY: &[u8] = b"bad";
const MEMORY_MB: u64 = 32;
const TIME_LEFT_MS: u64 = 3000;
/// How long a backend works on a long request, and on a short one.
const LONG_WORK_MS: u64 = 1000;
const SHORT_WORK_MS: u64 = 200;

/// A request that a backend has begun.
struct Run {
    backend: String,
    body_bytes: usize,
    at: Instant,
}

/// What became of a usual request and of the bad one under its id.
struct Exchange {
    id: String,
    /// When the last byte of the usual request was written, and when its answer or end came.
    sent: Instant,
    ended: Instant,
    status: u16,
    bad: Option<BadExchange>,
}

struct BadExchange {
    sent: Instant,
    ended: Instant,
    status: u16,
}

type Runs = Arc<Mutex<HashMap<String, Vec<Run>>>>;

fn backend(number: usize, runs: &Runs) -> Backend {
    let name = format!("s-{number:08x}");
    let (runs, own_name) = (runs.clone(), name.clone());
    let handler = move |message: &Message, stream: &mut TcpStream| {
        let body_bytes = message.body.len();
        let run = Run { backend: own_name.clone(), body_bytes, at: Instant::now() };
        let id = message.field("x-correlation-id").to_owned();
        runs.lock().unwrap().entry(id).or_default().push(run);
        thread::sleep(ms(if body_bytes > 1000 { LONG_WORK_MS } else { SHORT_WORK_MS }));
        stream.write_all(&answer_200(format!("ran {body_bytes} bytes").as_bytes()))?;
        Ok(true)
    };
    Backend::start(&name, Arc::new(handler))
}

/// A bad client's request under the id of a request that is open.
fn send_bad(address: std::net::SocketAddr, id: &str) -> BadExchange {
    let bytes = request("POST", "run-submit", id, None, TIME_LEFT_MS, BAD_BODY);
    let sent = Instant::now();
    let answer = Client::connect(address).and_then(|mut client| client.exchange(&bytes, ms(5000)));
    BadExchange { sent, ended: Instant::now(), status: answer.map_or(0, |answer| answer.status) }
}

pub fn run(case: &Case) -> Verdict {
    let runs = Runs::default();
    let backends: Vec<_> = (0..BACKENDS).map(|number| backend(number, &runs)).collect();
    let (_discovery, mut node) = match single_node(case, &backends, MEMORY_MB, settings(2000, 3000)) {
        Ok(started) => started,
        Err(verdict) => return verdict,
    };
    let address = node.address;
    let exchanges: Arc<Mutex<Vec<Exchange>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (exchanges, trouble) = (exchanges.clone(), case.trouble);
            thread::spawn(move || {
                let body = vec![b'x'; BODY_BYTES];
                thread::sleep(ms(5 * number as u64));
                for round in 0..ROUNDS {
                    let id = new_id();
                    let Ok(mut client) = Client::connect(address) else { continue };
                    if client.send(&request("POST", "run-submit", &id, None, TIME_LEFT_MS, &body)).is_err() {
                        continue;
                    }
                    let sent = Instant::now();
                    let bad = (trouble && (number + round) % BAD_EVERY == 0).then(|| {
                        let id = id.clone();
                        thread::spawn(move || {
                            thread::sleep(ms(20));
                            send_bad(address, &id)
                        })
                    });
                    let status = client.receive(ms(8000)).map_or(0, |answer| answer.status);
                    let ended = Instant::now();
                    let bad = bad.and_then(|bad| bad.join().ok());
                    exchanges.lock().unwrap().push(Exchange { id, sent, ended, status, bad });
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    if let Some(status) = node.ended() {
        return Verdict::CouldNotRun(format!("the node has ended: {status}"));
    }
    judge(&case.record, &exchanges.lock().unwrap(), &runs.lock().unwrap())
}

fn judge(record: &Record, exchanges: &[Exchange], runs: &HashMap<String, Vec<Run>>) -> Verdict {
    let (mut twice, mut served_bad, mut replaced) = (0, 0, 0);
    for exchange in exchanges {
        let own_runs = runs.get(&exchange.id).map_or(&[][..], Vec::as_slice);
        let runs_text: Vec<_> = own_runs
            .iter()
            .map(|run| format!("{} bytes at {} ({:.3})", run.body_bytes, run.backend, record.at(run.at)))
            .collect();
        let bad_text = exchange.bad.as_ref().map_or("none".to_owned(), |bad| {
            format!("sent {:.3} answered {} at {:.3}", record.at(bad.sent), bad.status, record.at(bad.ended))
        });
        record.line(format!(
            "id {} usual: last byte written {:.3} answered {} at {:.3}; bad: {bad_text}; ran: [{}]",
            exchange.id,
            record.at(exchange.sent),
            exchange.status,
            record.at(exchange.ended),
            runs_text.join(", ")
        ));
        twice += usize::from(own_runs.len() > 1);
        // Only bad requests that were sent and answered while the usual one was open.
        let is_served = exchange
            .bad
            .as_ref()
            .is_some_and(|bad| bad.status == 200 && bad.sent > exchange.sent && bad.ended < exchange.ended);
        served_bad += usize::from(is_served);
        let has_own_run = own_runs.iter().any(|run| run.body_bytes == BODY_BYTES);
        replaced += usize::from(is_served && !has_own_run);
    }
    record.say(format!("{} usual requests; ids that ran twice at backends: {twice}", exchanges.len()));
    record.say(format!(
        "bad requests under the id of an open request that were served: {served_bad}, of these in place of the usual one: {replaced}"
    ));
    if exchanges.len() < CLIENTS {
        Verdict::CouldNotRun("too few requests".into())
    } else if twice + served_bad > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
