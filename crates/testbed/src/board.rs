//! Board servers that follow a script, over HTTP/1.1 or FastCGI, and the clients to ask through a node: what is the
//! same under both protocols is said once. Each server keeps a record of what reached it.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use pumicehead_fastcgi::cgi::HeadReader;
use pumicehead_fastcgi::client::{Client as Machine, Event as Came};
use pumicehead_fastcgi::record::{Decoder, End, Kind, ProtocolStatus, put, put_stream, put_stream_end};
use pumicehead_fastcgi::server::{Bounds, Event, Server as Application};

use crate::program::LIMIT;
use crate::scripted::Message;
use crate::standin::UNIT;

/// What is spoken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Speaks {
    /// HTTP/1.1.
    Http,
    /// FastCGI, as the configuration names it.
    FastCgi,
}

impl Speaks {
    /// Both.
    pub const ALL: [Self; 2] = [Self::Http, Self::FastCgi];

    /// As the configuration names it.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Http => "http",
            Self::FastCgi => "fastcgi",
        }
    }
}

/// What a server does with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act {
    /// Answers with a status, fields as lines with their ends, and a body.
    Answer(u16, &'static str, &'static str),
    /// Answers so after a time.
    Later(Duration, Box<Act>),
    /// Says nothing until the other side closes.
    Silent,
    /// Closes when the request is whole.
    Close,
    /// States a body of 100 bytes, sends ten and closes.
    CutBody,
    /// Sends half a head and closes.
    CutHead,
    /// Sends a head that is none.
    Garbage,
    /// Sends fields without end, at most some MB.
    EndlessHead,
    /// States a body that is too long, and sends as much as is taken.
    TooLong,
    /// Answers with 200, a byte at a time.
    ByBytes(&'static str),
    /// FastCGI only: bytes as they are, `\x00\x01` where the id stands is filled in by none.
    Raw(Vec<u8>),
    /// FastCGI only: ends the request so, without output.
    End(u32, u8),
}

/// A whole 200 answer.
#[must_use]
pub fn served(body: &'static str) -> Act {
    Act::Answer(200, "Content-Type: text/plain\r\n", body)
}

/// What reached a server.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Whole requests, by unit of work.
    pub attempts: BTreeMap<String, u32>,
    /// Whole requests that change something, by unit of work.
    pub effects: BTreeMap<String, u32>,
    /// Requests that were called back, or whose connection ended before their answer.
    pub dropped: u32,
    /// All whole requests, as lines `METHOD TARGET`.
    pub lines: Vec<String>,
    /// Connections that came up.
    pub connections: u32,
}

/// A request as a server sees it.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Its number over all servers of a script, from 0.
    pub number: u32,
    /// Its method.
    pub method: String,
    /// Its target.
    pub target: String,
}

/// What servers do, by request.
pub type Script = Arc<dyn Fn(&Asked) -> Act + Send + Sync>;

/// Servers that share a script and a record.
#[derive(Clone)]
pub struct Boards {
    /// What reached them.
    pub record: Arc<Mutex<Record>>,
    script: Script,
    /// FastCGI only: whether they say that they multiplex.
    multiplex: bool,
}

impl Boards {
    /// None yet.
    #[must_use]
    pub fn new(script: Script) -> Self {
        Self { record: Arc::default(), script, multiplex: false }
    }

    /// They say that connections carry several requests at once.
    #[must_use]
    pub fn multiplexing(mut self) -> Self {
        self.multiplex = true;
        self
    }

    /// What has reached them by now.
    ///
    /// # Panics
    /// Where a server has failed.
    #[must_use]
    pub fn seen(&self) -> Record {
        self.record.lock().expect("a server's record").clone()
    }

