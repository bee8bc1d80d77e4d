//! Races between events: a scripted peer holds one event back until the other has been seen. The table of all pairs is in
//! `docs/crossings.md`. The tests assert how often an endpoint received a request id, and what the client read.

use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use pumicehead_testbed::client_disconnect::{Disconnect, id_of, ids_at};
use pumicehead_testbed::scripted::*;
use pumicehead_testbed::slow_connect::SlowConnectListener;

const NO_CANCEL: (&str, &str) = ("\"cancel\":true", "\"cancel\":false");

/// Non-idempotent requests are in the highest tier: they are queued, and not rejected because of the queue's length.
const LOW_READ_WEIGHT: (&str, &str) = (
    "\"effect\":\"pure\",\"dedup_scope\":\"all\",\"window_ns\":5000000000,\"target_ns\":10000000000,\"deadline_ns\":20000000000,\"worth\":1.0",
    "\"effect\":\"pure\",\"dedup_scope\":\"all\",\"window_ns\":5000000000,\"target_ns\":10000000000,\"deadline_ns\":20000000000,\"worth\":0.2",
);

/// A queued request is not sent once its client has disconnected, in every way of disconnecting, with cancellation of
/// attempts or without, in a burst, and while the node drains: an endpoint that is added 0.3 s later gets none of them.
#[test]
fn queued_request_is_not_sent_after_its_client_disconnects() {
    for (changes, draining) in [
        (&[LOW_READ_WEIGHT][..], false),
        (&[LOW_READ_WEIGHT, NO_CANCEL][..], false),
        (&[LOW_READ_WEIGHT][..], true),
    ] {
        let backend = Backend::start(|_| ok("done"));
        let discovery = Discovery::start();
        let setup = Setup { discovery: discovery.address, replacements: changes, ..Setup::of(&[]) };
        let node = setup.start();
        let (_, lines) = discovery.next();
        // No endpoint is known: all requests are queued.
        let clients: Vec<_> = (0..10)
            .flat_map(|_| Disconnect::ALL)
            .map(|way| way.send_requests(node.address, "submit"))
            .collect();
        let mut staying = node.connect();
        let marker = request("submit", "marker");
        staying.write(&marker);
        if draining {
            // The node has read all requests by then; requests that come after SIGTERM are another case.
            thread::sleep(Duration::from_millis(100));
            node.terminate();
        }
        let disconnected: Vec<_> = clients.into_iter().map(|client| client.disconnect()).collect();
        // From then on no request of these clients may be sent.
        thread::sleep(Duration::from_millis(300));
        lines.send(list(2, true, &[host("s-0", backend.address, "active")])).unwrap();
        assert_eq!(staying.read().expect("a response").body, b"done");
        let received = ids_at(&backend);
        assert!(received.contains(&id_of(&marker)));
        let sent = disconnected.iter().flat_map(|client| client.ids.iter().map(|id| (id, client.disconnect)));
        let late: Vec<_> = sent.filter(|(id, _)| received.contains(id)).collect();
        assert!(
            late.is_empty(),
            "{} requests of {} disconnected clients sent, {changes:?}: {late:?}",
            late.len(),
            disconnected.len()
        );
    }
}

