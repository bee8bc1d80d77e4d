//! Clients that stop in the middle of a request and hold all client connections that the node allows.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use pumicehead_testbed::scripted::*;

/// Far more clients than the node allows connections with 256 descriptors.
const STOPPING_CLIENTS: usize = 250;
/// Clients that send one request after another.
const USUAL_CLIENTS: usize = 10;
/// How long usual clients go on sending.
const DURATION: Duration = Duration::from_secs(3);
/// Deadline of usual clients, and the time after it in which a response is still due.
const DEADLINE: Duration = Duration::from_millis(1_200);
const ANSWER_SLACK: Duration = Duration::from_millis(550);
/// A slow client sends its body in this many parts, with this pause before each.
const PARTS: usize = 40;
const PAUSE: Duration = Duration::from_millis(30);
const PART: &str = "0123456789";
/// Time in which a client that stopped must get an error or a close.
const ERROR_DUE: Duration = Duration::from_secs(3);

fn head(length: usize) -> String {
    let headers = format!("X-Time-Left: {}m\r\nContent-Length: {length}\r\n", DEADLINE.as_millis());
    request_with("submit", "", &headers)
}

/// Sends half of a body and waits; returns whether the client got a response or the end of the connection in time.
fn stop_in_a_body(address: SocketAddr) -> bool {
    let mut stream = TcpStream::connect(address).unwrap();
    let start = Instant::now();
    stream.set_read_timeout(Some(ERROR_DUE)).unwrap();
    let _ = stream.write_all((head(2_000) + &"x".repeat(1_000)).as_bytes());
    match stream.read(&mut [0; 64]) {
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => false,
        _ => start.elapsed() < ERROR_DUE,
    }
}

/// Sends one request after another until `stopped`. Returns whether each had a response in time, or its connection was closed.
fn use_node(address: SocketAddr, stopped: &AtomicBool) -> bool {
    let mut stream: Option<TcpStream> = None;
    while !stopped.load(Ordering::SeqCst) {
        let mut connection = stream.take().unwrap_or_else(|| TcpStream::connect(address).unwrap());
        connection.set_read_timeout(Some(DEADLINE + ANSWER_SLACK)).unwrap();
        let _ = connection.write_all((head(PART.len()) + PART).as_bytes());
        let mut response = [0; 512];
        match connection.read(&mut response) {
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return false;
            }
            Ok(count) if count > 0 && !String::from_utf8_lossy(&response).contains("connection: close") => {
                stream = Some(connection);
            }
            _ => {}
        }
        thread::sleep(PAUSE);
    }
    true
}

/// Sends a body slowly; returns whether it was answered by the endpoint.
fn send_slowly(client: &mut Client) -> bool {
    client.write(&head(PARTS * PART.len()));
    for _ in 0..PARTS {
        thread::sleep(PAUSE);
        if client.stream().write_all(PART.as_bytes()).is_err() {
            return false;
        }
    }
    client.read().is_some_and(|response| response.body == b"done")
}

/// Guards against requests that stay unread past their deadline because clients that stopped in the middle of a body hold all
/// connections. Clients that send slowly keep theirs.
#[test]
fn clients_that_stop_in_a_body_give_up_their_connections() {
    let backend = Backend::start(|_| ok("done"));
    let node = Setup::of(&[&backend]).start();
    wait_for("the endpoint", || node.ask(&request("submit", "x")).body == b"done");
    let address = node.address;
    let stopped = AtomicBool::new(false);
    let (slow, usual, stopping) = thread::scope(|scope| {
        let slow: Vec<_> = (0..5)
            .map(|_| {
                let mut client = node.connect();
                scope.spawn(move || send_slowly(&mut client))
            })
            .collect();
        let usual: Vec<_> = (0..USUAL_CLIENTS).map(|_| scope.spawn(|| use_node(address, &stopped))).collect();
        thread::sleep(PAUSE);
        let stopping: Vec<_> =
            (0..STOPPING_CLIENTS).map(|_| scope.spawn(move || stop_in_a_body(address))).collect();
        thread::sleep(DURATION);
        stopped.store(true, Ordering::SeqCst);
        let count = |threads: Vec<thread::ScopedJoinHandle<'_, bool>>| {
            threads.into_iter().map(|thread| thread.join().unwrap()).filter(|succeeded| !succeeded).count()
        };
        (count(slow), count(usual), count(stopping))
    });
    assert_eq!(usual, 0, "usual clients whose request had no response in time");
    assert_eq!(slow, 0, "slow clients without their response");
    assert_eq!(stopping, 0, "clients that stopped without an error or a close in time");
}
