//! Events that cross, each forced by a scripted peer that holds one back until the other has been seen. The table of
//! all pairs is in `docs/crossings.md`. What is asserted is the rule: how often a server got an id, and what a client read.

use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use pumicehead_testbed::departure::{Departure, id_of as id, ids_at as ids};
use pumicehead_testbed::late::Late;
use pumicehead_testbed::scripted::*;

const NO_CANCEL: (&str, &str) = ("\"cancel\":true", "\"cancel\":false");

/// Unsafe requests are in the highest tier: they wait, and are not refused for the queue.
const RANKED: (&str, &str) = (
    "\"effect\":\"pure\",\"dedup_scope\":\"all\",\"window_ns\":5000000000,\"target_ns\":10000000000,\"deadline_ns\":20000000000,\"worth\":1.0",
    "\"effect\":\"pure\",\"dedup_scope\":\"all\",\"window_ns\":5000000000,\"target_ns\":10000000000,\"deadline_ns\":20000000000,\"worth\":0.2",
);

/// A queued request is not sent once its client has disconnected, in every way of disconnecting, with attempts cancelled
/// or not, in a burst, and while the node drains: 0.3 s later none of it reaches an endpoint.
#[test]
fn queued_request_is_not_sent_after_its_client_disconnects() {
    for (changes, ending) in
        [(&[RANKED][..], false), (&[RANKED, NO_CANCEL][..], false), (&[RANKED][..], true)]
    {
        let backend = Backend::start(|_| ok("done"));
        let discovery = Discovery::start();
        let setup = Setup { discovery: discovery.address, changes, ..Setup::of(&[]) };
        let node = setup.start();
        let (_, lines) = discovery.next();
        // No server is known: everything waits.
        let clients: Vec<_> =
            (0..10).flat_map(|_| Departure::ALL).map(|way| way.ask(node.address, "submit")).collect();
        let mut staying = node.connect();
        let marker = request("submit", "marker");
        staying.write(&marker);
        if ending {
            // All that was written has been taken by then; what comes later would be another case.
            thread::sleep(Duration::from_millis(100));
            node.terminate();
        }
        let left: Vec<_> = clients.into_iter().map(|client| client.leave()).collect();
        // The claim: after this nothing of theirs is sent on.
        thread::sleep(Duration::from_millis(300));
        lines.send(list(2, true, &[host("s-0", backend.address, "active")])).unwrap();
        assert_eq!(staying.read().expect("an answer").body, b"done");
        let sent = ids(&backend);
        assert!(sent.contains(&id(&marker)));
        let asked = left.iter().flat_map(|client| client.ids.iter().map(|id| (id, client.departure)));
        let late: Vec<_> = asked.filter(|(id, _)| sent.contains(id)).collect();
        assert!(late.is_empty(), "{} of {} sent on, {changes:?}: {late:?}", late.len(), left.len());
    }
}

/// An attempt that waits for its connection is not written once its client has disconnected, with attempts cancelled or
/// not, and that of a client that still waits is.
#[test]
fn connecting_attempt_is_not_written_after_its_client_disconnects() {
    for changes in [
        &[RANKED, ("\"dial_timeout_ns\":250000000", "\"dial_timeout_ns\":12000000000")][..],
        &[RANKED, ("\"dial_timeout_ns\":250000000", "\"dial_timeout_ns\":12000000000"), NO_CANCEL][..],
    ] {
        let late = Late::start();
        let address = late.listener.local_addr().unwrap();
        let setup =
            Setup { known: list(1, true, &[host("s-0", address, "active")]), changes, ..Setup::of(&[]) };
        let mut node = setup.start();
        let ways = [Departure::Fin, Departure::HalfClose, Departure::Pipelined];
        let clients = ways.map(|way| way.ask(node.address, "submit"));
        let mut staying = node.connect();
        let marker = request("submit", "marker");
        staying.write(&marker);
        // Those that found a place are dialling by now; for the others it is the test above.
        thread::sleep(Duration::from_millis(200));
        let left = clients.map(|client| client.leave());
        thread::sleep(Duration::from_millis(300));
        let seen = late.let_go();
        assert_eq!(staying.read().expect("an answer").body, b"done");
        node.terminate();
        assert_eq!(node.wait().code(), Some(0));
        let seen = seen.lock().unwrap();
        let sent: Vec<_> = seen.iter().filter_map(|message| message.header("x-correlation-id")).collect();
        assert_eq!(sent, [id(&marker)], "{changes:?}");
        assert!(left.iter().flat_map(|client| &client.ids).all(|id| !sent.contains(&id.as_str())));
    }
}

