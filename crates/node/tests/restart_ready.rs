//! The term on restarts: a process that starts again, at the address of its last life, is ready (`GET /healthz` answers 200)
//! within 10 s, whatever discovery does, and serves what it gets by the list that it begins with.
//!
//! It takes some tens of milliseconds on an idle machine, so that the bound, taken as it is, leaves a busy one hundreds of
//! times that.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use pumicehead_testbed::scripted::*;

/// The page: from its start to the first `GET /healthz` that is answered 200.
const READY: Duration = Duration::from_secs(10);
/// Others that call discovery at once.
const OTHERS: usize = 300;
/// What a call costs the discovery that works them through in turn: the node's own has its answer after the bound.
const CALL: Duration = Duration::from_millis(50);
/// How long the slow discovery takes over an answer: longer than the bound, so that no start can wait for it.
const SLOW: Duration = Duration::from_secs(15);

/// What discovery does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Up,
    /// It refuses connections.
    Refused,
    /// Connections come up, and nothing is said.
    Silent,
    /// It answers after many seconds.
    Slow,
    /// It works calls through in turn, and so many others have called before.
    Crowded,
}

/// Answers a call with a list; who has given up meanwhile is not told.
fn answer_call(stream: &mut TcpStream, line: &str) {
    if Message::read(&mut BufReader::new(stream.try_clone().unwrap())).is_some() {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let _ = stream.write_all(format!("{head}{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes());
    }
}

/// A discovery that answers calls with a list one at a time, in the order in which they come.
fn in_turn(cost: Duration, line: String) -> SocketAddr {
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
            thread::sleep(cost);
            answer_call(&mut stream, &line);
            answered.push(stream);
        }
    });
    address
}

/// A discovery that answers each call after a while, beside all others.
fn late(after: Duration, line: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, line) = (stream.unwrap(), line.clone());
            thread::spawn(move || {
                thread::sleep(after);
                answer_call(&mut stream, &line);
                // The watch stays open, and silent.
                thread::park();
            });
        }
    });
    address
}

/// Others whose calls wait at a discovery before the node's.
fn crowd(discovery: SocketAddr) -> Vec<TcpStream> {
    let call = "GET /v1/servers?watch=1&after=0 HTTP/1.1\r\nHost: a\r\n\r\n";
    let others = (0..OTHERS).map(|_| {
        let mut stream = TcpStream::connect(discovery).unwrap();
        stream.write_all(call.as_bytes()).unwrap();
        stream
    });
    others.collect()
}

/// A discovery in a state that tells a list; a listener that is to stay open without a word comes with it.
fn discovery_of(state: State, line: String) -> (SocketAddr, Option<TcpListener>) {
    match state {
        State::Up => (in_turn(Duration::ZERO, line), None),
        State::Refused => (refusing(), None),
        State::Silent => {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            (listener.local_addr().unwrap(), Some(listener))
        }
        State::Slow => (late(SLOW, line), None),
        State::Crowded => (in_turn(CALL, line), None),
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else { return false };
    // One that was accepted by the last life may be reset.
    let asked = stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
    asked.is_ok() && Message::read(&mut BufReader::new(stream)).is_some_and(|answer| answer.status() == 200)
}

/// Has a node end in order or by SIGKILL with clients connected, starts it again at its address, and holds it to the bound.
fn restarts(state: State, mode: &'static str, signal: &str) {
    let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
    let told = list(2, true, &[host("s-1", new.address, "active")]);
    let (discovery, _silent) = discovery_of(state, told);
    let setup = |line| Setup { mode, discovery, line, ..Setup::of(&[&old]) };
    let mut first = setup(None).start();
    let address = first.address;
    let clients: Vec<_> = (0..10)
        .map(|_| {
            let mut client = first.connect();
            client.write(&request("submit", "x"));
            assert_eq!(client.read().expect("an answer").status(), 200);
            client
        })
        .collect();
    first.signal(signal);
    first.wait();
    let _others = if state == State::Crowded { crowd(discovery) } else { Vec::new() };
    let line = format!("export EDGE_LISTEN={address}; exec \"$0\"");
    let start = Instant::now();
    let node = setup(Some(line)).start();
    assert_eq!(node.address, address);
    wait_for("a node that is ready", || is_ready(address));
    let took = start.elapsed();
    assert!(took < READY, "{state:?}, {mode}: {took:?}");
    // Ready is more than a word: it serves by the list that it began with, or a newer one.
    let answer = node.ask(&request("submit", "x"));
    assert_eq!(answer.status(), 200, "{state:?}, {mode}");
    if state == State::Up {
        wait_for("the list", || node.ask(&request("submit", "x")).body == b"new");
    } else {
        assert_eq!(answer.body, b"old", "{state:?}, {mode}");
    }
    drop(clients);
}

/// Guards starts with discovery up and down, and nothing listening there.
#[test]
fn a_restart_is_ready_in_time_with_discovery_up_or_down() {
    for mode in ["subscribe", "automatic"] {
        for state in [State::Up, State::Refused] {
            restarts(state, mode, "-TERM");
            restarts(state, mode, "-KILL");
        }
    }
}

/// Guards starts with a discovery that takes calls and says nothing, or says something late.
#[test]
fn a_restart_is_ready_in_time_with_discovery_silent_or_slow() {
    restarts(State::Silent, "subscribe", "-TERM");
    restarts(State::Silent, "automatic", "-TERM");
    restarts(State::Slow, "subscribe", "-KILL");
}

/// Guards starts behind hundreds of others at a discovery that works calls through in turn.
#[test]
fn a_restart_is_ready_in_time_behind_hundreds_of_discovery_clients() {
    restarts(State::Crowded, "subscribe", "-TERM");
}
