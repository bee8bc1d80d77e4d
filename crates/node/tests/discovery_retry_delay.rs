//! Delay between two calls to discovery, whatever became of the first: a change binds 6 s after the service has it and can be
//! reached, and a drain has to be honoured 2 s later. All orders of failures are tested in virtual time by the policy
//! package's `discovery_poll.rs`; here each kind of failure happens to the program.

use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use pumicehead_testbed::scripted::*;

/// The poll interval of a usual deployment in place of the short one of other tests.
const USUAL_POLL_INTERVAL: (&str, &str) = ("\"ask_every_ns\":200000000", "\"ask_every_ns\":10000000000");
/// Consecutive failures before the delay that is measured.
const FAILURES: usize = 5;
/// Limit of the delay: more than twice the longest pause of the policy, 1 s, to allow for a busy machine. An earlier version
/// paused for 2.5 to 5 s after as many failures.
const MAX_DELAY: Duration = Duration::from_millis(2_400);

/// How a call to discovery fails.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    /// Status 503.
    Rejected,
    /// The connection ends without a response.
    Closed,
    /// No response, and the connection stays open.
    Unanswered,
    /// The response ends within the list.
    Truncated,
    /// The list can't be decoded.
    Malformed,
}

impl Failure {
    /// Time after which the node gives up such a call: its timeout where there is no response.
    fn detection_time(self) -> Duration {
        Duration::from_secs(if self == Self::Unanswered { 3 } else { 0 })
    }

    /// Fails a call. Returns the connection if it has to stay open.
    fn fail(self, mut stream: TcpStream) -> Option<TcpStream> {
        let chunk = |text: &str| {
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            format!("{head}{:x}\r\n{text}\r\n", text.len())
        };
        let text = match self {
            Self::Rejected => "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_owned(),
            Self::Closed => return None,
            Self::Unanswered => return Some(stream),
            Self::Truncated => chunk("{\"seq\":7,\"whole\":true,\"hosts\":[{"),
            Self::Malformed => chunk("{\"seq\":7,\"whole\":true,\"hosts\":[{}]}\n"),
        };
        stream.write_all(text.as_bytes()).unwrap();
        None
    }
}

/// Accepts the next call and reads its request.
fn next_call(service: &TcpListener) -> TcpStream {
    let (stream, _) = service.accept().expect("a call");
    Message::read(&mut BufReader::new(stream.try_clone().unwrap())).expect("a call");
    stream
}

/// After several failures of one kind a node calls again in time. Each kind of failure has its own node, all at once.
#[test]
fn discovery_is_called_again_in_time_after_each_failure() {
    let kinds =
        [Failure::Rejected, Failure::Closed, Failure::Unanswered, Failure::Truncated, Failure::Malformed];
    let nodes = kinds.map(|failure| {
        thread::spawn(move || {
            let service = TcpListener::bind("127.0.0.1:0").unwrap();
            let _node = Setup {
                discovery: service.local_addr().unwrap(),
                replacements: &[USUAL_POLL_INTERVAL],
                ..Setup::of(&[])
            }
            .start();
            let mut open = Vec::new();
            let mut failed = Instant::now();
            for _ in 0..FAILURES {
                open.extend(failure.fail(next_call(&service)));
                failed = Instant::now();
            }
            next_call(&service);
            (failure, failed.elapsed())
        })
    });
    // All nodes have ended before the first assert, so that a failure leaves no process behind.
    for (failure, waited) in nodes.map(|node| node.join().expect("the node calls discovery again")) {
        assert!(waited <= failure.detection_time() + MAX_DELAY, "{failure:?}: {waited:?}");
    }
}

/// A node that starts with a list, which may be stale, calls discovery within 2 s; a delay without a bound may be longer. The
/// delay is random, so four seeds are tried.
#[test]
fn node_with_a_restored_list_calls_discovery_in_time() {
    let backend = Backend::start(|_| ok("done"));
    let seeds: [&[(&str, &str)]; 4] = [
        &[USUAL_POLL_INTERVAL, ("8c1f30d27a5be964", "1")],
        &[USUAL_POLL_INTERVAL, ("8c1f30d27a5be964", "2")],
        &[USUAL_POLL_INTERVAL, ("8c1f30d27a5be964", "3")],
        &[USUAL_POLL_INTERVAL, ("8c1f30d27a5be964", "4")],
    ];
    let waited = seeds.map(|changes| {
        let service = TcpListener::bind("127.0.0.1:0").unwrap();
        let setup = Setup {
            discovery: service.local_addr().unwrap(),
            replacements: changes,
            ..Setup::of(&[&backend])
        };
        let _node = setup.start();
        let started = Instant::now();
        next_call(&service);
        started.elapsed()
    });
    assert!(waited.iter().all(|waited| *waited < Duration::from_secs(2)), "{waited:?}");
}

/// After an outage of the old service the node moves to a new one by SIGHUP, whose list binds 4 s after the signal. The first
/// call there is rejected; the second one must not wait for the backoff that the outage has led to.
#[test]
fn discovery_move_after_an_outage_is_made_in_time() {
    let (old, new) = (TcpListener::bind("127.0.0.1:0").unwrap(), TcpListener::bind("127.0.0.1:0").unwrap());
    let before = old.local_addr().unwrap();
    let node = Setup { discovery: before, replacements: &[USUAL_POLL_INTERVAL], ..Setup::of(&[]) }.start();
    for _ in 0..FAILURES {
        Failure::Rejected.fail(next_call(&old));
    }
    node.reload(&node.config().replace(&before.to_string(), &new.local_addr().unwrap().to_string()));
    Failure::Rejected.fail(next_call(&new));
    let failed = Instant::now();
    next_call(&new);
    assert!(failed.elapsed() <= MAX_DELAY, "{:?}", failed.elapsed());
}
