//! The term on idle clients that fill the descriptors while discovery is down: discovery and servers keep a reserve. Requests
//! of clients that have connected are served by the list that is known, and when discovery is back the node gets its list.
//! New connections may be shut unread in the meantime.

use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use pumicehead_testbed::gate::Gate;
use pumicehead_testbed::scripted::*;

/// Descriptors that the system lets the node have, as its configuration says.
const DESCRIPTORS: usize = 256;
/// Of these some stay free whatever clients do: for discovery, the log, and what the system's libraries open.
const RESERVE: usize = 8;
/// Idle clients at once, far more than there are descriptors.
const IDLE: usize = 500;
/// Names of servers that are known, more than there are descriptors for connections to them.
const NAMES: usize = 150;

/// What an idle client does with its connection.
fn open_idle(address: SocketAddr, number: usize) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_nonblocking(true).ok()?;
    let _ = match number % 3 {
        // Nothing.
        0 => Ok(()),
        // It begins a request.
        1 => stream.write_all(b"POST /submit/7f3a HTTP/1.1\r\nHost: origin"),
        // It asks once, and rests.
        _ => stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"),
    };
    Some(stream)
}

/// Whether the node has closed a connection; what it has said is dropped.
fn is_closed(mut stream: &TcpStream) -> bool {
    let mut scrap = [0; 4096];
    loop {
        match stream.read(&mut scrap) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(error) => return error.kind() != ErrorKind::WouldBlock,
        }
    }
}

/// Idle clients that come again at once when they are shut.
struct IdleCrowd {
    over: Arc<AtomicBool>,
    running: Option<thread::JoinHandle<()>>,
}

impl IdleCrowd {
    fn start(address: SocketAddr) -> Self {
        let over = Arc::new(AtomicBool::new(false));
        let ends = over.clone();
        let running = thread::spawn(move || {
            let mut clients: Vec<_> = (0..IDLE).map(|number| open_idle(address, number)).collect();
            while !ends.load(Ordering::SeqCst) {
                for (number, client) in clients.iter_mut().enumerate() {
                    if client.as_ref().is_none_or(is_closed) {
                        *client = open_idle(address, number);
                    }
                }
                thread::sleep(Duration::from_millis(10));
            }
        });
        Self { over, running: Some(running) }
    }
}

impl Drop for IdleCrowd {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        drop(self.running.take().map(thread::JoinHandle::join));
    }
}

/// Descriptors that a process has open.
fn descriptors(node: &Node) -> usize {
    fs::read_dir(format!("/proc/{}/fd", node.pid())).unwrap().count()
}

/// One request on a connection of its own, and again where that is shut or refused, until it is served.
fn ask_until_served(node: &Node, body: &str) -> Message {
    let mut served = None;
    wait_for("an answer in the crowd", || {
        let mut client = node.connect();
        // A connection may be shut before or under the request: it was not read then.
        let text = request("submit", body);
        if client.stream().write_all(text.as_bytes()).is_err() {
            return false;
        }
        let Some(answer) = client.read() else { return false };
        assert!(matches!(answer.status(), 200 | 429 | 503), "{answer:?}");
        served = Some(answer).filter(|answer| answer.status() == 200);
        served.is_some()
    });
    served.unwrap()
}

/// Clients with requests before the crowd of idle ones, others within it, and the list after it; endpoints hold as many
/// connections as they may.
#[test]
fn idle_clients_leave_descriptors_for_backends_and_discovery() {
    let gate = Gate::default();
    let held = gate.clone();
    let old = Backend::start(move |message| match message.body.as_slice() {
        b"held" => {
            held.pass();
            ok("held")
        }
        // The next one needs a connection of its own.
        b"once" => Act::WriteAndClose(answer("200 OK", "", "once")),
        _ => {
            thread::sleep(Duration::from_millis(20));
            ok("kept")
        }
    });
    let hosts: Vec<_> = (0..NAMES).map(|n| host(&format!("s-{n}"), old.address, "active")).collect();
    let setup = Setup {
        known: list(1, true, &hosts),
        line: Some(format!("ulimit -n {DESCRIPTORS}; exec \"$0\"")),
        ..Setup::of(&[])
    };
    let discovery = setup.discovery;
    let node = setup.start();
    let before = descriptors(&node);
    // Connections to servers, as many as there may be.
    let busy = Crowd::start(&node, 100, "submit");
    wait_for("connections to servers", || descriptors(&node) > before + 150);
    drop(busy);
    let connected: Vec<_> = (0..30)
        .map(|_| {
            let mut client = node.connect();
            client.write(&request("submit", "held"));
            client
        })
        .collect();
    let waiting = || old.seen.lock().unwrap().iter().filter(|message| message.body == b"held").count();
    wait_for("their attempts", || waiting() == connected.len());
    let servers = descriptors(&node) - before;

    let _crowd = IdleCrowd::start(node.address);
    let mut most = 0;
    let mut look = || most = most.max(descriptors(&node));
    wait_for("the crowd", || {
        look();
        descriptors(&node) >= before + servers + 80
    });
    // Clients that had connected before have their answers, and others in the crowd are served by the list that is known.
    gate.open();
    for mut client in connected {
        assert_eq!(client.read().expect("an answer").body, b"held");
        look();
    }
    for _ in 0..10 {
        assert_eq!(ask_until_served(&node, "once").body, b"once");
        look();
    }
    let discovery = Discovery::start_at(discovery);
    let (_, lines) = discovery.next();
    look();
    let new = Backend::start(|_| ok("new"));
    lines.send(list(2, true, &[host("s-new", new.address, "active")])).unwrap();
    wait_for("the list", || ask_until_served(&node, "x").body == b"new");
    look();
    assert!(most + RESERVE <= DESCRIPTORS, "{most} of {DESCRIPTORS} were open");
    // It was a crowd: it had what it may have.
    assert!(most >= DESCRIPTORS / 2, "{most}");
}
