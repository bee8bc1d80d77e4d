//! Connections to servers: one request at a time on each, kept while idle, never a silent resend.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::pending;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::client::conn::http1;
use hyper::header::HeaderValue;
use hyper_util::rt::TokioIo;
use pumicehead_config::model::Address;
use pumicehead_policy::AttemptOutcome;
use pumicehead_slow_peer::{GiveUp, Side};
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio::task::{self, JoinSet};
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

use crate::net::counting_stream::{Counter, CountingStream, UnreadState};
use crate::net::exchange::UpstreamRequest;
use crate::net::response_body::StreamEnd;
use crate::net::upload::OutgoingBody;
use crate::net::upstream::connection_registry::{
    ConnectionPermit, ConnectionRegistry, IDLE_SHARE, IdleConnections,
};
use crate::net::upstream::http::response_reader::{ReadResponse, ResponseReader};
use crate::net::upstream::transport::{
    AttemptDeadlines, AttemptFuture, AttemptResult, EndpointConnector, ResponseStarted, Transport,
};

/// Longest head of a message.
pub const LONGEST_HEAD: usize = 32 << 10;
/// How often an attempt is looked at whose time may have got another meaning: a body has begun to pass through.
const LOOK: Duration = Duration::from_millis(100);
/// How long a connection may take to settle after its answer before it is not worth keeping.
const SETTLE: Duration = Duration::from_millis(5);

/// A second answer may come some milliseconds after the first (the operators' page on spoilt answers), and nothing in it
/// tells which request it is for: on a connection that is used at once it would be taken for the next request's answer.
/// One that has rested for so long goes before one that has not. Where such an answer has been seen, none is used before it
/// has. Not everywhere: those that rest are made up for by new ones, which cost servers work, 0.025 of the score on days
/// without any such answer.
const REST: Duration = Duration::from_millis(10);

/// The life of one server process.
struct EndpointConnections {
    dial: Address,
    usable: Cell<bool>,
    idle: RefCell<VecDeque<(Instant, HttpConnection)>>,
    surplus: LastUnsolicitedData,
    /// Idle connections are kept for so long.
    idle_for: Duration,
    registered: Cell<bool>,
}

/// A connection; dropping it closes the socket.
struct HttpConnection {
    sender: http1::SendRequest<OutgoingBody>,
    link: CountingStream,
    /// What had come on it when it was put aside.
    came: u64,
    /// Holds the one task that drives the connection.
    _driver: JoinSet<hyper::Result<()>>,
    _place: ConnectionPermit,
}

/// What the servers of a pool share.
struct PoolTransport {
    connections: Rc<ConnectionRegistry>,
    dial_timeout: Duration,
    idle_for: Duration,
    reader: ResponseReader,
    /// Attempts written whole.
    written: Counter,
    surplus: LastUnsolicitedData,
}

/// When something was last seen to come that no request of a pool's had asked for.
type LastUnsolicitedData = Rc<Cell<Option<Instant>>>;

/// A pool's way to its servers.
pub struct HttpTransport(Rc<PoolTransport>);

impl HttpTransport {
    /// With the times of a pool: a connection that is not up by `dial_timeout` has failed, and servers close idle
    /// ones after `conn_idle`. `written` counts attempts that are written whole.
    pub fn new(
        connections: Rc<ConnectionRegistry>,
        dial_timeout: Duration,
        conn_idle: Duration,
        reader: ResponseReader,
        written: Counter,
    ) -> Rc<Self> {
        let idle_for = conn_idle.mul_f64(IDLE_SHARE);
        Rc::new(Self(Rc::new(PoolTransport {
            connections,
            dial_timeout,
            idle_for,
            reader,
            written,
            surplus: LastUnsolicitedData::default(),
        })))
    }
}

impl Transport for HttpTransport {
    fn connector(&self, dial: &Address) -> Rc<dyn EndpointConnector> {
        let shared = self.0.clone();
        let backend = EndpointConnections {
            dial: dial.clone(),
            usable: Cell::new(true),
            idle: RefCell::default(),
            surplus: shared.surplus.clone(),
            idle_for: shared.idle_for,
            registered: Cell::new(false),
        };
        Rc::new(HttpConnector { shared, backend: Rc::new(backend) })
    }

    fn sweep(&self) {
        self.0.connections.sweep();
    }
}

