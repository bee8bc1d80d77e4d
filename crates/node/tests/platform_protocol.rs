//! A node on the platform's protocol, on loopback sockets with scripted backends and a scripted discovery service.

use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::Duration;

use pumicehead_testbed::scripted::*;

/// Whether a response says that the request was not executed, so that the client may retry it.
fn is_rejection(status: u16) -> bool {
    matches!(status, 429 | 503)
}

fn is_failure(status: u16) -> bool {
    status != 200 && !is_rejection(status)
}

/// Guards that method, path, query, body and ids of a request are forwarded unchanged, and so is the body of the response.
#[test]
fn a_request_is_served() {
    let backend = Backend::start(|_| ok("rank 1\r\n\0"));
    let node = Setup::of(&[&backend]).start();
    assert_eq!(node.ask("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n").status(), 200);
    let mut client = node.connect();
    for _ in 0..3 {
        client.write(&request("submit", "time=1:02"));
        let answer = client.read().unwrap();
        assert_eq!((answer.status(), answer.body.as_slice()), (200, b"rank 1\r\n\0".as_slice()));
    }
    let seen = backend.seen.lock().unwrap().clone();
    assert_eq!(seen.len(), 3);
    assert_eq!(
        (seen[0].first.as_str(), seen[0].body.as_slice()),
        ("POST /submit/7f3a?x=1 HTTP/1.1", &b"time=1:02"[..])
    );
    assert!(seen[0].header("x-correlation-id").is_some_and(|id| id.starts_with("9b1f")));
    assert_eq!(seen[0].header("idempotency-key"), Some("5c0f"));
    assert!(seen[0].header("x-time-left").is_some_and(|left| left.ends_with('u')));
    // A new connection is work for a backend: the connection is kept between the three requests.
    assert_eq!(backend.closed(), 0);
}

/// Guards that a queued request whose time is nearly up is rejected with `Retry-After`, and not by closing the connection.
#[test]
fn a_request_without_a_backend_is_rejected_with_retry_after() {
    let node = Setup { latency_objective_ms: 300, ..Setup::of(&[]) }.start();
    let answer = node.ask(&request("read", ""));
    assert!(is_rejection(answer.status()), "{answer:?}");
    assert_eq!(answer.header("retry-after"), Some("0.500"));
}

/// Guards that a non-idempotent request that may have been executed is not retried and not rejected: after a reset or an
/// error. A 503 without `X-Unprocessed: 1` is such an error, and so is a response that is truncated, too long or not HTTP.
#[test]
fn a_non_idempotent_request_that_may_have_run_is_not_retried() {
    let too_long = "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nendless".into();
    let responses = [
        String::new(),
        answer("500 Internal Server Error", "", ""),
        answer("503 Service Unavailable", "", ""),
        answer("504 Gateway Timeout", "X-Unprocessed: 0\r\n", ""),
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf".into(),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n".into(),
        "HTTP/1.1 200 OK\r\n\r\nwho knows where it ends".into(),
        "nonsense\r\n\r\n".into(),
        too_long,
    ];
    for response in responses {
        let written = response.clone();
        let script = move |_: &Message| Act::WriteAndClose(written.clone());
        let (one, other) = (Backend::start(script.clone()), Backend::start(script));
        let node = Setup::of(&[&one, &other]).start();
        let answer = node.ask(&request("submit", "x"));
        let start: String = response.chars().take(60).collect();
        assert!(is_failure(answer.status()), "{start}: {answer:?}");
        assert_eq!(one.count() + other.count(), 1, "{start}");
    }
}

/// Guards that a request is retried where it was certainly not executed: after `X-Unprocessed: 1` and refused connections.
#[test]
fn a_request_that_was_not_executed_is_retried() {
    let full = Backend::start(|_| Act::Write(answer("503 Service Unavailable", "X-Unprocessed: 1\r\n", "")));
    let good = Backend::start(|_| ok("done"));
    let hosts = [
        host("s-full", full.address, "active"),
        host("s-dead", refusing(), "active"),
        host("s-good", good.address, "active"),
    ];
    let node = Setup { endpoint_list: list(1, true, &hosts), ..Setup::of(&[]) }.start();
    for n in 1..=4 {
        assert_eq!(node.ask(&request("submit", "x")).status(), 200);
        assert_eq!(good.count(), n);
    }
}

