//! Client connections: requests in, exactly one answer out for each, and the orderly end after SIGTERM.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use pumicehead::boot::BootClass;
use pumicehead::interface::{Effect, Nanos, SECOND};
use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::config::Config;
use super::core::{Answer, Ask, Handle};
use super::link::{Link, Unread};
use super::upstream::{Call, LONGEST_BODY, LONGEST_HEAD};

/// Connections that wait in the kernel are already taken, so it should never have to turn one away.
const BACKLOG: u32 = 4096;
/// Connections beyond the budget that are told so in an answer, not left in the kernel's queue.
pub const EXTRA: usize = 32;
/// Pause after an accept that failed for lack of descriptors: without it the loop would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Longest that a closed connection is read on, so that its last answer arrives.
const LINGER: Duration = Duration::from_millis(500);
/// Most of a body that is too long that is read and dropped, and for how long: a client that is still
/// writing might never read its answer.
const DROPPED: (usize, Duration) = (1 << 20, Duration::from_secs(2));
/// Longest that a client may take over a body; one that takes as long over a head may have to make way.
const PATIENCE: Duration = Duration::from_secs(10);
/// Longest that a client's word is taken for how long it waits.
const LONGEST_WAIT: Duration = Duration::from_secs(600);
/// Advice with a refusal that is the node's own.
const RETRY_AFTER: Nanos = SECOND / 2;
/// After SIGTERM new connections go on coming for up to 0.4 s: accepting ends after this ...
const ACCEPT_ON: Duration = Duration::from_millis(500);
/// ... or once so long has passed without a new one, but at the latest ...
const ACCEPT_QUIET: Duration = Duration::from_millis(200);
/// ... after this.
const ACCEPT_MOST: Duration = Duration::from_millis(1_500);
/// A new connection that has asked nothing for so long is idle.
const FRESH: Duration = Duration::from_millis(700);
/// SIGKILL comes no sooner than the longest deadline, this at most, and 0.7 s more; what is still open
/// after the deadline and this margin fails.
const LAST_DEADLINE: Duration = Duration::from_secs(3);
const LAST_MARGIN: Duration = Duration::from_millis(400);

/// A request that is not one.
#[derive(Debug, Error)]
enum Bad {
    #[error("header {0} is missing or malformed")]
    Header(&'static str),
    #[error("no such class or path")]
    Unknown,
    #[error("method not allowed")]
    Method,
    #[error("body longer than 64 KiB")]
    TooLong,
    #[error("body broken off")]
    Broken,
    #[error("body too slow")]
    Slow,
}

/// What a class asks of its requests.
struct ClassRule {
    name: String,
    keyed: bool,
}

/// The front's state.
pub struct Front {
    core: Handle,
    classes: Vec<ClassRule>,
    tenants: Vec<String>,
    most_held: usize,
    places: usize,
    longest_deadline: Duration,
    conns: RefCell<Vec<Rc<Conn>>>,
    draining: Cell<bool>,
}

/// A client's connection.
struct Conn {
    link: Link,
    busy: Cell<bool>,
    /// Has had an answer.
    used: Cell<bool>,
    since: Cell<Instant>,
    /// Over the budget: told so and closed.
    extra: bool,
    close: Notify,
}

impl Conn {
    /// Its last answer, if any, must have arrived by now.
    fn is_quiet(&self) -> bool {
        self.since.get().elapsed() > LINGER
    }

