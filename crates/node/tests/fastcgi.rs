//! What only FastCGI has: servers and front ends that break its rules, several requests on one connection, and what
//! servers say of themselves.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use bytes::BytesMut;
use pumicehead_fastcgi::record::{Begin, End, Kind, ProtocolStatus, Role, put, put_stream};
use pumicehead_testbed::board::{Act, Asked, Asker, Boards, Speaks, served};
use pumicehead_testbed::program::{Standalone, temporary, wait_for};

fn text(front: Speaks, servers: &[String], more: &str) -> String {
    let one = |(n, address): (usize, &String)| format!("server s{n} {{ address {address} }}\n");
    let servers: String = servers.iter().enumerate().map(one).collect();
    format!(
        "listener public {{ address 127.0.0.1:0; protocol {} }}\n\
         pool boards {{ protocol fastcgi\n hedge off\n {servers} }}\n\
         class read {{ aim 2s; deadline 10s; repeats safe }}\n\
         class submit {{ aim 2s; deadline 10s; worth 10; repeats unsafe }}\n\
         route submit {{ path /runs/**; method POST; class submit; pool boards }}\n\
         route read {{ path /boards/**; class read; pool boards }}\n\
         {more}",
        front.name(),
    )
}

fn node(front: Speaks, servers: &[SocketAddr], more: &str) -> Standalone {
    let servers: Vec<_> = servers.iter().map(SocketAddr::to_string).collect();
    Standalone::start(&text(front, &servers, more), 1)
}

fn script(acts: Vec<Act>) -> Arc<dyn Fn(&Asked) -> Act + Send + Sync> {
    Arc::new(move |asked| acts[(asked.number as usize).min(acts.len() - 1)].clone())
}

/// Records of the first request on a connection.
fn records(list: &[(Kind, u16, &[u8])]) -> Vec<u8> {
    let mut out = BytesMut::new();
    list.iter().for_each(|(kind, id, content)| put(&mut out, *kind, *id, content));
    out.to_vec()
}

fn end(application: u32) -> [u8; 8] {
    End { application, protocol: ProtocolStatus::Complete }.content()
}

const HEAD: &[u8] = b"Content-Type: a\r\nContent-Length: 5\r\n\r\n";

/// The table of endings: what an endpoint may do to a request, the response, and how many attempts reached endpoints.
#[test]
fn every_fastcgi_ending_has_its_outcome() {
    let mut cut = records(&[(Kind::Stdout, 1, HEAD), (Kind::Stdout, 1, b"12345")]);
    cut.truncate(cut.len() - 9);
    let mut padding = records(&[(Kind::Stdout, 1, HEAD)]);
    padding.extend([1, 6, 0, 1, 0, 1, 200, 0, b'x', 0, 0]);
    let cases: Vec<(&str, Act, u16, u32)> = vec![
        ("overloaded", Act::End(0, 2), 200, 2),
        ("can't multiplex", Act::End(0, 1), 200, 2),
        ("unknown role", Act::End(0, 3), 200, 2),
        ("done without an answer", Act::End(0, 0), 502, 1),
        ("failed without an answer", Act::End(9, 0), 502, 1),
        ("another protocol status", Act::End(0, 77), 502, 1),
        (
            "failed with a whole answer",
            Act::Raw(records(&[
                (Kind::Stdout, 1, HEAD),
                (Kind::Stdout, 1, b"12345"),
                (Kind::EndRequest, 1, &end(3)),
            ])),
            200,
            1,
        ),
        (
            "overloaded after output",
            Act::Raw(records(&[(Kind::Stdout, 1, HEAD), (Kind::EndRequest, 1, &[0, 0, 0, 0, 2, 0, 0, 0])])),
            502,
            1,
        ),
        ("cut in a record", Act::Raw(cut), 502, 1),
        ("cut in padding", Act::Raw(padding), 502, 1),
        ("cut in a header", Act::Raw(vec![1, 6, 0]), 502, 1),
        (
            "cut before the end",
            Act::Raw(records(&[(Kind::Stdout, 1, HEAD), (Kind::Stdout, 1, b"12345")])),
            502,
            1,
        ),
        (
            "the end of another",
            Act::Raw(records(&[(Kind::Stdout, 1, HEAD), (Kind::EndRequest, 2, &end(0))])),
            502,
            1,
        ),
        ("output for none", Act::Raw(records(&[(Kind::Stdout, 0, HEAD)])), 502, 1),
        ("an unknown type", Act::Raw(records(&[(Kind::Other(99), 1, b"")])), 502, 1),
        ("version 2", Act::Raw(vec![2, 6, 0, 1, 0, 0, 0, 0]), 502, 1),
        (
            "output behind its end",
            Act::Raw(records(&[
                (Kind::Stdout, 1, HEAD),
                (Kind::Stdout, 1, b""),
                (Kind::Stdout, 1, b"12345"),
                (Kind::EndRequest, 1, &end(0)),
            ])),
            502,
            1,
        ),
        ("too short a body", Act::Answer(200, "Content-Type: a\r\nContent-Length: 5\r\n", "123"), 502, 1),
        ("too long a body", Act::Answer(200, "Content-Type: a\r\nContent-Length: 5\r\n", "1234567"), 502, 1),
        ("a status that is none", Act::Answer(99, "", "x"), 502, 1),
        (
            "no type, status or place",
            Act::Raw(records(&[(Kind::Stdout, 1, b"X: y\r\n\r\n12345"), (Kind::EndRequest, 1, &end(0))])),
            502,
            1,
        ),
        (
            "output behind the request's end",
            Act::Raw(records(&[
                (Kind::Stdout, 1, HEAD),
                (Kind::Stdout, 1, b"12345"),
                (Kind::EndRequest, 1, &end(0)),
                (Kind::Stdout, 1, b"more"),
            ])),
            200,
            1,
        ),
    ];
    for (name, act, status, attempts) in cases {
        let boards = Boards::new(script(vec![act, served("12345")]));
        let servers = [boards.start(Speaks::FastCgi), boards.start(Speaks::FastCgi)];
        let node = node(Speaks::Http, &servers, "");
        let mut client = Asker::connect(node.address(), Speaks::Http).unwrap();
        let answer = client.ask("POST", "/runs/any", "X-Unit: 1\r\n", b"x");
        assert_eq!((answer.status, boards.seen().lines.len() as u32), (status, attempts), "{name}");
        if status == 200 {
            assert_eq!(answer.body, b"12345", "{name}");
        }
        // The node is none the worse for it.
        assert_eq!(client.ask("GET", "/boards/x", "X-Unit: 2\r\n", b"").status, 200, "{name}");
    }
}