/// Guards that no request is sent, and lost, on an idle connection that the backend has closed.
#[test]
fn an_idle_connection_that_was_closed_is_not_used() {
    let backend = Backend::start(|_| Act::WriteAndClose(answer("200 OK", "", "done")));
    let node = Setup::of(&[&backend]).start();
    for n in 1..=5 {
        assert_eq!(node.ask(&request("submit", "x")).status(), 200);
        wait_for("the backend to close the connection", || backend.closed() == n);
    }
}

/// Guards that a client's disconnect cancels its attempt, by closing the connection to the backend.
#[test]
fn a_client_disconnect_cancels_the_attempt() {
    let backend = Backend::start(|_| Act::Hang);
    let node = Setup::of(&[&backend]).start();
    let mut client = node.connect();
    client.write(&request("submit", "x"));
    wait_for("the attempt", || backend.count() == 1);
    assert_eq!(backend.closed(), 0);
    drop(client);
    wait_for("the attempt to be cancelled", || backend.closed() == 1);
}

/// Guards that a request whose backend is silent has a response at its deadline.
#[test]
fn a_request_at_a_silent_backend_is_answered_at_its_deadline() {
    let backend = Backend::start(|_| Act::Hang);
    let node = Setup::of(&[&backend]).start();
    let answer = node.ask(&request_with("submit", "x", "X-Time-Left: 250000.5u\r\n"));
    assert!(is_failure(answer.status()), "{answer:?}");
    assert_eq!(backend.count(), 1);
    wait_for("the attempt to be cancelled", || backend.closed() == 1);
}

/// Guards that a backend that drains gets no new requests, and that idle connections to it are closed.
#[test]
fn a_draining_backend_gets_no_new_requests() {
    let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
    let discovery = Discovery::start();
    let node = Setup { discovery: discovery.address, ..Setup::of(&[&old]) }.start();
    let (first, lines) = discovery.next();
    assert_eq!(first, "GET /v1/servers?watch=1&after=1 HTTP/1.1");
    assert_eq!(node.ask(&request("submit", "x")).body, b"old");
    let hosts = [host("s-0", old.address, "leaving"), host("s-new", new.address, "active")];
    lines.send(list(2, false, &hosts)).unwrap();
    wait_for("the idle connection to be closed", || old.closed() == 1);
    for _ in 0..10 {
        assert_eq!(node.ask(&request("submit", "x")).body, b"new");
    }
    assert_eq!(old.count(), 1);
}

/// Guards that a watch that ends, or sends an invalid list, is restarted from the last version, and that the node goes on
/// running.
#[test]
fn a_watch_that_ends_or_is_invalid_is_restarted() {
    let backend = Backend::start(|_| ok("found"));
    let discovery = Discovery::start();
    let mut node = Setup { discovery: discovery.address, ..Setup::of(&[]) }.start();
    let (_, lines) = discovery.next();
    lines.send(list(7, true, &[])).unwrap();
    drop(lines);
    let (first, lines) = discovery.next();
    assert!(first.contains("after=7 "), "{first}");
    lines.send("{\"seq\":8,\"whole\":true,\"hosts\":[{}]}".into()).unwrap();
    let (first, lines) = discovery.next();
    assert!(first.contains("after=7 "), "{first}");
    let unknown_zone =
        host("s-0", backend.address, "active").replace("\"site\":\"a\"", "\"site\":\"nowhere\"");
    lines.send(list(9, false, &[unknown_zone])).unwrap();
    let (first, lines) = discovery.next();
    assert!(first.contains("after=7 "), "{first}");
    assert!(node.is_running());
    lines.send(list(10, false, &[host("s-0", backend.address, "active")])).unwrap();
    // Until the list has arrived, requests may be rejected.
    wait_for("the new backend", || node.ask(&request("submit", "x")).body == b"found");
}

