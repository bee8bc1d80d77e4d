//! Connections to backends: one request at a time on each, kept while idle, never a silent resend.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use pumicehead_policy::interface::Outcome;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};

use super::link::{Link, Unread};

/// Longest body of a request.
pub const LONGEST_BODY: usize = 64 << 10;
/// Longest body of an answer. The protocol says 64 KiB, but backends have been seen to send good ones of 400 KB;
/// what is stated longer fails at once.
const LONGEST_ANSWER: u64 = 1 << 20;
/// Longest head of a message.
pub const LONGEST_HEAD: usize = 32 << 10;
/// Idle connections close at this share of the time after which backends close them: one that closes while a
/// request is on its way there ends as a reset.
const IDLE_SHARE: f64 = 0.8;
/// How long a connection may take to settle after its answer before it is not worth keeping.
const SETTLE: Duration = Duration::from_millis(5);

/// A client's request as it goes on.
#[derive(Default)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A whole 200 answer.
pub struct Served {
    /// Its body.
    pub body: Bytes,
    /// What the body is.
    pub content_type: Option<HeaderValue>,
}

/// The life of one backend process: a restart, another address or its end makes this one unusable.
pub struct Backend {
    dial: SocketAddr,
    usable: Cell<bool>,
    idle: RefCell<VecDeque<(Instant, Conn)>>,
}

impl Backend {
    /// A backend at an address.
    pub fn new(dial: SocketAddr) -> Rc<Self> {
        Rc::new(Self { dial, usable: Cell::new(true), idle: RefCell::default() })
    }

    /// Nothing new is written to it from now on: it drains, is gone or has restarted. Attempts still without
    /// a connection will find it so.
    pub fn retire(&self) {
        self.usable.set(false);
        self.hang_up();
    }

    /// Closes its idle connections.
    pub fn hang_up(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Whether requests may be written to it.
    pub fn is_usable(&self) -> bool {
        self.usable.get()
    }

    /// Its address.
    pub fn dial(&self) -> SocketAddr {
        self.dial
    }
}

/// A connection; dropping it closes the socket.
struct Conn {
    sender: http1::SendRequest<Full<Bytes>>,
    link: Link,
    /// Holds the one task that drives the connection.
    _driver: JoinSet<hyper::Result<()>>,
    _place: Place,
}

/// One of the descriptors that backends may use.
struct Place(Rc<Cell<usize>>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Memory for answers longer than bodies should be, until they are written to their clients.
struct Room(AtomicUsize);

/// An answer's body that holds its part of the room.
struct Roomy {
    body: Bytes,
    room: Arc<Room>,
    size: usize,
}

impl Room {
    fn take(self: &Arc<Self>, size: usize) -> Option<Roomy> {
        let left = self.0.load(Ordering::Relaxed).checked_sub(size)?;
        self.0.store(left, Ordering::Relaxed);
        Some(Roomy { body: Bytes::new(), room: self.clone(), size })
    }
}

impl AsRef<[u8]> for Roomy {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl Drop for Roomy {
    fn drop(&mut self) {
        self.room.0.fetch_add(self.size, Ordering::Relaxed);
    }
}

/// What all backends share.
pub struct Upstream {
    dial_timeout: Duration,
    idle_for: Duration,
    places: usize,
    used: Rc<Cell<usize>>,
    room: Arc<Room>,
    backends: RefCell<Vec<Rc<Backend>>>,
}

impl Upstream {
    /// With the settings' times, so many descriptors and so much memory for long answers.
    pub fn new(dial_timeout: Duration, conn_idle: Duration, places: usize, room: usize) -> Rc<Self> {
        Rc::new(Self {
            dial_timeout,
            idle_for: conn_idle.mul_f64(IDLE_SHARE),
            places,
            used: Rc::default(),
            room: Arc::new(Room(AtomicUsize::new(room))),
            backends: RefCell::default(),
        })
    }

    /// Closes what has been idle for too long or has ended, and forgets backends without connections.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.backends.borrow_mut().retain(|backend| {
            let mut idle = backend.idle.borrow_mut();
            idle.retain(|(since, conn)| now < *since + self.idle_for && conn.is_open());
            !idle.is_empty()
        });
    }

    fn place(&self) -> Option<Place> {
        if self.used.get() >= self.places {
            // The longest idle one makes way.
            let backends = self.backends.borrow();
            let longest = |b: &&Rc<Backend>| b.idle.borrow().front().map(|(since, _)| *since);
            let oldest = backends.iter().filter(|b| longest(b).is_some()).min_by_key(longest);
            drop(oldest?.idle.borrow_mut().pop_front());
        }
        self.used.set(self.used.get() + 1);
        Some(Place(self.used.clone()))
    }

    /// The most recently used idle connection that is still open.
    fn kept(&self, backend: &Backend) -> Option<Conn> {
        let mut idle = backend.idle.borrow_mut();
        while let Some((since, conn)) = idle.pop_back() {
            if since.elapsed() < self.idle_for && conn.is_open() {
                return Some(conn);
            }
        }
        None
    }

    fn keep(&self, backend: &Rc<Backend>, conn: Conn) {
        if backend.usable.get() && conn.is_open() {
            backend.idle.borrow_mut().push_back((Instant::now(), conn));
            let mut backends = self.backends.borrow_mut();
            if !backends.iter().any(|other| Rc::ptr_eq(other, backend)) {
                backends.push(backend.clone());
            }
        }
    }

