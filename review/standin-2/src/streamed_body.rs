//! Case 10: the time of a request whose body of 64 KiB comes chunked begins anew when it is sent to a backend; where that backend
//! hangs, the answer comes late.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::support::{
    Backend, Case, Client, Message, Record, Verdict, answer_200, ms, new_id, request, settings, single_node,
};

const BACKENDS: usize = 10;
/// BRIEF: "Up to 20% of the board servers take requests and answer none for 5 to 25 s."
const HANGING: usize = 2;
const HANG_MS: u64 = 10_000;
const WORK_MS: u64 = 1000;
const MEMORY_MB: u64 = 128;
const CLIENTS: u64 = 200;
/// PROTOCOL: "Bodies hold at most 64 KiB".
const BODY_BYTES: usize = 64 << 10;
const TIME_LEFT_MS: u64 = 2400;
/// STANDING: up to half a second after its time an answer only earns nothing. PROTOCOL: each time limit is 50 ms longer.
const LOST_AFTER_MS: u64 = TIME_LEFT_MS + 500 + 50;
/// How long a client waits after a refusal.
const AFTER_REFUSAL_MS: u64 = 50;
/// Until the limits of the node have risen.
const WARM_UP_MS: u64 = 6000;

/// An attempt at a backend: which one, when its last byte had come, and the time that it told.
type Attempts = Arc<Mutex<HashMap<String, (usize, Instant, String)>>>;

struct Answer {
    id: String,
    sent: Instant,
    took: Duration,
    result: Result<u16, String>,
}

/// A request with a chunked body, in one chunk.
fn chunked_request(id: &str) -> Vec<u8> {
    let plain = request("POST", "run-submit", id, None, TIME_LEFT_MS, b"");
    let head = String::from_utf8_lossy(&plain).replace("Content-Length: 0", "Transfer-Encoding: chunked");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(format!("{BODY_BYTES:x}\r\n").as_bytes());
    bytes.resize(bytes.len() + BODY_BYTES, b'x');
    bytes.extend_from_slice(b"\r\n0\r\n\r\n");
    bytes
}

fn client(address: SocketAddr, stop: &AtomicBool, answers: &Mutex<Vec<Answer>>) {
    let mut connection: Option<Client> = None;
    while !stop.load(Ordering::Relaxed) {
        if connection.is_none() {
            connection = Client::connect(address).ok();
        }
        let Some(open) = connection.as_mut() else {
            thread::sleep(ms(20));
            continue;
        };
        let id = new_id();
        let begun = Instant::now();
        if open.send(&chunked_request(&id)).is_err() {
            connection = None;
            continue;
        }
        let sent = Instant::now();
        let answer = open.receive(ms(10_000));
        let took = sent.elapsed();
        let is_kept = answer.as_ref().is_ok_and(|answer| answer.field("connection") != "close");
        let result = answer.map(|answer| answer.status).map_err(|error| error.to_string());
        if matches!(result, Ok(429 | 503)) {
            thread::sleep(ms(AFTER_REFUSAL_MS));
        }
        // A request whose last byte was not written at once is left out: its time has begun later.
        if sent - begun <= ms(50) {
            answers.lock().unwrap().push(Answer { id, sent, took, result });
        }
        if !is_kept {
            connection = None;
        }
    }
}

pub fn run(case: &Case) -> Verdict {
    let hangs = Arc::new(AtomicBool::new(false));
    let attempts = Attempts::default();
    let backends: Vec<_> = (0..BACKENDS)
        .map(|number| {
            let (hangs, attempts) = (hangs.clone(), attempts.clone());
            let handler = move |message: &Message, stream: &mut TcpStream| {
                let id = message.field("x-correlation-id").to_owned();
                let told = message.field("x-time-left").to_owned();
                attempts.lock().unwrap().insert(id, (number, Instant::now(), told));
                thread::sleep(ms(WORK_MS));
                if number < HANGING && hangs.load(Ordering::SeqCst) {
                    // Never answered; the node gives the attempt up.
                    thread::sleep(ms(HANG_MS));
                    return Ok(false);
                }
                stream.write_all(&answer_200(b"done"))?;
                Ok(true)
            };
            Backend::start(&format!("s-{number:08x}"), Arc::new(handler))
        })
        .collect();
    let (_discovery, mut node) = match single_node(case, &backends, MEMORY_MB, settings(2000, 3000)) {
        Ok(started) => started,
        Err(verdict) => return verdict,
    };
    let (stop, answers) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (stop, answers, address) = (stop.clone(), answers.clone(), node.address);
            thread::spawn(move || {
                thread::sleep(ms(20 * number));
                client(address, &stop, &answers);
            })
        })
        .collect();
    thread::sleep(ms(WARM_UP_MS));
    if case.trouble {
        hangs.store(true, Ordering::SeqCst);
        case.record.line(format!("{HANGING} of {BACKENDS} backends hang"));
    }
    thread::sleep(ms(HANG_MS));
    hangs.store(false, Ordering::SeqCst);
    case.record.line("no backend hangs");
    thread::sleep(ms(4000));
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    if let Some(status) = node.ended() {
        return Verdict::CouldNotRun(format!("the node has ended: {status}"));
    }
    judge(&case.record, &mut answers.lock().unwrap(), &attempts.lock().unwrap())
}

fn judge(
    record: &Record,
    answers: &mut [Answer],
    attempts: &HashMap<String, (usize, Instant, String)>,
) -> Verdict {
    answers.sort_by_key(|answer| answer.sent);
    let (mut served, mut refused, mut lost) = (0, 0, 0);
    for answer in answers.iter() {
        let is_lost = answer.took > ms(LOST_AFTER_MS) || answer.result.is_err();
        let attempt =
            attempts.get(&answer.id).map_or("never sent to a backend".to_owned(), |(backend, at, told)| {
                let after = at.saturating_duration_since(answer.sent).as_millis();
                format!("at s-{backend:08x} after {after} ms, which was told {told}")
            });
        record.line(format!(
            "id {} last byte written {:.3}, time left {TIME_LEFT_MS} ms, {:?} after {} ms, {attempt}{}",
            answer.id,
            record.at(answer.sent),
            answer.result,
            answer.took.as_millis(),
            if is_lost { ": LOST" } else { "" }
        ));
        lost += usize::from(is_lost);
        served += usize::from(matches!(answer.result, Ok(200)));
        refused += usize::from(matches!(answer.result, Ok(429 | 503)));
    }
    let longest = answers.iter().map(|answer| answer.took.as_millis()).max().unwrap_or(0);
    record.say(format!(
        "{} requests with {TIME_LEFT_MS} ms: {served} served, {refused} refused; the longest took {longest} ms; lost (over {LOST_AFTER_MS} ms, or no answer): {lost}",
        answers.len()
    ));
    if answers.len() < 500 {
        Verdict::CouldNotRun("too few requests".into())
    } else if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
