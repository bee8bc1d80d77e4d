//! Long bodies through a node on the platform, with peers that are slow, stop, fail, or send something other than announced.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use pumicehead_testbed::scripted::*;

const MIB: usize = 1 << 20;
/// Limit of all waits, far longer than anything takes that does not fail.
const LIMIT: Duration = Duration::from_secs(30);

/// A body of lines with their numbers, in which misplaced bytes are noticed.
fn body(length: usize) -> String {
    (0..length / 16 + 1).map(|n| format!("{n:15x}\n")).collect::<String>()[..length].to_owned()
}

/// Starts a server that reads the head of one request from each connection and passes it to the script with the connection,
/// on a thread of its own.
fn raw_server(
    script: impl Fn(Message, BufReader<TcpStream>, TcpStream) + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let script = std::sync::Arc::new(script);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (stream, script) = (stream.unwrap(), script.clone());
            thread::spawn(move || {
                let mut input = BufReader::new(stream.try_clone().unwrap());
                if let Some(head) = Message::read_head(&mut input) {
                    script(head, input, stream);
                }
            });
        }
    });
    address
}

fn start_node(addresses: &[SocketAddr]) -> Node {
    let hosts: Vec<_> =
        addresses.iter().enumerate().map(|(n, &at)| host(&format!("s-{n}"), at, "active")).collect();
    Setup { endpoint_list: list(1, true, &hosts), ..Setup::of(&[]) }.start()
}

fn connect(node: &Node) -> (BufReader<TcpStream>, TcpStream) {
    let stream = TcpStream::connect(node.address).unwrap();
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    (BufReader::new(stream.try_clone().unwrap()), stream)
}

/// Reads a chunked body; `None` where it is incomplete.
fn read_chunks(input: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        input.read_line(&mut line).ok().filter(|&count| count > 0)?;
        let size = usize::from_str_radix(line.trim_end().split(';').next().unwrap(), 16).unwrap();
        let mut chunk = vec![0; size + 2];
        input.read_exact(&mut chunk).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// The head of an upload with these header lines.
fn upload_head(headers: &str) -> String {
    request_with("submit", "", &format!("X-Time-Left: 15000m\r\n{headers}"))
}

/// The first bytes of a long response reach the client before the endpoint has sent the rest.
#[test]
fn response_is_streamed_as_it_arrives() {
    let (release, released) = mpsc::channel::<()>();
    let released = std::sync::Mutex::new(released);
    let expected = body(3 * MIB);
    let sent = expected.clone();
    let server = raw_server(move |_, _, mut stream| {
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", sent.len()).unwrap();
        stream.write_all(&sent.as_bytes()[..100]).unwrap();
        released.lock().unwrap().recv_timeout(LIMIT).unwrap();
        stream.write_all(&sent.as_bytes()[100..]).unwrap();
        let _ = stream.read(&mut [0]);
    });
    let node = start_node(&[server]);
    let (mut input, mut stream) = connect(&node);
    stream.write_all(request("submit", "x").as_bytes()).unwrap();
    let head = Message::read_head(&mut input).unwrap();
    assert_eq!((head.status(), head.header("content-length")), (200, Some("3145728")));
    let mut received = vec![0; expected.len()];
    input.read_exact(&mut received[..100]).unwrap();
    release.send(()).unwrap();
    input.read_exact(&mut received[100..]).unwrap();
    assert!(received == expected.as_bytes());
    // The connection can be used for another request.
    stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
    assert_eq!(Message::read_head(&mut input).unwrap().status(), 200);
}

/// Short and long responses with every framing of HTTP/1.1: `Content-Length`, chunks, end of the connection, and behind an
/// interim response.
#[test]
fn responses_of_every_framing_arrive_complete() {
    for length in [100, 64 << 10, (64 << 10) + 1, 2 * MIB] {
        let expected = body(length);
        let chunked: String = expected
            .as_bytes()
            .chunks(1_000)
            .map(|chunk| format!("{:x};a=b\r\n{}\r\n", chunk.len(), str::from_utf8(chunk).unwrap()))
            .collect();
        let responses = [
            answer("200 OK", "", &expected),
            format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunked}0\r\nX-After: 1\r\n\r\n"),
            format!("HTTP/1.1 200 OK\r\nConnection: x, Close\r\n\r\n{expected}"),
            format!("HTTP/1.1 103 Early Hints\r\n\r\n{}", answer("200 OK", "", &expected)),
        ];
        for response in responses {
            let start: String = response.chars().take(60).collect();
            let backend = Backend::start(move |_| Act::WriteAndClose(response.clone()));
            let node = Setup::of(&[&backend]).start();
            let (mut input, mut stream) = connect(&node);
            stream.write_all(request("submit", "x").as_bytes()).unwrap();
            let head = Message::read_head(&mut input).unwrap();
            assert_eq!(head.status(), 200, "{length} {start}");
            let received = match head.header("content-length") {
                Some(length) => {
                    let mut received = vec![0; length.parse().unwrap()];
                    input.read_exact(&mut received).unwrap();
                    received
                }
                None => {
                    read_chunks(&mut input).unwrap_or_else(|| panic!("{length} {start}: incomplete body"))
                }
            };
            assert!(received == expected.as_bytes(), "{length} {start}");
        }
    }
}