    /// A new connection, or why there is none.
    async fn dial(&self, backend: &Backend) -> Result<Conn, Outcome> {
        // The node's own lack of descriptors is no fault of the backend's.
        let place = self.place().ok_or(Outcome::Moot)?;
        self.open(backend, place).await.ok_or(Outcome::ConnectFailed)
    }

    async fn open(&self, backend: &Backend, place: Place) -> Option<Conn> {
        let stream = timeout(self.dial_timeout, TcpStream::connect(backend.dial)).await.ok()?.ok()?;
        let link = Link::new(stream);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(LONGEST_HEAD);
        let (sender, connection) = builder.handshake(TokioIo::new(link.clone())).await.ok()?;
        let mut driver = JoinSet::new();
        driver.spawn_local(connection);
        Some(Conn { sender, link, _driver: driver, _place: place })
    }

    /// One attempt, until `deadline` or a word on `cancel`.
    pub async fn attempt(
        self: Rc<Self>,
        backend: Rc<Backend>,
        call: Rc<Call>,
        deadline: Instant,
        cancel: oneshot::Receiver<()>,
    ) -> (Outcome, Option<Served>) {
        let begun = Cell::new(false);
        tokio::select! {
            biased;
            done = self.exchange(&backend, &call, deadline, &begun) => done,
            // The sender is kept as long as the attempt is out; were it lost, nobody would wait.
            _ = cancel => (Outcome::Cancelled, None),
            // A time-out before anything was written proves that nothing ran.
            () = sleep_until(deadline) => {
                (if begun.get() { Outcome::TimedOut } else { Outcome::Moot }, None)
            }
        }
    }

    async fn exchange(
        &self,
        backend: &Rc<Backend>,
        call: &Call,
        deadline: Instant,
        begun: &Cell<bool>,
    ) -> (Outcome, Option<Served>) {
        let kept = self.kept(backend);
        let ready = match kept {
            Some(conn) => Ok(conn),
            None => self.dial(backend).await,
        };
        let mut conn = match ready {
            Ok(conn) => conn,
            Err(outcome) => return (outcome, None),
        };
        // Dialling takes time: what was true when the attempt was decided need not be so now.
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() || !backend.usable.get() {
            return (Outcome::Moot, None);
        }
        if conn.sender.ready().await.is_err() {
            return (Outcome::ConnectFailed, None);
        }
        let (request, size) = call.request(left);
        let before = conn.link.written();
        begun.set(true);
        let answer = conn.sender.send_request(request).await;
        let response = match answer {
            Ok(response) => response,
            // `size` is never above the true size: less than that was surely not the whole request.
            Err(_) if conn.link.written() - before < size => return (Outcome::ConnectFailed, None),
            Err(_) => return (Outcome::Reset, None),
        };
        let (outcome, served) = read(response, &self.room).await;
        if outcome != Outcome::Reset {
            // Kept before the outcome is told, so that what is sent next finds it.
            if conn.sender.is_ready() || matches!(timeout(SETTLE, conn.sender.ready()).await, Ok(Ok(()))) {
                self.keep(backend, conn);
            }
        }
        (outcome, served)
    }
}

impl Conn {
    fn is_open(&self) -> bool {
        !self.sender.is_closed() && self.link.unread() == Unread::Nothing
    }
}

/// Maps a backend's answer. What is not whole, too long, or can't be known to be whole is a reset.
async fn read(response: Response<Incoming>, room: &Arc<Room>) -> (Outcome, Option<Served>) {
    let (parts, body) = response.into_parts();
    // Where only the connection's end would end the body, a cut answer looks like a whole one.
    let length = body.size_hint().exact();
    let framed = length.is_some() || parts.headers.contains_key(header::TRANSFER_ENCODING);
    let unprocessed = matches!(parts.status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT)
        && parts.headers.get("x-unprocessed").is_some_and(|value| value == "1");
    if unprocessed {
        // Turned away unseen, whatever becomes of the body.
        let _ = Limited::new(body, LONGEST_BODY).collect().await;
        return (Outcome::Full, None);
    }
    let size = length.unwrap_or(LONGEST_BODY as u64);
    let long = size > LONGEST_BODY as u64;
    let held = if long && size <= LONGEST_ANSWER { room.take(size as usize) } else { None };
    if long && held.is_none() {
        return (Outcome::Reset, None);
    }
    match Limited::new(body, size as usize).collect().await {
        Ok(body) if parts.status == StatusCode::OK && framed => {
            let body = body.to_bytes();
            let body = match held {
                Some(held) => Bytes::from_owner(held.with(body)),
                None => body,
            };
            let content_type = parts.headers.get(header::CONTENT_TYPE).cloned();
            (Outcome::Ok, Some(Served { body, content_type }))
        }
        Ok(_) if parts.status != StatusCode::OK => (Outcome::Error, None),
        _ => (Outcome::Reset, None),
    }
}

impl Roomy {
    fn with(mut self, body: Bytes) -> Self {
        self.body = body;
        self
    }
}

impl Call {
    /// The request to write, and a size that its bytes on the wire don't fall short of.
    fn request(&self, left: Duration) -> (Request<Full<Bytes>>, u64) {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let left = format!("{}u", left.as_micros());
        if let Ok(left) = HeaderValue::from_str(&left) {
            request.headers_mut().insert("x-time-left", left);
        }
        let line = self.method.as_str().len() + self.uri.path().len() + " HTTP/1.1\r\n".len();
        let fields = request.headers().iter().map(|(name, value)| name.as_str().len() + value.len() + 4);
        let size = line + fields.sum::<usize>() + self.body.len();
        (request, size as u64)
    }
}
