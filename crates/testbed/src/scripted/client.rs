//! A blocking HTTP/1.1 client connection, and the text of requests of the platform's classes.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use super::Message;
use crate::program::LIMIT;

/// A client connection; reads time out after [`LIMIT`].
pub struct Client {
    stream: TcpStream,
    input: BufReader<TcpStream>,
}

impl Client {
    /// Opens a connection.
    pub fn connect(address: SocketAddr) -> Self {
        Self::new(TcpStream::connect(address).unwrap())
    }

    fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(LIMIT)).unwrap();
        Self { input: BufReader::new(stream.try_clone().unwrap()), stream }
    }

    /// Writes a text as it is.
    pub fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    /// The connection's socket.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Reads the next response; `None` where the connection ends.
    pub fn read(&mut self) -> Option<Message> {
        Message::read(&mut self.input)
    }

    /// Reads the next response, which has no body whatever its `Content-Length`.
    pub fn read_head(&mut self) -> Option<Message> {
        Message::read_head(&mut self.input)
    }

    /// Returns whether the other side closes the connection within [`LIMIT`].
    pub fn at_end(&mut self) -> bool {
        self.ends_within(LIMIT)
    }

    /// Returns whether the other side closes the connection within `limit`; what is received until then is discarded.
    pub fn ends_within(&mut self, limit: Duration) -> bool {
        use std::io::ErrorKind::{TimedOut, WouldBlock};
        self.stream.set_read_timeout(Some(limit)).unwrap();
        match std::io::copy(&mut self.input, &mut std::io::sink()) {
            Ok(_) => true,
            Err(error) => !matches!(error.kind(), TimedOut | WouldBlock),
        }
    }
}

/// The text of a request of a class, with a new request id and 15 s left to its deadline.
pub fn request(class: &str, body: &str) -> String {
    request_with(class, body, "X-Time-Left: 15000m\r\n")
}

/// The text of a request of a class with these header lines in place of the deadline.
pub fn request_with(class: &str, body: &str, headers: &str) -> String {
    let method = if class == "read" { "GET" } else { "POST" };
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let id = NEXT.fetch_add(1, Ordering::SeqCst);
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} /{class}/7f3a?x=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: 9b1f{id}\r\nX-Service-Class: {class}\r\n\
         X-Facts: a=1\r\nIdempotency-Key: 5c0f\r\n{headers}{length}\r\n{body}"
    )
}