/// Standard error without end changes neither the response nor the size of the log.
#[test]
fn application_stderr_is_logged_at_a_limited_rate() {
    let mut bytes = BytesMut::new();
    for _ in 0..400 {
        put_stream(&mut bytes, Kind::Stderr, 1, &[b'e'; 60_000]);
    }
    put(&mut bytes, Kind::Stdout, 1, HEAD);
    put_stream(&mut bytes, Kind::Stderr, 1, b"in between\n");
    put(&mut bytes, Kind::Stdout, 1, b"12345");
    put(&mut bytes, Kind::EndRequest, 1, &end(0));
    let boards = Boards::new(script(vec![Act::Raw(bytes.to_vec())]));
    let node = node(Speaks::Http, &[boards.start(Speaks::FastCgi)], "");
    let answer = Asker::connect(node.address(), Speaks::Http).unwrap().ask("GET", "/boards/x", "", b"");
    assert_eq!((answer.status, answer.body.as_slice()), (200, b"12345".as_slice()));
    // 24 MB in well under a minute: a line a second at most, and none is long.
    assert!((1..60).contains(&node.said("stderr: eee")), "{}", node.said("stderr"));
    assert!(node.log.lock().unwrap().iter().all(|line| line.len() < 400));
    assert!(node.peak_memory() < 24 << 20, "{}", node.peak_memory());
}

/// An idle connection that the endpoint closes right after its response is not reused, however close the two come, so no
/// request fails.
#[test]
fn closed_idle_connection_loses_no_request() {
    let whole =
        records(&[(Kind::Stdout, 1, HEAD), (Kind::Stdout, 1, b"12345"), (Kind::EndRequest, 1, &end(0))]);
    let boards = Boards::new(script(vec![Act::Raw(whole)]));
    let node = node(Speaks::Http, &[boards.start(Speaks::FastCgi)], "");
    let mut client = Asker::connect(node.address(), Speaks::Http).unwrap();
    for n in 0..100 {
        // As soon as it is answered, and some time later.
        if n % 3 == 0 {
            thread::sleep(Duration::from_millis(2));
        }
        let answer = client.ask("POST", "/runs/any", &format!("X-Unit: {n}\r\n"), b"x");
        // Written just before the end came, one may have run for all that the node can know.
        assert!(matches!(answer.status, 200 | 502), "{n}: {}", answer.status);
    }
    let seen = boards.seen();
    assert!(seen.effects.values().all(|times| *times == 1));
    assert!(seen.effects.len() >= 90, "{} of 100", seen.effects.len());
}