/// A response whose connection is reset is incomplete at the client as well, also where it was to end with the connection, and
/// the request is not retried.
#[test]
fn response_of_a_failed_endpoint_is_cut_and_not_retried() {
    let long = body(MIB);
    let heads = ["Content-Length: 2097152\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n"];
    for headers in heads {
        let (seen, count) = mpsc::channel();
        let (sent, chunked) = (long.clone(), headers.starts_with("Transfer"));
        let server = raw_server(move |_, _, mut stream| {
            let _ = seen.send(());
            write!(stream, "HTTP/1.1 200 OK\r\n{headers}\r\n").unwrap();
            if chunked {
                write!(stream, "{:x}\r\n", sent.len() + 1).unwrap();
            }
            stream.write_all(sent.as_bytes()).unwrap();
            // The request has not been read completely, so that closing the socket resets the connection.
            thread::sleep(Duration::from_millis(300));
        });
        let node = start_node(&[server, server]);
        let (mut input, mut stream) = connect(&node);
        // A body of which the server reads nothing.
        stream.write_all(request("submit", &"x".repeat(60_000)).as_bytes()).unwrap();
        let head = Message::read_head(&mut input).unwrap();
        assert_eq!(head.status(), 200, "{headers}");
        let incomplete = match head.header("content-length") {
            Some(_) => input.read_exact(&mut vec![0; 2 * MIB]).is_err(),
            None => read_chunks(&mut input).is_none(),
        };
        assert!(incomplete, "{headers}");
        assert_eq!(count.try_iter().count(), 1, "{headers}");
    }
}

/// Clients that request long responses and read nothing use a bounded amount of memory and no capacity of the endpoint, and
/// get the whole response once they read.
#[test]
fn clients_that_read_nothing_use_bounded_memory() {
    let expected = body(8 * MIB);
    let sent = expected.clone();
    let backend =
        Backend::start(move |message| if message.first.contains("submit") { ok(&sent) } else { ok("short") });
    let node = Setup::of(&[&backend]).start();
    let mut slow: Vec<_> = (0..30)
        .map(|n| {
            let (mut input, mut stream) = connect(&node);
            stream.write_all(request("submit", "x").as_bytes()).unwrap();
            assert_eq!(Message::read_head(&mut input).unwrap().status(), 200, "{n}");
            (input, stream)
        })
        .collect();
    for _ in 0..50 {
        assert_eq!(node.ask(&request("read", "")).status(), 200);
    }
    let resident = node.resident_bytes();
    assert!(resident < 40 * MIB, "{resident} bytes of resident memory with 30 open responses of 8 MiB");
    let mut received = vec![0; expected.len()];
    for (input, _) in slow.iter_mut().take(3) {
        input.read_exact(&mut received).unwrap();
        assert!(received == expected.as_bytes());
    }
}

/// A client disconnects within a response: its connection to the endpoint is not reused.
#[test]
fn disconnect_mid_response_closes_the_upstream_connection() {
    let expected = body(8 * MIB);
    let backend = Backend::start(move |_| ok(&expected));
    let node = Setup::of(&[&backend]).start();
    let (mut input, mut stream) = connect(&node);
    stream.write_all(request("submit", "x").as_bytes()).unwrap();
    assert_eq!(Message::read_head(&mut input).unwrap().status(), 200);
    drop((input, stream));
    wait_for("the upstream connection to close", || backend.closed() == 1);
}

