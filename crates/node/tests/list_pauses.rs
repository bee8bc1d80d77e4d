//! How long a node waits between two calls for the list, whatever became of the one before: a change binds 6 s after the
//! service had it and could be reached, and its drain has to be kept 2 s later. All orders of failures stand in the module's
//! `list_calls.rs`, in virtual time; here each kind of failure happens to the program.

use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use pumicehead_testbed::scripted::*;

/// The settings of a usual deployment in place of those that make tests short.
const USUAL: (&str, &str) = ("\"ask_every_ns\":200000000", "\"ask_every_ns\":10000000000");
/// Failures in a row before the pause that is looked at.
const FAILURES: usize = 5;
/// A pause, as long as the module's longest and more than as long again for a busy machine. After as many failures it was 2.5 to 5 s.
const PAUSE: Duration = Duration::from_millis(2_400);

/// How a call fails.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    /// Turned away with 503.
    TurnedAway,
    /// The connection ends with no answer.
    Reset,
    /// Nothing comes.
    Lost,
    /// The answer is cut inside of the list.
    Cut,
    /// A list that can't be read.
    Malformed,
}

impl Failure {
    /// How long the node waits for such a call at most.
    fn takes(self) -> Duration {
        Duration::from_secs(if self == Self::Lost { 3 } else { 0 })
    }

    /// Answers a call; what is to stay open is handed back.
    fn answer(self, mut stream: TcpStream) -> Option<TcpStream> {
        let chunk = |text: &str| {
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            format!("{head}{:x}\r\n{text}\r\n", text.len())
        };
        let text = match self {
            Self::TurnedAway => "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_owned(),
            Self::Reset => return None,
            Self::Lost => return Some(stream),
            Self::Cut => chunk("{\"seq\":7,\"whole\":true,\"hosts\":[{"),
            Self::Malformed => chunk("{\"seq\":7,\"whole\":true,\"hosts\":[{}]}\n"),
        };
        stream.write_all(text.as_bytes()).unwrap();
        None
    }
}

/// The next call at a service, read to its end.
fn next_call(service: &TcpListener) -> TcpStream {
    let (stream, _) = service.accept().expect("a call");
    Message::read(&mut BufReader::new(stream.try_clone().unwrap())).expect("a call");
    stream
}

/// The time of a call after others that failed. Each kind of failure has a node of its own, side by side.
#[test]
fn discovery_is_called_again_in_time_after_each_failure() {
    let kinds = [Failure::TurnedAway, Failure::Reset, Failure::Lost, Failure::Cut, Failure::Malformed];
    let nodes = kinds.map(|failure| {
        thread::spawn(move || {
            let service = TcpListener::bind("127.0.0.1:0").unwrap();
            let _node =
                Setup { discovery: service.local_addr().unwrap(), changes: &[USUAL], ..Setup::of(&[]) }
                    .start();
            let mut open = Vec::new();
            let mut failed = Instant::now();
            for _ in 0..FAILURES {
                open.extend(failure.answer(next_call(&service)));
                failed = Instant::now();
            }
            next_call(&service);
            (failure, failed.elapsed())
        })
    });
    // All of them end before any is judged, so that none leaves its program behind.
    for (failure, waited) in nodes.map(|node| node.join().expect("calls")) {
        assert!(waited <= failure.takes() + PAUSE, "{failure:?}: {waited:?}");
    }
}

/// The first call of a node that starts with a list, which may be old: without a bound its delay may be over 2 s.
#[test]
fn node_with_a_restored_list_calls_discovery_in_time() {
    let backend = Backend::start(|_| ok("done"));
    let seeds: [&[(&str, &str)]; 4] = [
        &[USUAL, ("8c1f30d27a5be964", "1")],
        &[USUAL, ("8c1f30d27a5be964", "2")],
        &[USUAL, ("8c1f30d27a5be964", "3")],
        &[USUAL, ("8c1f30d27a5be964", "4")],
    ];
    let waited = seeds.map(|changes| {
        let service = TcpListener::bind("127.0.0.1:0").unwrap();
        let setup = Setup { discovery: service.local_addr().unwrap(), changes, ..Setup::of(&[&backend]) };
        let _node = setup.start();
        let started = Instant::now();
        next_call(&service);
        started.elapsed()
    });
    assert!(waited.iter().all(|waited| *waited < Duration::from_secs(2)), "{waited:?}");
}

/// A move by SIGHUP after an outage of the old service: the new list binds 4 s after the signal. The first call is
/// rejected, and the second one must not wait for as long as the outage has backed off to.
#[test]
fn discovery_move_after_an_outage_is_made_in_time() {
    let (old, new) = (TcpListener::bind("127.0.0.1:0").unwrap(), TcpListener::bind("127.0.0.1:0").unwrap());
    let before = old.local_addr().unwrap();
    let node = Setup { discovery: before, changes: &[USUAL], ..Setup::of(&[]) }.start();
    for _ in 0..FAILURES {
        Failure::TurnedAway.answer(next_call(&old));
    }
    node.reload(&node.config().replace(&before.to_string(), &new.local_addr().unwrap().to_string()));
    Failure::TurnedAway.answer(next_call(&new));
    let failed = Instant::now();
    next_call(&new);
    assert!(failed.elapsed() <= PAUSE, "{:?}", failed.elapsed());
}