/// A drain, a restart or a deadline comes while a connection to the endpoint is being established: nothing is written to
/// it from then on.
#[test]
fn connecting_attempt_is_not_written_to_a_removed_endpoint() {
    const DIAL: (&str, &str) = ("\"dial_timeout_ns\":250000000", "\"dial_timeout_ns\":12000000000");
    for case in ["drain", "restart", "deadline"] {
        let (late, other) = (Late::start(), Backend::start(|_| ok("other")));
        let address = late.listener.local_addr().unwrap();
        let discovery = Discovery::start();
        let known = list(1, true, &[host("s-0", address, "active")]);
        let setup = Setup { known, changes: &[RANKED, DIAL], discovery: discovery.address, ..Setup::of(&[]) };
        let mut node = setup.start();
        let (_, lines) = discovery.next();
        let mut client = node.connect();
        let left = if case == "deadline" { "X-Time-Left: 500m\r\n" } else { "X-Time-Left: 15000m\r\n" };
        client.write(&request_with("submit", "x", left));
        // It dials by now.
        thread::sleep(Duration::from_millis(200));
        // A restarted server has another address here, or what comes after the restart would go there as well.
        let gone = match case {
            "drain" => host("s-0", address, "leaving"),
            "restart" => host("s-0", other.address, "active").replace("\"born_ms\":0", "\"born_ms\":5"),
            _ => host("s-0", address, "active"),
        };
        let hosts = [gone, host("s-1", other.address, "active")];
        if case != "deadline" {
            lines.send(list(2, false, &hosts)).unwrap();
            wait_for("the change", || node.ask(&request("submit", "y")).body == b"other");
        }
        let answered = (case == "deadline").then(|| client.read().expect("an answer").status());
        assert!(answered.is_none_or(|status| status != 200));
        let seen = late.let_go();
        if case != "deadline" {
            assert_eq!(client.read().expect("an answer").body, b"other", "{case}");
        }
        node.terminate();
        assert_eq!(node.wait().code(), Some(0));
        assert_eq!(seen.lock().unwrap().len(), 0, "{case}");
    }
}

/// A retry that is decided within the window in which endpoints recognise it, and whose connection is established after
/// that, is not written. Where the window is long the same attempt is.
#[test]
fn retry_is_not_written_after_its_idempotency_window() {
    const DIAL: (&str, &str) = ("\"dial_timeout_ns\":250000000", "\"dial_timeout_ns\":12000000000");
    const SHORT: (&str, &str) = ("\"window_ns\":5000000000", "\"window_ns\":1000000000");
    const LONG: (&str, &str) = ("\"window_ns\":5000000000", "\"window_ns\":60000000000");
    for (changes, in_time) in [(&[SHORT, DIAL], false), (&[LONG, DIAL], true)] {
        let (release, held) = mpsc::channel::<()>();
        let held = Mutex::new(held);
        let first = Backend::start(move |_| {
            let _ = held.lock().unwrap().recv_timeout(Duration::from_secs(30));
            // It may have run.
            Act::WriteAndClose(String::new())
        });
        let (late, discovery) = (Late::start(), Discovery::start());
        let node = Setup { changes, discovery: discovery.address, ..Setup::of(&[&first]) }.start();
        let (_, lines) = discovery.next();
        let mut client = node.connect();
        let put = request("put", "x");
        let since = Instant::now();
        client.write(&put);
        wait_for("the first attempt", || first.count() == 1);
        lines.send(list(2, false, &[host("s-1", late.listener.local_addr().unwrap(), "active")])).unwrap();
        release.send(()).unwrap();
        // The repeat dials within the window, and until that is over.
        thread::sleep(Duration::from_millis(1_200).saturating_sub(since.elapsed()));
        let seen = late.let_go();
        let status = client.read().expect("an answer").status();
        let sent = seen
            .lock()
            .unwrap()
            .iter()
            .filter(|one| one.header("x-correlation-id") == Some(&id(&put)))
            .count();
        assert_eq!((status == 200, sent), (in_time, usize::from(in_time)), "{status}");
    }
}