/// Guards the planned restart: requests in flight are answered, and so are those right after SIGTERM, with
/// `Connection: close`; idle connections are closed; the exit code is 0. There are two backends, since the limit of one
/// starts at a single attempt: whether it has risen by then depends on timing, and the late request must not wait for the
/// slow one.
#[test]
fn sigterm_finishes_requests_in_flight() {
    let (release, released) = mpsc::channel::<()>();
    let released = Arc::new(Mutex::new(released));
    let script = move |message: &Message| {
        if message.body == b"slow" {
            let _ = released.lock().unwrap().recv_timeout(Duration::from_secs(30));
        }
        ok("done")
    };
    let (one, other) = (Backend::start(script.clone()), Backend::start(script));
    let mut node = Setup::of(&[&one, &other]).start();
    let mut idle = node.connect();
    idle.write(&request("submit", "quick"));
    assert_eq!(idle.read().unwrap().status(), 200);
    let mut busy = node.connect();
    busy.write(&request("submit", "slow"));
    wait_for("the slow attempt", || one.count() + other.count() == 2);
    node.terminate();
    assert!(idle.at_end());
    let late = node.ask(&request("submit", "late"));
    assert_eq!((late.status(), late.header("connection")), (200, Some("close")));
    release.send(()).unwrap();
    let answer = busy.read().unwrap();
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert_eq!(node.wait().code(), Some(0));
}

/// Guards that a planned restart ends, before the platform would send SIGKILL, although a backend is silent: the requests at
/// that backend are answered with a failure.
#[test]
fn sigterm_ends_the_process_despite_a_silent_backend() {
    let backend = Backend::start(|_| Act::Hang);
    let mut node = Setup::of(&[&backend]).start();
    let mut clients = [node.connect(), node.connect()];
    for client in &mut clients {
        client.write(&request("submit", "x"));
    }
    wait_for("an attempt (the other request may be queued)", || backend.count() >= 1);
    node.terminate();
    for mut client in clients {
        assert!(is_failure(client.read().expect("a response").status()));
    }
    assert_eq!(node.wait().code(), Some(0));
}

/// Guards that invalid requests do not end the process, and that each fault has its status code.
#[test]
fn invalid_requests_are_answered_with_their_status() {
    let backend = Backend::start(|_| ok("done"));
    let mut node = Setup::of(&[&backend]).start();
    let valid = request("submit", "x");
    let without = |name: &str| {
        let lines = valid.split("\r\n").filter(|line| !line.starts_with(name));
        lines.collect::<Vec<_>>().join("\r\n")
    };
    let time = |left: &str| request_with("submit", "x", &format!("X-Time-Left: {left}\r\n"));
    let cases = [
        (without("X-Correlation-Id"), 400),
        (without("X-Service-Class"), 400),
        (without("X-Time-Left"), 400),
        (request("put", "x").replace("Idempotency-Key", "Other"), 400),
        (valid.replace("Class: submit", "Class: read"), 400),
        (time("480"), 400),
        (time("-1m"), 400),
        (time("NaNm"), 400),
        (time("1e400u"), 400),
        (time("m"), 400),
        (valid.replace("X-Facts: a=1", "X-Weight-Hint: much"), 400),
        (valid.replace("Class: submit", "Class: other"), 404),
        (valid.replace("/submit/7f3a", "/other/7f3a"), 404),
        (valid.replace("/submit/7f3a", "/"), 404),
        (valid.replace("/submit/7f3a", "http://else.where/submit/7f3a"), 404),
        (valid.replace("X-Facts: a=1", "X-Correlation-Id: 9b2e"), 400),
        (valid.replace("POST", "DELETE"), 405),
        (valid.replace("POST", "GET"), 405),
        (request("read", "").replace("GET", "POST"), 405),
        (request("read", "x"), 405),
        ("\u{1}\r\n\r\n".into(), 400),
    ];
    for (text, status) in cases {
        assert_eq!(node.ask(&text).status(), status, "{text}");
    }
    assert_eq!(backend.count(), 0);
    assert!(node.is_running());
    assert_eq!(node.ask(&valid).status(), 200);
}