    /// Starts a server.
    ///
    /// # Panics
    /// Where no address is free.
    #[must_use]
    pub fn start(&self, speaks: Speaks) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address");
        self.serve(listener, speaks);
        address
    }

    /// The same on a listener.
    pub fn serve(&self, listener: TcpListener, speaks: Speaks) {
        let boards = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let boards = boards.clone();
                boards.change(|record| record.connections += 1);
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let _ = match speaks {
                        Speaks::Http => boards.http(&stream),
                        Speaks::FastCgi => boards.fastcgi(&stream),
                    };
                    let _ = stream.shutdown(Shutdown::Both);
                });
            }
        });
    }

    fn change(&self, change: impl FnOnce(&mut Record)) {
        if let Ok(mut record) = self.record.lock() {
            change(&mut record);
        }
    }

    /// Notes a whole request, and says what to do with it.
    fn act(&self, method: &str, target: &str, unit: &str) -> Act {
        let mut number = 0;
        self.change(|record| {
            number = record.lines.len() as u32;
            record.lines.push(format!("{method} {target}"));
            *record.attempts.entry(unit.into()).or_default() += 1;
            if !matches!(method, "GET" | "HEAD" | "OPTIONS") {
                *record.effects.entry(unit.into()).or_default() += 1;
            }
        });
        (self.script)(&Asked { number, method: method.into(), target: target.into() })
    }

    fn http(&self, stream: &TcpStream) -> io::Result<()> {
        let mut input = BufReader::new(stream.try_clone()?);
        while let Some(message) = Message::read(&mut input) {
            let mut words = message.first.split(' ');
            let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
            let mut act = self.act(method, target, message.header(UNIT).unwrap_or_default());
            while let Act::Later(span, then) = act {
                thread::sleep(span);
                act = *then;
            }
            let mut out = stream;
            match act {
                Act::Answer(status, fields, body) => {
                    let body = if method == "HEAD" { "" } else { body };
                    let length = match status {
                        204 | 304 => String::new(),
                        _ if fields.to_ascii_lowercase().contains("content-length") => String::new(),
                        _ => format!("Content-Length: {}\r\n", body.len()),
                    };
                    out.write_all(format!("HTTP/1.1 {status} X\r\n{fields}{length}\r\n{body}").as_bytes())?;
                }
                Act::Silent => {
                    let ended = input.read(&mut [0; 1])?;
                    self.change(|record| record.dropped += u32::from(ended == 0));
                    return Ok(());
                }
                Act::Close | Act::Raw(_) | Act::End(..) | Act::Later(..) => return Ok(()),
                Act::CutBody => {
                    return out.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n0123456789");
                }
                Act::CutHead => return out.write_all(b"HTTP/1.1 200 OK\r\nContent-Le"),
                Act::Garbage => return out.write_all(b"\x00\xff what is this\r\n\r\n"),
                Act::EndlessHead => {
                    out.write_all(b"HTTP/1.1 200 OK\r\n")?;
                    return endless(|part| out.write_all(part));
                }
                Act::TooLong => {
                    out.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n")?;
                    return endless(|part| out.write_all(part));
                }
                Act::ByBytes(body) => {
                    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                    text.as_bytes().chunks(1).try_for_each(|part| out.write_all(part))?;
                }
            }
        }
        Ok(())
    }

    fn fastcgi(&self, stream: &TcpStream) -> io::Result<()> {
        let mut application = Application::new(Bounds {
            connections: 100,
            requests: if self.multiplex { 200 } else { 1 },
            params: 64 << 10,
            pairs: 512,
            body: 1 << 20,
            coming: 8 << 20,
            waiting: 64 << 20,
        });
        // Several requests at once are answered by threads; the connection is written under a lock.
        let writer = Arc::new(Mutex::new(stream.try_clone()?));
        let mut input = vec![0; 16 << 10];
        let mut reader = stream;
        let mut open = 0u32;
        loop {
            let count = reader.read(&mut input).unwrap_or(0);
            if count == 0 {
                self.change(|record| record.dropped += open);
                return Ok(());
            }
            let mut events = Vec::new();
            application.receive(&input[..count], &mut events).map_err(io::Error::other)?;
            let mut out = BytesMut::new();
            application.output(&mut out, usize::MAX);
            locked(&writer, &out)?;
            for event in events {
                match event {
                    Event::Request { id, params, .. } => {
                        let get = |name: &str| {
                            let found = params.iter().find(|(known, _)| known == name.as_bytes());
                            found
                                .map(|(_, value)| String::from_utf8_lossy(value).into_owned())
                                .unwrap_or_default()
                        };
                        let (method, target) = (get("REQUEST_METHOD"), get("REQUEST_URI"));
                        let act = self.act(&method, &target, &get("HTTP_X_UNIT"));
                        if act == Act::Silent {
                            open += 1;
                            continue;
                        }
                        application.end(id, [], 0);
                        application.output(&mut BytesMut::new(), usize::MAX);
                        if self.multiplex {
                            let writer = writer.clone();
                            thread::spawn(move || {
                                if fastcgi_act(&writer, id, act, &method).is_err()
                                    && let Ok(stream) = writer.lock()
                                {
                                    let _ = stream.shutdown(Shutdown::Both);
                                }
                            });
                        } else {
                            fastcgi_act(&writer, id, act, &method)?;
                        }
                    }
                    Event::Aborted(id) => {
                        self.change(|record| record.dropped += 1);
                        open = open.saturating_sub(1);
                        application.end(id, [], 0);
                        let mut out = BytesMut::new();
                        application.output(&mut out, usize::MAX);
                        locked(&writer, &out)?;
                    }
                    Event::Began(_) | Event::Bad(..) => {}
                }
            }
        }
    }
}

