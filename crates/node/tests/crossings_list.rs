//! Crossings of the list of servers with all else: watches that fall silent or have not spoken yet, lists in any layout,
//! drains and restarts. The table of all pairs is in `docs/crossings.md`.

use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use pumicehead_testbed::scripted::*;

/// The next connection to a listener.
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

/// A watch at a scripted service: its request line, and the socket behind the answer's head.
fn watch(listener: &TcpListener) -> (String, TcpStream) {
    let mut stream = accept(listener);
    let request = Message::read(&mut BufReader::new(stream.try_clone().unwrap())).expect("a call");
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
    (request.first, stream)
}

fn say(stream: &mut TcpStream, text: &str) {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).unwrap();
}

/// A node restarts a watch that falls silent after two missed heartbeats, and calls again after a call without an answer,
/// in time to honour a drain: what it misses binds 6 s later, and has to be honoured 2 s after that.
#[test]
fn silent_watch_is_restarted_in_time_for_a_drain() {
    // Of the 8.05 s a call of 2 s, as long as a service may have it wait.
    const IN_TIME: Duration = Duration::from_millis(6_050);
    for mode in ["subscribe", "automatic"] {
        let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let node = Setup { mode, discovery: discovery.local_addr().unwrap(), ..Setup::of(&[&old]) }.start();
        let (_, mut silent) = watch(&discovery);
        say(&mut silent, &(list(1, true, &[host("s-0", old.address, "active")]) + "\n"));
        let since = Instant::now();
        let (first, mut watched) = watch(&discovery);
        assert!(since.elapsed() < IN_TIME, "{mode}: {:?}", since.elapsed());
        assert!(first.contains("after=1"), "{first}");
        let hosts = [host("s-0", old.address, "leaving"), host("s-1", new.address, "active")];
        say(&mut watched, &(list(2, false, &hosts) + "\n"));
        wait_for("the new list", || node.ask(&request("submit", "x")).body == b"new");
        let sent = old.count();
        for _ in 0..5 {
            assert_eq!(node.ask(&request("submit", "x")).body, b"new");
        }
        assert_eq!(old.count(), sent);
        drop(silent);
    }
}

/// The same at an agent that takes a call and sends nothing, as one that is down does: its list binds at its return, and
/// drains have to be honoured 2 s later. The delay of the second call is tested with a paused clock
/// (`watch_of_silent_agent_is_retried_in_time`); here the first call stays open, and the list of the second one is used.
#[test]
fn silent_agent_is_called_again_after_discovery_returns() {
    let backend = Backend::start(|_| ok("done"));
    let agent = TcpListener::bind("127.0.0.1:0").unwrap();
    let setup = Setup { mode: "automatic", discovery: agent.local_addr().unwrap(), ..Setup::of(&[]) };
    let node = setup.start();
    let swallowed = accept(&agent);
    let (_, mut watched) = watch(&agent);
    say(&mut watched, &(list(1, true, &[host("s-0", backend.address, "active")]) + "\n"));
    wait_for("the list", || node.ask(&request("submit", "x")).status() == 200);
    drop(swallowed);
}