/// Guards that requests that arrive together on one connection are all answered, in order.
#[test]
fn pipelined_requests_are_all_answered() {
    let backend = Backend::start(|message| ok(std::str::from_utf8(&message.body).unwrap()));
    let node = Setup::of(&[&backend]).start();
    let mut client = node.connect();
    client.write(&["a", "b", "c"].map(|body| request("submit", body)).concat());
    for body in [b"a", b"b", b"c"] {
        assert_eq!(client.read().unwrap().body, body);
    }
}

/// Guards the limit of requests that a node holds: requests beyond it are rejected at once, with `Retry-After`.
#[test]
fn requests_beyond_the_limit_are_rejected_with_retry_after() {
    let backend = Backend::start(|_| Act::Hang);
    let node = Setup { ceilings: r#","most_held":1"#, ..Setup::of(&[&backend]) }.start();
    let mut first = node.connect();
    first.write(&request("submit", "x"));
    wait_for("the first attempt", || backend.count() == 1);
    let answer = node.ask(&request("submit", "x"));
    assert!(is_rejection(answer.status()) && answer.header("retry-after").is_some(), "{answer:?}");
}

/// Guards that a node accepts new connections although far more idle ones were opened than it has descriptors.
#[test]
fn idle_connections_are_closed_for_new_ones() {
    let backend = Backend::start(|_| ok("done"));
    let node = Setup::of(&[&backend]).start();
    let clients: Vec<_> = (0..400)
        .map(|_| {
            let mut client = node.connect();
            client.write(&request("submit", "x"));
            let answer = client.read().unwrap();
            assert!(matches!(answer.status(), 200 | 503), "{answer:?}");
            client
        })
        .collect();
    thread::sleep(Duration::from_millis(100));
    assert_eq!(node.ask(&request("submit", "x")).status(), 200);
    drop(clients);
}

/// Guards that a missing or invalid configuration is reported in one line, with a non-zero exit code.
#[test]
fn an_invalid_configuration_is_reported_and_ends_the_process() {
    let without_classes =
        r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"zz","settings":{"classes":[]}}"#;
    for text in [
        "",
        "{}",
        without_classes,
        &without_classes.replace("[]", r#"[{"effect":"pure","deadline_ns":1,"target_ns":1}]"#),
    ] {
        let (code, output) = run_with(text);
        assert_eq!((code, output.lines().count()), (Some(1), 1), "{output}");
        assert!(output.starts_with("pumicehead: configuration"), "{output}");
    }
}

/// Guards that a request with the id of an open request is answered with an error and not forwarded: otherwise one id would
/// have two responses. Once the first request is over, the id may be used again.
#[test]
fn the_id_of_an_open_request_is_rejected_as_duplicate() {
    let (release, released) = mpsc::channel::<()>();
    let released = std::sync::Mutex::new(released);
    let backend = Backend::start(move |_| {
        let _ = released.lock().unwrap().recv_timeout(Duration::from_secs(30));
        ok("done")
    });
    let node = Setup::of(&[&backend]).start();
    let text = request("submit", "x");
    let mut first = node.connect();
    first.write(&text);
    wait_for("the attempt", || backend.count() == 1);
    assert_eq!(node.ask(&text).status(), 409);
    assert_eq!(backend.count(), 1);
    release.send(()).unwrap();
    assert_eq!(first.read().unwrap().status(), 200);
    release.send(()).unwrap();
    assert_eq!(node.ask(&text).status(), 200);
}

/// Guards against request smuggling: a request whose end is given in two ways, in either order, is not forwarded. The HTTP
/// library drops one of the two headers before it passes them on.
#[test]
fn a_request_with_ambiguous_framing_is_rejected() {
    let backend = Backend::start(|_| ok("done"));
    let node = Setup::of(&[&backend]).start();
    let (length, chunked) = ("Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n");
    let hidden = request("submit", "hidden");
    let body = format!("0\r\n\r\n{hidden}");
    for fields in [[length, chunked], [chunked, length], [length, length]] {
        let text = request_with("submit", "", &format!("X-Time-Left: 900m\r\n{}", fields.concat())) + &body;
        let mut client = node.connect();
        // Also when it is pipelined behind a valid request.
        client.write(&(request("submit", "x") + &text));
        assert_eq!(client.read().unwrap().status(), 200);
        let answer = client.read().unwrap();
        assert_eq!((answer.status(), answer.header("connection")), (400, Some("close")), "{fields:?}");
        assert!(client.at_end());
    }
    assert_eq!(backend.count(), 3);
    // Chunked encoding alone is valid.
    let text = request_with("submit", "", &format!("X-Time-Left: 900m\r\n{chunked}")) + "1\r\nx\r\n0\r\n\r\n";
    assert_eq!(node.ask(&text).status(), 200);
}

/// Guards that the connection of a client that is silent, or stops within a request, is closed in a few seconds.
#[test]
fn connections_of_stalled_clients_are_closed() {
    let backend = Backend::start(|_| ok("done"));
    let node = Setup::of(&[&backend]).start();
    let valid = request("submit", "x");
    let partial_body = valid.replace("Content-Length: 1", "Content-Length: 9");
    let huge_body = valid.replace("Content-Length: 1", "Content-Length: 60000000");
    let invalid_length = valid.replace("Content-Length: 1", "Content-Length: -1");
    let starts = ["", "POST /sub", &valid[..valid.len() - 3], &partial_body, &huge_body, &invalid_length];
    let mut clients = starts.map(|start| {
        let mut client = node.connect();
        client.write(start);
        client
    });
    // An earlier version waited 10 s for a body, and without limit for a silent client.
    for (client, start) in clients.iter_mut().zip(starts) {
        assert!(client.ends_within(Duration::from_secs(6)), "{start}");
    }
    let mut used = node.connect();
    used.write(&valid);
    assert_eq!(used.read().unwrap().status(), 200);
    used.write("POST /sub");
    assert!(used.ends_within(Duration::from_secs(6)));
    assert_eq!(backend.count(), 1);
}

/// Guards that requests are served although more connections that never send anything are open than the node has descriptors.
#[test]
fn silent_connections_are_closed_for_new_ones() {
    let backend = Backend::start(|_| ok("done"));
    let node = Setup::of(&[&backend]).start();
    let start = std::time::Instant::now();
    for _ in 0..4 {
        let silent: Vec<_> = (0..400).map(|_| node.connect()).collect();
        assert_eq!(node.ask(&request("submit", "x")).status(), 200);
        drop(silent);
    }
    // It takes a few hundred milliseconds; it took 80 s when silent connections were closed after 10 s only.
    assert!(start.elapsed() < Duration::from_secs(20));
}

/// Guards reloads: on SIGHUP the watch moves to the address in the configuration file, whatever the environment had at the
/// start. A malformed file changes nothing, requests are served meanwhile, and further signals have no effect.
#[test]
fn sighup_moves_the_watch() {
    let (old, new) = (Backend::start(|_| ok("old")), Backend::start(|_| ok("new")));
    let (before, after) = (Discovery::start(), Discovery::start());
    let setup = Setup { discovery: before.address, ..Setup::of(&[&old]) };
    let mut node = setup.start_by_environment();
    let (_, _lines) = before.next();
    let config = node.config();
    node.reload("{");
    node.reload("{");
    assert_eq!(node.ask(&request("submit", "x")).body, b"old");
    let moved = config.replace(&before.address.to_string(), &after.address.to_string());
    assert_ne!(config, moved);
    node.reload(&moved);
    let (first, lines) = after.next();
    // The versions of the new service need not be those of the old one.
    assert!(first.contains("after=0 "), "{first}");
    node.reload(&moved);
    assert_eq!(node.ask(&request("submit", "x")).body, b"old");
    lines.send(list(5, true, &[host("s-new", new.address, "active")])).unwrap();
    wait_for("the new list", || node.ask(&request("submit", "x")).body == b"new");
    node.reload(&moved);
    node.terminate();
    node.reload(&moved);
    assert_eq!(node.wait().code(), Some(0));
}

/// Guards that a backend that rejected requests for a while is used again where all requests are non-idempotent: one of them
/// probes it, which is safe since a rejected request is not executed. Such a backend used to stay ejected for good.
#[test]
fn a_backend_that_rejected_requests_is_used_again() {
    let rejecting = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(true));
    let is_rejecting = rejecting.clone();
    let rejected = Backend::start(move |_| match is_rejecting.load(std::sync::atomic::Ordering::SeqCst) {
        true => Act::Write(answer("503 Service Unavailable", "X-Unprocessed: 1\r\n", "")),
        false => ok("back"),
    });
    let healthy = Backend::start(|_| {
        thread::sleep(Duration::from_millis(30));
        ok("done")
    });
    let node = Setup::of(&[&healthy, &rejected]).start();
    // Several requests at once: otherwise the healthy backend takes all of them.
    let send_and_count_served = || {
        let mut clients: Vec<_> = (0..6).map(|_| node.connect()).collect();
        clients.iter_mut().for_each(|client| client.write(&request("submit", "x")));
        let answers = clients.iter_mut().filter_map(Client::read);
        answers.filter(|answer| answer.body == b"back").count()
    };
    wait_for("rejected attempts", || send_and_count_served() == 0 && rejected.count() >= 3);
    rejecting.store(false, std::sync::atomic::Ordering::SeqCst);
    wait_for("requests at the backend", || send_and_count_served() > 0);
}