/// An attempt whose connection is being established is not written once its client has disconnected, with cancellation of
/// attempts or without; that of a client that still waits is.
#[test]
fn connecting_attempt_is_not_written_after_its_client_disconnects() {
    for changes in [
        &[LOW_READ_WEIGHT, ("\"dial_timeout_ns\":250000000", "\"dial_timeout_ns\":12000000000")][..],
        &[LOW_READ_WEIGHT, ("\"dial_timeout_ns\":250000000", "\"dial_timeout_ns\":12000000000"), NO_CANCEL][..],
    ] {
        let endpoint = SlowConnectListener::start();
        let address = endpoint.listener.local_addr().unwrap();
        let setup = Setup {
            endpoint_list: list(1, true, &[host("s-0", address, "active")]),
            replacements: changes,
            ..Setup::of(&[])
        };
        let mut node = setup.start();
        let ways = [Disconnect::Fin, Disconnect::HalfClose, Disconnect::Pipelined];
        let clients = ways.map(|way| way.send_requests(node.address, "submit"));
        let mut staying = node.connect();
        let marker = request("submit", "marker");
        staying.write(&marker);
        // Attempts within the endpoint's limit are connecting by now; requests that are queued are covered by the test above.
        thread::sleep(Duration::from_millis(200));
        let disconnected = clients.map(|client| client.disconnect());
        thread::sleep(Duration::from_millis(300));
        let received = endpoint.accept_connections();
        assert_eq!(staying.read().expect("a response").body, b"done");
        node.terminate();
        assert_eq!(node.wait().code(), Some(0));
        let received = received.lock().unwrap();
        let ids: Vec<_> = received.iter().filter_map(|message| message.header("x-correlation-id")).collect();
        assert_eq!(ids, [id_of(&marker)], "{changes:?}");
        assert!(disconnected.iter().flat_map(|client| &client.ids).all(|id| !ids.contains(&id.as_str())));
    }
}

/// An endpoint drains or restarts, or the deadline passes, while a connection to the endpoint is being established: nothing
/// is written to it from then on.
#[test]
fn connecting_attempt_is_not_written_to_a_removed_endpoint() {
    const LONG_CONNECT_TIMEOUT: (&str, &str) =
        ("\"dial_timeout_ns\":250000000", "\"dial_timeout_ns\":12000000000");
    for case in ["drain", "restart", "deadline"] {
        let (slow, other) = (SlowConnectListener::start(), Backend::start(|_| ok("other")));
        let address = slow.listener.local_addr().unwrap();
        let discovery = Discovery::start();
        let known = list(1, true, &[host("s-0", address, "active")]);
        let changes = &[LOW_READ_WEIGHT, LONG_CONNECT_TIMEOUT];
        let setup = Setup {
            endpoint_list: known,
            replacements: changes,
            discovery: discovery.address,
            ..Setup::of(&[])
        };
        let mut node = setup.start();
        let (_, lines) = discovery.next();
        let mut client = node.connect();
        let left = if case == "deadline" { "X-Time-Left: 500m\r\n" } else { "X-Time-Left: 15000m\r\n" };
        client.write(&request_with("submit", "x", left));
        // The attempt is connecting by now.
        thread::sleep(Duration::from_millis(200));
        // A restarted endpoint has another address here: else attempts made after the restart would be written to the same
        // listener.
        let changed = match case {
            "drain" => host("s-0", address, "leaving"),
            "restart" => host("s-0", other.address, "active").replace("\"born_ms\":0", "\"born_ms\":5"),
            _ => host("s-0", address, "active"),
        };
        let hosts = [changed, host("s-1", other.address, "active")];
        if case != "deadline" {
            lines.send(list(2, false, &hosts)).unwrap();
            wait_for("the new list", || node.ask(&request("submit", "y")).body == b"other");
        }
        let status = (case == "deadline").then(|| client.read().expect("a response").status());
        assert!(status.is_none_or(|status| status != 200));
        let received = slow.accept_connections();
        if case != "deadline" {
            assert_eq!(client.read().expect("a response").body, b"other", "{case}");
        }
        node.terminate();
        assert_eq!(node.wait().code(), Some(0));
        assert_eq!(received.lock().unwrap().len(), 0, "{case}");
    }
}