impl EndpointConnections {
    fn keep(self: &Rc<Self>, connections: &ConnectionRegistry, mut conn: HttpConnection) {
        conn.came = conn.link.bytes_read();
        // Whether the socket has ended is asked when it is wanted again.
        if self.usable.get() && !conn.sender.is_closed() {
            self.idle.borrow_mut().push_back((Instant::now(), conn));
            connections.register(self);
        }
    }
}

impl EndpointConnections {
    /// Whether anything came on an idle connection.
    fn look(&self, conn: &HttpConnection, now: Instant) {
        if conn.link.bytes_read() != conn.came || conn.link.unread() == UnreadState::Bytes {
            self.surplus.set(Some(now));
        }
    }
}

impl IdleConnections for EndpointConnections {
    fn registered(&self) -> &Cell<bool> {
        &self.registered
    }

    fn oldest_idle_since(&self) -> Option<Instant> {
        self.idle.borrow().front().map(|(since, _)| *since)
    }

    fn close_oldest(&self) {
        drop(self.idle.borrow_mut().pop_front());
    }

    fn sweep(&self, now: Instant) -> bool {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|(since, conn)| {
            self.look(conn, now);
            now < *since + self.idle_for && conn.is_open()
        });
        !idle.is_empty()
    }
}

struct HttpConnector {
    shared: Rc<PoolTransport>,
    backend: Rc<EndpointConnections>,
}

impl EndpointConnector for HttpConnector {
    fn address(&self) -> &Address {
        &self.backend.dial
    }

    fn is_usable(&self) -> bool {
        self.backend.usable.get()
    }

    fn retire(&self) {
        self.backend.usable.set(false);
        self.close_idle();
    }

    fn close_idle(&self) {
        self.backend.idle.borrow_mut().clear();
    }

    fn attempt(
        self: Rc<Self>,
        call: Rc<UpstreamRequest>,
        times: AttemptDeadlines,
        cancel: oneshot::Receiver<()>,
        begin: ResponseStarted,
    ) -> AttemptFuture {
        Box::pin(async move {
            let deadline = times.deadline;
            let (stage, way) = (Cell::new(AttemptStage::Waiting), Cell::new(ConnectionTiming::default()));
            let (end, conn) = tokio::select! {
                biased;
                done = self.shared.exchange(&self.backend, &call, times, (&stage, &way), begin) => done,
                // The sender is kept as long as the attempt is out; were it lost, nobody would wait.
                _ = cancel => (AttemptResult::without_response(AttemptOutcome::Cancelled), None),
                outcome = expiry(&call, deadline, &stage) => (AttemptResult::without_response(outcome), None),
            };
            // Kept before the outcome is told, so that what is sent next finds it. Nothing crosses it here: an answer that
            // has been read is the outcome, whoever calls the attempt back or whatever is up meanwhile.
            if let Some(conn) = conn {
                self.shared.settle(&self.backend, conn, deadline).await;
            }
            let ConnectionTiming { dial, idle } = way.get();
            AttemptResult { connect_time: dial, idle_time: idle, ..end }
        })
    }
}

/// How an attempt got its connection.
#[derive(Clone, Copy, Default)]
struct ConnectionTiming {
    dial: Duration,
    idle: Option<Duration>,
}

/// How far an attempt has come.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AttemptStage {
    /// Nothing is written.
    Waiting,
    /// Something may be.
    Written,
    /// The answer passes through.
    Begun,
}

/// The end of an attempt that takes too long, by its stage: a time-out before anything was written proves that nothing
/// ran. Of a body that passes through, the time counts from its last byte.
async fn expiry(call: &UpstreamRequest, deadline: Instant, stage: &Cell<AttemptStage>) -> AttemptOutcome {
    if call.upload.is_none() {
        // Its time means the same all along: it is looked at once, when it is up.
        sleep_until(deadline).await;
    }
    let wait = |until| sleep_until(Instant::min(until, Instant::now() + LOOK));
    loop {
        if stage.get() == AttemptStage::Begun {
            return pending().await;
        }
        let Some(upload) = call.upload.as_ref().filter(|upload| upload.has_started()) else {
            if Instant::now() >= deadline {
                return if stage.get() == AttemptStage::Written {
                    AttemptOutcome::TimedOut
                } else {
                    AttemptOutcome::NotSent
                };
            }
            // An answer may begin to pass through, or a body, in the meantime.
            wait(deadline).await;
            continue;
        };
        match (upload.completed_at(), upload.check_pace()) {
            (Some(done), _) => {
                let until = Instant::from_std(done) + upload.time_left;
                if Instant::now() >= until {
                    return AttemptOutcome::TimedOut;
                }
                wait(until).await;
            }
            // Its last byte is not written: nothing ran.
            (None, Err(GiveUp::Silent(Side::Sink) | GiveUp::Slow(Side::Sink))) => {
                return AttemptOutcome::ConnectFailed;
            }
            (None, Err(_)) => return AttemptOutcome::NotSent,
            (None, Ok(())) => wait(Instant::now() + LOOK).await,
        }
    }
}