/// Guards responses longer than the platform's protocol allows, which healthy backends do send. They used to be cut at 64 KiB:
/// each failed its request and counted as a failure of its backend, until most backends were ejected.
#[test]
fn a_response_over_the_protocols_limit_is_forwarded() {
    let long = "x".repeat(400_000);
    let body = long.clone();
    let backend = Backend::start(move |_| ok(&body));
    let node = Setup::of(&[&backend]).start();
    // Together they are larger than the memory budget for long bodies: each response returns its reservation.
    let mut client = node.connect();
    for _ in 0..200 {
        client.write(&request("submit", "x"));
        let answer = client.read().unwrap();
        assert_eq!((answer.status(), answer.body.len()), (200, long.len()));
    }
}

/// Guards the in-flight limits of a fleet without overload against resets that all backends have: one attempt in six is reset
/// at each, and each still gets several attempts at once. When every reset reduced the limit, it stayed at one or two however
/// low the latency was, and most requests were rejected.
#[test]
fn resets_at_all_backends_keep_the_in_flight_limits() {
    let gauge = Gauge::default();
    let backends = [(); 4].map(|()| {
        let (all, own) = (gauge.clone(), Gauge::default());
        Backend::start(move |_| {
            let every_sixth_is_reset =
                |call: usize| if call % 6 == 5 { Act::WriteAndClose(String::new()) } else { ok("done") };
            all.serve(|_| Duration::from_millis(20), |_| own.serve(|_| Duration::ZERO, every_sixth_is_reset))
        })
    });
    let node = Setup::of(&backends.each_ref()).start();
    let _load = LoadClients::start(&node, 32, "submit");
    wait_for("attempts of most clients in flight", || gauge.now() >= 20);
}

