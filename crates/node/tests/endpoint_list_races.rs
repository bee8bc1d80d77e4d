//! Races between updates of the endpoint list and other events: watches that fall silent or have not sent anything yet, lists
//! in any layout, drains and restarts. The table of all pairs is in `docs/crossings.md`.

use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use pumicehead_testbed::scripted::*;

/// Accepts the next connection.
fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let mut stream = None;
    wait_for("a connection", || {
        stream = listener.accept().ok().map(|(stream, _)| stream);
        stream.is_some()
    });
    let stream = stream.unwrap();
    stream.set_nonblocking(false).unwrap();
    stream
}

/// Accepts a watch at a scripted discovery service and sends the response head. Returns the request line and the socket.
fn accept_watch(listener: &TcpListener) -> (String, TcpStream) {
    let mut stream = accept(listener);
    let request = Message::read(&mut BufReader::new(stream.try_clone().unwrap())).expect("a watch request");
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
    (request.first, stream)
}

fn write_chunk(stream: &mut TcpStream, text: &str) {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).unwrap();
}

/// A node restarts a watch that has fallen silent, after two missed heartbeats of a service or one of an agent, in time to
/// honour a drain: a change that it misses binds it 6 s later, and a drain has to be honoured 2 s after that.
#[test]
fn silent_watch_is_restarted_in_time_for_a_drain() {
    // 8.05 s less the 2 s for which discovery may delay its answer.
    const MAX_RESTART_DELAY: Duration = Duration::from_millis(6_050);
    for mode in ["subscribe", "automatic"] {
        let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let node = Setup { mode, discovery: discovery.local_addr().unwrap(), ..Setup::of(&[&old]) }.start();
        let (_, mut silent) = accept_watch(&discovery);
        write_chunk(&mut silent, &(list(1, true, &[host("s-0", old.address, "active")]) + "\n"));
        let since = Instant::now();
        let (first, mut watched) = accept_watch(&discovery);
        assert!(since.elapsed() < MAX_RESTART_DELAY, "{mode}: {:?}", since.elapsed());
        assert!(first.contains("after=1"), "{first}");
        let hosts = [host("s-0", old.address, "leaving"), host("s-1", new.address, "active")];
        write_chunk(&mut watched, &(list(2, false, &hosts) + "\n"));
        wait_for("the new list", || node.ask(&request("submit", "x")).body == b"new");
        let sent = old.count();
        for _ in 0..5 {
            assert_eq!(node.ask(&request("submit", "x")).body, b"new");
        }
        assert_eq!(old.count(), sent);
        drop(silent);
    }
}

/// An agent accepts a call and sends nothing, as one does that is down: its list binds when it returns, and drains have to
/// be honoured 2 s later. The delay of the second call is tested with a paused clock
/// (`watch_of_silent_agent_is_retried_in_time`); here the first call stays open, and the list of the second one is used.
#[test]
fn silent_agent_is_called_again_after_discovery_returns() {
    let backend = Backend::start(|_| ok("done"));
    let agent = TcpListener::bind("127.0.0.1:0").unwrap();
    let setup = Setup { mode: "automatic", discovery: agent.local_addr().unwrap(), ..Setup::of(&[]) };
    let node = setup.start();
    let unanswered = accept(&agent);
    let (_, mut watched) = accept_watch(&agent);
    write_chunk(&mut watched, &(list(1, true, &[host("s-0", backend.address, "active")]) + "\n"));
    wait_for("the list of the second call", || node.ask(&request("submit", "x")).status() == 200);
    drop(unanswered);
}

