//! Clients that follow the protocol page, and the reading of HTTP messages.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which a wait for bytes looks for them.
const LOOK: Duration = Duration::from_micros(200);

/// A message whose body has a `Content-Length` or is chunked.
pub struct Message {
    /// The first line.
    pub first: String,
    headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    /// Reads from `stream`, whose read timeout applies.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    /// Reads more; returns false at the end of the connection.
    fn fill(&mut self) -> std::io::Result<bool> {
        let mut piece = [0; 16384];
        let count = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..count]);
        Ok(count > 0)
    }

    /// Reads until `end` bytes are there.
    fn fill_to(&mut self, end: usize) -> std::io::Result<()> {
        while self.buffer.len() < end {
            if !self.fill()? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(())
    }

    /// Waits for up to `limit` for bytes; returns whether any have come.
    pub fn waits_for(&mut self, limit: Duration) -> std::io::Result<bool> {
        if !self.buffer.is_empty() {
            return Ok(true);
        }
        // A read timeout would be rounded up to the system's ticks.
        self.stream.set_nonblocking(true)?;
        let start = Instant::now();
        let filled = loop {
            match self.fill() {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    if start.elapsed() >= limit {
                        break Ok(false);
                    }
                    thread::sleep(LOOK.min(limit));
                }
                Ok(false) => break Err(ErrorKind::UnexpectedEof.into()),
                other => break other,
            }
        };
        self.stream.set_nonblocking(false)?;
        filled
    }

    /// Reads until `pattern` is in the buffer from `start` on; returns the position behind it.
    fn find(&mut self, start: usize, pattern: &[u8]) -> std::io::Result<Option<usize>> {
        loop {
            let found = self.buffer[start..].windows(pattern.len()).position(|window| window == pattern);
            if let Some(at) = found {
                return Ok(Some(start + at + pattern.len()));
            }
            if !self.fill()? {
                return if self.buffer.is_empty() { Ok(None) } else { Err(ErrorKind::UnexpectedEof.into()) };
            }
        }
    }

    /// Reads the next message; `None` at the end of the connection.
    pub fn message(&mut self) -> std::io::Result<Option<Message>> {
        let Some(head) = self.find(0, b"\r\n\r\n")? else { return Ok(None) };
        let text = String::from_utf8_lossy(&self.buffer[..head]).into_owned();
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let headers: Vec<_> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let mut message = Message { first, headers, body: Vec::new() };
        let mut end = head;
        if message.header("transfer-encoding").is_some() {
            loop {
                let start = end;
                let Some(data) = self.find(start, b"\r\n")? else { return Ok(None) };
                let size = String::from_utf8_lossy(&self.buffer[start..data - 2]).into_owned();
                let size = usize::from_str_radix(size.trim(), 16).map_err(|_| ErrorKind::InvalidData)?;
                end = data + size + 2;
                self.fill_to(end)?;
                message.body.extend_from_slice(&self.buffer[data..data + size]);
                if size == 0 {
                    break;
                }
            }
        } else {
            let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            end = head + length;
            self.fill_to(end)?;
            message.body.extend_from_slice(&self.buffer[head..end]);
        }
        self.buffer.drain(..end);
        Ok(Some(message))
    }
}

/// How a client's try has ended.
pub enum End {
    /// A whole answer, after this time.
    Answered(Message, Duration),
    /// The node ended the connection with no whole answer, after this time.
    Closed(Duration),
    /// No whole answer within the time given; the connection is still open.
    Silent(Duration),
    /// No connection.
    NotConnected,
}

/// A client that keeps one connection.
pub struct Client {
    address: SocketAddr,
    connection: Option<(TcpStream, Reader)>,
}

/// Returns an id that no other request has.
pub fn new_id() -> String {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    format!("{:08x}{:08x}", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst))
}

/// The head of a request. `length` is that of the body.
pub fn head(class: &str, id: &str, time_left_ms: u64, length: usize) -> String {
    let method = if class == "board-read" { "GET" } else { "POST" };
    let length = if method == "GET" { String::new() } else { format!("Content-Length: {length}\r\n") };
    format!(
        "{method} /{class}/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: {id}\r\n\
         X-Service-Class: {class}\r\nX-Time-Left: {time_left_ms}m\r\n{length}\r\n"
    )
}

impl Client {
    /// A client of the node at `address`, without a connection yet.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connection: None }
    }

    /// Whether the next request goes out on a connection that has carried one.
    pub fn is_connected(&self) -> bool {
        self.connection.is_some()
    }

    /// Sends a request and waits for its answer for `wait` from its last byte.
    pub fn ask(&mut self, class: &str, id: &str, body: &[u8], time_left_ms: u64, wait: Duration) -> End {
        if self.connection.is_none() {
            let connect = || {
                let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(5))?;
                stream.set_nodelay(true)?;
                let reader = Reader::new(stream.try_clone()?);
                std::io::Result::Ok((stream, reader))
            };
            self.connection = connect().ok();
        }
        let Some((mut stream, mut reader)) = self.connection.take() else { return End::NotConnected };
        let mut request = head(class, id, time_left_ms, body.len()).into_bytes();
        request.extend_from_slice(body);
        let written = stream.write_all(&request);
        let start = Instant::now();
        if written.is_err() {
            return End::Closed(start.elapsed());
        }
        let _ = stream.set_read_timeout(Some(wait));
        match reader.message() {
            Ok(Some(answer)) => {
                let closes =
                    answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
                if !closes {
                    self.connection = Some((stream, reader));
                }
                End::Answered(answer, start.elapsed())
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                End::Silent(start.elapsed())
            }
            Ok(None) | Err(_) => End::Closed(start.elapsed()),
        }
    }
}