/// Guards that in-flight limits which have fallen rise again: each backend takes one request at a time for a while, and
/// its latency is 5 or 150 ms. When responses were weighted by the time since the previous one, slow responses counted most at
/// a limit of one, and backends without overload seemed too busy for a limit of two.
#[test]
fn in_flight_limits_recover_at_any_latency() {
    let one_at_a_time = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(true));
    let gauges = [(); 3].map(|()| Gauge::default());
    let backends = gauges.each_ref().map(|gauge| {
        let (gauge, one_at_a_time) = (gauge.clone(), one_at_a_time.clone());
        let latency = |call: usize| Duration::from_millis(if call % 6 < 2 { 150 } else { 5 });
        Backend::start(move |_| {
            match one_at_a_time.load(std::sync::atomic::Ordering::SeqCst) && gauge.now() > 0 {
                true => Act::Write(answer("503 Service Unavailable", "X-Unprocessed: 1\r\n", "")),
                false => gauge.serve(latency, |_| ok("done")),
            }
        })
    });
    let node = Setup::of(&backends.each_ref()).start();
    let _load = LoadClients::start(&node, 24, "submit");
    wait_for("attempts that reduce the limits", || backends.iter().map(Backend::count).sum::<usize>() >= 300);
    one_at_a_time.store(false, std::sync::atomic::Ordering::SeqCst);
    wait_for("attempts of most clients in flight", || gauges.iter().map(Gauge::now).sum::<usize>() >= 18);
}

