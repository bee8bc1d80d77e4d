//! Client connections: requests in, exactly one answer out for each.

mod connection;
pub mod connection_budget;
mod drain;
mod fastcgi;
mod request_body;
mod response;

use std::cell::{Cell, OnceCell};
use std::convert::Infallible;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use pumicehead_admin::stats::{RequestOutcome, Stats};
use pumicehead_config::model::Protocol;
use pumicehead_flight_recorder::event::{Event, Short, Turned};
use pumicehead_policy::Nanos;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tracing::warn;

use crate::net::admission::{Admission, AdmittedRequest, RequestError, RequestHead, ResponseStyle};
use crate::net::counting_stream::CountingStream;
use crate::net::exchange::FinalResponse;
use crate::net::memory_budget::MemoryBudget;
use crate::net::pool_handle::ActiveRequestIds;
use crate::net::recorder_sink::RecorderSink;
use crate::net::response_body::{ResponseBody, StreamEnd};
use crate::net::upstream::http::transport::LONGEST_HEAD;
use connection::{ConnectionStage, DownstreamConnection, MIN_IDLE_BEFORE_EVICTION};
use connection_budget::ConnectionBudget;
pub use drain::DrainReason;
use drain::FRESH;
use request_body::{BodyFraming, ReceivedBody, read_buffered, read_full};

/// Connections that wait in the kernel are already taken, so it should never have to turn one away.
const BACKLOG: u32 = 4096;
/// Connections beyond the budget that are told so in an answer, not left in the kernel's queue.
pub const OVERFLOW_CONNECTIONS: usize = 32;
/// Pause after an accept that failed for lack of descriptors: without it the loop would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Longest that a closed connection is read on, so that its last answer arrives.
const LINGER: Duration = Duration::from_millis(500);
/// How often connections are looked over.
const LOOK: Duration = Duration::from_millis(100);
/// The last word to a client that began a request and did not go on.
const TOO_SLOW: &[u8] = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// A node that staff empty leaves idle connections to their next answer for so long: by then those who send to it have
/// seen that it says no, and a close crosses few requests.
const LAME: Duration = Duration::from_secs(1);
/// Pause before the next look for a place, where there is none.
const FULL_PAUSE: Duration = Duration::from_millis(5);

/// Bounds on what clients may do.
#[derive(Clone, Copy, Debug)]
pub struct ListenerOptions {
    /// Longest that a client may take from connecting, or from the first byte of a later request, to the last byte
    /// of its request.
    pub request_timeout: Duration,
    /// An idle connection that has been used is closed after this.
    pub idle_timeout: Duration,
    /// Longest body of a request.
    pub max_buffered_body: usize,
    /// Longer ones than that pass through, up to so many bytes.
    pub max_streamed_body: Option<u64>,
    /// Requests without an answer that the node may hold.
    pub max_active_requests: usize,
    /// At the process's end, what has no answer after this fails.
    pub max_request_deadline: Duration,
    /// Where `GET /healthz` is the node's own.
    pub serves_health_check: bool,
    /// Advice with a refusal that is the node's own, where any is allowed.
    pub retry_after: Option<Nanos>,
}

/// The front's state.
pub struct DownstreamListener {
    admission: Rc<dyn Admission>,
    held: ActiveRequestIds,
    options: Rc<Cell<ListenerOptions>>,
    budget: Rc<ConnectionBudget>,
    draining: Cell<bool>,
    /// The process is about to end: there is no time left to serve anything.
    over: Cell<bool>,
    /// Since when the node is to be empty, where staff have said so.
    lame: Cell<Option<Instant>>,
    /// Other processes accept from the same socket.
    shared: Cell<bool>,
    stats: Rc<Stats>,
    /// Memory for the held parts of long bodies.
    room: Arc<MemoryBudget>,
    /// What new connections speak.
    protocol: Cell<Protocol>,
    /// Has all that is open in the node fail.
    give_up: Box<dyn Fn()>,
    /// The way to the recorder, for what no pool sees.
    tap: OnceCell<RecorderSink>,
}