/// Connections are shared only where the endpoint states that it multiplexes; one that closes on the question is used
/// without an answer.
#[test]
fn connections_carry_as_many_requests_as_endpoints_state() {
    let slow = || script(vec![Act::Later(Duration::from_millis(300), Box::new(served("rank 1")))]);
    for (multiplex, connections) in [(true, 1), (false, 4)] {
        let boards = Boards::new(slow());
        let boards = if multiplex { boards.multiplexing() } else { boards };
        let node = node(Speaks::Http, &[boards.start(Speaks::FastCgi)], "");
        // Places of a server are learned: first one request at a time, then more and more at once.
        let address = node.address();
        let clients: Vec<_> = (0..4)
            .map(|_| {
                thread::spawn(move || {
                    let mut client = Asker::connect(address, Speaks::Http).unwrap();
                    (0..12).map(|_| client.ask("GET", "/boards/x", "", b"").status).collect::<Vec<_>>()
                })
            })
            .collect();
        for client in clients {
            assert!(client.join().unwrap().iter().all(|status| matches!(status, 200 | 503)));
        }
        let seen = boards.seen().connections;
        assert!(
            seen <= connections && (multiplex || seen >= 1),
            "{seen} connections, multiplexing: {multiplex}"
        );
    }
    // A server that knows no management records and closes on them.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let boards = Boards::new(script(vec![served("rank 1")]));
    let behind = boards.start(Speaks::FastCgi);
    thread::spawn(move || {
        for (n, stream) in listener.incoming().map_while(Result::ok).enumerate() {
            if n == 0 {
                // Closed with the question read.
                let _ = std::io::Read::read(&mut &stream, &mut [0; 100]);
                continue;
            }
            let to = TcpStream::connect(behind).unwrap();
            let (mut from, mut back) = (stream.try_clone().unwrap(), to.try_clone().unwrap());
            thread::spawn(move || std::io::copy(&mut from, &mut &to));
            thread::spawn(move || std::io::copy(&mut back, &mut &stream));
        }
    });
    let node = node(Speaks::Http, &[address], "");
    let answer = Asker::connect(node.address(), Speaks::Http).unwrap().ask("POST", "/runs/x", "", b"x");
    assert_eq!((answer.status, boards.seen().lines.len()), (200, 1));
}

/// Unix sockets, and variables as applications get them.
#[test]
fn endpoint_on_a_unix_socket_is_reached() {
    let path = temporary(".sock");
    let listener = UnixListener::bind(&path).unwrap();
    let boards = Boards::new(script(vec![served("rank 1")]));
    let behind = boards.start(Speaks::FastCgi);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let to = TcpStream::connect(behind).unwrap();
            let (mut from, mut back) = (stream.try_clone().unwrap(), to.try_clone().unwrap());
            thread::spawn(move || std::io::copy(&mut from, &mut &to));
            thread::spawn(move || std::io::copy(&mut back, &mut &stream));
        }
    });
    let servers = [format!("unix:{}", path.display())];
    let node = Standalone::start(&text(Speaks::Http, &servers, ""), 1);
    let mut client = Asker::connect(node.address(), Speaks::Http).unwrap();
    assert_eq!(client.ask("GET", "/boards/a%20b?x=%2F", "", b"").status, 200);
    assert_eq!(boards.seen().lines, ["GET /boards/a%20b?x=%2F"]);
    // An encoded slash would be another path once decoded.
    assert_eq!(client.ask("GET", "/boards/a%2Fb", "", b"").status, 404);
    let _ = std::fs::remove_file(path);
}

// ---- Front ends ---------------------------------------------------------------------------------

fn begin(id: u16, role: Role) -> Vec<u8> {
    records(&[(Kind::BeginRequest, id, &Begin { role, keep: true }.content())])
}

fn params(list: &[(&str, &str)]) -> Vec<u8> {
    let mut out = BytesMut::new();
    list.iter().for_each(|(name, value)| {
        pumicehead_fastcgi::pairs::put(&mut out, name.as_bytes(), value.as_bytes())
    });
    out.to_vec()
}

