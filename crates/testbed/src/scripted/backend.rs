//! An HTTP/1.1 backend that follows a script.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::{Message, PacedResponse};

/// What a backend does with a request.
pub enum Act {
    /// Writes this text and keeps the connection open.
    Write(String),
    /// Writes this text in pieces of this size, with this pause before each but the first, and keeps the connection open.
    WriteInPieces(String, usize, Duration),
    /// Writes this text and closes the connection.
    WriteAndClose(String),
    /// Writes a response in bursts.
    WritePaced(PacedResponse),
    /// Writes nothing until the other side closes.
    Hang,
}

/// A complete 200 response.
pub fn ok(body: &str) -> Act {
    Act::Write(answer("200 OK", "", body))
}

/// The text of a response with a `Content-Length`; `headers` are complete lines.
pub fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Counts the requests that scripts process at the same time.
#[derive(Clone, Default)]
pub struct Gauge {
    in_progress: Arc<AtomicUsize>,
    calls: Arc<AtomicUsize>,
}

impl Gauge {
    /// Requests in progress now.
    pub fn now(&self) -> usize {
        self.in_progress.load(Ordering::SeqCst)
    }

    /// Processes a request for `duration(call)`, then returns `act(call)`, where `call` is the index of the call, from 0.
    pub fn serve(&self, duration: impl Fn(usize) -> Duration, act: impl Fn(usize) -> Act) -> Act {
        let call = self.calls.fetch_add(1, Ordering::SeqCst);
        self.in_progress.fetch_add(1, Ordering::SeqCst);
        thread::sleep(duration(call));
        self.in_progress.fetch_sub(1, Ordering::SeqCst);
        act(call)
    }
}

/// A backend that follows a script, with a thread for each connection. It listens until the process ends.
pub struct Backend {
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests received, in order.
    pub seen: Arc<Mutex<Vec<Message>>>,
    /// Connections that the other side or the script has closed.
    pub closed: Arc<AtomicUsize>,
    /// Connections accepted.
    pub opened: Arc<AtomicUsize>,
}

impl Backend {
    /// Starts a backend on a free loopback port.
    pub fn start(script: impl Fn(&Message) -> Act + Send + Sync + 'static) -> Self {
        Self::start_at("127.0.0.1:0".parse().unwrap(), script)
    }

    /// Starts a backend at an address.
    pub fn start_at(at: SocketAddr, script: impl Fn(&Message) -> Act + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind(at).unwrap();
        let backend = Self {
            address: listener.local_addr().unwrap(),
            seen: Arc::default(),
            closed: Arc::default(),
            opened: Arc::default(),
        };
        let (seen, closed, opened) = (backend.seen.clone(), backend.closed.clone(), backend.opened.clone());
        let script = Arc::new(script);
        thread::spawn(move || {
            for stream in listener.incoming() {
                opened.fetch_add(1, Ordering::SeqCst);
                let stream = stream.unwrap();
                let (script, seen, closed) = (script.clone(), seen.clone(), closed.clone());
                thread::spawn(move || {
                    serve_connection(&stream, &*script, &seen);
                    let _ = stream.shutdown(Shutdown::Both);
                    closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        backend
    }

    /// Number of requests received.
    pub fn count(&self) -> usize {
        self.seen.lock().unwrap().len()
    }

    /// Number of connections accepted.
    #[must_use]
    pub fn opened(&self) -> usize {
        self.opened.load(Ordering::SeqCst)
    }

    /// Number of connections that have ended.
    pub fn closed(&self) -> usize {
        self.closed.load(Ordering::SeqCst)
    }
}

/// Answers the requests of a connection by the script until either side ends it.
fn serve_connection(stream: &TcpStream, script: &impl Fn(&Message) -> Act, seen: &Mutex<Vec<Message>>) {
    let mut input = BufReader::new(stream.try_clone().unwrap());
    let mut output = stream;
    while let Some(message) = Message::read(&mut input) {
        seen.lock().unwrap().push(message.clone());
        let (text, keep_open) = match script(&message) {
            Act::Write(text) => (text, true),
            Act::WriteInPieces(text, size, pause) => {
                write_in_pieces(output, text.as_bytes(), size, pause);
                (String::new(), true)
            }
            Act::WriteAndClose(text) => (text, false),
            Act::WritePaced(response) => (String::new(), response.write(output).unwrap_or(false)),
            Act::Hang => (String::new(), true),
        };
        if output.write_all(text.as_bytes()).is_err() || !keep_open {
            return;
        }
    }
}

/// Writes a text in pieces, as far as the other side accepts it.
fn write_in_pieces(mut output: &TcpStream, text: &[u8], size: usize, pause: Duration) {
    for (index, piece) in text.chunks(size).enumerate() {
        if index > 0 {
            thread::sleep(pause);
        }
        if output.write_all(piece).is_err() {
            return;
        }
    }
}