/// Ends a task with its owner.
struct AbortOnDrop(task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Binds an address that clients connect to.
///
/// # Errors
/// Those of the system.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // A node that starts again binds while connections of its last life still fade.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

impl DownstreamListener {
    /// A front that shares a budget with others.
    pub fn new(
        admission: Rc<dyn Admission>,
        held: ActiveRequestIds,
        options: ListenerOptions,
        budget: Rc<ConnectionBudget>,
        give_up: impl Fn() + 'static,
        stats: Rc<Stats>,
        room: Arc<MemoryBudget>,
    ) -> Rc<Self> {
        Rc::new(Self {
            admission,
            held,
            options: Rc::new(Cell::new(options)),
            budget,
            draining: Cell::new(false),
            over: Cell::new(false),
            lame: Cell::new(None),
            shared: Cell::new(false),
            stats,
            room,
            protocol: Cell::new(Protocol::Http),
            give_up: Box::new(give_up),
            tap: OnceCell::new(),
        })
    }

    /// Tells a recorder what no pool sees; the first one that is given stays.
    pub fn set_recorder(&self, tap: RecorderSink) {
        let _ = self.tap.set(tap);
    }

    /// Other bounds from now on.
    pub fn set_options(&self, options: ListenerOptions) {
        self.options.set(options);
    }

    /// What connections speak from now on; those that are up go on as they are.
    pub fn set_protocol(&self, protocol: Protocol) {
        self.protocol.set(protocol);
    }

    /// Empties the node, or takes it back to work. Requests are served all along: it is the way to it that is to end.
    pub fn set_lame_duck(&self, lame: bool) {
        self.lame.set(lame.then(|| self.lame.get().unwrap_or_else(Instant::now)));
    }

    /// Whether staff have it empty.
    pub fn is_lame_duck(&self) -> bool {
        self.lame.get().is_some()
    }

    /// Whether it takes no more connections.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Other processes accept from the same socket: what waits there at its end is theirs.
    pub fn set_socket_shared(&self) {
        self.shared.set(true);
    }

    fn owns(&self, conn: &DownstreamConnection) -> bool {
        Rc::ptr_eq(&self.options, &conn.options)
    }

    /// Serves until `stop`, then ends in order.
    pub async fn run(self: Rc<Self>, listener: TcpListener, stop: impl Future<Output = DrainReason>) {
        let front = self.clone();
        let _looking = AbortOnDrop(task::spawn_local(async move {
            loop {
                sleep(LOOK).await;
                front.look_over();
            }
        }));
        let mut stop = pin!(stop);
        let ending = loop {
            tokio::select! {
                ending = stop.as_mut() => break ending,
                (stream, peer) = self.accept(&listener) => self.clone().take(stream, peer),
            }
        };
        self.drain(listener, ending).await;
    }

    /// Closes what has taken too long: a bad client is owed an end, and holds a place that others need.
    fn look_over(&self) {
        let now = Instant::now();
        self.budget.for_each_of(self, |conn| {
            if conn.has_timed_out(now) {
                conn.close_now();
            }
        });
        if self.lame.get().is_some_and(|since| now >= since + LAME) {
            self.close_idle(MIN_IDLE_BEFORE_EVICTION, FRESH);
        }
    }

    /// The next connection. Where there is no place for one, others make way, or it waits for an end.
    async fn accept(&self, listener: &TcpListener) -> (TcpStream, IpAddr) {
        loop {
            if self.budget.is_overfull() {
                self.budget.evict_one();
                sleep(FULL_PAUSE).await;
                continue;
            }
            match listener.accept().await {
                Ok((stream, peer)) => return (stream, peer.ip()),
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) => {
                    warn!(target: "front", "accept: {error}");
                    if let Some(tap) = self.tap.get() {
                        tap.record(&Event::Short(Short::Accept));
                    }
                    self.budget.evict_one();
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn take(self: Rc<Self>, stream: TcpStream, peer: IpAddr) {
        let extra = self.budget.is_full() && !self.budget.evict_one();
        let protocol = self.protocol.get();
        let link = match protocol {
            Protocol::Http => CountingStream::capturing_heads(stream),
            Protocol::FastCgi => CountingStream::new(stream),
        };
        let conn = DownstreamConnection::new(link, extra, self.options.clone(), self.budget.asking());
        self.budget.add(&conn);
        task::spawn_local(async move {
            match protocol {
                Protocol::Http => self.serve(&conn, peer).await,
                Protocol::FastCgi => {
                    self.serve_fastcgi(&conn, peer).await;
                    conn.stream.close_writing();
                    self.linger(&conn).await;
                }
            }
            self.budget.remove(&conn);
        });
    }

    async fn serve(&self, conn: &Rc<DownstreamConnection>, peer: IpAddr) {
        let (streams, waits) = (Cell::new(false), Cell::new(false));
        let service = service_fn(|request| async {
            conn.set_stage(ConnectionStage::Busy, conn.used());
            waits.set(true);
            let mut response = self.respond(conn, peer, request).await;
            waits.set(false);
            let answered = |conn: &DownstreamConnection| {
                conn.last_activity.set(Instant::now());
                if conn.stage() == ConnectionStage::Busy {
                    conn.set_stage(ConnectionStage::Waiting, true);
                }
            };
            let body = response.body_mut();
            streams.set(body.is_stream());
            if body.is_stream() {
                let (conn, cut) = (conn.clone(), conn.clone());
                body.set_abort(move || cut.close_now());
                body.on_end(move |_| answered(&conn));
            } else {
                answered(conn);
            }
            Ok::<_, Infallible>(response)
        });
        let mut builder = http1::Builder::new();
        builder.max_buf_size(LONGEST_HEAD);
        let mut served = pin!(builder.serve_connection(TokioIo::new(conn.stream.clone()), service));
        let (mut left, mut gone) = (pin!(conn.stream.peer_closed()), false);
        loop {
            tokio::select! {
                // What has come is looked at before a close of this side's own.
                biased;
                // Dropped, the request that waits tells the loop that its client is gone. One that is being answered is the
                // library's to finish, and what lies behind it is turned away in `respond`.
                () = left.as_mut(), if !gone => {
                    if waits.get() {
                        return;
                    }
                    gone = true;
                }
                // However it ends, the client knows as much as can be told.
                _ = served.as_mut() => break,
                () = conn.close.notified() => served.as_mut().graceful_shutdown(),
                () = conn.cut.notified() => {
                    // It was idle when it was to be closed, and has asked since: what has been read has its answer.
                    if waits.get() {
                        served.as_mut().graceful_shutdown();
                        continue;
                    }
                    // Never into an answer that is on its way.
                    if conn.stream.head_started_at().is_some() && !streams.get() {
                        conn.stream.write_best_effort(TOO_SLOW);
                    }
                    return;
                }
            }
        }
        self.linger(conn).await;
    }

    /// Reads on after the last answer for as long as that may take to arrive.
    async fn linger(&self, conn: &DownstreamConnection) {
        conn.set_stage(ConnectionStage::Lingering, conn.used());
        conn.last_activity.set(Instant::now());
        tokio::select! {
            _ = timeout(LINGER, conn.stream.drain_until_closed()) => {}
            () = conn.cut.notified() => {}
        }
    }

    async fn respond(
        &self,
        conn: &DownstreamConnection,
        peer: IpAddr,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        let begun = if conn.used() { Instant::now() } else { conn.last_activity.get() };
        let framing = BodyFraming::of(&conn.stream.take_head());
        conn.stream.skip_body(framing.body());
        let expects = request.headers().contains_key(header::EXPECT);
        // Where the rest of the body still comes, nobody will read it.
        let mut unsent = false;
        let mut response = if self.options.get().serves_health_check && request.uri().path() == "/healthz" {
            let away = self.draining.get() || self.is_lame_duck();
            let status = if away { hyper::StatusCode::SERVICE_UNAVAILABLE } else { hyper::StatusCode::OK };
            response::plain(status, "")
        } else if conn.stream.has_peer_closed() {
            // It came ahead of its client's end, behind a request that took longer: nobody waits for it.
            response::refusal(&ResponseStyle::Platform, None)
        } else {
            let until = begun + self.options.get().request_timeout;
            let head = Instant::now();
            match self.read(request, peer, framing, until).await {
                Err(bad) => response::bad(&bad),
                Ok((mut admitted, came)) => {
                    admitted.request.body_read_time = head.elapsed();
                    let rest = came.upload();
                    let response = self.decide(Ok(admitted), came, conn.over_limit).await;
                    unsent = rest.is_some_and(|rest| rest.completed_at().is_none());
                    response
                }
            }
        };
        let crowded = conn.over_limit || self.budget.is_crowded();
        // A client that was told before it wrote its body may write it all the same, or the next request.
        let unread = expects && response.status().as_u16() >= 400;
        if self.draining.get()
            || self.is_lame_duck()
            || crowded
            || unread
            || unsent
            || !matches!(framing, BodyFraming::Length(_))
        {
            response::close(&mut response);
        }
        response
    }

    /// Has what was admitted answered, whatever protocol it came by.
    async fn decide(
        &self,
        admitted: Result<AdmittedRequest, RequestError>,
        came: ReceivedBody,
        extra: bool,
    ) -> Response<ResponseBody> {
        let AdmittedRequest { pool, mut request, style, must_be_empty } = match admitted {
            Ok(admitted) => admitted,
            Err(bad) => return response::bad(&bad),
        };
        let class = request.class;
        if must_be_empty && !came.is_empty() {
            return response::bad(&RequestError::MethodNotAllowed(Vec::new()));
        }
        if extra || self.over.get() || self.is_full() {
            pool.record_local_rejection(class, if extra { Turned::Connections } else { Turned::Held });
            self.stats.record_outcome(class, RequestOutcome::Rejected);
            return response::refusal(&style, self.options.get().retry_after);
        }
        (request.upstream.body, request.upstream.upload) = came.into_parts();
        match pool.proxy(request).await {
            Some(mut given) => {
                match &mut given {
                    FinalResponse::Upstream(served) if served.body.is_stream() => {
                        let stats = self.stats.clone();
                        served.body.on_end(move |ended| match ended {
                            StreamEnd::Complete => stats.record_outcome(class, RequestOutcome::Completed),
                            StreamEnd::UpstreamFailed => stats.record_outcome(class, RequestOutcome::Failed),
                            StreamEnd::ClientDisconnected => {}
                        });
                    }
                    given => self.stats.record_outcome(class, given.outcome()),
                }
                response::response(&style, given)
            }
            None => response::bad(&RequestError::DuplicateId),
        }
    }

    fn is_full(&self) -> bool {
        self.held.count() >= self.options.get().max_active_requests
    }

    /// Reads and checks a request.
    async fn read(
        &self,
        request: Request<Incoming>,
        peer: IpAddr,
        framing: BodyFraming,
        until: Instant,
    ) -> Result<(AdmittedRequest, ReceivedBody), RequestError> {
        if framing == BodyFraming::Ambiguous {
            return Err(RequestError::AmbiguousFraming);
        }
        let (parts, body) = request.into_parts();
        let head = RequestHead {
            method: &parts.method,
            uri: &parts.uri,
            version: parts.version,
            headers: parts.headers,
            peer,
        };
        let expects = head.headers.contains_key(header::EXPECT);
        let admitted = self.admission.admit(head);
        if admitted.is_err() && expects {
            // The client has not begun to write its body, and now needs not (RFC 9110 section 10.1.1).
            return admitted.map(|admitted| (admitted, ReceivedBody::Full(Bytes::new())));
        }
        // The body first, whatever the head says: the answer then meets no client that is still writing.
        let ListenerOptions { max_buffered_body, max_streamed_body, .. } = self.options.get();
        let came = match (max_streamed_body, &admitted) {
            (Some(most), Ok(AdmittedRequest { request, .. })) => {
                read_buffered(body, max_buffered_body, most, request.time_left, &self.room).await?
            }
            _ => {
                let body = read_full(body, max_buffered_body);
                ReceivedBody::Full(timeout_at(until, body).await.unwrap_or(Err(RequestError::BodyTimeout))?)
            }
        };
        Ok((admitted?, came))
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/downstream.rs"]
mod tests;