/// A request as a front end writes it.
fn request(id: u16, target: &str, length: &str, body: &[u8]) -> Vec<u8> {
    let method = if target.starts_with("/runs") { "POST" } else { "GET" };
    let list = params(&[
        ("REQUEST_METHOD", method),
        ("REQUEST_URI", target),
        ("HTTP_HOST", "a"),
        ("CONTENT_LENGTH", length),
        ("HTTP_PROXY", "http://evil"),
        ("REMOTE_ADDR", "192.0.2.7"),
    ]);
    let mut all = begin(id, Role::Responder);
    all.extend(records(&[(Kind::Params, id, &list), (Kind::Params, id, b"")]));
    if !body.is_empty() {
        all.extend(records(&[(Kind::Stdin, id, body)]));
    }
    all.extend(records(&[(Kind::Stdin, id, b"")]));
    all
}

fn connect(node: &Standalone) -> Asker {
    Asker::connect(node.address(), Speaks::FastCgi).unwrap()
}

/// The ids of ended requests in order, with the status of each.
fn ended(asker: &mut Asker, most: usize) -> Vec<(u16, u16)> {
    let (mut list, mut heads) = (Vec::new(), std::collections::HashMap::<u16, Vec<u8>>::new());
    while list.len() < most {
        let came = asker.records(1);
        if came.is_empty() {
            break;
        }
        for (kind, id, content) in came {
            match kind {
                Kind::Stdout => heads.entry(id).or_default().extend_from_slice(&content),
                Kind::EndRequest => {
                    let head = heads.remove(&id).unwrap_or_default();
                    let status =
                        String::from_utf8_lossy(&head).split(' ').nth(1).and_then(|text| text.parse().ok());
                    list.push((id, status.unwrap_or(0)));
                }
                _ => {}
            }
        }
    }
    list
}

#[test]
fn malformed_fastcgi_requests_reach_no_endpoint() {
    let boards = Boards::new(script(vec![served("rank 1")]));
    let node = node(Speaks::FastCgi, &[boards.start(Speaks::FastCgi)], "limits { request-time 400ms }\n");
    let ask = |bytes: &[u8]| {
        let mut client = connect(&node);
        client.write(bytes).unwrap();
        ended(&mut client, 1)
    };
    assert_eq!(ask(&request(1, "/runs/x", "9", b"short")), [(1, 400)]);
    assert_eq!(ask(&request(1, "/runs/x", "3", b"too long")), [(1, 400)]);
    assert_eq!(ask(&request(1, "/runs/x", "x", b"odd")), [(1, 400)]);
    assert_eq!(ask(&request(1, "/boards/../runs/x", "", b"")), [(1, 400)]);
    assert_eq!(ask(&request(1, "/nowhere", "", b"")), [(1, 404)]);
    let mut claim = begin(1, Role::Responder);
    claim.extend(records(&[(Kind::Params, 1, b"\xff\xff\xff\xff\xff\xff\xff\xffX")]));
    assert_eq!(ask(&claim), [(1, 400)]);
    let mut body = begin(1, Role::Responder);
    body.extend(records(&[
        (Kind::Params, 1, &params(&[("REQUEST_METHOD", "POST")])),
        (Kind::Params, 1, b""),
    ]));
    (0..3).for_each(|_| body.extend(records(&[(Kind::Stdin, 1, &[0; 40_000])])));
    assert_eq!(ask(&body), [(1, 413)]);
    // Never whole: answered when its time is up.
    assert_eq!(ask(&begin(1, Role::Responder)), [(1, 408)]);
    assert_eq!(ask(&begin(1, Role::Filter)), [(1, 0)]);
    // What is no FastCGI, or begins what it may not, ends the connection with nothing said.
    for bytes in [
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        vec![2, 1, 0, 1, 0, 0, 0, 0],
        begin(0, Role::Responder),
        [begin(1, Role::Responder), begin(1, Role::Responder)].concat(),
    ] {
        assert_eq!(ask(&bytes), []);
    }
    assert!(boards.seen().lines.is_empty());
    let mut client = connect(&node);
    client
        .write(&records(&[
            (Kind::Other(77), 0, b"odd"),
            (Kind::GetValues, 0, &params(&[("FCGI_MPXS_CONNS", "")])),
        ]))
        .unwrap();
    let answers = client.records(2);
    assert_eq!((answers[0].0, &answers[0].2[..]), (Kind::UnknownType, &[77, 0, 0, 0, 0, 0, 0, 0][..]));
    assert_eq!((answers[1].0, &answers[1].2[..]), (Kind::GetValuesResult, &b"\x0f\x01FCGI_MPXS_CONNS1"[..]));
}