/// A retry that starts within the window in which endpoints recognise it by its idempotency key, but whose connection is
/// established only after that window, is not written. With a long window the same attempt is.
#[test]
fn retry_is_not_written_after_its_idempotency_window() {
    const LONG_CONNECT_TIMEOUT: (&str, &str) =
        ("\"dial_timeout_ns\":250000000", "\"dial_timeout_ns\":12000000000");
    const SHORT_WINDOW: (&str, &str) = ("\"window_ns\":5000000000", "\"window_ns\":1000000000");
    const LONG_WINDOW: (&str, &str) = ("\"window_ns\":5000000000", "\"window_ns\":60000000000");
    for (changes, is_written) in
        [(&[SHORT_WINDOW, LONG_CONNECT_TIMEOUT], false), (&[LONG_WINDOW, LONG_CONNECT_TIMEOUT], true)]
    {
        let (release, released) = mpsc::channel::<()>();
        let released = Mutex::new(released);
        let first = Backend::start(move |_| {
            let _ = released.lock().unwrap().recv_timeout(Duration::from_secs(30));
            // The request may have been executed.
            Act::WriteAndClose(String::new())
        });
        let (slow, discovery) = (SlowConnectListener::start(), Discovery::start());
        let node =
            Setup { replacements: changes, discovery: discovery.address, ..Setup::of(&[&first]) }.start();
        let (_, lines) = discovery.next();
        let mut client = node.connect();
        let put = request("put", "x");
        let since = Instant::now();
        client.write(&put);
        wait_for("the first attempt", || first.count() == 1);
        lines.send(list(2, false, &[host("s-1", slow.listener.local_addr().unwrap(), "active")])).unwrap();
        release.send(()).unwrap();
        // The retry starts to connect within the window, and its connection is established after the window.
        thread::sleep(Duration::from_millis(1_200).saturating_sub(since.elapsed()));
        let received = slow.accept_connections();
        let status = client.read().expect("a response").status();
        let count = received
            .lock()
            .unwrap()
            .iter()
            .filter(|message| message.header("x-correlation-id") == Some(&id_of(&put)))
            .count();
        assert_eq!((status == 200, count), (is_written, usize::from(is_written)), "{status}");
    }
}

/// A client disconnects while its attempt is in flight, and the attempt is then rejected: although the request was not
/// executed, there is no retry, since no client waits for it.
#[test]
fn no_attempt_follows_after_the_client_disconnects() {
    for changes in [&[LOW_READ_WEIGHT][..], &[LOW_READ_WEIGHT, NO_CANCEL][..]] {
        let (release, released) = mpsc::channel::<()>();
        let released = Arc::new(Mutex::new(released));
        let backends = [(); 2].map(|()| {
            let released = released.clone();
            Backend::start(move |message| {
                if message.body == b"marker" {
                    return ok("done");
                }
                let _ = released.lock().unwrap().recv_timeout(Duration::from_secs(30));
                Act::Write(answer("503 Service Unavailable", "X-Unprocessed: 1\r\n", ""))
            })
        });
        let node = Setup { replacements: changes, ..Setup::of(&backends.each_ref()) }.start();
        let text = request("submit", "x");
        let mut client = node.connect();
        client.write(&text);
        let count = || backends.iter().flat_map(ids_at).filter(|received| *received == id_of(&text)).count();
        wait_for("the attempt", || count() == 1);
        drop(client);
        thread::sleep(Duration::from_millis(300));
        release.send(()).unwrap();
        for _ in 0..4 {
            assert_eq!(node.ask(&request("submit", "marker")).body, b"done");
        }
        assert_eq!(count(), 1, "{changes:?}");
    }
}

