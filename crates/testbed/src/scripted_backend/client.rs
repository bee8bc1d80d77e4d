//! A client that speaks HTTP/1.1 or FastCGI to a node.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

use bytes::BytesMut;
use hyper::header::{HeaderName, HeaderValue};
use pumicehead_fastcgi::cgi::HeadReader;
use pumicehead_fastcgi::client::{Client as StateMachine, Event};
use pumicehead_fastcgi::record::{ProtocolStatus, Record, RecordDecoder};

use super::Protocol;
use crate::program::LIMIT;
use crate::scripted::Message;

/// Bytes read per call.
const READ_BUFFER: usize = 16 << 10;

/// A response; status 0 is a connection that ended without one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// The headers, as `name: value` with names in lower case.
    pub fields: Vec<String>,
    /// The body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Returns the first value of a header; `name` is in lower case.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }
}

/// A connection to a node.
pub struct ProtocolClient {
    protocol: Protocol,
    stream: TcpStream,
    fastcgi: StateMachine,
    /// Decodes the records that [`Self::records`] returns, past the state machine.
    decoder: RecordDecoder,
}

impl ProtocolClient {
    /// Opens a connection.
    ///
    /// # Errors
    /// Those of the system.
    pub fn connect(address: SocketAddr, protocol: Protocol) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(LIMIT))?;
        Ok(Self { protocol, stream, fastcgi: StateMachine::default(), decoder: RecordDecoder::default() })
    }

    /// Sends a request; `headers` are complete lines.
    ///
    /// # Errors
    /// Those of the system; over FastCGI, `OutOfMemory` where no request id is free.
    pub fn send(&mut self, method: &str, target: &str, headers: &str, body: &[u8]) -> io::Result<()> {
        let bytes = match self.protocol {
            Protocol::Http => http_request(method, target, headers, body),
            Protocol::FastCgi => self.fastcgi_request(method, target, headers, body)?,
        };
        self.stream.write_all(&bytes)
    }

    fn fastcgi_request(
        &mut self,
        method: &str,
        target: &str,
        headers: &str,
        body: &[u8],
    ) -> io::Result<Vec<u8>> {
        let mut out = BytesMut::new();
        let id = self.fastcgi.begin(&mut out, true).ok_or(io::ErrorKind::OutOfMemory)?;
        let params = fastcgi_params(method, target, headers, body.len());
        let pairs = params.iter().map(|(name, value)| (name.as_bytes(), value.as_bytes()));
        self.fastcgi.params(&mut out, id, pairs);
        self.fastcgi.stdin(&mut out, id, body);
        self.fastcgi.stdin_end(&mut out, id);
        Ok(out.to_vec())
    }

    /// Reads the next response. Over FastCGI there must be no other open request.
    #[must_use]
    pub fn read(&mut self, method: &str) -> Answer {
        let read = match self.protocol {
            Protocol::Http => self.read_http(method),
            Protocol::FastCgi => self.read_fastcgi(),
        };
        read.unwrap_or_default()
    }

    /// Sends a request and reads its response.
    #[must_use]
    pub fn ask(&mut self, method: &str, target: &str, headers: &str, body: &[u8]) -> Answer {
        match self.send(method, target, headers, body) {
            Ok(()) => self.read(method),
            Err(_) => Answer::default(),
        }
    }

    fn read_http(&mut self, method: &str) -> Option<Answer> {
        // Nothing is read ahead: a client has one request open at a time.
        let mut input = BufReader::with_capacity(1, &self.stream);
        let head = Message::read_head(&mut input)?;
        let bodiless = method == "HEAD" || matches!(head.status(), 204 | 304);
        let length = head.header("content-length").and_then(|text| text.parse().ok()).filter(|_| !bodiless);
        let body = if head.header("transfer-encoding").is_some() && !bodiless {
            Message::read_chunks(&mut input)?
        } else {
            let mut body = vec![0; length.unwrap_or(0)];
            input.read_exact(&mut body).ok()?;
            body
        };
        Some(Answer { status: head.status(), fields: head.headers, body })
    }

    fn read_fastcgi(&mut self) -> Option<Answer> {
        let mut input = vec![0; READ_BUFFER];
        let (mut reader, mut head, mut body) = (HeadReader::default(), None, Vec::new());
        loop {
            let count = self.stream.read(&mut input).ok().filter(|count| *count > 0)?;
            let mut events = Vec::new();
            self.fastcgi.receive(&input[..count], &mut events).ok()?;
            for event in events {
                match event {
                    Event::Stdout(_, part) if head.is_none() => {
                        if let Some((found, rest)) = reader.feed(&part).ok()? {
                            head = Some(found);
                            body.extend_from_slice(&rest);
                        }
                    }
                    Event::Stdout(_, part) => body.extend_from_slice(&part),
                    Event::Ended(_, end) if end.protocol == ProtocolStatus::Overloaded => {
                        return Some(Answer { status: 503, ..Answer::default() });
                    }
                    Event::Ended(..) => {
                        let head = head?;
                        let fields = head.headers.iter().map(header_line).collect();
                        return Some(Answer { status: head.status.as_u16(), fields, body });
                    }
                    _ => {}
                }
            }
        }
    }

    /// Writes bytes as they are.
    ///
    /// # Errors
    /// Those of the system.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads FastCGI records until there are `limit` of them or the other side closes.
    #[must_use]
    pub fn records(&mut self, limit: usize) -> Vec<Record> {
        let mut records = Vec::new();
        let mut input = vec![0; READ_BUFFER];
        while records.len() < limit {
            let count = self.stream.read(&mut input).unwrap_or(0);
            let mut part = &input[..count];
            while let Ok(Some(record)) = self.decoder.next(&mut part) {
                records.push(record);
            }
            if count == 0 {
                break;
            }
        }
        records
    }
}

fn header_line((name, value): (&HeaderName, &HeaderValue)) -> String {
    format!("{name}: {}", String::from_utf8_lossy(value.as_bytes()))
}

fn http_request(method: &str, target: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let head = format!("{method} {target} HTTP/1.1\r\nHost: a\r\n{headers}{length}\r\n");
    [head.as_bytes(), body].concat()
}

fn fastcgi_params(method: &str, target: &str, headers: &str, body_length: usize) -> Vec<(String, String)> {
    let content_length = if body_length == 0 { String::new() } else { body_length.to_string() };
    let mut params = vec![
        ("REQUEST_METHOD".to_owned(), method.to_owned()),
        ("REQUEST_URI".into(), target.into()),
        ("HTTP_HOST".into(), "a".into()),
        ("CONTENT_LENGTH".into(), content_length),
    ];
    for line in headers.lines() {
        if let Some((name, value)) = line.split_once(": ") {
            let name = name.to_ascii_uppercase().replace('-', "_");
            let name = if name == "CONTENT_TYPE" { name } else { format!("HTTP_{name}") };
            params.push((name, value.to_owned()));
        }
    }
    params
}