/// Of several requests on one connection the fast ones don't wait for the slow one, each gets its own response, and an
/// abort ends its attempt alone.
#[test]
fn multiplexed_requests_are_independent() {
    let boards = Boards::new(Arc::new(|asked: &Asked| match asked.target.as_str() {
        "/boards/slow" => Act::Later(Duration::from_millis(700), Box::new(served("slow"))),
        "/boards/silent" => Act::Silent,
        _ => served("fast"),
    }))
    .multiplexing();
    let servers: Vec<_> = (0..4).map(|_| boards.start(Speaks::FastCgi)).collect();
    let node = node(Speaks::FastCgi, &servers, "");
    let mut client = connect(&node);
    client
        .write(&[request(1, "/boards/slow", "", b""), request(2, "/boards/silent", "", b"")].concat())
        .unwrap();
    wait_for("both", || boards.seen().lines.len() == 2);
    client.write(&request(3, "/boards/x", "", b"")).unwrap();
    assert_eq!(ended(&mut client, 1), [(3, 200)]);
    client.write(&records(&[(Kind::AbortRequest, 2, b"")])).unwrap();
    let rest = ended(&mut client, 2);
    assert!(rest.contains(&(1, 200)) && rest.contains(&(2, 0)), "{rest:?}");
    wait_for("the abort at the server", || boards.seen().dropped == 1);
    // The id is free again, and the connection of use.
    client.write(&request(2, "/boards/x", "", b"")).unwrap();
    assert_eq!(ended(&mut client, 1), [(2, 200)]);
}

/// A web server that reads nothing uses bounded memory, and others are served.
#[test]
fn fastcgi_client_that_reads_nothing_uses_bounded_memory() {
    let big: &'static str = Box::leak("rank 1\n".repeat(9_000).into_boxed_str());
    let boards = Boards::new(Arc::new(move |_: &Asked| served(big)));
    let servers: Vec<_> = (0..4).map(|_| boards.start(Speaks::FastCgi)).collect();
    let node = node(Speaks::FastCgi, &servers, "");
    let mut stuck = connect(&node);
    // 1,000 answers of 63 KB would be 63 MB: past a bound new requests are turned away, and cost nothing.
    let writer = thread::spawn(move || {
        for id in 1..=1_000u16 {
            if stuck.write(&request(id, "/boards/x", "", b"")).is_err() {
                break;
            }
        }
        stuck
    });
    let mut other = connect(&node);
    for id in 1..=20 {
        other.write(&request(id, "/boards/x", "", b"")).unwrap();
        assert!(matches!(ended(&mut other, 1)[..], [(_, 200 | 503)]));
    }
    assert!(node.peak_memory() < 64 << 20, "{}", node.peak_memory());
    // Read at last, it gets an end for each that it could write.
    let mut stuck = writer.join().unwrap();
    let ends = ended(&mut stuck, 1_000);
    assert_eq!(ends.len(), 1_000);
    assert!(ends.iter().all(|(_, status)| matches!(status, 0 | 200 | 503)));
}

/// Drains and reloads with several requests on one connection.
#[test]
fn reload_and_sigterm_answer_all_requests_of_a_connection() {
    let boards = Boards::new(Arc::new(|asked: &Asked| {
        let span = Duration::from_millis(if asked.target.ends_with("slow") { 700 } else { 1 });
        Act::Later(span, Box::new(served("rank 1")))
    }));
    let servers: Vec<_> = (0..3).map(|_| boards.start(Speaks::FastCgi).to_string()).collect();
    let before = text(Speaks::FastCgi, &servers, "");
    let mut node = Standalone::start(&before, 1);
    let mut client = connect(&node);
    client
        .write(&[request(1, "/boards/slow", "", b""), request(2, "/runs/slow", "1", b"x")].concat())
        .unwrap();
    wait_for("both", || boards.seen().lines.len() == 2);
    node.reload(
        &before
            .replace("worth 10", "worth 8")
            .replace("route read {", "route other { path /other; class read; pool boards }\nroute read {"),
    );
    client.write(&request(3, "/other", "", b"")).unwrap();
    // A server has one place until more are learned: the third one is free again for the next.
    let mut ends = ended(&mut client, 1);
    assert_eq!(ends, [(3, 200)]);
    client.write(&request(4, "/boards/slow", "", b"")).unwrap();
    wait_for("the fourth", || boards.seen().lines.len() == 4);
    node.signal("TERM");
    ends.extend(ended(&mut client, 10));
    ends.sort_unstable();
    assert_eq!(ends, [(1, 200), (2, 200), (3, 200), (4, 200)]);
    assert_eq!(node.wait().code(), Some(0));
    let _ = std::io::stderr().flush();
}
