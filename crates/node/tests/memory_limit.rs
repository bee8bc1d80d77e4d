//! The limit on memory beside clients that stop in the middle of a request and stay, as many as the descriptors allow. A
//! node that exceeds the limit would be killed.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use pumicehead_testbed::scripted::*;

/// Time in which a client that stopped must get an error or a close.
const ERROR_DUE: Duration = Duration::from_secs(3);
/// Interval at which the memory of the node is read.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Size of the large body of a usual client, in bytes.
const LARGE_BODY_BYTES: usize = 40 << 10;
/// Deadline of usual clients, and the time after it in which a response is still due.
const DEADLINE: Duration = Duration::from_millis(1_200);
const ANSWER_SLACK: Duration = Duration::from_millis(550);

/// What a client sends before it stops.
#[derive(Clone, Copy, Debug)]
enum UnfinishedRequest {
    /// Most of a body with a stated length.
    Body,
    /// Most of a body that is longer than those that are always read completely.
    LongBody,
    /// Part of a body without a stated length.
    ChunkedBody,
    /// Part of a body of a request that admission rejects.
    RejectedBody,
    /// A long head.
    Head,
}

impl UnfinishedRequest {
    const ALL: [Self; 5] = [Self::Body, Self::LongBody, Self::ChunkedBody, Self::RejectedBody, Self::Head];

    fn text(self) -> String {
        let head =
            |class, length| request_with(class, "", "X-Time-Left: 1200m\r\n").replace("\r\n\r\n", length);
        let part = "x".repeat(60_000);
        match self {
            Self::Body => head("submit", "\r\nContent-Length: 65536\r\n\r\n") + &part,
            Self::LongBody => head("submit", "\r\nContent-Length: 100000\r\n\r\n") + &"x".repeat(90_000),
            Self::ChunkedBody => {
                head("submit", "\r\nTransfer-Encoding: chunked\r\n\r\n") + "ffff\r\n" + &part
            }
            Self::RejectedBody => head("unknown", "\r\nContent-Length: 65536\r\n\r\n") + &part,
            Self::Head => head("submit", "\r\nX-Long: ") + &part[..30_000],
        }
    }
}

/// Limits of a node.
#[derive(Clone, Copy, Debug)]
struct Limits {
    memory_mb: usize,
    /// The `sockets` limit, as a replacement in the configuration.
    descriptors: (&'static str, &'static str),
    /// More than the client connections that the node allows.
    clients: usize,
}

const LIMITS: [Limits; 2] = [
    Limits { memory_mb: 48, descriptors: ("\"sockets\":256", "\"sockets\":640"), clients: 380 },
    Limits { memory_mb: 32, descriptors: ("\"sockets\":256", "\"sockets\":1024"), clients: 620 },
];

/// Sends a text as far as the node accepts it and waits for a response or the end of the connection. Returns whether either
/// came in time.
fn stop_in_the_middle(address: SocketAddr, text: &str) -> bool {
    let start = Instant::now();
    let Ok(mut stream) = TcpStream::connect(address) else { return true };
    stream.set_read_timeout(Some(ERROR_DUE)).unwrap();
    stream.set_write_timeout(Some(ERROR_DUE)).unwrap();
    let _ = stream.write_all(text.as_bytes());
    match stream.read(&mut [0; 64]) {
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => false,
        _ => start.elapsed() < ERROR_DUE,
    }
}

/// Asks with a large body, on a new connection. Returns whether there was a whole response in time, or the node closed the
/// connection before it had received the request.
fn is_answered(address: SocketAddr) -> bool {
    let mut client = Client::connect(address);
    let headers = format!("X-Time-Left: {}m\r\n", DEADLINE.as_millis());
    let body = "y".repeat(LARGE_BODY_BYTES);
    let text = request_with("submit", &body, &headers);
    let start = Instant::now();
    let mut stream = client.stream();
    if stream.write_all(text.as_bytes()).is_err() {
        return true;
    }
    client.read().is_some() && start.elapsed() < DEADLINE + ANSWER_SLACK
}

/// Joins threads and returns how many of them returned false.
fn count_false(threads: Vec<thread::ScopedJoinHandle<'_, bool>>) -> usize {
    threads.into_iter().map(|thread| thread.join().unwrap()).filter(|succeeded| !succeeded).count()
}

/// Guards against a node that is killed for its memory because each client connection may hold a part of a request, however
/// little memory there is. Meanwhile requests of other clients with large bodies are answered.
#[test]
fn clients_that_stop_in_a_request_do_not_exceed_the_memory_limit() {
    for limits in LIMITS {
        for unfinished in UnfinishedRequest::ALL {
            let backend = Backend::start(|_| ok("done"));
            let changes: &'static [_] = Box::leak(Box::new([limits.descriptors]));
            let setup =
                Setup { memory_mb: limits.memory_mb, replacements: changes, ..Setup::of(&[&backend]) };
            let node = setup.start();
            wait_for("the endpoint", || node.ask(&request("submit", "x")).body == b"done");
            let address = node.address;
            let text = unfinished.text();
            let (late, unanswered, peak) = thread::scope(|scope| {
                let stopping: Vec<_> =
                    (0..limits.clients).map(|_| scope.spawn(|| stop_in_the_middle(address, &text))).collect();
                let usual: Vec<_> = (0..10).map(|_| scope.spawn(move || is_answered(address))).collect();
                let mut peak = 0;
                while !stopping.iter().all(|client| client.is_finished()) {
                    peak = peak.max(node.resident_bytes());
                    thread::sleep(CHECK_INTERVAL);
                }
                (count_false(stopping), count_false(usual), peak)
            });
            let case = format!("{limits:?}, {unfinished:?}");
            assert!(peak < limits.memory_mb << 20, "{case}: {} kB resident", peak >> 10);
            assert_eq!(late, 0, "{case}: clients that stopped got neither an error nor a close in time");
            assert_eq!(unanswered, 0, "{case}: requests of usual clients without a response in time");
        }
    }
}