/// Lists may be indented: over many lines, with an empty line inside, cut anywhere, two in one piece.
#[test]
fn indented_lists_are_read() {
    let backends = [(); 3].map(|()| Backend::start(|_| ok("done")));
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = Setup { discovery: discovery.local_addr().unwrap(), ..Setup::of(&[]) }.start();
    let (_, mut watched) = watch(&discovery);
    let indented = |text: &str| text.replace('{', "{\n  ").replace(',', ",\n  ").replace("[", "[\n\n");
    let whole = indented(&list(3, true, &[host("s-0", backends[0].address, "active")])) + "\n";
    for piece in whole.as_bytes().chunks(7) {
        say(&mut watched, std::str::from_utf8(piece).unwrap());
    }
    wait_for("the whole list", || node.ask(&request("submit", "x")).status() == 200);
    say(&mut watched, "\n");
    let leaving = indented(&list(4, false, &[host("s-0", backends[0].address, "leaving")]));
    let active = indented(&list(5, false, &[host("s-1", backends[1].address, "active")]));
    say(&mut watched, &(leaving + &active + "\n"));
    wait_for("the changes", || {
        node.ask(&request("submit", "x"));
        backends[1].count() > 0
    });
    let sent = backends[0].count();
    for _ in 0..5 {
        assert_eq!(node.ask(&request("submit", "x")).status(), 200);
    }
    assert_eq!(backends[0].count(), sent);
    // One that is cut and never ends, with heartbeats behind it, hides all that follows: the watch is begun anew.
    say(&mut watched, "{\"seq\":6,\"hosts\":[\n");
    let beating = thread::spawn(move || {
        while watched.write_all(b"1\r\n\n\r\n").is_ok() {
            thread::sleep(Duration::from_millis(300));
        }
    });
    let (first, _next) = watch(&discovery);
    assert!(first.contains("after=5 "), "{first}");
    beating.join().unwrap();
}

/// A retry timer that was armed before a reload must not end the watch at the new address, which has not sent anything
/// yet, and call once more, behind all other nodes.
#[test]
fn timer_does_not_end_a_watch_without_data() {
    let backend = Backend::start(|_| ok("done"));
    let moved = TcpListener::bind("127.0.0.1:0").unwrap();
    let setup = Setup { discovery: refusing(), ..Setup::of(&[]) };
    let before = setup.discovery.to_string();
    let node = setup.start();
    // Calls at the old address fail, each followed by a pause of at most 0.1 s.
    thread::sleep(Duration::from_millis(200));
    node.reload(&node.config().replace(&before, &moved.local_addr().unwrap().to_string()));
    let (first, mut watched) = watch(&moved);
    assert!(first.contains("after=0 "), "{first}");
    // Ten times any pause: the claim is that nothing comes.
    thread::sleep(Duration::from_secs(1));
    moved.set_nonblocking(true).unwrap();
    assert!(moved.accept().is_err(), "called once more");
    say(&mut watched, &(list(9, true, &[host("s-0", backend.address, "active")]) + "\n"));
    wait_for("the list", || node.ask(&request("submit", "x")).status() == 200);
}

/// A request that was sent keeps its attempt across a drain or a restart of its endpoint: it is answered once, and later
/// requests go elsewhere, in either order of the two changes.
#[test]
fn drain_and_restart_keep_attempts_in_flight() {
    for restart_first in [false, true] {
        let (release, held) = mpsc::channel::<()>();
        let held = Mutex::new(held);
        let old = Backend::start(move |_| {
            let _ = held.lock().unwrap().recv_timeout(Duration::from_secs(30));
            ok("old")
        });
        let new = Backend::start(|_| ok("new"));
        let discovery = Discovery::start();
        let node = Setup { discovery: discovery.address, ..Setup::of(&[&old]) }.start();
        let (_, lines) = discovery.next();
        let mut client = node.connect();
        client.write(&request("submit", "x"));
        wait_for("the attempt", || old.count() == 1);
        let reborn = host("s-0", old.address, "leaving").replace("\"born_ms\":0", "\"born_ms\":5");
        let drained = host("s-0", old.address, "leaving");
        let hosts = if restart_first { [reborn.clone(), reborn] } else { [drained, reborn] };
        for (seq, change) in (2..).zip(hosts) {
            lines.send(list(seq, false, &[change])).unwrap();
        }
        lines.send(list(4, false, &[host("s-1", new.address, "active")])).unwrap();
        wait_for("the new server", || node.ask(&request("submit", "y")).body == b"new");
        release.send(()).unwrap();
        assert_eq!(client.read().expect("an answer").body, b"old");
        assert_eq!(old.count(), 1);
    }
}