/// An upload arrives unchanged, once, whatever its length and framing.
#[test]
fn upload_is_streamed_completely() {
    for length in [(64 << 10) + 1, MIB, MIB + 1, 5 * MIB] {
        let expected = body(length);
        let backend = Backend::start(|message| ok(&message.body.len().to_string()));
        let node = Setup::of(&[&backend]).start();
        let answer = node.ask(&request("submit", &expected));
        assert_eq!((answer.status(), answer.body), (200, length.to_string().into_bytes()));
        let seen = backend.seen.lock().unwrap();
        assert!(seen.len() == 1 && seen[0].body == expected.as_bytes(), "{length}");
    }
    let expected = body(300_000);
    let (sender, received) = mpsc::channel();
    let server = raw_server(move |head, mut input, mut stream| {
        let chunked = head.header("transfer-encoding") == Some("chunked");
        let _ = sender.send(chunked.then(|| read_chunks(&mut input)).flatten());
        stream.write_all(answer("200 OK", "", "done").as_bytes()).unwrap();
    });
    let node = start_node(&[server]);
    let chunks: String = expected
        .as_bytes()
        .chunks(7_000)
        .map(|chunk| format!("{:x}\r\n{}\r\n", chunk.len(), str::from_utf8(chunk).unwrap()))
        .collect();
    let text = upload_head("Transfer-Encoding: chunked\r\n") + &chunks + "0\r\n\r\n";
    assert_eq!(node.ask(&text).status(), 200);
    assert!(received.recv_timeout(LIMIT).unwrap().unwrap() == expected.as_bytes());
}

/// An upload of which more than the buffered part was sent is not retried. Its last byte was not written, so it was not
/// executed, and the client may retry it.
#[test]
fn upload_to_a_failed_endpoint_is_not_retried() {
    let (seen, count) = mpsc::channel();
    let server = raw_server(move |_, mut input, _| {
        let _ = seen.send(());
        let _ = input.read_exact(&mut vec![0; 2 * MIB]);
    });
    let node = start_node(&[server, server]);
    let (mut input, mut stream) = connect(&node);
    let head = upload_head("Content-Length: 8388608\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    // The node may close the connection while this is written.
    let _ = stream.write_all(body(6 * MIB).as_bytes());
    let answer = Message::read_head(&mut input).unwrap();
    assert_eq!(answer.status(), 503, "{answer:?}");
    assert_eq!((answer.header("retry-after"), answer.header("connection")), (Some("0.500"), Some("close")));
    assert_eq!(count.try_iter().count(), 1);
}

/// An upload of which only the buffered part was sent is retried at another endpoint, which gets all of it.
#[test]
fn upload_is_retried_while_only_its_buffered_part_was_sent() {
    let backend = Backend::start(|message| ok(&message.body.len().to_string()));
    let hosts = [host("s-dead", refusing(), "active"), host("s-good", backend.address, "active")];
    let node = Setup { endpoint_list: list(1, true, &hosts), ..Setup::of(&[]) }.start();
    let expected = body(3 * MIB);
    for _ in 0..4 {
        assert_eq!(node.ask(&request("submit", &expected)).status(), 200);
    }
    assert!(backend.seen.lock().unwrap().iter().all(|message| message.body == expected.as_bytes()));
}

/// A slow upload that makes progress is served, and one that stalls times out, before its attempt has started and after.
#[test]
fn slow_uploads_pass_and_stalled_ones_time_out() {
    let backend = Backend::start(|message| ok(&message.body.len().to_string()));
    let node = Setup::of(&[&backend]).start();
    let slow = thread::scope(|scope| {
        let slow = scope.spawn(|| {
            let (mut input, mut stream) = connect(&node);
            stream.write_all(upload_head("Content-Length: 400000\r\n").as_bytes()).unwrap();
            for piece in body(400_000).as_bytes().chunks(40_000) {
                thread::sleep(Duration::from_millis(400));
                stream.write_all(piece).unwrap();
            }
            Message::read_head(&mut input).unwrap().status()
        });
        for sent in [10, 100_000, 3 * MIB] {
            let (mut input, mut stream) = connect(&node);
            stream.write_all(upload_head("Content-Length: 4000000\r\n").as_bytes()).unwrap();
            stream.write_all(body(sent).as_bytes()).unwrap();
            assert_eq!(Message::read_head(&mut input).unwrap().status(), 408, "{sent}");
        }
        slow.join().unwrap()
    });
    assert_eq!(slow, 200);
    assert_eq!(backend.count(), 1);
}

/// A request whose `Content-Length` is over the limit is rejected before its body is read.
#[test]
fn content_length_over_the_limit_is_rejected_at_once() {
    let backend = Backend::start(|_| ok("done"));
    let node = Setup::of(&[&backend]).start();
    let (mut input, mut stream) = connect(&node);
    stream.write_all(upload_head("Content-Length: 41943041\r\n").as_bytes()).unwrap();
    assert_eq!(Message::read_head(&mut input).unwrap().status(), 413);
    assert_eq!(backend.count(), 0);
}

/// An endpoint responds before the upload ends: the response is forwarded, and the client's connection is closed.
#[test]
fn response_before_the_end_of_an_upload_is_forwarded() {
    let server = raw_server(|_, mut input, mut stream| {
        let _ = input.read_exact(&mut vec![0; 2 * MIB]);
        let _ = stream.write_all(answer("200 OK", "", "enough").as_bytes());
        thread::sleep(Duration::from_secs(1));
    });
    let node = start_node(&[server]);
    let (mut input, mut stream) = connect(&node);
    stream.write_all(upload_head("Content-Length: 8388608\r\n").as_bytes()).unwrap();
    let _ = stream.write_all(body(3 * MIB).as_bytes());
    let answer = Message::read(&mut input).unwrap();
    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"enough"[..]));
    assert_eq!(answer.header("connection"), Some("close"));
}

