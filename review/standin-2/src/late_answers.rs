//! Case 8: clients that write slowly take the memory for requests; others' requests wait unread, and that wait is not
//! counted as part of their time.

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

const BACKENDS: usize = 40;
const MEMORY_MB: u64 = 32;
const WORK_MS: u64 = 1000;
const SLOW_CLIENTS: u64 = 70;
/// A slow client writes so much at a time ...
const PIECE_BYTES: usize = 4096;
/// ... with this pause: 32 KiB a second.
const PAUSE_MS: u64 = 125;
const SLOW_BODY_BYTES: usize = 64 << 10;
const BODY_BYTES: usize = 56 << 10;
const TIME_LEFT_MS: u64 = 2400;
/// STANDING: up to half a second after its time an answer only earns nothing. PROTOCOL: each time limit is 50 ms longer.
const LOST_AFTER_MS: u64 = TIME_LEFT_MS + 500 + 50;
/// STANDING: slack of the time that an attempt tells its backend; and 50 ms.
const TOLD_SLACK_MS: f64 = 200.0;
const REQUEST_EVERY_MS: u64 = 50;
const WARM_UP_MS: u64 = 3000;
const LENGTH_MS: u64 = 30_000;

/// What became of a usual client's request.
struct Answer {
    id: String,
    sent: Instant,
    took: Duration,
    result: Result<u16, String>,
}

/// The time that an attempt told its backend, in milliseconds, and when it came there.
type Told = Arc<Mutex<HashMap<String, (f64, Instant)>>>;

/// Parses `X-Time-Left` to milliseconds.
fn time_left_ms(text: &str) -> f64 {
    match text.strip_suffix('m') {
        Some(millis) => millis.parse().unwrap_or(0.0),
        None => text
            .strip_suffix('u')
            .and_then(|micros| micros.parse().ok())
            .map_or(0.0, |micros: f64| micros / 1e3),
    }
}

/// How long a slow client takes to write a request.
fn writing_time(bytes: &[u8]) -> Duration {
    ms(PAUSE_MS) * bytes.chunks(PIECE_BYTES).count() as u32
}

/// A client that writes slowly, or, without the trouble, at once after the same time.
fn slow_client(address: SocketAddr, trouble: bool, stop: &AtomicBool) {
    let body = vec![b'x'; SLOW_BODY_BYTES];
    let mut connection: Option<Client> = None;
    while !stop.load(Ordering::Relaxed) {
        let bytes = request("POST", "run-submit", &new_id(), None, TIME_LEFT_MS, &body);
        if !trouble {
            thread::sleep(writing_time(&bytes));
        }
        if connection.is_none() {
            connection = Client::connect(address).ok();
        }
        let Some(client) = connection.as_mut() else {
            thread::sleep(ms(50));
            continue;
        };
        let is_written = if trouble {
            bytes.chunks(PIECE_BYTES).all(|piece| {
                let written = client.send(piece).is_ok();
                thread::sleep(ms(PAUSE_MS));
                written
            })
        } else {
            client.send(&bytes).is_ok()
        };
        let answer = client.receive(ms(8000));
        if !is_written || !answer.is_ok_and(|answer| answer.field("connection") != "close") {
            connection = None;
        }
    }
}

pub fn run(case: &Case) -> Verdict {
    let told = Told::default();
    let backends: Vec<_> = (0..BACKENDS)
        .map(|number| {
            let told = told.clone();
            let handler = move |message: &Message, stream: &mut TcpStream| {
                let time_left = time_left_ms(message.field("x-time-left"));
                let id = message.field("x-correlation-id").to_owned();
                told.lock().unwrap().insert(id, (time_left, Instant::now()));
                thread::sleep(ms(WORK_MS));
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
    let (address, trouble) = (node.address, case.trouble);
    let stop = Arc::new(AtomicBool::new(false));
    let mut threads: Vec<_> = (0..SLOW_CLIENTS)
        .map(|number| {
            let stop = stop.clone();
            thread::spawn(move || {
                thread::sleep(ms(30 * number));
                slow_client(address, trouble, &stop);
            })
        })
        .collect();
    thread::sleep(ms(WARM_UP_MS));
    let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
    let end = Instant::now() + ms(LENGTH_MS);
    while Instant::now() < end {
        let answers = answers.clone();
        threads.push(thread::spawn(move || {
            let Ok(mut client) = Client::connect(address) else { return };
            let id = new_id();
            let bytes = request("POST", "run-submit", &id, None, TIME_LEFT_MS, &vec![b'x'; BODY_BYTES]);
            let begun = Instant::now();
            // A request whose last byte was not written at once is left out: its time has begun later.
            if client.send(&bytes).is_err() || begun.elapsed() > ms(20) {
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
    judge(&case.record, &mut answers.lock().unwrap(), &told.lock().unwrap())
}

fn judge(record: &Record, answers: &mut [Answer], told: &HashMap<String, (f64, Instant)>) -> Verdict {
    answers.sort_by_key(|answer| answer.sent);
    let (mut served, mut refused, mut lost, mut told_too_much) = (0, 0, 0, 0);
    for answer in answers.iter() {
        let is_lost = answer.took > ms(LOST_AFTER_MS) || answer.result.is_err();
        let attempt = told.get(&answer.id).map_or("never sent to a backend".to_owned(), |(told, at)| {
            let left = TIME_LEFT_MS as f64 - at.saturating_duration_since(answer.sent).as_secs_f64() * 1e3;
            told_too_much += usize::from(*told > left + TOLD_SLACK_MS);
            format!("sent to a backend at {:.3}, told {told:.0} ms with {left:.0} ms left", record.at(*at))
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
    record.say(format!("attempts that told their backend over {TOLD_SLACK_MS} ms more than was left (not judged): {told_too_much}"));
    if answers.len() < 100 {
        Verdict::CouldNotRun("too few requests".into())
    } else if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