impl PoolTransport {
    /// Whether connections have to rest by now.
    fn must_rest(&self) -> bool {
        // For as long as one that was idle then may be.
        self.surplus.get().is_some_and(|at| at.elapsed() < self.idle_for)
    }

    /// The most recently used idle connection that has rested and is still open, and since when it has been idle. Where
    /// none has, and none must, the one that has rested longest.
    fn kept(&self, backend: &EndpointConnections) -> Option<(Instant, HttpConnection)> {
        let mut idle = backend.idle.borrow_mut();
        let now = Instant::now();
        loop {
            let rested = idle.iter().rposition(|(since, _)| now >= *since + REST);
            let at = rested.or((!self.must_rest()).then_some(0))?;
            let (since, conn) = idle.remove(at)?;
            backend.look(&conn, now);
            if since.elapsed() < self.idle_for && conn.is_open() {
                return Some((since, conn));
            }
        }
    }

    /// A new connection, or why there is none.
    async fn dial(&self, backend: &EndpointConnections) -> Result<HttpConnection, AttemptResult> {
        // The node's own lack of descriptors is no fault of the server's.
        let place = self.connections.acquire().ok_or_else(|| AttemptResult {
            connection_limit_reached: true,
            ..AttemptResult::without_response(AttemptOutcome::NotSent)
        })?;
        let failed = |refused| AttemptResult {
            connection_refused: refused,
            ..AttemptResult::without_response(AttemptOutcome::ConnectFailed)
        };
        let Address::Tcp(address) = backend.dial else {
            // The checker lets no such address through to this protocol.
            return Err(failed(false));
        };
        let stream = match timeout(self.dial_timeout, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(failed(error.kind() == io::ErrorKind::ConnectionRefused)),
            Err(_) => return Err(failed(false)),
        };
        let link = CountingStream::new(stream);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(LONGEST_HEAD);
        let handshake = builder.handshake(TokioIo::new(link.clone())).await;
        let (sender, connection) = handshake.map_err(|_| failed(false))?;
        let mut driver = JoinSet::new();
        driver.spawn_local(connection);
        Ok(HttpConnection { sender, link, came: 0, _driver: driver, _place: place })
    }