/// An upload without a `Content-Length` that exceeds the limit on its way to an endpoint is answered with 413.
#[test]
fn unsized_upload_over_the_limit_is_rejected() {
    let server = raw_server(|_, mut input, _| drop(std::io::copy(&mut input, &mut std::io::sink())));
    let node = start_node(&[server, server]);
    let (mut input, mut stream) = connect(&node);
    stream.write_all(upload_head("Transfer-Encoding: chunked\r\n").as_bytes()).unwrap();
    let chunk = format!("100000\r\n{}\r\n", body(MIB));
    for _ in 0..41 {
        // The node may answer and close the connection before all of it is written.
        if stream.write_all(chunk.as_bytes()).is_err() {
            break;
        }
    }
    assert_eq!(Message::read_head(&mut input).unwrap().status(), 413);
}

/// A client that reads nothing of a long response is disconnected, and the endpoint's connection closes with it.
#[test]
fn client_that_reads_nothing_is_disconnected() {
    let expected = body(30 * MIB);
    let backend = Backend::start(move |_| ok(&expected));
    let node = Setup::of(&[&backend]).start();
    let (mut input, mut stream) = connect(&node);
    stream.write_all(request("submit", "x").as_bytes()).unwrap();
    assert_eq!(Message::read_head(&mut input).unwrap().status(), 200);
    wait_for("the upstream connection to close", || backend.closed() == 1);
    assert!(input.read_exact(&mut vec![0; 30 * MIB]).is_err(), "the response is complete");
    assert_eq!(node.ask(&request("read", "")).status(), 200);
}

/// An endpoint falls silent within a response: the client gets an incomplete response in bounded time.
#[test]
fn endpoint_silent_mid_response_is_given_up() {
    let server = raw_server(|_, _, mut stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\nsome");
        let _ = stream.read(&mut [0; 8]);
    });
    let node = start_node(&[server]);
    let (mut input, mut stream) = connect(&node);
    stream.write_all(request("submit", "x").as_bytes()).unwrap();
    assert_eq!(Message::read_head(&mut input).unwrap().status(), 200);
    let mut received = Vec::new();
    let ended = input.read_to_end(&mut received);
    assert!(received == b"some" && ended.is_ok_and(|count| count == 4));
}

