//! The platform's discovery service, driven by the test.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use socket2::{Domain, Socket, Type};

use super::Message;
use crate::program::LIMIT;

/// Interval at which an empty line is written to an idle watch, which detects a closed connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// An entry of the endpoint list, in the platform's JSON.
pub fn host(name: &str, dial: SocketAddr, health: &str) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{dial}","site":"a","class":"m","block":1,"health":"{health}","share":1.0,"born_ms":0,"odd":1}}"#
    )
}

/// An endpoint list in the platform's JSON: a snapshot where `whole`, else a delta.
pub fn list(seq: u32, whole: bool, hosts: &[String]) -> String {
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, hosts.join(","))
}

/// A discovery service. Each watch is handed to the test as its request line and a sender of the lines to write;
/// dropping the sender ends the watch.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    /// Watches in the order of their requests.
    pub watches: mpsc::Receiver<(String, mpsc::Sender<String>)>,
}

impl Discovery {
    /// Starts the service on a free loopback port.
    pub fn start() -> Self {
        Self::start_at("127.0.0.1:0".parse().unwrap())
    }

    /// Starts the service at an address, such as one returned by [`refusing`].
    pub fn start_at(at: SocketAddr) -> Self {
        let listener = TcpListener::bind(at).unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, watches) = mpsc::channel();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (stream, sender) = (stream.unwrap(), sender.clone());
                thread::spawn(move || serve_watch(stream, &sender));
            }
        });
        Self { address, watches }
    }

    /// Waits for the next watch.
    pub fn next(&self) -> (String, mpsc::Sender<String>) {
        self.watches.recv_timeout(LIMIT).expect("no watch request before the timeout")
    }
}

/// Answers a watch with the lines of the test, a chunk each, until the sender is dropped or the connection ends.
fn serve_watch(mut stream: TcpStream, watches: &mpsc::Sender<(String, mpsc::Sender<String>)>) {
    let mut input = BufReader::new(stream.try_clone().unwrap());
    let Some(request) = Message::read(&mut input) else { return };
    let (lines, to_write) = mpsc::channel::<String>();
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    let _ = watches.send((request.first, lines));
    loop {
        let line = match to_write.recv_timeout(KEEP_ALIVE_INTERVAL) {
            Ok(line) => line,
            Err(mpsc::RecvTimeoutError::Timeout) => String::new(),
            Err(mpsc::RecvTimeoutError::Disconnected) => return,
        };
        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        if stream.write_all(chunk.as_bytes()).is_err() {
            return;
        }
    }
}

/// Returns an address that refuses connections until a listener is opened there. It stays bound until the process ends;
/// otherwise the system could assign the port to another listener of a test.
pub fn refusing() -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    // A later listener at this address sets the option as well.
    socket.set_reuse_address(true).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    std::mem::forget(socket);
    address
}