/// The id of a request whose client has disconnected stays in use while its attempt is in flight: a second request with
/// the same id would repeat the effect.
#[test]
fn id_of_an_attempt_in_flight_is_rejected_as_duplicate() {
    let (release, released) = mpsc::channel::<()>();
    let released = Mutex::new(released);
    let backend = Backend::start(move |_| {
        let _ = released.lock().unwrap().recv_timeout(Duration::from_secs(30));
        ok("done")
    });
    let node = Setup { replacements: &[NO_CANCEL], ..Setup::of(&[&backend]) }.start();
    let text = request("submit", "x");
    let mut first = node.connect();
    first.write(&text);
    wait_for("the attempt", || backend.count() == 1);
    drop(first);
    // Before and after the node has noticed the disconnect.
    for _ in 0..20 {
        assert_eq!(node.ask(&text).status(), 409);
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(backend.count(), 1);
    release.send(()).unwrap();
    release.send(()).unwrap();
    wait_for("the id to be free", || node.ask(&text).status() == 200);
}

/// An endpoint sends a second response some milliseconds after the first. It must not reach the next request: nothing in a
/// response names its request. The node sees one such response on an idle connection; from then on the endpoint holds the
/// second response back until the next request has come. If the node reused the connection within the time in which second
/// responses come by the platform's protocol, that request would get it.
#[test]
fn late_second_response_is_given_to_no_request() {
    // Longest delay of a second response: some milliseconds by the platform's protocol.
    const SECOND_RESPONSE_DELAY: Duration = Duration::from_millis(10);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let last: Arc<Mutex<Option<(usize, Instant, TcpStream)>>> = Arc::default();
    let (reuses, quick_requests) = (Arc::new(Mutex::new(0)), Arc::new(Mutex::new(0)));
    let counts = (reuses.clone(), quick_requests.clone());
    let (second_sent, second_response) = mpsc::channel();
    let second_sent = Arc::new(Mutex::new(second_sent));
    thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let (mut stream, last) = (stream.unwrap(), last.clone());
            let ((reuses, quick_requests), second_sent) = (counts.clone(), second_sent.clone());
            thread::spawn(move || {
                let mut input = BufReader::new(stream.try_clone().unwrap());
                while let Some(message) = Message::read(&mut input) {
                    let (now, mut last) = (Instant::now(), last.lock().unwrap());
                    if let Some((before, at, mut previous)) =
                        last.take().filter(|(_, at, _)| now < *at + SECOND_RESPONSE_DELAY)
                    {
                        *quick_requests.lock().unwrap() += 1;
                        *reuses.lock().unwrap() += usize::from(before == number);
                        assert!(at <= now);
                        let _ = previous.write_all(answer("200 OK", "", "late").as_bytes());
                    }
                    let body = String::from_utf8(message.body).unwrap();
                    if body == "first" {
                        drop(last);
                        stream.write_all(answer("200 OK", "", &body).as_bytes()).unwrap();
                        // The client sends nothing until the second response is written, for which the node closes the
                        // connection.
                        thread::sleep(3 * SECOND_RESPONSE_DELAY);
                        stream.write_all(answer("200 OK", "", "late").as_bytes()).unwrap();
                        second_sent.lock().unwrap().send(()).unwrap();
                        continue;
                    }
                    *last = Some((number, Instant::now(), stream.try_clone().unwrap()));
                    if stream.write_all(answer("200 OK", "", &body).as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    let node =
        Setup { endpoint_list: list(1, true, &[host("s-0", address, "active")]), ..Setup::of(&[]) }.start();
    let mut client = node.connect();
    client.write(&request("submit", "first"));
    assert_eq!(client.read().expect("a response").body, b"first");
    second_response.recv_timeout(Duration::from_secs(30)).unwrap();
    let mut sent = 0;
    // On a busy machine some requests follow later than that, and prove nothing.
    wait_for("requests that follow quickly enough", || {
        for _ in 0..20 {
            sent += 1;
            let body = format!("mine {sent}");
            client.write(&request("submit", &body));
            let answer = client.read().expect("a response");
            assert_eq!(String::from_utf8(answer.body).unwrap(), body);
        }
        *quick_requests.lock().unwrap() >= 10
    });
    assert_eq!(
        *reuses.lock().unwrap(),
        0,
        "connections reused, of {} requests that followed quickly",
        quick_requests.lock().unwrap()
    );
}

/// Guards against the reuse of a connection within the time in which second responses come, before any has been seen. The
/// endpoint holds a second response back until the next request on the connection has come in that time.
#[test]
fn first_late_second_response_is_given_to_no_request() {
    // Longest delay of a second response: some milliseconds by the platform's protocol.
    const SECOND_RESPONSE_DELAY: Duration = Duration::from_millis(10);
    const REQUESTS: usize = 200;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (reuses, early_reuses) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let counts = (reuses.clone(), early_reuses.clone());
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, (reuses, early_reuses)) = (stream.unwrap(), counts.clone());
            thread::spawn(move || {
                let mut input = BufReader::new(stream.try_clone().unwrap());
                let mut last_response = None;
                while let Some(message) = Message::read(&mut input) {
                    if let Some(last) = last_response {
                        reuses.fetch_add(1, Ordering::SeqCst);
                        if Instant::now() < last + SECOND_RESPONSE_DELAY {
                            early_reuses.fetch_add(1, Ordering::SeqCst);
                            let _ = stream.write_all(answer("200 OK", "", "late").as_bytes());
                        }
                    }
                    let body = String::from_utf8(message.body).unwrap();
                    // The node can't have read the response earlier than this.
                    last_response = Some(Instant::now());
                    if stream.write_all(answer("200 OK", "", &body).as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    let node =
        Setup { endpoint_list: list(1, true, &[host("s-0", address, "active")]), ..Setup::of(&[]) }.start();
    let mut client = node.connect();
    for number in 0..REQUESTS {
        let body = format!("mine {number}");
        client.write(&request("submit", &body));
        let answer = client.read().expect("a response");
        assert_eq!(String::from_utf8(answer.body).unwrap(), body);
    }
    assert!(reuses.load(Ordering::SeqCst) > 0, "no connection was reused");
    assert_eq!(early_reuses.load(Ordering::SeqCst), 0);
}

/// A process with deadlines of some tenths of a second exits while clients send on each connection that is still open.
/// Each request that reached an endpoint has its response.
#[test]
fn request_read_at_process_exit_is_answered() {
    // On a busy machine clients may send too late for any response; such a round proves nothing.
    assert!((0..5).any(|_| responses_around_exit() > 0), "no client sent its request in time");
}

/// Has clients send requests until after the process has exited. Returns the number of responses.
fn responses_around_exit() -> usize {
    let backend = Backend::start(|_| {
        thread::sleep(Duration::from_millis(15));
        ok("done")
    });
    let hosts: Vec<_> = (0..40).map(|n| host(&format!("s-{n}"), backend.address, "active")).collect();
    let setup = Setup {
        latency_objective_ms: 250,
        replacements: &[
            ("\"deadline_ns\":20000000000", "\"deadline_ns\":300000000"),
            ("\"sockets\":256", "\"sockets\":1024"),
        ],
        endpoint_list: list(1, true, &hosts),
        ..Setup::of(&[])
    };
    let mut node = setup.start();
    let address = node.address;
    let terminated = Instant::now();
    node.terminate();
    // Clients connect while the node still accepts. They send one after the other, half a millisecond apart, from 0.7 s after
    // the signal until after the process has exited.
    let threads: Vec<_> = (0..10)
        .map(|part| {
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(250));
                let mut open: Vec<_> = (0..40).filter_map(|_| TcpStream::connect(address).ok()).collect();
                let mut sent = Vec::new();
                for (step, client) in open.iter_mut().enumerate() {
                    let at = terminated + Duration::from_micros(700_000 + 500 * (step * 10 + part) as u64);
                    thread::sleep(at.saturating_duration_since(Instant::now()));
                    let text = request_with("submit", "x", "X-Time-Left: 300m\r\n");
                    sent.push((id_of(&text), client.write_all(text.as_bytes()).is_ok()));
                }
                let answered = open.iter_mut().map(|client| {
                    let mut whole = Vec::new();
                    let _ = client.read_to_end(&mut whole);
                    String::from_utf8_lossy(&whole).starts_with("HTTP/1.1 ")
                });
                sent.into_iter().zip(answered.collect::<Vec<_>>()).collect::<Vec<_>>()
            })
        })
        .collect();
    let sent: Vec<_> = threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect();
    assert_eq!(node.wait().code(), Some(0));
    let received = ids_at(&backend);
    let lost: Vec<_> = sent.iter().filter(|((id, _), answered)| received.contains(id) && !answered).collect();
    assert!(
        lost.is_empty(),
        "{} of {} requests that reached an endpoint have no response: {lost:?}",
        lost.len(),
        received.len()
    );
    sent.iter().filter(|(_, answered)| *answered).count()
}

/// Rejections by the listener itself have a `Retry-After` within the settings' maximum, and none where the settings disable
/// it.
#[test]
fn retry_after_is_sent_as_the_settings_allow() {
    let none = &[("\"retry_after\":true", "\"retry_after\":false")][..];
    let longer = &[("\"max_retry_after_ns\":2000000000", "\"max_retry_after_ns\":3000000000")][..];
    for (changes, advice) in [(none, None), (longer, Some("0.750"))] {
        let backend = Backend::start(|_| Act::Hang);
        let node =
            Setup { ceilings: r#","most_held":1"#, replacements: changes, ..Setup::of(&[&backend]) }.start();
        let mut first = node.connect();
        first.write(&request("submit", "x"));
        wait_for("the first attempt", || backend.count() == 1);
        let answer = node.ask(&request("submit", "x"));
        assert_eq!((answer.status(), answer.header("retry-after")), (503, advice));
    }
}

/// Settings of another deployment: the idempotency of a class comes from the settings, whatever its name; there are two
/// attempts at most and never two at once, none is cancelled, and rejections have no `Retry-After`.
#[test]
fn class_idempotency_comes_from_the_settings() {
    const CHANGES: &[(&str, &str)] = &[
        NO_CANCEL,
        ("\"retry_after\":true", "\"retry_after\":false"),
        ("\"parallel_tries\":true", "\"parallel_tries\":false"),
        ("\"max_attempts\":3", "\"max_attempts\":2"),
        ("\"zones\":[\"a\",\"b\"]", "\"zones\":[\"norte\",\"a\",\"sur\"]"),
        ("\"name\":\"read\",\"effect\":\"pure\"", "\"name\":\"lookup\",\"effect\":\"side_effect\""),
        ("\"name\":\"submit\",\"effect\":\"side_effect\"", "\"name\":\"post-mark\",\"effect\":\"pure\""),
        ("\"name\":\"put\"", "\"name\":\"get\""),
        ("\"dedup_scope\":\"all\"", "\"dedup_scope\":\"zone\""),
    ];
    let [one, other] = [(); 2].map(|()| {
        let gauge = Gauge::default();
        let every_second_fails =
            |call: usize| if call.is_multiple_of(2) { Act::WriteAndClose(String::new()) } else { ok("done") };
        Backend::start(move |_| gauge.serve(|_| Duration::ZERO, every_second_fails))
    });
    let node = Setup { replacements: CHANGES, ..Setup::of(&[&one, &other]) }.start();
    let ask = |class: &str, method: &str| {
        let text = request(class, "");
        let text = text.replacen(text.split(' ').next().unwrap(), method, 1);
        (id_of(&text), node.ask(&text))
    };
    for (class, wrong_method) in [("lookup", "GET"), ("post-mark", "POST"), ("get", "GET")] {
        assert_eq!(ask(class, wrong_method).1.status(), 405, "{class}");
    }
    assert_eq!(ask("read", "GET").1.status(), 404);
    let attempts = |id: &str| ids_at(&one).iter().chain(&ids_at(&other)).filter(|seen| *seen == id).count();
    let (mut failed, mut retried) = (0, 0);
    wait_for("a failed and a retried request, twice each", || {
        let (id, answer) = ask("lookup", "POST");
        // A request whose connection broke may have been executed: it is neither retried nor rejected.
        let rejected = matches!(answer.status(), 429 | 503);
        assert_eq!(attempts(&id), usize::from(!rejected), "{answer:?}");
        assert!(!rejected || answer.header("retry-after").is_none());
        failed += usize::from(answer.status() != 200 && !rejected);
        let (id, answer) = ask("post-mark", "GET");
        assert!(attempts(&id) <= 2, "more than two attempts");
        retried += usize::from(attempts(&id) == 2 && answer.status() == 200);
        assert!(attempts(&ask("get", "POST").0) <= 2);
        failed >= 2 && retried >= 2
    });
}
