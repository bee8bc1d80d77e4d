//! The guarantee on idle clients that take all descriptors while discovery is down: some are reserved for discovery and
//! endpoints. Requests of clients that are connected are served by the endpoint list that the node has, and once discovery is
//! back the node gets its list. Until then new connections may be closed unread.

use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use pumicehead_testbed::barrier::Barrier;
use pumicehead_testbed::scripted::*;

/// The system's limit of open descriptors, the same as the `sockets` limit in the node's configuration.
const DESCRIPTORS: usize = 256;
/// Descriptors that stay free whatever clients do: for discovery, the log, and what the system's libraries open.
const RESERVE: usize = 8;
/// Idle clients at once, far more than there are descriptors.
const IDLE_CLIENTS: usize = 500;
/// Known endpoints, more than there are descriptors for connections to them.
const ENDPOINTS: usize = 150;

/// Opens an idle connection. A third of the clients sends nothing, a third sends part of a request, and a third sends one
/// request and is idle after that.
fn open_idle(address: SocketAddr, number: usize) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_nonblocking(true).ok()?;
    let _ = match number % 3 {
        0 => Ok(()),
        1 => stream.write_all(b"POST /submit/7f3a HTTP/1.1\r\nHost: origin"),
        _ => stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"),
    };
    Some(stream)
}

/// Returns whether the node has closed a connection; responses are discarded.
fn is_closed(mut stream: &TcpStream) -> bool {
    let mut discarded = [0; 4096];
    loop {
        match stream.read(&mut discarded) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(error) => return error.kind() != ErrorKind::WouldBlock,
        }
    }
}

/// Idle clients that reconnect at once when the node closes their connections, until it is dropped.
struct IdleClients {
    stopped: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl IdleClients {
    fn start(address: SocketAddr) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let is_stopped = stopped.clone();
        let thread = thread::spawn(move || {
            let mut clients: Vec<_> = (0..IDLE_CLIENTS).map(|number| open_idle(address, number)).collect();
            while !is_stopped.load(Ordering::SeqCst) {
                for (number, client) in clients.iter_mut().enumerate() {
                    if client.as_ref().is_none_or(is_closed) {
                        *client = open_idle(address, number);
                    }
                }
                thread::sleep(Duration::from_millis(10));
            }
        });
        Self { stopped, thread: Some(thread) }
    }
}

impl Drop for IdleClients {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        drop(self.thread.take().map(thread::JoinHandle::join));
    }
}

/// Returns the number of descriptors that a node has open.
fn open_descriptors(node: &Node) -> usize {
    fs::read_dir(format!("/proc/{}/fd", node.pid())).unwrap().count()
}

/// Sends a request on a new connection, and again where the connection is closed or the request rejected, until it is served.
fn request_until_served(node: &Node, body: &str) -> Message {
    let mut served = None;
    wait_for("a response among idle clients", || {
        let mut client = node.connect();
        // The node may close a connection before or while it receives the request, which it has not read then.
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

/// Some clients send requests before the idle clients connect, others among them, and then discovery comes back with a new
/// list; meanwhile the node has as many connections to endpoints as it may have.
#[test]
fn idle_clients_leave_descriptors_for_backends_and_discovery() {
    let barrier = Barrier::default();
    let held = barrier.clone();
    let old = Backend::start(move |message| match message.body.as_slice() {
        b"held" => {
            held.wait();
            ok("held")
        }
        // The next request needs a new connection.
        b"once" => Act::WriteAndClose(answer("200 OK", "", "once")),
        _ => {
            thread::sleep(Duration::from_millis(20));
            ok("kept")
        }
    });
    let hosts: Vec<_> = (0..ENDPOINTS).map(|n| host(&format!("s-{n}"), old.address, "active")).collect();
    let setup = Setup {
        endpoint_list: list(1, true, &hosts),
        shell_line: Some(format!("ulimit -n {DESCRIPTORS}; exec \"$0\"")),
        ..Setup::of(&[])
    };
    let discovery = setup.discovery;
    let node = setup.start();
    let before = open_descriptors(&node);
    // Has the node open as many connections to endpoints as it may have.
    let load = LoadClients::start(&node, 100, "submit");
    wait_for("connections to endpoints", || open_descriptors(&node) > before + 150);
    drop(load);
    let connected: Vec<_> = (0..30)
        .map(|_| {
            let mut client = node.connect();
            client.write(&request("submit", "held"));
            client
        })
        .collect();
    let held_attempts = || old.seen.lock().unwrap().iter().filter(|message| message.body == b"held").count();
    wait_for("the held attempts", || held_attempts() == connected.len());
    let in_use = open_descriptors(&node) - before;

    let _idle = IdleClients::start(node.address);
    let mut most = 0;
    let mut sample = || most = most.max(open_descriptors(&node));
    wait_for("idle connections", || {
        sample();
        open_descriptors(&node) >= before + in_use + 80
    });
    // Clients that were connected before get their responses, and new ones are served by the endpoint list that the node has.
    barrier.open();
    for mut client in connected {
        assert_eq!(client.read().expect("a response").body, b"held");
        sample();
    }
    for _ in 0..10 {
        assert_eq!(request_until_served(&node, "once").body, b"once");
        sample();
    }
    let discovery = Discovery::start_at(discovery);
    let (_, lines) = discovery.next();
    sample();
    let new = Backend::start(|_| ok("new"));
    lines.send(list(2, true, &[host("s-new", new.address, "active")])).unwrap();
    wait_for("the new list", || request_until_served(&node, "x").body == b"new");
    sample();
    assert!(most + RESERVE <= DESCRIPTORS, "{most} of {DESCRIPTORS} descriptors were open");
    // The idle clients did take all descriptors that they may have; otherwise the test proves nothing.
    assert!(most >= DESCRIPTORS / 2, "only {most} descriptors were open");
}