/// A client disconnects under an attempt that is then rejected: the request was not executed, and nobody waits for
/// another attempt.
#[test]
fn no_attempt_follows_after_the_client_disconnects() {
    for changes in [&[RANKED][..], &[RANKED, NO_CANCEL][..]] {
        let (release, held) = mpsc::channel::<()>();
        let held = Arc::new(Mutex::new(held));
        let backends = [(); 2].map(|()| {
            let held = held.clone();
            Backend::start(move |message| {
                if message.body == b"marker" {
                    return ok("done");
                }
                let _ = held.lock().unwrap().recv_timeout(Duration::from_secs(30));
                Act::Write(answer("503 Service Unavailable", "X-Unprocessed: 1\r\n", ""))
            })
        });
        let node = Setup { changes, ..Setup::of(&backends.each_ref()) }.start();
        let text = request("submit", "x");
        let mut client = node.connect();
        client.write(&text);
        let count = || backends.iter().flat_map(ids).filter(|sent| *sent == id(&text)).count();
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

/// The id of a request whose client has disconnected stays in use while its attempt is in flight: the same id again would
/// repeat the effect.
#[test]
fn id_of_an_attempt_in_flight_is_rejected_as_duplicate() {
    let (release, held) = mpsc::channel::<()>();
    let held = Mutex::new(held);
    let backend = Backend::start(move |_| {
        let _ = held.lock().unwrap().recv_timeout(Duration::from_secs(30));
        ok("done")
    });
    let node = Setup { changes: &[NO_CANCEL], ..Setup::of(&[&backend]) }.start();
    let text = request("submit", "x");
    let mut first = node.connect();
    first.write(&text);
    wait_for("the attempt", || backend.count() == 1);
    drop(first);
    // Before and after the node has noticed.
    for _ in 0..20 {
        assert_eq!(node.ask(&text).status(), 409);
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(backend.count(), 1);
    release.send(()).unwrap();
    release.send(()).unwrap();
    wait_for("the id to be free", || node.ask(&text).status() == 200);
}

/// A second response that comes some milliseconds after the first must not reach the next request: nothing in it names
/// its request. One has been seen on an idle connection. From then on the endpoint holds the second response back until
/// the next request has come; on the same connection, within the time in which the page says such responses come, that
/// request would get it.
#[test]
fn late_second_response_is_given_to_no_request() {
    // The page: some milliseconds.
    const LATE: Duration = Duration::from_millis(10);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let last: Arc<Mutex<Option<(usize, Instant, TcpStream)>>> = Arc::default();
    let (reuses, quick) = (Arc::new(Mutex::new(0)), Arc::new(Mutex::new(0)));
    let counts = (reuses.clone(), quick.clone());
    let (again, seen) = mpsc::channel();
    let again = Arc::new(Mutex::new(again));
    thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let (mut stream, last) = (stream.unwrap(), last.clone());
            let ((reuses, quick), again) = (counts.clone(), again.clone());
            thread::spawn(move || {
                let mut input = BufReader::new(stream.try_clone().unwrap());
                while let Some(message) = Message::read(&mut input) {
                    let (now, mut last) = (Instant::now(), last.lock().unwrap());
                    if let Some((before, at, mut other)) = last.take().filter(|(_, at, _)| now < *at + LATE) {
                        *quick.lock().unwrap() += 1;
                        *reuses.lock().unwrap() += usize::from(before == number);
                        assert!(at <= now);
                        let _ = other.write_all(answer("200 OK", "", "late").as_bytes());
                    }
                    let body = String::from_utf8(message.body).unwrap();
                    if body == "first" {
                        drop(last);
                        stream.write_all(answer("200 OK", "", &body).as_bytes()).unwrap();
                        // Nothing is asked until this is written, and it takes the connection with it.
                        thread::sleep(3 * LATE);
                        stream.write_all(answer("200 OK", "", "late").as_bytes()).unwrap();
                        again.lock().unwrap().send(()).unwrap();
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
    let node = Setup { known: list(1, true, &[host("s-0", address, "active")]), ..Setup::of(&[]) }.start();
    let mut client = node.connect();
    client.write(&request("submit", "first"));
    assert_eq!(client.read().expect("an answer").body, b"first");
    seen.recv_timeout(Duration::from_secs(30)).unwrap();
    let mut asked = 0;
    // On a busy machine some rounds take longer than that, and prove nothing.
    wait_for("rounds quick enough", || {
        for _ in 0..20 {
            asked += 1;
            let body = format!("mine {asked}");
            client.write(&request("submit", &body));
            let answer = client.read().expect("an answer");
            assert_eq!(String::from_utf8(answer.body).unwrap(), body);
        }
        *quick.lock().unwrap() >= 10
    });
    assert_eq!(*reuses.lock().unwrap(), 0, "of {} at once", quick.lock().unwrap());
}

/// The exit of a process with deadlines of some tenths of a second: clients send on each connection that stays open until
/// then. Each request that reached an endpoint has its response read completely.
#[test]
fn request_read_at_process_exit_is_answered() {
    // On a busy machine clients may come too late for any response; such a try proves nothing.
    assert!((0..5).any(|_| answered_at_the_end() > 0), "no client came in time");
}

/// Has clients ask until after the end; the number of those that had an answer.
fn answered_at_the_end() -> usize {
    let backend = Backend::start(|_| {
        thread::sleep(Duration::from_millis(15));
        ok("done")
    });
    let hosts: Vec<_> = (0..40).map(|n| host(&format!("s-{n}"), backend.address, "active")).collect();
    let setup = Setup {
        aim_ms: 250,
        changes: &[
            ("\"deadline_ns\":20000000000", "\"deadline_ns\":300000000"),
            ("\"sockets\":256", "\"sockets\":1024"),
        ],
        known: list(1, true, &hosts),
        ..Setup::of(&[])
    };
    let mut node = setup.start();
    let address = node.address;
    let term = Instant::now();
    node.terminate();
    // They connect while it still accepts, and ask one after the other, half a millisecond apart, from 0.7 s after the
    // signal to long after the process has ended.
    let asked: Vec<_> = (0..10)
        .map(|part| {
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(250));
                let mut open: Vec<_> = (0..40).filter_map(|_| TcpStream::connect(address).ok()).collect();
                let mut told = Vec::new();
                for (step, client) in open.iter_mut().enumerate() {
                    let at = term + Duration::from_micros(700_000 + 500 * (step * 10 + part) as u64);
                    thread::sleep(at.saturating_duration_since(Instant::now()));
                    let text = request_with("submit", "x", "X-Time-Left: 300m\r\n");
                    told.push((id(&text), client.write_all(text.as_bytes()).is_ok()));
                }
                let answers = open.iter_mut().map(|client| {
                    let mut whole = Vec::new();
                    let _ = client.read_to_end(&mut whole);
                    String::from_utf8_lossy(&whole).starts_with("HTTP/1.1 ")
                });
                told.into_iter().zip(answers.collect::<Vec<_>>()).collect::<Vec<_>>()
            })
        })
        .collect();
    let told: Vec<_> = asked.into_iter().flat_map(|thread| thread.join().unwrap()).collect();
    assert_eq!(node.wait().code(), Some(0));
    let sent = ids(&backend);
    let lost: Vec<_> = told.iter().filter(|((id, _), answered)| sent.contains(id) && !answered).collect();
    assert!(lost.is_empty(), "{} of {} that came to a server: {lost:?}", lost.len(), sent.len());
    told.iter().filter(|(_, answered)| *answered).count()
}

/// The listener's own rejections have the `Retry-After` that the settings allow, and none where they allow none.
#[test]
fn retry_after_is_sent_as_the_settings_allow() {
    let none = &[("\"retry_after\":true", "\"retry_after\":false")][..];
    let longer = &[("\"max_retry_after_ns\":2000000000", "\"max_retry_after_ns\":3000000000")][..];
    for (changes, advice) in [(none, None), (longer, Some("0.750"))] {
        let backend = Backend::start(|_| Act::Hang);
        let node = Setup { ceilings: r#","most_held":1"#, changes, ..Setup::of(&[&backend]) }.start();
        let mut first = node.connect();
        first.write(&request("submit", "x"));
        wait_for("the first attempt", || backend.count() == 1);
        let answer = node.ask(&request("submit", "x"));
        assert_eq!((answer.status(), answer.header("retry-after")), (503, advice));
    }
}

/// Settings of other deployments: a class is what the settings say, whatever its name; two attempts at most and never two
/// at once, nothing cancelled, no `Retry-After`, deadlines from 0.45 to 7 s.
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
        let own = Gauge::default();
        let broken =
            |call: usize| if call.is_multiple_of(2) { Act::WriteAndClose(String::new()) } else { ok("done") };
        Backend::start(move |_| own.serve(|_| Duration::ZERO, broken))
    });
    let node = Setup { changes: CHANGES, ..Setup::of(&[&one, &other]) }.start();
    let ask = |class: &str, method: &str| {
        let text = request(class, "");
        let text = text.replacen(text.split(' ').next().unwrap(), method, 1);
        (id(&text), node.ask(&text))
    };
    for (class, wrong) in [("lookup", "GET"), ("post-mark", "POST"), ("get", "GET")] {
        assert_eq!(ask(class, wrong).1.status(), 405, "{class}");
    }
    assert_eq!(ask("read", "GET").1.status(), 404);
    let count = |wanted: &str| ids(&one).iter().chain(&ids(&other)).filter(|id| *id == wanted).count();
    let (mut failed, mut repeated) = (0, 0);
    wait_for("broken ones of each kind", || {
        let (name, answer) = ask("lookup", "POST");
        // One whose connection broke may have run: it is neither sent again nor refused.
        let refused = matches!(answer.status(), 429 | 503);
        assert_eq!(count(&name), usize::from(!refused), "{answer:?}");
        assert!(!refused || answer.header("retry-after").is_none());
        failed += usize::from(answer.status() != 200 && !refused);
        let (name, answer) = ask("post-mark", "GET");
        assert!(count(&name) <= 2, "two attempts at most");
        repeated += usize::from(count(&name) == 2 && answer.status() == 200);
        assert!(count(&ask("get", "POST").0) <= 2);
        failed >= 2 && repeated >= 2
    });
}
