//! The deadline of a request counts from its last byte, wherever the request waits in the node: no wait begins it anew. The
//! endpoints here never respond, so that each response is the node's own, at the deadline.

use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use pumicehead_testbed::scripted::*;

/// Time that clients wait for a response after the last byte of their request.
const TIME_LEFT: Duration = Duration::from_millis(1_200);
/// A response that is later than this after the deadline is lost.
const RESPONSE_SLACK: Duration = Duration::from_millis(550);
/// Time that an attempt may tell its endpoint beyond what is left to the client.
const TOLD_SLACK: Duration = Duration::from_millis(150);
/// Time for which a request waits before its attempt.
const WAIT: Duration = Duration::from_millis(900);
/// The longest body that is always read completely, in bytes.
const BODY_BYTES: usize = 64 << 10;
/// Non-idempotent requests are in the highest tier: they are queued, and not rejected because of the queue's length.
const LOW_READ_WEIGHT: (&str, &str) = (
    "\"effect\":\"pure\",\"dedup_scope\":\"all\",\"window_ns\":5000000000,\"target_ns\":10000000000,\"deadline_ns\":20000000000,\"worth\":1.0",
    "\"effect\":\"pure\",\"dedup_scope\":\"all\",\"window_ns\":5000000000,\"target_ns\":10000000000,\"deadline_ns\":20000000000,\"worth\":0.2",
);

/// Returns a head with these lines for the body.
fn head(body_lines: &str) -> String {
    request_with("submit", "", &format!("X-Time-Left: {}m\r\n{body_lines}", TIME_LEFT.as_millis()))
}

/// Returns the time that the endpoint's only request was told.
fn told_time(backend: &Backend) -> Duration {
    let seen = backend.seen.lock().unwrap();
    let told = seen[0].header("x-time-left").expect("a time left");
    Duration::from_micros(told.trim_end_matches('u').parse().unwrap())
}

/// A client's request whose last byte was sent at a known time.
struct SentRequest {
    client: Client,
    sent: Instant,
}

impl SentRequest {
    fn finish(mut client: Client, text: &str) -> Self {
        client.write(text);
        Self { client, sent: Instant::now() }
    }

    /// Waits for the response, and checks that it came in time and that the attempt was told no more than was left.
    fn assert_deadline(mut self, backend: &Backend, case: &str) {
        let response = self.client.read().expect("a response");
        let elapsed = self.sent.elapsed();
        assert!(elapsed < TIME_LEFT + RESPONSE_SLACK, "{case}: {} after {elapsed:?}", response.status());
        assert!(told_time(backend) < TIME_LEFT - WAIT + TOLD_SLACK, "{case}: {:?}", told_time(backend));
    }
}

/// How a chunked body ends.
#[derive(Clone, Copy, Debug)]
enum LastChunk {
    /// Together with the data.
    AtOnce,
    /// In a later segment.
    Later,
}

/// Guards against a deadline that begins anew with the attempt, because a chunked body whose end has not been read counts as
/// longer than it is.
#[test]
fn chunked_body_of_the_longest_buffered_size_keeps_its_deadline() {
    for last_chunk in [LastChunk::AtOnce, LastChunk::Later] {
        let backend = Backend::start(|_| Act::Hang);
        let discovery = Discovery::start();
        let setup = Setup { discovery: discovery.address, ..Setup::of(&[]) };
        let node = Setup { replacements: &[LOW_READ_WEIGHT], ..setup }.start();
        let (_, lines) = discovery.next();
        let mut client = node.connect();
        client.write(&head("Transfer-Encoding: chunked\r\n"));
        let data = format!("{BODY_BYTES:x}\r\n{}\r\n", "x".repeat(BODY_BYTES));
        let request = match last_chunk {
            LastChunk::AtOnce => SentRequest::finish(client, &format!("{data}0\r\n\r\n")),
            LastChunk::Later => {
                client.write(&data);
                thread::sleep(Duration::from_millis(50));
                SentRequest::finish(client, "0\r\n\r\n")
            }
        };
        // No endpoint is known until then.
        thread::sleep(WAIT);
        lines.send(list(2, true, &[host("s-0", backend.address, "active")])).unwrap();
        wait_for("the attempt", || backend.count() > 0);
        request.assert_deadline(&backend, &format!("{last_chunk:?}"));
    }
}

/// Guards against a deadline that begins anew after a wait for memory.
#[test]
fn request_that_waits_for_memory_keeps_its_deadline() {
    /// Little enough for [`SLOW_CLIENTS`] to take the memory for requests.
    const MEMORY_MB: usize = 4;
    const SLOW_CLIENTS: usize = 7;
    let backend = Backend::start(|_| Act::Hang);
    let node = Setup { memory_mb: MEMORY_MB, ..Setup::of(&[&backend]) }.start();
    let body = "x".repeat(BODY_BYTES);
    let sized_head = head(&format!("Content-Length: {BODY_BYTES}\r\n"));
    let mut slow: Vec<_> = (0..SLOW_CLIENTS).map(|_| node.connect()).collect();
    for client in &mut slow {
        client.write(&head(&format!("Content-Length: {BODY_BYTES}\r\n")));
        client.write(&body[..BODY_BYTES / 2]);
    }
    thread::sleep(Duration::from_millis(100));
    let request = SentRequest::finish(node.connect(), &(sized_head + &body));
    while request.sent.elapsed() < WAIT {
        // Clients that send something keep their memory.
        for client in &mut slow {
            client.stream().write_all(b"x").unwrap();
        }
        thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(backend.count(), 0, "the request waits for memory");
    drop(slow);
    wait_for("the attempt", || backend.count() > 0);
    request.assert_deadline(&backend, "memory");
}