    /// Nothing is asked or half asked, as far as can be seen.
    fn is_idle(&self) -> bool {
        !self.busy.get() && self.link.unread() != Unread::Bytes
    }
}

/// Binds the address that clients connect to.
///
/// # Errors
/// Those of the system.
pub fn listen(address: std::net::SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // A node that starts again binds while connections of its last life still fade.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

impl Front {
    /// A front that may hold so many connections.
    pub fn new(core: Handle, config: &Config, places: usize) -> Rc<Self> {
        let (boot, settings) = (&config.boot, &config.settings);
        let rule = |(index, class): (usize, &BootClass)| ClassRule {
            name: class.name.clone(),
            keyed: matches!(settings.classes[index].effect, Effect::Keyed { .. }),
        };
        let longest = settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        Rc::new(Self {
            core,
            classes: boot.classes.iter().enumerate().map(rule).collect(),
            tenants: boot.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
            most_held: boot.ceilings.most_held,
            places,
            longest_deadline: Duration::from_nanos(longest),
            conns: RefCell::default(),
            draining: Cell::new(false),
        })
    }

    /// Serves until `term`, then ends in order.
    pub async fn run(self: Rc<Self>, listener: TcpListener, term: impl Future<Output = ()>) {
        let mut term = pin!(term);
        loop {
            tokio::select! {
                () = term.as_mut() => break,
                stream = self.accept(&listener) => self.clone().take(stream),
            }
        }
        self.drain(listener).await;
    }

    /// The next connection. Where there is no place for one, idle ones make way, or it waits for an end.
    async fn accept(&self, listener: &TcpListener) -> TcpStream {
        loop {
            if self.conns.borrow().len() >= self.places + EXTRA {
                self.shed();
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
            match listener.accept().await {
                Ok((stream, _)) => return stream,
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) => {
                    eprintln!("accept: {error}");
                    self.shed();
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Closes the connection that has been idle longest; tells whether there was one.
    fn shed(&self) -> bool {
        let conns = self.conns.borrow();
        let dull = |conn: &Conn| conn.used.get() || conn.since.get().elapsed() > PATIENCE;
        let idle = conns.iter().filter(|conn| dull(conn) && conn.is_idle());
        let oldest = idle.min_by_key(|conn| conn.since.get());
        if let Some(oldest) = oldest {
            oldest.busy.set(true);
            oldest.close.notify_one();
        }
        oldest.is_some()
    }

    fn take(self: Rc<Self>, stream: TcpStream) {
        let extra = self.conns.borrow().len() >= self.places && !self.shed();
        let conn = Rc::new(Conn {
            link: Link::new(stream),
            busy: Cell::new(false),
            used: Cell::new(false),
            since: Cell::new(Instant::now()),
            extra,
            close: Notify::new(),
        });
        self.conns.borrow_mut().push(conn.clone());
        task::spawn_local(async move {
            self.serve(&conn).await;
            self.conns.borrow_mut().retain(|other| !Rc::ptr_eq(other, &conn));
        });
    }

    async fn serve(&self, conn: &Conn) {
        let service = service_fn(|request| async {
            conn.busy.set(true);
            let response = self.respond(conn, request).await;
            conn.used.set(true);
            conn.since.set(Instant::now());
            conn.busy.set(false);
            Ok::<_, Infallible>(response)
        });
        let mut builder = http1::Builder::new();
        builder.max_buf_size(LONGEST_HEAD);
        let mut served = pin!(builder.serve_connection(TokioIo::new(conn.link.clone()), service));
        let mut idle = false;
        loop {
            tokio::select! {
                // However it ends, the client knows as much as can be told.
                _ = served.as_mut() => break,
                () = conn.close.notified() => {
                    idle = conn.is_quiet();
                    served.as_mut().graceful_shutdown();
                }
            }
        }
        if !idle {
            let _ = timeout(LINGER, conn.link.linger()).await;
        }
    }

    async fn respond(&self, conn: &Conn, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let mut response = if request.uri().path() == "/healthz" {
            let status = if self.draining.get() { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK };
            plain(status, "")
        } else if conn.extra || self.core.held() >= self.most_held {
            if discard(request.into_body()).await.is_err() {
                conn.close.notify_one();
            }
            refusal(Some(RETRY_AFTER))
        } else {
            match self.read(request).await {
                Ok(ask) => answer(self.core.ask(ask).await),
                Err(bad) => {
                    let mut response = plain(bad.status(), &bad.to_string());
                    if matches!(bad, Bad::TooLong | Bad::Broken | Bad::Slow) {
                        close(&mut response);
                    }
                    response
                }
            }
        };
        if self.draining.get() || conn.extra {
            close(&mut response);
        }
        response
    }

    /// Reads and checks a request.
    async fn read(&self, request: Request<Incoming>) -> Result<Ask, Bad> {
        let (parts, body) = request.into_parts();
        // The body first, whatever the head says: the answer then meets no client that is still writing.
        let checked = self.check(&parts.method, &parts.uri, &parts.headers);
        let body = timeout(PATIENCE, collect(body)).await.unwrap_or(Err(Bad::Slow))?;
        let mut ask = checked?;
        ask.call = Call { method: parts.method, uri: parts.uri, headers: forwarded(parts.headers), body };
        Ok(ask)
    }

    fn check(&self, method: &Method, uri: &Uri, headers: &HeaderMap) -> Result<Ask, Bad> {
        let mut path = uri.path().strip_prefix('/').ok_or(Bad::Unknown)?.split('/');
        let class = path.next().ok_or(Bad::Unknown)?;
        let class = self.classes.iter().position(|rule| rule.name == class).ok_or(Bad::Unknown)?;
        let rule = &self.classes[class];
        let named = required(headers, "x-service-class")?;
        if !self.classes.iter().any(|other| other.name == named) {
            return Err(Bad::Unknown);
        }
        if named != rule.name {
            return Err(Bad::Header("x-service-class"));
        }
        if *method != Method::GET && *method != Method::POST {
            return Err(Bad::Method);
        }
        required(headers, "x-correlation-id")?;
        if rule.keyed {
            required(headers, "idempotency-key")?;
        }
        let tenant = if self.tenants.is_empty() {
            None
        } else {
            let account = required(headers, "x-account")?;
            let place = self.tenants.iter().position(|tenant| *tenant == account);
            Some(place.ok_or(Bad::Header("x-account"))?)
        };
        let left = span(required(headers, "x-time-left")?).ok_or(Bad::Header("x-time-left"))?;
        let hint = match headers.get("x-weight-hint") {
            None => None,
            Some(value) => {
                let hint = value.to_str().ok().and_then(|text| micros(text, 1.0));
                Some(hint.ok_or(Bad::Header("x-weight-hint"))?.as_nanos() as Nanos)
            }
        };
        Ok(Ask {
            class,
            tenant,
            hint,
            key: path.next_back().filter(|key| !key.is_empty()).map(Into::into),
            left,
            call: Call::default(),
        })
    }

    // ---- The end --------------------------------------------------------------------------------

    /// Goes on accepting while new connections come, answers with `Connection: close`, closes what is idle,
    /// and returns when all that was taken has been answered.
    async fn drain(self: Rc<Self>, listener: TcpListener) {
        self.draining.set(true);
        let start = Instant::now();
        let mut last = start;
        loop {
            self.close_idle();
            let until = (start + ACCEPT_ON).max(last + ACCEPT_QUIET).min(start + ACCEPT_MOST);
            let soon = (Instant::now() + ACCEPT_PAUSE).min(until);
            match timeout_at(soon, self.accept(&listener)).await {
                Ok(stream) => {
                    last = Instant::now();
                    self.clone().take(stream);
                }
                Err(_) if soon == until => break,
                Err(_) => {}
            }
        }
        drop(listener);
        let end = start + self.longest_deadline.min(LAST_DEADLINE) + LAST_MARGIN;
        while !self.conns.borrow().is_empty() {
            self.close_idle();
            let now = Instant::now();
            if now >= end {
                self.core.give_up();
            }
            // Answers get a moment to be written; what is left then is lingering or says nothing.
            if now >= end + LAST_MARGIN / 4 {
                break;
            }
            sleep(ACCEPT_PAUSE).await;
        }
    }

    fn close_idle(&self) {
        for conn in self.conns.borrow().iter().filter(|conn| conn.is_idle()) {
            if conn.used.get() || conn.since.get().elapsed() > FRESH {
                conn.close.notify_one();
            }
        }
    }
}

impl Bad {
    fn status(&self) -> StatusCode {
        match self {
            Self::Header(_) | Self::Broken => StatusCode::BAD_REQUEST,
            Self::Slow => StatusCode::REQUEST_TIMEOUT,
            Self::Unknown => StatusCode::NOT_FOUND,
            Self::Method => StatusCode::METHOD_NOT_ALLOWED,
            Self::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }
}

fn required<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, Bad> {
    let value = headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim);
    value.filter(|text| !text.is_empty()).ok_or(Bad::Header(name))
}

/// A number and a unit: `m` milliseconds, `u` microseconds.
fn span(text: &str) -> Option<Duration> {
    if let Some(number) = text.strip_suffix('m') {
        return micros(number, 1000.0);
    }
    micros(text.strip_suffix('u')?, 1.0)
}

fn micros(number: &str, unit: f64) -> Option<Duration> {
    let digits = number.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let number: f64 = number.parse().ok().filter(|_| digits)?;
    let span = Duration::try_from_secs_f64(number * unit / 1e6).unwrap_or(LONGEST_WAIT);
    Some(span.min(LONGEST_WAIT))
}

/// Headers that go on: all but those of this connection and those that the node writes itself.
fn forwarded(mut headers: HeaderMap) -> HeaderMap {
    let named = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let named = named.flat_map(|list| list.split(','));
    let named: Vec<HeaderName> = named.filter_map(|name| name.trim().parse().ok()).collect();
    let own = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        HeaderName::from_static("keep-alive"),
        HeaderName::from_static("x-time-left"),
    ];
    for name in named.iter().chain(&own) {
        headers.remove(name);
    }
    headers
}

async fn collect(mut body: Incoming) -> Result<Bytes, Bad> {
    if body.size_hint().lower() > LONGEST_BODY as u64 {
        let _ = discard(body).await;
        return Err(Bad::TooLong);
    }
    let mut whole = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| Bad::Broken)?.into_data() else { continue };
        if whole.len() + data.len() > LONGEST_BODY {
            let _ = discard(body).await;
            return Err(Bad::TooLong);
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.into())
}

/// Reads on and drops what comes; an error is a body that did not end.
async fn discard(mut body: Incoming) -> Result<(), Bad> {
    let rest = async {
        let mut dropped = 0;
        while let Some(frame) = body.frame().await {
            dropped += frame.map_err(|_| Bad::Broken)?.into_data().map_or(0, |data| data.len());
            if dropped > DROPPED.0 {
                return Err(Bad::TooLong);
            }
        }
        Ok(())
    };
    timeout(DROPPED.1, rest).await.unwrap_or(Err(Bad::TooLong))
}

fn plain(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}

fn close(response: &mut Response<Full<Bytes>>) {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}

fn refusal(retry_after: Option<Nanos>) -> Response<Full<Bytes>> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "");
    let seconds = retry_after.map(|span| format!("{:.3}", span as f64 / SECOND as f64));
    if let Some(Ok(seconds)) = seconds.map(|text| HeaderValue::from_str(&text)) {
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

fn answer(answer: Answer) -> Response<Full<Bytes>> {
    match answer {
        Answer::Served(served) => {
            let mut response = Response::new(Full::new(served.body));
            if let Some(content_type) = served.content_type {
                response.headers_mut().insert(header::CONTENT_TYPE, content_type);
            }
            response
        }
        Answer::Refused(retry_after) => refusal(retry_after),
        Answer::Failed => plain(StatusCode::BAD_GATEWAY, ""),
        Answer::Late => plain(StatusCode::GATEWAY_TIMEOUT, ""),
    }
}
