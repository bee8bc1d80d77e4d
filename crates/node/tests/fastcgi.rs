//! FastCGI alone: endpoints and web servers that violate the protocol, several requests on one connection, and capabilities
//! that endpoints advertise.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use bytes::BytesMut;
use pumicehead_fastcgi::record::{Begin, End, Kind, ProtocolStatus, Record, Role, put_record, put_stream};
use pumicehead_testbed::program::{StandaloneNode, temporary, wait_for};
use pumicehead_testbed::scripted_backend::{
    Act, Protocol, ProtocolClient, ScriptedBackends, ScriptedRequest, served,
};

fn text(front: Protocol, servers: &[String], more: &str) -> String {
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

fn start_node(front: Protocol, servers: &[SocketAddr], more: &str) -> StandaloneNode {
    let servers: Vec<_> = servers.iter().map(SocketAddr::to_string).collect();
    StandaloneNode::start(&text(front, &servers, more), 1)
}

fn script(acts: Vec<Act>) -> Arc<dyn Fn(&ScriptedRequest) -> Act + Send + Sync> {
    Arc::new(move |asked| acts[(asked.number as usize).min(acts.len() - 1)].clone())
}

/// The bytes of records with these types, request ids and contents.
fn records(list: &[(Kind, u16, &[u8])]) -> Vec<u8> {
    let mut out = BytesMut::new();
    list.iter().for_each(|(kind, id, content)| put_record(&mut out, *kind, *id, content));
    out.to_vec()
}

/// The content of an `FCGI_END_REQUEST` record with an application status.
fn end_content(application: u32) -> [u8; 8] {
    End { application, protocol: ProtocolStatus::Complete }.encode()
}

/// The head of a response with a body of five bytes.
const HEAD: &[u8] = b"Content-Type: a\r\nContent-Length: 5\r\n\r\n";

/// Ways in which an endpoint may end a request, with the status of the response and the number of attempts that reached
/// endpoints.
#[test]
fn every_end_of_a_fastcgi_request_has_its_outcome() {
    let mut truncated = records(&[(Kind::Stdout, 1, HEAD), (Kind::Stdout, 1, b"12345")]);
    truncated.truncate(truncated.len() - 9);
    let mut padding = records(&[(Kind::Stdout, 1, HEAD)]);
    padding.extend([1, 6, 0, 1, 0, 1, 200, 0, b'x', 0, 0]);
    let cases: Vec<(&str, Act, u16, u32)> = vec![
        ("overloaded", Act::End(0, 2), 200, 2),
        ("multiplexing rejected", Act::End(0, 1), 200, 2),
        ("unknown role", Act::End(0, 3), 200, 2),
        ("success without a response", Act::End(0, 0), 502, 1),
        ("failure without a response", Act::End(9, 0), 502, 1),
        ("unknown protocol status", Act::End(0, 77), 502, 1),
        (
            "failure with a complete response",
            Act::Raw(records(&[
                (Kind::Stdout, 1, HEAD),
                (Kind::Stdout, 1, b"12345"),
                (Kind::EndRequest, 1, &end_content(3)),
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
        ("truncated in a record", Act::Raw(truncated), 502, 1),
        ("truncated in padding", Act::Raw(padding), 502, 1),
        ("truncated in a record header", Act::Raw(vec![1, 6, 0]), 502, 1),
        (
            "no end of the request",
            Act::Raw(records(&[(Kind::Stdout, 1, HEAD), (Kind::Stdout, 1, b"12345")])),
            502,
            1,
        ),
        (
            "the end of another request",
            Act::Raw(records(&[(Kind::Stdout, 1, HEAD), (Kind::EndRequest, 2, &end_content(0))])),
            502,
            1,
        ),
        ("output for request id 0", Act::Raw(records(&[(Kind::Stdout, 0, HEAD)])), 502, 1),
        ("an unknown record type", Act::Raw(records(&[(Kind::Other(99), 1, b"")])), 502, 1),
        ("protocol version 2", Act::Raw(vec![2, 6, 0, 1, 0, 0, 0, 0]), 502, 1),
        (
            "output after the end of the output stream",
            Act::Raw(records(&[
                (Kind::Stdout, 1, HEAD),
                (Kind::Stdout, 1, b""),
                (Kind::Stdout, 1, b"12345"),
                (Kind::EndRequest, 1, &end_content(0)),
            ])),
            502,
            1,
        ),
        (
            "a body that is too short",
            Act::Answer(200, "Content-Type: a\r\nContent-Length: 5\r\n", "123"),
            502,
            1,
        ),
        (
            "a body that is too long",
            Act::Answer(200, "Content-Type: a\r\nContent-Length: 5\r\n", "1234567"),
            502,
            1,
        ),
        ("an invalid status code", Act::Answer(99, "", "x"), 502, 1),
        (
            "no Content-Type, Status or Location",
            Act::Raw(records(&[
                (Kind::Stdout, 1, b"X: y\r\n\r\n12345"),
                (Kind::EndRequest, 1, &end_content(0)),
            ])),
            502,
            1,
        ),
        (
            "output after the end of the request",
            Act::Raw(records(&[
                (Kind::Stdout, 1, HEAD),
                (Kind::Stdout, 1, b"12345"),
                (Kind::EndRequest, 1, &end_content(0)),
                (Kind::Stdout, 1, b"more"),
            ])),
            200,
            1,
        ),
    ];
    for (name, act, status, attempts) in cases {
        let boards = ScriptedBackends::new(script(vec![act, served("12345")]));
        let servers = [boards.start(Protocol::FastCgi), boards.start(Protocol::FastCgi)];
        let node = start_node(Protocol::Http, &servers, "");
        let mut client = ProtocolClient::connect(node.address(), Protocol::Http).unwrap();
        let answer = client.ask("POST", "/runs/any", "X-Unit: 1\r\n", b"x");
        assert_eq!((answer.status, boards.seen().lines.len() as u32), (status, attempts), "{name}");
        if status == 200 {
            assert_eq!(answer.body, b"12345", "{name}");
        }
        // The node still serves other requests.
        assert_eq!(client.ask("GET", "/boards/x", "X-Unit: 2\r\n", b"").status, 200, "{name}");
    }
}

/// A large amount of standard error output does not change the response, and the log stays small.
#[test]
fn application_stderr_is_logged_at_a_limited_rate() {
    let mut bytes = BytesMut::new();
    for _ in 0..400 {
        put_stream(&mut bytes, Kind::Stderr, 1, &[b'e'; 60_000]);
    }
    put_record(&mut bytes, Kind::Stdout, 1, HEAD);
    put_stream(&mut bytes, Kind::Stderr, 1, b"in between\n");
    put_record(&mut bytes, Kind::Stdout, 1, b"12345");
    put_record(&mut bytes, Kind::EndRequest, 1, &end_content(0));
    let boards = ScriptedBackends::new(script(vec![Act::Raw(bytes.to_vec())]));
    let node = start_node(Protocol::Http, &[boards.start(Protocol::FastCgi)], "");
    let answer =
        ProtocolClient::connect(node.address(), Protocol::Http).unwrap().ask("GET", "/boards/x", "", b"");
    assert_eq!((answer.status, answer.body.as_slice()), (200, b"12345".as_slice()));
    // 24 MB in well under a minute give one line per second at most, and no long line.
    assert!((1..60).contains(&node.count_log_lines("stderr: eee")), "{}", node.count_log_lines("stderr"));
    assert!(node.log.lock().unwrap().iter().all(|line| line.len() < 400));
    assert!(node.peak_memory() < 24 << 20, "{}", node.peak_memory());
}

/// An idle connection that the endpoint closes right after its response is not reused, however soon the close follows: no
/// request is executed twice, and hardly any fails.
#[test]
fn closed_idle_connection_is_not_reused() {
    let whole = records(&[
        (Kind::Stdout, 1, HEAD),
        (Kind::Stdout, 1, b"12345"),
        (Kind::EndRequest, 1, &end_content(0)),
    ]);
    let boards = ScriptedBackends::new(script(vec![Act::Raw(whole)]));
    let node = start_node(Protocol::Http, &[boards.start(Protocol::FastCgi)], "");
    let mut client = ProtocolClient::connect(node.address(), Protocol::Http).unwrap();
    for n in 0..100 {
        // Most requests follow at once, every third after a pause.
        if n % 3 == 0 {
            thread::sleep(Duration::from_millis(2));
        }
        let answer = client.ask("POST", "/runs/any", &format!("X-Unit: {n}\r\n"), b"x");
        // A request that is written just before the close is received may have been executed, as far as the node knows.
        assert!(matches!(answer.status, 200 | 502), "{n}: {}", answer.status);
    }
    let seen = boards.seen();
    assert!(seen.effects.values().all(|count| *count == 1));
    assert!(seen.effects.len() >= 90, "{} of 100", seen.effects.len());
}

/// Several requests share a connection only where the endpoint advertises multiplexing. An endpoint that closes the connection
/// on the query is used without an answer to it.
#[test]
fn connections_carry_as_many_requests_as_endpoints_state() {
    let slow = || script(vec![Act::Later(Duration::from_millis(300), Box::new(served("rank 1")))]);
    for (multiplex, connections) in [(true, 1), (false, 4)] {
        let boards = ScriptedBackends::new(slow());
        let boards = if multiplex { boards.multiplexing() } else { boards };
        let node = start_node(Protocol::Http, &[boards.start(Protocol::FastCgi)], "");
        // The in-flight limit of the endpoint starts at 1 and grows with its responses.
        let address = node.address();
        let clients: Vec<_> = (0..4)
            .map(|_| {
                thread::spawn(move || {
                    let mut client = ProtocolClient::connect(address, Protocol::Http).unwrap();
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
    // An endpoint that does not support management records and closes the connection on them.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let boards = ScriptedBackends::new(script(vec![served("rank 1")]));
    let behind = boards.start(Protocol::FastCgi);
    thread::spawn(move || {
        for (n, stream) in listener.incoming().map_while(Result::ok).enumerate() {
            if n == 0 {
                // Reads the query and closes the connection.
                let _ = std::io::Read::read(&mut &stream, &mut [0; 100]);
                continue;
            }
            let to = TcpStream::connect(behind).unwrap();
            let (mut from, mut back) = (stream.try_clone().unwrap(), to.try_clone().unwrap());
            thread::spawn(move || std::io::copy(&mut from, &mut &to));
            thread::spawn(move || std::io::copy(&mut back, &mut &stream));
        }
    });
    let node = start_node(Protocol::Http, &[address], "");
    let answer =
        ProtocolClient::connect(node.address(), Protocol::Http).unwrap().ask("POST", "/runs/x", "", b"x");
    assert_eq!((answer.status, boards.seen().lines.len()), (200, 1));
}

/// An endpoint on a Unix socket is reached, and gets the path and query of a request unchanged.
#[test]
fn endpoint_on_a_unix_socket_is_reached() {
    let path = temporary(".sock");
    let listener = UnixListener::bind(&path).unwrap();
    let boards = ScriptedBackends::new(script(vec![served("rank 1")]));
    let behind = boards.start(Protocol::FastCgi);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let to = TcpStream::connect(behind).unwrap();
            let (mut from, mut back) = (stream.try_clone().unwrap(), to.try_clone().unwrap());
            thread::spawn(move || std::io::copy(&mut from, &mut &to));
            thread::spawn(move || std::io::copy(&mut back, &mut &stream));
        }
    });
    let servers = [format!("unix:{}", path.display())];
    let node = StandaloneNode::start(&text(Protocol::Http, &servers, ""), 1);
    let mut client = ProtocolClient::connect(node.address(), Protocol::Http).unwrap();
    assert_eq!(client.ask("GET", "/boards/a%20b?x=%2F", "", b"").status, 200);
    assert_eq!(boards.seen().lines, ["GET /boards/a%20b?x=%2F"]);
    // A path with an encoded slash has no route: decoded, it would be another path.
    assert_eq!(client.ask("GET", "/boards/a%2Fb", "", b"").status, 404);
    let _ = std::fs::remove_file(path);
}

// ---- Web servers as FastCGI clients -------------------------------------------------------------

/// An `FCGI_BEGIN_REQUEST` record that keeps the connection.
fn begin(id: u16, role: Role) -> Vec<u8> {
    records(&[(Kind::BeginRequest, id, &Begin { role, keep: true }.encode())])
}

/// The content of `FCGI_PARAMS` records.
fn params(list: &[(&str, &str)]) -> Vec<u8> {
    let mut out = BytesMut::new();
    list.iter().for_each(|(name, value)| {
        pumicehead_fastcgi::pairs::put_pair(&mut out, name.as_bytes(), value.as_bytes())
    });
    out.to_vec()
}

/// A request as a web server writes it.
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
    let mut bytes = begin(id, Role::Responder);
    bytes.extend(records(&[(Kind::Params, id, &list), (Kind::Params, id, b"")]));
    if !body.is_empty() {
        bytes.extend(records(&[(Kind::Stdin, id, body)]));
    }
    bytes.extend(records(&[(Kind::Stdin, id, b"")]));
    bytes
}

fn connect(node: &StandaloneNode) -> ProtocolClient {
    ProtocolClient::connect(node.address(), Protocol::FastCgi).unwrap()
}

/// Reads until `most` requests have ended or the connection is closed. Returns their ids in order with the status code of each,
/// 0 where there is none.
fn read_ends(client: &mut ProtocolClient, most: usize) -> Vec<(u16, u16)> {
    let (mut ends, mut heads) = (Vec::new(), std::collections::HashMap::<u16, Vec<u8>>::new());
    while ends.len() < most {
        let received = client.records(1);
        if received.is_empty() {
            break;
        }
        for Record { kind, id, content } in received {
            match kind {
                Kind::Stdout => heads.entry(id).or_default().extend_from_slice(&content),
                Kind::EndRequest => {
                    let head = heads.remove(&id).unwrap_or_default();
                    let status =
                        String::from_utf8_lossy(&head).split(' ').nth(1).and_then(|text| text.parse().ok());
                    ends.push((id, status.unwrap_or(0)));
                }
                _ => {}
            }
        }
    }
    ends
}

#[test]
fn malformed_fastcgi_requests_reach_no_endpoint() {
    let boards = ScriptedBackends::new(script(vec![served("rank 1")]));
    let node =
        start_node(Protocol::FastCgi, &[boards.start(Protocol::FastCgi)], "limits { request-time 400ms }\n");
    let ask = |bytes: &[u8]| {
        let mut client = connect(&node);
        client.write(bytes).unwrap();
        read_ends(&mut client, 1)
    };
    assert_eq!(ask(&request(1, "/runs/x", "9", b"short")), [(1, 400)]);
    assert_eq!(ask(&request(1, "/runs/x", "3", b"too long")), [(1, 400)]);
    assert_eq!(ask(&request(1, "/runs/x", "x", b"odd")), [(1, 400)]);
    assert_eq!(ask(&request(1, "/boards/../runs/x", "", b"")), [(1, 400)]);
    assert_eq!(ask(&request(1, "/nowhere", "", b"")), [(1, 404)]);
    let mut invalid_length = begin(1, Role::Responder);
    invalid_length.extend(records(&[(Kind::Params, 1, b"\xff\xff\xff\xff\xff\xff\xff\xffX")]));
    assert_eq!(ask(&invalid_length), [(1, 400)]);
    let mut body = begin(1, Role::Responder);
    body.extend(records(&[
        (Kind::Params, 1, &params(&[("REQUEST_METHOD", "POST")])),
        (Kind::Params, 1, b""),
    ]));
    (0..3).for_each(|_| body.extend(records(&[(Kind::Stdin, 1, &[0; 40_000])])));
    assert_eq!(ask(&body), [(1, 413)]);
    // A request that stays incomplete is answered when its time is up.
    assert_eq!(ask(&begin(1, Role::Responder)), [(1, 408)]);
    assert_eq!(ask(&begin(1, Role::Filter)), [(1, 0)]);
    // Bytes that are not FastCGI, and a begin record that is not allowed, close the connection without a response.
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
    assert_eq!(
        (answers[0].kind, &answers[0].content[..]),
        (Kind::UnknownType, &[77, 0, 0, 0, 0, 0, 0, 0][..])
    );
    assert_eq!(
        (answers[1].kind, &answers[1].content[..]),
        (Kind::GetValuesResult, &b"\x0f\x01FCGI_MPXS_CONNS1"[..])
    );
}

/// Of several requests on one connection the fast ones don't wait for the slow one, each gets its own response, and an
/// abort cancels the attempt of its request alone.
#[test]
fn multiplexed_requests_are_independent() {
    let boards = ScriptedBackends::new(Arc::new(|asked: &ScriptedRequest| match asked.target.as_str() {
        "/boards/slow" => Act::Later(Duration::from_millis(700), Box::new(served("slow"))),
        "/boards/silent" => Act::Silent,
        _ => served("fast"),
    }))
    .multiplexing();
    let servers: Vec<_> = (0..4).map(|_| boards.start(Protocol::FastCgi)).collect();
    let node = start_node(Protocol::FastCgi, &servers, "");
    let mut client = connect(&node);
    client
        .write(&[request(1, "/boards/slow", "", b""), request(2, "/boards/silent", "", b"")].concat())
        .unwrap();
    wait_for("both requests", || boards.seen().lines.len() == 2);
    client.write(&request(3, "/boards/x", "", b"")).unwrap();
    assert_eq!(read_ends(&mut client, 1), [(3, 200)]);
    client.write(&records(&[(Kind::AbortRequest, 2, b"")])).unwrap();
    let rest = read_ends(&mut client, 2);
    assert!(rest.contains(&(1, 200)) && rest.contains(&(2, 0)), "{rest:?}");
    wait_for("the abort at the endpoint", || boards.seen().dropped == 1);
    // The id is free again, and the connection can still be used.
    client.write(&request(2, "/boards/x", "", b"")).unwrap();
    assert_eq!(read_ends(&mut client, 1), [(2, 200)]);
}

/// A web server that reads nothing uses a bounded amount of memory, and others are served.
#[test]
fn fastcgi_client_that_reads_nothing_uses_bounded_memory() {
    let large_body: &'static str = Box::leak("rank 1\n".repeat(9_000).into_boxed_str());
    let boards = ScriptedBackends::new(Arc::new(move |_: &ScriptedRequest| served(large_body)));
    let servers: Vec<_> = (0..4).map(|_| boards.start(Protocol::FastCgi)).collect();
    let node = start_node(Protocol::FastCgi, &servers, "");
    let mut not_reading = connect(&node);
    // 1,000 responses of 63 KB would be 63 MB: beyond a limit new requests are rejected, and need no memory.
    let writer = thread::spawn(move || {
        for id in 1..=1_000u16 {
            if not_reading.write(&request(id, "/boards/x", "", b"")).is_err() {
                break;
            }
        }
        not_reading
    });
    let mut other = connect(&node);
    for id in 1..=20 {
        other.write(&request(id, "/boards/x", "", b"")).unwrap();
        assert!(matches!(read_ends(&mut other, 1)[..], [(_, 200 | 503)]));
    }
    assert!(node.peak_memory() < 64 << 20, "{}", node.peak_memory());
    // Once it reads, it gets the end of each request.
    let mut not_reading = writer.join().unwrap();
    let ends = read_ends(&mut not_reading, 1_000);
    assert_eq!(ends.len(), 1_000);
    assert!(ends.iter().all(|(_, status)| matches!(status, 0 | 200 | 503)));
}

/// Guards a reload and a drain with several requests on one connection: all of them are answered.
#[test]
fn reload_and_sigterm_answer_all_requests_of_a_connection() {
    let boards = ScriptedBackends::new(Arc::new(|asked: &ScriptedRequest| {
        let delay = Duration::from_millis(if asked.target.ends_with("slow") { 700 } else { 1 });
        Act::Later(delay, Box::new(served("rank 1")))
    }));
    let servers: Vec<_> = (0..3).map(|_| boards.start(Protocol::FastCgi).to_string()).collect();
    let before = text(Protocol::FastCgi, &servers, "");
    let mut node = StandaloneNode::start(&before, 1);
    let mut client = connect(&node);
    client
        .write(&[request(1, "/boards/slow", "", b""), request(2, "/runs/slow", "1", b"x")].concat())
        .unwrap();
    wait_for("both requests", || boards.seen().lines.len() == 2);
    node.reload(
        &before
            .replace("worth 10", "worth 8")
            .replace("route read {", "route other { path /other; class read; pool boards }\nroute read {"),
    );
    client.write(&request(3, "/other", "", b"")).unwrap();
    // The in-flight limit of an endpoint starts at 1: the one of the third request is free again for the fourth.
    let mut ends = read_ends(&mut client, 1);
    assert_eq!(ends, [(3, 200)]);
    client.write(&request(4, "/boards/slow", "", b"")).unwrap();
    wait_for("the fourth request", || boards.seen().lines.len() == 4);
    node.signal("TERM");
    ends.extend(read_ends(&mut client, 10));
    ends.sort_unstable();
    assert_eq!(ends, [(1, 200), (2, 200), (3, 200), (4, 200)]);
    assert_eq!(node.wait().code(), Some(0));
    let _ = std::io::stderr().flush();
}