fn locked(writer: &Mutex<TcpStream>, bytes: &[u8]) -> io::Result<()> {
    let mut stream = writer.lock().map_err(|_| io::Error::other("a writer failed"))?;
    stream.write_all(bytes)
}

/// Bytes until the other side has had enough, at most some MB.
fn endless(mut write: impl FnMut(&[u8]) -> io::Result<()>) -> io::Result<()> {
    let part = b"X-More: and more and more and more and more\r\n".repeat(100);
    for _ in 0..2_000 {
        write(&part)?;
    }
    Err(io::ErrorKind::BrokenPipe.into())
}

/// Carries out an act on a request; an error closes the connection.
fn fastcgi_act(writer: &Mutex<TcpStream>, id: u16, mut act: Act, method: &str) -> io::Result<()> {
    while let Act::Later(span, then) = act {
        thread::sleep(span);
        act = *then;
    }
    let end = |application, protocol| {
        let mut out = BytesMut::new();
        let protocol = match protocol {
            0 => ProtocolStatus::Complete,
            code => ProtocolStatus::Other(code),
        };
        put(&mut out, Kind::EndRequest, id, &End { application, protocol }.content());
        out
    };
    let stdout = |text: &[u8]| {
        let mut out = BytesMut::new();
        put_stream(&mut out, Kind::Stdout, id, text);
        out
    };
    let whole = |text: &[u8]| {
        let mut out = stdout(text);
        put_stream_end(&mut out, Kind::Stdout, id);
        out.extend_from_slice(&end(0, 0));
        out
    };
    let closed = || Err(io::ErrorKind::ConnectionAborted.into());
    match act {
        Act::Answer(status, fields, body) => {
            let body = if method == "HEAD" { "" } else { body };
            locked(writer, &whole(format!("Status: {status} X\r\n{fields}\r\n{body}").as_bytes()))
        }
        Act::Silent | Act::Close | Act::Later(..) => closed(),
        Act::CutBody => {
            locked(writer, &stdout(b"Content-Type: a\r\nContent-Length: 100\r\n\r\n0123456789"))?;
            closed()
        }
        Act::CutHead => {
            locked(writer, &stdout(b"Content-Type: a\r\nConte"))?;
            closed()
        }
        Act::Garbage => locked(writer, &whole(b"\x00\xff what is this\r\n\r\n")),
        Act::EndlessHead => endless(|part| locked(writer, &stdout(part))),
        Act::TooLong => {
            locked(writer, &stdout(b"Content-Type: a\r\nContent-Length: 3000000000\r\n\r\n"))?;
            endless(|part| locked(writer, &stdout(part)))
        }
        Act::ByBytes(body) => {
            let text = format!("Content-Type: a\r\n\r\n{body}");
            text.as_bytes().chunks(1).try_for_each(|part| locked(writer, &stdout(part)))?;
            locked(writer, &whole(b""))
        }
        Act::Raw(bytes) => {
            locked(writer, &bytes)?;
            closed()
        }
        Act::End(application, protocol) => locked(writer, &end(application, protocol)),
    }
}

/// An answer as a client gets it; status 0 is a connection that ended without one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its fields, as `name: value` in lower-case names.
    pub fields: Vec<String>,
    /// Its body.
    pub body: Vec<u8>,
}

impl Answer {
    /// A field's first value.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }
}

/// A client's connection to a node.
pub struct Asker {
    speaks: Speaks,
    stream: TcpStream,
    machine: Machine,
    /// For records that are read as they are.
    decoder: Decoder,
}

