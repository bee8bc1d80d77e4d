//! Backends that follow a script over HTTP/1.1 or FastCGI, and a client that speaks either to a node. Both protocols share
//! the script and the record of the requests received, so that a scenario is written once.

mod client;
mod fastcgi;
mod http;

use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub use client::{Answer, ProtocolClient};

use crate::scripted::PacedResponse;

/// Copies of [`ENDLESS_LINE`] per write: a few KB.
const ENDLESS_LINES_PER_WRITE: usize = 100;
/// Writes after which endless output ends by itself.
const ENDLESS_WRITES: usize = 2_000;
/// Repeated as header lines or as body bytes.
const ENDLESS_LINE: &[u8] = b"X-More: and more and more and more and more\r\n";

/// The protocol of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1.
    Http,
    /// FastCGI.
    FastCgi,
}

impl Protocol {
    /// Both protocols.
    pub const ALL: [Self; 2] = [Self::Http, Self::FastCgi];

    /// The keyword of the configuration language.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Http => "http",
            Self::FastCgi => "fastcgi",
        }
    }
}

/// What a backend does with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act {
    /// Answers with a status code, complete header lines, and a body.
    Answer(u16, &'static str, &'static str),
    /// Does this after a delay.
    Later(Duration, Box<Act>),
    /// Writes nothing until the other side closes.
    Silent,
    /// Closes the connection when the request is complete.
    Close,
    /// Announces a body of 100 bytes, sends ten and closes.
    CutBody,
    /// Sends half of the response head and closes.
    CutHead,
    /// Sends bytes that are no response head.
    Garbage,
    /// Sends header lines without end, some MB at most.
    EndlessHead,
    /// Announces a body that is too long, and sends as much as the other side reads.
    TooLong,
    /// Answers with 200 and this body, one byte at a time.
    ByBytes(&'static str),
    /// Writes a response in bursts.
    Paced(PacedResponse),
    /// FastCGI only: sends these bytes as they are and closes.
    Raw(Vec<u8>),
    /// FastCGI only: ends the request with this application status and protocol status, without output.
    End(u32, u8),
}

impl Act {
    /// Sleeps through all delays and returns what follows them.
    fn after_delays(mut self) -> Self {
        while let Self::Later(delay, next) = self {
            thread::sleep(delay);
            self = *next;
        }
        self
    }
}

/// A complete 200 response.
#[must_use]
pub fn served(body: &'static str) -> Act {
    Act::Answer(200, "Content-Type: text/plain\r\n", body)
}

/// The requests that backends received.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Complete requests by unit of work (see [`UNIT`](crate::standin::UNIT)).
    pub attempts: BTreeMap<String, u32>,
    /// Complete requests with an effect by unit of work.
    pub effects: BTreeMap<String, u32>,
    /// Requests that were aborted, or whose connection ended before their response.
    pub dropped: u32,
    /// All complete requests, as lines `METHOD TARGET`.
    pub lines: Vec<String>,
    /// Connections accepted.
    pub connections: u32,
}

/// A request as a script sees it.
#[derive(Clone, Debug)]
pub struct ScriptedRequest {
    /// Its number among the requests of all backends of the script, from 0.
    pub number: u32,
    /// Its method.
    pub method: String,
    /// Its target.
    pub target: String,
}

/// What backends do with each request.
pub type Script = Arc<dyn Fn(&ScriptedRequest) -> Act + Send + Sync>;

/// Backends that share a script and a record of requests. They listen until the process ends.
#[derive(Clone)]
pub struct ScriptedBackends {
    /// The requests received.
    pub record: Arc<Mutex<Record>>,
    script: Script,
    /// FastCGI only: whether they advertise `FCGI_MPXS_CONNS`.
    multiplex: bool,
}

impl ScriptedBackends {
    /// Backends of a script, none of them started.
    #[must_use]
    pub fn new(script: Script) -> Self {
        Self { record: Arc::default(), script, multiplex: false }
    }

    /// FastCGI only: has them advertise that a connection carries several requests at once.
    #[must_use]
    pub fn multiplexing(mut self) -> Self {
        self.multiplex = true;
        self
    }

    /// A copy of the record.
    ///
    /// # Panics
    /// Where a backend has panicked.
    #[must_use]
    pub fn seen(&self) -> Record {
        self.record.lock().expect("a backend thread panicked").clone()
    }

    /// Starts a backend on a free loopback port.
    ///
    /// # Panics
    /// Where no port is free.
    #[must_use]
    pub fn start(&self, protocol: Protocol) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free loopback port");
        let address = listener.local_addr().expect("listener has no local address");
        self.serve(listener, protocol);
        address
    }

    /// Starts a backend on a listener.
    pub fn serve(&self, listener: TcpListener, protocol: Protocol) {
        let backends = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let backends = backends.clone();
                backends.update_record(|record| record.connections += 1);
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let _ = match protocol {
                        Protocol::Http => backends.serve_http(&stream),
                        Protocol::FastCgi => backends.serve_fastcgi(&stream),
                    };
                    let _ = stream.shutdown(Shutdown::Both);
                });
            }
        });
    }

    fn update_record(&self, update: impl FnOnce(&mut Record)) {
        if let Ok(mut record) = self.record.lock() {
            update(&mut record);
        }
    }

    /// Records a complete request and returns what the script does with it.
    fn next_act(&self, method: &str, target: &str, unit: &str) -> Act {
        let mut number = 0;
        self.update_record(|record| {
            number = record.lines.len() as u32;
            record.lines.push(format!("{method} {target}"));
            *record.attempts.entry(unit.into()).or_default() += 1;
            if !matches!(method, "GET" | "HEAD" | "OPTIONS") {
                *record.effects.entry(unit.into()).or_default() += 1;
            }
        });
        (self.script)(&ScriptedRequest { number, method: method.into(), target: target.into() })
    }
}

/// Writes until the other side stops reading, some MB at most; always ends in an error.
fn write_endlessly(mut write: impl FnMut(&[u8]) -> io::Result<()>) -> io::Result<()> {
    let part = ENDLESS_LINE.repeat(ENDLESS_LINES_PER_WRITE);
    for _ in 0..ENDLESS_WRITES {
        write(&part)?;
    }
    Err(io::ErrorKind::BrokenPipe.into())
}
