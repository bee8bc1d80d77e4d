//! The guarantee on restarts: a process that starts at the address of its predecessor is ready (`GET /healthz` answers 200)
//! within 10 s, whatever discovery does, and serves requests by the endpoint list that it starts with.
//!
//! On an idle machine that takes some tens of milliseconds, so that the limit allows a busy one hundreds of times that.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use pumicehead_testbed::scripted::*;

/// Limit by the platform's protocol, from the start to the first `GET /healthz` that is answered with 200.
const READY_LIMIT: Duration = Duration::from_secs(10);
/// Other clients that call discovery at the same time.
const OTHER_CLIENTS: usize = 300;
/// Time that the discovery service which answers calls in turn needs for each: the node's call is answered after the limit.
const CALL_TIME: Duration = Duration::from_millis(50);
/// Time in which the slow discovery service answers: longer than the limit, so that no start can wait for it.
const SLOW_CALL_TIME: Duration = Duration::from_secs(15);

/// State of the discovery service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DiscoveryState {
    /// It answers at once.
    Up,
    /// It refuses connections.
    Refused,
    /// It accepts connections and sends nothing.
    Silent,
    /// It answers after [`SLOW_CALL_TIME`].
    Slow,
    /// It answers calls in turn, and many other clients have called before.
    Overloaded,
}

/// Answers a call with a list; the caller may have closed the connection meanwhile.
fn answer_call(stream: &mut TcpStream, line: &str) {
    if Message::read(&mut BufReader::new(stream.try_clone().unwrap())).is_some() {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let _ = stream.write_all(format!("{head}{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes());
    }
}

/// Starts a discovery service that answers calls with a list one at a time, in the order in which they come.
fn serve_in_turn(call_time: Duration, line: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (calls, waiting) = mpsc::channel::<TcpStream>();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let _ = calls.send(stream.unwrap());
        }
    });
    thread::spawn(move || {
        let mut answered = Vec::new();
        for mut stream in waiting {
            thread::sleep(call_time);
            answer_call(&mut stream, &line);
            answered.push(stream);
        }
    });
    address
}

/// Starts a discovery service that answers each call after a delay, all calls at the same time.
fn serve_after(delay: Duration, line: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, line) = (stream.unwrap(), line.clone());
            thread::spawn(move || {
                thread::sleep(delay);
                answer_call(&mut stream, &line);
                // Keeps the connection open.
                thread::park();
            });
        }
    });
    address
}

/// Has other clients call discovery, before the node does.
fn call_from_other_clients(discovery: SocketAddr) -> Vec<TcpStream> {
    let call = "GET /v1/servers?watch=1&after=0 HTTP/1.1\r\nHost: a\r\n\r\n";
    let others = (0..OTHER_CLIENTS).map(|_| {
        let mut stream = TcpStream::connect(discovery).unwrap();
        stream.write_all(call.as_bytes()).unwrap();
        stream
    });
    others.collect()
}

/// Starts a discovery service in a state, which answers with a list. Returns its address, and the listener where the test has
/// to keep it open.
fn start_discovery(state: DiscoveryState, line: String) -> (SocketAddr, Option<TcpListener>) {
    match state {
        DiscoveryState::Up => (serve_in_turn(Duration::ZERO, line), None),
        DiscoveryState::Refused => (refusing(), None),
        DiscoveryState::Silent => {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            (listener.local_addr().unwrap(), Some(listener))
        }
        DiscoveryState::Slow => (serve_after(SLOW_CALL_TIME, line), None),
        DiscoveryState::Overloaded => (serve_in_turn(CALL_TIME, line), None),
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else { return false };
    // A connection that the predecessor accepted may be reset.
    let sent = stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
    sent.is_ok() && Message::read(&mut BufReader::new(stream)).is_some_and(|answer| answer.status() == 200)
}

/// Ends a node by a signal with clients connected, starts it again at its address, and asserts that it is ready in time and
/// serves requests.
fn assert_ready_after_restart(state: DiscoveryState, mode: &'static str, signal: &str) {
    let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
    let new_list = list(2, true, &[host("s-1", new.address, "active")]);
    let (discovery, _silent) = start_discovery(state, new_list);
    let setup = |line| Setup { mode, discovery, shell_line: line, ..Setup::of(&[&old]) };
    let mut first = setup(None).start();
    let address = first.address;
    let clients: Vec<_> = (0..10)
        .map(|_| {
            let mut client = first.connect();
            client.write(&request("submit", "x"));
            assert_eq!(client.read().expect("a response").status(), 200);
            client
        })
        .collect();
    first.signal(signal);
    first.wait();
    let _others =
        if state == DiscoveryState::Overloaded { call_from_other_clients(discovery) } else { Vec::new() };
    let line = format!("export EDGE_LISTEN={address}; exec \"$0\"");
    let start = Instant::now();
    let node = setup(Some(line)).start();
    assert_eq!(node.address, address);
    wait_for("the node to be ready", || is_ready(address));
    let elapsed = start.elapsed();
    assert!(elapsed < READY_LIMIT, "{state:?}, {mode}: {elapsed:?}");
    // A node that reports itself ready serves by the list that it started with, or a newer one.
    let answer = node.ask(&request("submit", "x"));
    assert_eq!(answer.status(), 200, "{state:?}, {mode}");
    if state == DiscoveryState::Up {
        wait_for("the new list", || node.ask(&request("submit", "x")).body == b"new");
    } else {
        assert_eq!(answer.body, b"old", "{state:?}, {mode}");
    }
    drop(clients);
}

/// Guards starts with discovery up, and down so that nothing listens there.
#[test]
fn a_restart_is_ready_in_time_with_discovery_up_or_down() {
    for mode in ["subscribe", "automatic"] {
        for state in [DiscoveryState::Up, DiscoveryState::Refused] {
            assert_ready_after_restart(state, mode, "-TERM");
            assert_ready_after_restart(state, mode, "-KILL");
        }
    }
}

/// Guards starts with a discovery service that accepts calls and sends nothing, or answers late.
#[test]
fn a_restart_is_ready_in_time_with_discovery_silent_or_slow() {
    assert_ready_after_restart(DiscoveryState::Silent, "subscribe", "-TERM");
    assert_ready_after_restart(DiscoveryState::Silent, "automatic", "-TERM");
    assert_ready_after_restart(DiscoveryState::Slow, "subscribe", "-KILL");
}

/// Guards a start behind hundreds of other clients of a discovery service that answers calls in turn.
#[test]
fn a_restart_is_ready_in_time_behind_hundreds_of_discovery_clients() {
    assert_ready_after_restart(DiscoveryState::Overloaded, "subscribe", "-TERM");
}