/// Lists may be indented, with empty lines within, in chunks that end anywhere, and two of them in one chunk.
#[test]
fn indented_lists_are_read() {
    let backends = [(); 3].map(|()| Backend::start(|_| ok("done")));
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = Setup { discovery: discovery.local_addr().unwrap(), ..Setup::of(&[]) }.start();
    let (_, mut watched) = accept_watch(&discovery);
    let indented = |text: &str| text.replace('{', "{\n  ").replace(',', ",\n  ").replace("[", "[\n\n");
    let snapshot = indented(&list(3, true, &[host("s-0", backends[0].address, "active")])) + "\n";
    for piece in snapshot.as_bytes().chunks(7) {
        write_chunk(&mut watched, std::str::from_utf8(piece).unwrap());
    }
    wait_for("the snapshot", || node.ask(&request("submit", "x")).status() == 200);
    write_chunk(&mut watched, "\n");
    let leaving = indented(&list(4, false, &[host("s-0", backends[0].address, "leaving")]));
    let active = indented(&list(5, false, &[host("s-1", backends[1].address, "active")]));
    write_chunk(&mut watched, &(leaving + &active + "\n"));
    wait_for("both deltas", || {
        node.ask(&request("submit", "x"));
        backends[1].count() > 0
    });
    let sent = backends[0].count();
    for _ in 0..5 {
        assert_eq!(node.ask(&request("submit", "x")).status(), 200);
    }
    assert_eq!(backends[0].count(), sent);
    // An incomplete list, followed by heartbeats alone, would hide all lists after it: the node restarts the watch.
    write_chunk(&mut watched, "{\"seq\":6,\"hosts\":[\n");
    let heartbeats = thread::spawn(move || {
        while watched.write_all(b"1\r\n\n\r\n").is_ok() {
            thread::sleep(Duration::from_millis(300));
        }
    });
    let (first, _next) = accept_watch(&discovery);
    assert!(first.contains("after=5 "), "{first}");
    heartbeats.join().unwrap();
}

/// A retry timer that was armed before a reload must not end the watch at the new address, which has not sent anything
/// yet: a second call would queue behind those of all other nodes.
#[test]
fn timer_does_not_end_a_watch_without_data() {
    let backend = Backend::start(|_| ok("done"));
    let new_discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let setup = Setup { discovery: refusing(), ..Setup::of(&[]) };
    let before = setup.discovery.to_string();
    let node = setup.start();
    // Calls at the old address fail, each followed by a pause of at most 0.1 s.
    thread::sleep(Duration::from_millis(200));
    node.reload(&node.config().replace(&before, &new_discovery.local_addr().unwrap().to_string()));
    let (first, mut watched) = accept_watch(&new_discovery);
    assert!(first.contains("after=0 "), "{first}");
    // Ten times the longest pause, in which no second call may come.
    thread::sleep(Duration::from_secs(1));
    new_discovery.set_nonblocking(true).unwrap();
    assert!(new_discovery.accept().is_err(), "a second call");
    write_chunk(&mut watched, &(list(9, true, &[host("s-0", backend.address, "active")]) + "\n"));
    wait_for("the list", || node.ask(&request("submit", "x")).status() == 200);
}

/// A request in flight keeps its attempt across a drain and a restart of its endpoint, in either order: it has one response,
/// and later requests go to another endpoint.
#[test]
fn drain_and_restart_keep_attempts_in_flight() {
    for restart_first in [false, true] {
        let (release, released) = mpsc::channel::<()>();
        let released = Mutex::new(released);
        let old = Backend::start(move |_| {
            let _ = released.lock().unwrap().recv_timeout(Duration::from_secs(30));
            ok("old")
        });
        let new = Backend::start(|_| ok("new"));
        let discovery = Discovery::start();
        let node = Setup { discovery: discovery.address, ..Setup::of(&[&old]) }.start();
        let (_, lines) = discovery.next();
        let mut client = node.connect();
        client.write(&request("submit", "x"));
        wait_for("the attempt", || old.count() == 1);
        let restarted = host("s-0", old.address, "leaving").replace("\"born_ms\":0", "\"born_ms\":5");
        let drained = host("s-0", old.address, "leaving");
        let hosts = if restart_first { [restarted.clone(), restarted] } else { [drained, restarted] };
        for (seq, change) in (2..).zip(hosts) {
            lines.send(list(seq, false, &[change])).unwrap();
        }
        lines.send(list(4, false, &[host("s-1", new.address, "active")])).unwrap();
        wait_for("the new endpoint", || node.ask(&request("submit", "y")).body == b"new");
        release.send(()).unwrap();
        assert_eq!(client.read().expect("a response").body, b"old");
        assert_eq!(old.count(), 1);
    }
}
