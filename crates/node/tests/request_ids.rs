//! The correlation id of a request is in use from the end of its head on: until its response, another request under it must
//! not run.

use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use pumicehead_testbed::scripted::*;

/// Status of a request whose correlation id is in use.
const CONFLICT: u16 = 409;
/// More large bodies than the memory for requests holds with [`MEMORY_MB`].
const LARGE_REQUESTS: usize = 100;
const LARGE_BODY_BYTES: usize = 60_000;
const MEMORY_MB: usize = 32;
const BACKENDS: usize = 20;
/// Time that the backend takes for a large body.
const LARGE_BODY_DURATION: Duration = Duration::from_millis(500);
const BODY_PARTS: usize = 10;
const PART_PAUSE: Duration = Duration::from_millis(20);

/// Returns the head and the body of a request.
fn split(request: &str) -> (&str, &str) {
    request.split_at(request.find("\r\n\r\n").expect("a head") + 4)
}

/// Returns the same request with another body.
fn with_body(request: &str, body: &str) -> String {
    let lines = split(request).0.split("\r\n").filter(|line| !line.is_empty());
    let kept: Vec<_> = lines.filter(|line| !line.starts_with("Content-Length")).collect();
    format!("{}\r\nContent-Length: {}\r\n\r\n{body}", kept.join("\r\n"), body.len())
}

/// Returns the lengths of the bodies that a backend received under the id of a request.
fn received_bodies(backend: &Backend, request: &str) -> Vec<usize> {
    let id = request.split("X-Correlation-Id: ").nth(1).and_then(|rest| rest.split("\r\n").next());
    let seen = backend.seen.lock().unwrap();
    let under_id = seen.iter().filter(|message| message.header("x-correlation-id") == id);
    under_id.map(|message| message.body.len()).collect()
}

/// Guards against a request that runs under the id of one whose body is still being received.
#[test]
fn id_is_in_use_while_the_body_is_received() {
    let backend = Backend::start(|_| ok("done"));
    let node = Setup::of(&[&backend]).start();
    wait_for("the endpoint", || node.ask(&request("submit", "x")).status() == 200);
    let text = request("submit", &"x".repeat(LARGE_BODY_BYTES));
    let (head, body) = split(&text);
    let mut slow = node.connect();
    slow.write(head);
    for part in body.as_bytes().chunks(LARGE_BODY_BYTES / BODY_PARTS) {
        thread::sleep(PART_PAUSE);
        assert_eq!(node.ask(&with_body(&text, "other")).status(), CONFLICT);
        slow.stream().write_all(part).unwrap();
    }
    assert_eq!(slow.read().unwrap().status(), 200);
    assert_eq!(received_bodies(&backend, &text), [LARGE_BODY_BYTES]);
    assert_eq!(node.ask(&text).status(), 200, "the id may be used again after the response");
}

/// Guards against a request that runs under the id of one that waits for memory.
#[test]
fn id_is_in_use_while_the_request_waits_for_memory() {
    let serve = |message: &Message| {
        thread::sleep(if message.body.len() == LARGE_BODY_BYTES {
            LARGE_BODY_DURATION
        } else {
            Duration::ZERO
        });
        ok("done")
    };
    let backends: Vec<_> = (0..BACKENDS).map(|_| Backend::start(serve)).collect();
    let setup = Setup { memory_mb: MEMORY_MB, ..Setup::of(&backends.iter().collect::<Vec<_>>()) };
    let node = Setup { replacements: &[("\"sockets\":256", "\"sockets\":1024")], ..setup }.start();
    wait_for("the endpoints", || node.ask(&request("submit", "x")).status() == 200);
    let body = "x".repeat(LARGE_BODY_BYTES);
    let texts: Vec<_> = (0..LARGE_REQUESTS).map(|_| request("submit", &body)).collect();
    let statuses: Vec<_> = thread::scope(|scope| {
        let node = &node;
        let usual: Vec<_> = texts.iter().map(|text| scope.spawn(|| node.ask(text).status())).collect();
        thread::sleep(LARGE_BODY_DURATION / 4);
        for text in &texts {
            assert_eq!(node.ask(&with_body(text, "other")).status(), CONFLICT);
        }
        usual.into_iter().map(|usual| usual.join().unwrap()).collect()
    });
    for (text, status) in texts.iter().zip(statuses) {
        // A request that finds no memory within its time is rejected and never sent.
        let expected = if status == 200 { vec![LARGE_BODY_BYTES] } else { vec![] };
        let received: Vec<_> = backends.iter().flat_map(|backend| received_bodies(backend, text)).collect();
        assert_eq!(received, expected, "status {status}");
    }
}