/// A response that is being streamed at SIGTERM is forwarded to its end, one that its client does not read is dropped when the
/// process exits, and the exit code is 0.
#[test]
fn streams_finish_before_process_exit() {
    let expected = body(MIB);
    let (release, released) = mpsc::channel::<()>();
    let released = std::sync::Mutex::new(released);
    let sent = expected.clone();
    let server = raw_server(move |head, _, mut stream| {
        let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", sent.len());
        if head.first.contains("read") {
            // The whole response is sent, and the client does not read it.
            let _ = stream.write_all(sent.as_bytes());
            return drop(stream.read(&mut [0; 8]));
        }
        let _ = stream.write_all(&sent.as_bytes()[..MIB / 2]);
        let _ = released.lock().unwrap().recv_timeout(LIMIT);
        let _ = stream.write_all(&sent.as_bytes()[MIB / 2..]);
        let _ = stream.read(&mut [0; 8]);
    });
    let mut node = start_node(&[server, server]);
    let (_unread, mut unread) = connect(&node);
    unread.write_all(request("read", "").as_bytes()).unwrap();
    let (mut input, mut stream) = connect(&node);
    stream.write_all(request("submit", "x").as_bytes()).unwrap();
    assert_eq!(Message::read_head(&mut input).unwrap().status(), 200);
    let mut received = vec![0; MIB];
    input.read_exact(&mut received[..1000]).unwrap();
    node.terminate();
    release.send(()).unwrap();
    input.read_exact(&mut received[1000..]).unwrap();
    assert!(received == expected.as_bytes());
    assert!(node.wait().success());
}

/// A response that is being streamed continues while the configuration is reloaded.
#[test]
fn stream_continues_across_a_reload() {
    let expected = body(MIB);
    let (release, released) = mpsc::channel::<()>();
    let released = std::sync::Mutex::new(released);
    let sent = expected.clone();
    let server = raw_server(move |_, _, mut stream| {
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", sent.len()).unwrap();
        stream.write_all(&sent.as_bytes()[..1000]).unwrap();
        released.lock().unwrap().recv_timeout(LIMIT).unwrap();
        stream.write_all(&sent.as_bytes()[1000..]).unwrap();
        let _ = stream.read(&mut [0]);
    });
    let node = start_node(&[server]);
    let (mut input, mut stream) = connect(&node);
    stream.write_all(request("submit", "x").as_bytes()).unwrap();
    assert_eq!(Message::read_head(&mut input).unwrap().status(), 200);
    let mut received = vec![0; MIB];
    input.read_exact(&mut received[..1000]).unwrap();
    let discovery = Discovery::start();
    let config = node.config();
    let old_address = config.split("\"discovery\":\"").nth(1).unwrap().split('"').next().unwrap().to_owned();
    node.reload(&config.replace(&old_address, &discovery.address.to_string()));
    // A watch at the new address shows that the reload is done.
    let _watch = discovery.next();
    release.send(()).unwrap();
    input.read_exact(&mut received[1000..]).unwrap();
    assert!(received == expected.as_bytes());
}

/// With the memory budget for long responses exhausted, a further one fails at once and short ones are served. Memory is free
/// again once the open responses end.
#[test]
fn long_responses_beyond_the_memory_budget_fail_and_short_ones_pass() {
    let expected = body(8 * MIB);
    let backend = Backend::start(
        move |message| if message.first.contains("submit") { ok(&expected) } else { ok("short") },
    );
    let mut setup = Setup::of(&[&backend]);
    setup.memory_mb = 4;
    let node = setup.start();
    let mut open = Vec::new();
    let rejected = loop {
        let (mut input, mut stream) = connect(&node);
        stream.write_all(request("submit", "x").as_bytes()).unwrap();
        let status = Message::read_head(&mut input).unwrap().status();
        if status != 200 {
            break status;
        }
        open.push((input, stream));
        assert!(open.len() < 100, "the memory budget has no limit");
    };
    assert!(!open.is_empty() && rejected >= 500, "{} {rejected}", open.len());
    assert_eq!(node.ask(&request("read", "")).status(), 200);
    drop(open);
    wait_for("memory to be free again", || {
        let (mut input, mut stream) = connect(&node);
        stream.write_all(request("submit", "x").as_bytes()).unwrap();
        Message::read_head(&mut input).unwrap().status() == 200
    });
}
