//! A sound backend: it answers each request with 200 and a body that names the request. On some answers it may send a
//! second copy a little later, as the pages say, if nothing else waits on the connection.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Reader;
use crate::record::Record;

/// Second copies of answers.
#[derive(Clone, Copy)]
pub struct LateCopies {
    /// One answer in this many is followed by a second copy.
    pub one_in: usize,
    /// How much later than the answer a copy is sent.
    pub delay: Duration,
}

/// How a backend behaves.
#[derive(Clone, Copy)]
pub struct Behaviour {
    /// Time to serve a request.
    pub service: Duration,
    /// Second copies, if any are sent.
    pub copies: Option<LateCopies>,
}

/// A running backend.
pub struct Backend {
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether second copies are sent now.
    pub copies_on: Arc<AtomicBool>,
    /// The ids of the requests that were run, in order.
    pub run: Arc<Mutex<Vec<String>>>,
    /// Number of second copies that were sent.
    pub copied: Arc<AtomicUsize>,
}

impl Backend {
    /// Starts a backend.
    pub fn start(name: &'static str, behaviour: Behaviour, record: &Record) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let backend = Self {
            address: listener.local_addr().map_err(|error| error.to_string())?,
            copies_on: Arc::default(),
            run: Arc::default(),
            copied: Arc::default(),
        };
        let shared = Shared {
            name,
            behaviour,
            come: Arc::default(),
            copies_on: backend.copies_on.clone(),
            run: backend.run.clone(),
            copied: backend.copied.clone(),
            record: record.clone(),
        };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || drop(shared.serve(stream)));
            }
        });
        Ok(backend)
    }
}

#[derive(Clone)]
struct Shared {
    name: &'static str,
    behaviour: Behaviour,
    come: Arc<AtomicUsize>,
    copies_on: Arc<AtomicBool>,
    run: Arc<Mutex<Vec<String>>>,
    copied: Arc<AtomicUsize>,
    record: Record,
}

impl Shared {
    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut input = Reader::new(stream.try_clone()?);
        loop {
            let Some(request) = input.message()? else { return Ok(()) };
            let Some(id) = request.header("x-correlation-id") else {
                stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            };
            let number = self.come.fetch_add(1, Ordering::SeqCst) + 1;
            thread::sleep(self.behaviour.service);
            self.run.lock().unwrap().push(id.to_owned());
            let body = body(id);
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            stream.write_all(answer.as_bytes())?;
            self.record.line(format!("{} ran and answered {id}", self.name));
            let copies = self.behaviour.copies.filter(|_| self.copies_on.load(Ordering::SeqCst));
            let Some(LateCopies { delay, .. }) = copies.filter(|copies| number.is_multiple_of(copies.one_in))
            else {
                continue;
            };
            // A copy is only sent while nothing else waits on the connection, and not if this thread comes too late to it.
            let answered = Instant::now();
            if !input.waits_for(delay)? && answered.elapsed() < delay + Duration::from_millis(2) {
                stream.write_all(answer.as_bytes())?;
                self.copied.fetch_add(1, Ordering::SeqCst);
                self.record.line(format!("{} sent its answer to {id} a second time", self.name));
            }
        }
    }
}

/// The body of the answer to a request.
pub fn body(id: &str) -> String {
    format!("answer to {id}")
}