impl Asker {
    /// A new connection.
    ///
    /// # Errors
    /// Those of the system.
    pub fn connect(address: SocketAddr, speaks: Speaks) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(LIMIT))?;
        Ok(Self { speaks, stream, machine: Machine::default(), decoder: Decoder::default() })
    }

    /// Sends a request; fields are lines with their ends.
    ///
    /// # Errors
    /// Those of the system.
    pub fn send(&mut self, method: &str, target: &str, fields: &str, body: &[u8]) -> io::Result<()> {
        let bytes = match self.speaks {
            Speaks::Http => {
                let length = if body.is_empty() {
                    String::new()
                } else {
                    format!("Content-Length: {}\r\n", body.len())
                };
                let head = format!("{method} {target} HTTP/1.1\r\nHost: a\r\n{fields}{length}\r\n");
                [head.as_bytes(), body].concat()
            }
            Speaks::FastCgi => {
                let mut out = BytesMut::new();
                let id = self.machine.begin(&mut out, true).ok_or(io::ErrorKind::OutOfMemory)?;
                let mut list = vec![
                    ("REQUEST_METHOD".to_owned(), method.to_owned()),
                    ("REQUEST_URI".into(), target.into()),
                    ("HTTP_HOST".into(), "a".into()),
                    (
                        "CONTENT_LENGTH".into(),
                        if body.is_empty() { String::new() } else { body.len().to_string() },
                    ),
                ];
                for line in fields.lines() {
                    if let Some((name, value)) = line.split_once(": ") {
                        let name = name.to_ascii_uppercase().replace('-', "_");
                        let name = if name == "CONTENT_TYPE" { name } else { format!("HTTP_{name}") };
                        list.push((name, value.to_owned()));
                    }
                }
                let pairs = list.iter().map(|(name, value)| (name.as_bytes(), value.as_bytes()));
                self.machine.params(&mut out, id, pairs);
                self.machine.stdin(&mut out, id, body);
                self.machine.stdin_end(&mut out, id);
                out.to_vec()
            }
        };
        self.stream.write_all(&bytes)
    }

    /// The next answer. Over FastCGI, of the only request that is open.
    #[must_use]
    pub fn read(&mut self, method: &str) -> Answer {
        let read = match self.speaks {
            Speaks::Http => self.read_http(method),
            Speaks::FastCgi => self.read_fastcgi(),
        };
        read.unwrap_or_default()
    }

    /// Asks and reads.
    #[must_use]
    pub fn ask(&mut self, method: &str, target: &str, fields: &str, body: &[u8]) -> Answer {
        match self.send(method, target, fields, body) {
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
        let mut body = vec![0; length.unwrap_or(0)];
        input.read_exact(&mut body).ok()?;
        Some(Answer { status: head.status(), fields: head.headers, body })
    }

    fn read_fastcgi(&mut self) -> Option<Answer> {
        let mut input = vec![0; 16 << 10];
        let (mut reader, mut head, mut body) = (HeadReader::default(), None, Vec::new());
        loop {
            let count = self.stream.read(&mut input).ok().filter(|count| *count > 0)?;
            let mut events = Vec::new();
            self.machine.receive(&input[..count], &mut events).ok()?;
            for event in events {
                match event {
                    Came::Stdout(_, part) if head.is_none() => {
                        if let Some((found, rest)) = reader.feed(&part).ok()? {
                            head = Some(found);
                            body.extend_from_slice(&rest);
                        }
                    }
                    Came::Stdout(_, part) => body.extend_from_slice(&part),
                    Came::Ended(_, end) if end.protocol == ProtocolStatus::Overloaded => {
                        return Some(Answer { status: 503, ..Answer::default() });
                    }
                    Came::Ended(..) => {
                        let head = head?;
                        let field =
                            |(name, value): (&hyper::header::HeaderName, &hyper::header::HeaderValue)| {
                                format!("{name}: {}", String::from_utf8_lossy(value.as_bytes()))
                            };
                        let fields = head.headers.iter().map(field).collect();
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

    /// The records that come until the other side closes, or so many.
    #[must_use]
    pub fn records(&mut self, most: usize) -> Vec<(Kind, u16, Bytes)> {
        let mut list = Vec::new();
        let mut input = vec![0; 16 << 10];
        while list.len() < most {
            let count = self.stream.read(&mut input).unwrap_or(0);
            let mut part = &input[..count];
            while let Ok(Some(record)) = self.decoder.next(&mut part) {
                list.push((record.kind, record.id, record.content));
            }
            if count == 0 {
                break;
            }
        }
        list
    }
}