    async fn exchange(
        self: &Rc<Self>,
        backend: &Rc<EndpointConnections>,
        call: &UpstreamRequest,
        times: AttemptDeadlines,
        (stage, way): (&Cell<AttemptStage>, &Cell<ConnectionTiming>),
        begin: ResponseStarted,
    ) -> (AttemptResult, Option<HttpConnection>) {
        let alone = |end| (end, None);
        let started = Instant::now();
        let kept = self.kept(backend);
        let ready = match kept {
            Some((since, conn)) => {
                way.set(ConnectionTiming {
                    dial: Duration::ZERO,
                    idle: Some(started.saturating_duration_since(since)),
                });
                Ok(conn)
            }
            None => {
                let ready = self.dial(backend).await;
                way.set(ConnectionTiming { dial: started.elapsed(), idle: None });
                ready
            }
        };
        let mut conn = match ready {
            Ok(conn) => conn,
            Err(end) => return alone(end),
        };
        if conn.sender.ready().await.is_err() {
            return alone(AttemptResult::without_response(AttemptOutcome::ConnectFailed));
        }
        // Getting here takes time: what was true when the attempt was decided need not be so now. The last look at the times,
        // the server and the client is this one, right before the first byte: nothing is waited for in between.
        let left = times.time_left(Instant::now());
        if left.is_zero() || !backend.usable.get() || call.finished.get() {
            return alone(AttemptResult::without_response(AttemptOutcome::NotSent));
        }
        let upload = call.upload.as_ref();
        let (request, size) = call.request(upload.map_or(left, |upload| upload.time_left));
        let before = conn.link.bytes_written();
        conn.link.count_at(size, &self.written);
        stage.set(AttemptStage::Written);
        let answer = conn.sender.send_request(request).await;
        let response = match answer {
            Ok(response) => response,
            // The client broke it off, or is too slow.
            Err(_) if upload.is_some_and(|upload| upload.is_client_fault()) => {
                return alone(AttemptResult::without_response(AttemptOutcome::NotSent));
            }
            Err(_) if upload.is_some_and(|upload| upload.is_in_progress()) => {
                return alone(AttemptResult::without_response(AttemptOutcome::ConnectFailed));
            }
            // `size` is never above the true size: less than that was surely not the whole request.
            Err(_) if conn.link.bytes_written() - before < size => {
                return alone(AttemptResult::without_response(AttemptOutcome::ConnectFailed));
            }
            Err(_) => return alone(AttemptResult::without_response(AttemptOutcome::Reset)),
        };
        let took = || {
            Some(upload.and_then(|upload| upload.completed_at()).map_or(started, Instant::from_std).elapsed())
        };
        let mut served = match self.reader.read(response, &call.method).await {
            ReadResponse::Complete(mut end) => {
                if upload.is_some() {
                    end.server_time = took();
                }
                let conn = (end.outcome != AttemptOutcome::Reset).then_some(conn);
                return (end, conn);
            }
            ReadResponse::Streaming(served, passing) => (served, passing),
        };
        stage.set(AttemptStage::Begun);
        let took = took();
        let (shared, backend) = (self.clone(), backend.clone());
        // The connection is the stream's until that has ended, which may be long after the attempt has.
        served.0.body.on_end(move |ended| {
            if ended != StreamEnd::Complete {
                return;
            }
            if conn.sender.is_ready() {
                backend.keep(&shared.connections, conn);
            } else if Handle::try_current().is_ok() {
                // Not where the process is ending: its streams are dropped as the runtime is, which takes no more tasks.
                let soon = Instant::now() + SETTLE;
                task::spawn_local(async move { shared.settle(&backend, conn, soon).await });
            }
        });
        begin(served.0);
        let outcome = match served.1.upstream_done().await {
            None | Some(StreamEnd::Complete) => AttemptOutcome::Success,
            Some(StreamEnd::UpstreamFailed) => AttemptOutcome::Reset,
            Some(StreamEnd::ClientDisconnected) => AttemptOutcome::Cancelled,
        };
        alone(AttemptResult { server_time: took, ..AttemptResult::without_response(outcome) })
    }

    /// Keeps a connection that is of further use, if that shows by a time.
    async fn settle(&self, backend: &Rc<EndpointConnections>, mut conn: HttpConnection, by: Instant) {
        let by = by.min(Instant::now() + SETTLE);
        if conn.sender.is_ready() || matches!(timeout_at(by, conn.sender.ready()).await, Ok(Ok(()))) {
            backend.keep(&self.connections, conn);
        }
    }
}

impl HttpConnection {
    fn is_open(&self) -> bool {
        !self.sender.is_closed() && self.link.unread() == UnreadState::Nothing
    }
}

impl UpstreamRequest {
    /// The request to write, and a size that its bytes on the wire don't fall short of.
    fn request(&self, left: Duration) -> (Request<OutgoingBody>, u64) {
        let mut request = Request::new(OutgoingBody::new(self.body.clone(), self.upload.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        if let Ok(left) = HeaderValue::try_from(format!("{}u", left.as_micros())) {
            request.headers_mut().insert("x-time-left", left);
        }
        let line = self.method.as_str().len() + self.uri.path().len() + " HTTP/1.1\r\n".len();
        let fields = request.headers().iter().map(|(name, value)| name.as_str().len() + value.len() + 4);
        let head = line + fields.sum::<usize>();
        let body = self.upload.as_ref().and_then(|rest| rest.length()).unwrap_or(self.body.len() as u64);
        (request, head as u64 + body)
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/http_transport.rs"]
mod tests;