/// Guards against an id that stays in use after its client has left in the middle of the body.
#[test]
fn id_of_an_abandoned_request_is_free() {
    let backend = Backend::start(|_| ok("done"));
    let node = Setup::of(&[&backend]).start();
    wait_for("the endpoint", || node.ask(&request("submit", "x")).status() == 200);
    let text = request("submit", &"x".repeat(LARGE_BODY_BYTES));
    let mut leaving = node.connect();
    leaving.write(&text[..text.len() / 2]);
    wait_for("the head to be read", || node.ask(&with_body(&text, "other")).status() == CONFLICT);
    drop(leaving);
    wait_for("the id to be free", || node.ask(&text).status() == 200);
    assert_eq!(received_bodies(&backend, &text), [LARGE_BODY_BYTES]);
}

/// Guards against a second execution under an id whose client has left: the endpoint may still be executing the first
/// attempt, although the node has closed the connection to it.
#[test]
fn id_stays_in_use_while_an_endpoint_may_execute_a_cancelled_attempt() {
    const TIME_LEFT: Duration = Duration::from_millis(1_000);
    let backend = Backend::start(|message| if message.body == b"first" { Act::Hang } else { ok("done") });
    let node = Setup::of(&[&backend]).start();
    wait_for("the endpoint", || node.ask(&request("submit", "x")).status() == 200);
    let text = request_with("submit", "first", &format!("X-Time-Left: {}m\r\n", TIME_LEFT.as_millis()));
    let mut leaving = node.connect();
    let sent = Instant::now();
    leaving.write(&text);
    wait_for("the attempt", || received_bodies(&backend, &text).len() == 1);
    let closed = backend.closed();
    drop(leaving);
    wait_for("the cancellation", || backend.closed() > closed);
    let again = with_body(&text, "again");
    while sent.elapsed() < TIME_LEFT - PART_PAUSE {
        assert_eq!(node.ask(&again).status(), CONFLICT);
        thread::sleep(PART_PAUSE);
    }
    wait_for("the id to be free", || node.ask(&again).status() == 200);
}

/// Guards against an id that is free too early after an upload, whose deadline counts from its last byte.
#[test]
fn id_of_a_cancelled_upload_stays_in_use_until_its_deadline() {
    const TIME_LEFT: Duration = Duration::from_millis(800);
    /// More than is read before the request is sent on.
    const UPLOAD_BYTES: usize = 1_200_000;
    const UPLOAD_DURATION: Duration = Duration::from_millis(1_000);
    let backend =
        Backend::start(|message| if message.body.len() == UPLOAD_BYTES { Act::Hang } else { ok("done") });
    let node = Setup::of(&[&backend]).start();
    wait_for("the endpoint", || node.ask(&request("submit", "x")).status() == 200);
    let headers = format!("X-Time-Left: {}m\r\nContent-Length: {UPLOAD_BYTES}\r\n", TIME_LEFT.as_millis());
    let head = request_with("submit", "", &headers);
    let body = "x".repeat(UPLOAD_BYTES);
    let (first, last) = body.split_at(UPLOAD_BYTES - BODY_PARTS);
    let mut leaving = node.connect();
    leaving.write(&(head.clone() + first));
    for part in last.as_bytes().chunks(1) {
        thread::sleep(UPLOAD_DURATION / BODY_PARTS as u32);
        leaving.stream().write_all(part).unwrap();
    }
    wait_for("the attempt", || !received_bodies(&backend, &head).is_empty());
    let closed = backend.closed();
    drop(leaving);
    wait_for("the cancellation", || backend.closed() > closed);
    assert_eq!(node.ask(&with_body(&head, "again")).status(), CONFLICT);
    wait_for("the id to be free", || node.ask(&with_body(&head, "again")).status() == 200);
}