/// Guards distant backends: network latency alone takes 70 of the 100 ms of the latency objective. That is not overload, and
/// fewer requests in flight would not shorten it; their in-flight limits used to stay at one for good. The near backend takes
/// one request at a time.
#[test]
fn network_latency_near_the_objective_is_not_overload() {
    let (gauge, own) = (Gauge::default(), Gauge::default());
    let near = Backend::start(move |_| match own.now() {
        0 => own.serve(|_| Duration::from_millis(5), |_| ok("near")),
        _ => Act::Write(answer("503 Service Unavailable", "X-Unprocessed: 1\r\n", "")),
    });
    let far = [(); 2].map(|()| {
        let gauge = gauge.clone();
        Backend::start(move |_| gauge.serve(|_| Duration::from_millis(70), |_| ok("far")))
    });
    let entry = |n: usize, b: &Backend| host(&format!("s-{n}"), b.address, "active");
    let far = far.iter().enumerate().map(|(n, b)| entry(n, b).replace("\"site\":\"a\"", "\"site\":\"b\""));
    let hosts: Vec<_> = far.chain([entry(9, &near)]).collect();
    let node =
        Setup { endpoint_list: list(1, true, &hosts), latency_objective_ms: 100, ..Setup::of(&[]) }.start();
    let _load = LoadClients::start(&node, 32, "submit");
    wait_for("attempts in flight at the distant backends", || gauge.now() >= 14);
}

/// Guards the in-flight limits of a fleet without overload against connections that fall silent, one attempt in twelve at each
/// backend: a hedge serves the client, and the silent attempt says something about its connection alone. Each such attempt
/// that was cancelled used to reduce a limit.
#[test]
fn silent_connections_keep_the_in_flight_limits() {
    let gauge = Gauge::default();
    let backends = [(); 4].map(|()| {
        let (all, own) = (gauge.clone(), Gauge::default());
        let silent = |call: usize| if call % 12 == 11 { Act::Hang } else { ok("done") };
        Backend::start(move |_| {
            all.serve(|_| Duration::from_millis(20), |_| own.serve(|_| Duration::ZERO, silent))
        })
    });
    let node = Setup::of(&backends.each_ref()).start();
    let _load = LoadClients::start(&node, 48, "read");
    wait_for("many attempts in flight", || gauge.now() >= 20);
}

/// Guards other clients against those that send one request and keep their connection: once a quarter of the descriptors is
/// taken (64 of 256), each response closes its connection. Such connections used to stay for 15 s, and hardly any request
/// was read. With few connections each is kept.
#[test]
fn responses_close_connections_when_many_are_open() {
    let backend = Backend::start(|_| ok("done"));
    let node = Setup::of(&[&backend]).start();
    let request_and_stay = || {
        let mut client = node.connect();
        client.write(&request("submit", "x"));
        let closes = client.read().expect("a response").header("connection") == Some("close");
        (client, closes)
    };
    let staying: Vec<_> = (0..100).map(|_| request_and_stay()).collect();
    assert!(staying[..50].iter().all(|(_, closes)| !closes), "a connection is closed while few are open");
    for (mut client, closes) in staying.into_iter().skip(70) {
        assert!(closes && client.at_end(), "a connection is kept while many are open");
    }
    wait_for("connections to be kept again", || !request_and_stay().1);
}
