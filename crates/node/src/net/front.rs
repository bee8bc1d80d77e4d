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
use pumicehead_policy::boot::BootClass;
use pumicehead_policy::interface::{Effect, Nanos, SECOND};
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
/// Longest that a client may take from connecting, or from the first byte of a later request, to the last byte
/// of its request. Within 3 s it is owed an error or a close; a usual one needs milliseconds.
const PATIENCE: Duration = Duration::from_millis(2_000);
/// An idle connection that has been used is closed after this: 2 s is the least, and a new one costs little.
const KEEP: Duration = Duration::from_secs(15);
/// From this part of all descriptors on, connections that ask are crowded: each closes with its next answer.
/// Clients may hold a third at a node, and clients that ask once and stay for some seconds took all of it:
/// hardly a request came through, while the node was idle. Should also help where anything before the node
/// bounds its connections. Does harm where so many clients ask again at once: they connect each time.
const CROWDED: usize = 4;
/// How often connections are looked over.
const LOOK: Duration = Duration::from_millis(100);
/// Where places are short, a connection makes way that has asked nothing for so long after it came up: clients
/// connect in order to ask ...
const SILENT: Duration = Duration::from_millis(60);
/// ... one that has been idle for so long since its last answer ...
const RESTED: Duration = Duration::from_millis(20);
/// ... and one that has begun a request but not ended its head.
const SLOW: Duration = Duration::from_millis(500);
/// Longest that a client's word is taken for how long it waits.
const LONGEST_WAIT: Duration = Duration::from_secs(600);
/// The last word to a client that began a request and did not go on.
const TOO_SLOW: &[u8] = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// Advice with a refusal that is the node's own.
const RETRY_AFTER: Nanos = SECOND / 2;
/// Pause before the next look for a place, where there is none.
const FULL_PAUSE: Duration = Duration::from_millis(5);
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
    /// It may hide another request in its body.
    #[error("Content-Length more than once or with Transfer-Encoding")]
    Framing,
    #[error("a request with this X-Correlation-Id is open")]
    Twice,
}

/// What a class asks of its requests.
struct ClassRule {
    name: String,
    method: Method,
    keyed: bool,
    deadline: Duration,
}

/// The front's state.
pub struct Front {
    core: Handle,
    classes: Vec<ClassRule>,
    tenants: Vec<String>,
    most_held: usize,
    places: usize,
    crowded: usize,
    longest_deadline: Duration,
    conns: RefCell<Vec<Rc<Conn>>>,
    draining: Cell<bool>,
}

/// A client's connection.
struct Conn {
    link: Link,
    stage: Cell<Stage>,
    /// Has had an answer.
    used: Cell<bool>,
    /// When it came up, was last answered, or was closed.
    since: Cell<Instant>,
    /// Over the budget: told so and closed.
    extra: bool,
    /// To be closed after the request that it has, if any.
    close: Notify,
    /// To be closed at once.
    cut: Notify,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Waiting for a request, or for the rest of its head.
    Waiting,
    /// A request is being read or answered.
    Busy,
    /// Closed but for what the client still sends.
    Lingering,
    /// About to go.
    Ending,
}

impl Conn {
    /// Nothing is asked or half asked, as far as can be seen.
    fn is_idle(&self) -> bool {
        self.stage.get() == Stage::Waiting
            && self.link.begun().is_none()
            && self.link.unread() != Unread::Bytes
    }

    /// How willingly it makes way, lower first; `None` where it must not.
    fn dispensable(&self, now: Instant) -> Option<u8> {
        let rested = |span| now.saturating_duration_since(self.since.get()) >= span;
        match (self.stage.get(), self.link.begun()) {
            (Stage::Lingering, _) => rested(RESTED).then_some(0),
            (Stage::Waiting, None) if !self.used.get() => rested(SILENT).then_some(1),
            (Stage::Waiting, None) => rested(RESTED).then_some(2),
            (Stage::Waiting, Some(begun)) => (now >= begun + SLOW).then_some(3),
            _ => None,
        }
    }

    /// Has taken too long over a request, or has been idle for long.
    fn is_stale(&self, now: Instant) -> bool {
        self.stage.get() == Stage::Waiting
            && match self.link.begun() {
                _ if !self.used.get() => now >= self.since.get() + PATIENCE,
                Some(begun) => now >= begun + PATIENCE,
                None => now >= self.since.get() + KEEP && self.link.unread() == Unread::Nothing,
            }
    }

    fn cut(&self) {
        self.stage.set(Stage::Ending);
        self.cut.notify_one();
    }
}

/// Ends a task with its owner.
struct AbortOnDrop(task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
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
            method: match settings.classes[index].effect {
                Effect::Safe => Method::GET,
                _ => Method::POST,
            },
            keyed: matches!(settings.classes[index].effect, Effect::Keyed { .. }),
            deadline: Duration::from_nanos(settings.classes[index].deadline),
        };
        let longest = settings.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        Rc::new(Self {
            core,
            classes: boot.classes.iter().enumerate().map(rule).collect(),
            tenants: boot.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
            most_held: boot.ceilings.most_held,
            places,
            crowded: config.sockets / CROWDED,
            longest_deadline: Duration::from_nanos(longest),
            conns: RefCell::default(),
            draining: Cell::new(false),
        })
    }

    /// Serves until `term`, then ends in order.
    pub async fn run(self: Rc<Self>, listener: TcpListener, term: impl Future<Output = ()>) {
        let front = self.clone();
        let _looking = AbortOnDrop(task::spawn_local(async move {
            loop {
                sleep(LOOK).await;
                front.look_over();
            }
        }));
        let mut term = pin!(term);
        loop {
            tokio::select! {
                () = term.as_mut() => break,
                stream = self.accept(&listener) => self.clone().take(stream),
            }
        }
        self.drain(listener).await;
    }

    /// Closes what has taken too long: a bad client is owed an end, and holds a place that others need.
    fn look_over(&self) {
        let now = Instant::now();
        self.conns.borrow().iter().filter(|conn| conn.is_stale(now)).for_each(|conn| conn.cut());
    }

    /// The next connection. Where there is no place for one, others make way, or it waits for an end.
    async fn accept(&self, listener: &TcpListener) -> TcpStream {
        loop {
            if self.conns.borrow().len() >= self.places + EXTRA {
                self.shed();
                sleep(FULL_PAUSE).await;
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

    /// Closes the connection that can best be done without, of its kind the oldest; tells whether there was one.
    /// Only the chosen one's socket is asked whether a request has just come.
    fn shed(&self) -> bool {
        let (conns, now) = (self.conns.borrow(), Instant::now());
        let rank = |conn: &Rc<Conn>| Some((conn.dispensable(now)?, conn.since.get()));
        let ranked = conns.iter().filter_map(|conn| Some((rank(conn)?, conn)));
        let Some((_, conn)) = ranked.min_by_key(|(rank, _)| *rank) else { return false };
        if conn.stage.get() == Stage::Waiting && conn.link.unread() == Unread::Bytes {
            // It is asking after all: the event loop has not come to it yet.
            return false;
        }
        conn.cut();
        true
    }

    fn take(self: Rc<Self>, stream: TcpStream) {
        let extra = self.conns.borrow().len() >= self.places && !self.shed();
        let conn = Rc::new(Conn {
            link: Link::tapped(stream),
            stage: Cell::new(Stage::Waiting),
            used: Cell::new(false),
            since: Cell::new(Instant::now()),
            extra,
            close: Notify::new(),
            cut: Notify::new(),
        });
        self.conns.borrow_mut().push(conn.clone());
        task::spawn_local(async move {
            self.serve(&conn).await;
            self.conns.borrow_mut().retain(|other| !Rc::ptr_eq(other, &conn));
        });
    }

    async fn serve(&self, conn: &Conn) {
        let service = service_fn(|request| async {
            conn.stage.set(Stage::Busy);
            let response = self.respond(conn, request).await;
            conn.used.set(true);
            conn.since.set(Instant::now());
            conn.stage.set(Stage::Waiting);
            Ok::<_, Infallible>(response)
        });
        let mut builder = http1::Builder::new();
        builder.max_buf_size(LONGEST_HEAD);
        let mut served = pin!(builder.serve_connection(TokioIo::new(conn.link.clone()), service));
        loop {
            tokio::select! {
                // However it ends, the client knows as much as can be told.
                _ = served.as_mut() => break,
                () = conn.close.notified() => served.as_mut().graceful_shutdown(),
                () = conn.cut.notified() => {
                    if conn.link.begun().is_some() {
                        conn.link.last_word(TOO_SLOW);
                    }
                    return;
                }
            }
        }
        conn.stage.set(Stage::Lingering);
        conn.since.set(Instant::now());
        tokio::select! {
            _ = timeout(LINGER, conn.link.linger()) => {}
            () = conn.cut.notified() => {}
        }
    }

    async fn respond(&self, conn: &Conn, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let begun = if conn.used.get() { Instant::now() } else { conn.since.get() };
        let framing = Framing::of(&conn.link.take_head());
        conn.link.skip(framing.body());
        let mut response = if request.uri().path() == "/healthz" {
            let status = if self.draining.get() { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK };
            plain(status, "")
        } else {
            match self.read(conn, request, framing, begun + PATIENCE).await {
                Ok(None) => refusal(Some(RETRY_AFTER)),
                Ok(Some(ask)) => match self.core.ask(ask).await {
                    Some(given) => answer(given),
                    None => Bad::Twice.response(),
                },
                Err(bad) => bad.response(),
            }
        };
        if self.draining.get() || conn.extra || self.is_crowded() || !matches!(framing, Framing::Length(_)) {
            close(&mut response);
        }
        response
    }

    /// Whether those who ask leave each other few connections.
    fn is_crowded(&self) -> bool {
        let asks = |conn: &&Rc<Conn>| match conn.stage.get() {
            Stage::Busy => true,
            Stage::Waiting => conn.used.get(),
            Stage::Lingering | Stage::Ending => false,
        };
        self.conns.borrow().iter().filter(asks).count() >= self.crowded
    }

    /// Reads and checks a request; `None` is a good one for which there is no room.
    async fn read(
        &self,
        conn: &Conn,
        request: Request<Incoming>,
        framing: Framing,
        until: Instant,
    ) -> Result<Option<Ask>, Bad> {
        if framing == Framing::Doubtful {
            return Err(Bad::Framing);
        }
        let (parts, body) = request.into_parts();
        // The body first, whatever the head says: the answer then meets no client that is still writing.
        let checked = self.check(&parts.method, &parts.uri, &parts.headers);
        let body = timeout_at(until, collect(body)).await.unwrap_or(Err(Bad::Slow))?;
        let mut ask = checked?;
        if parts.method == Method::GET && !body.is_empty() {
            return Err(Bad::Method);
        }
        if conn.extra || self.core.held() >= self.most_held {
            return Ok(None);
        }
        ask.call = Call { method: parts.method, uri: parts.uri, headers: forwarded(&parts.headers), body };
        Ok(Some(ask))
    }

    fn check(&self, method: &Method, uri: &Uri, headers: &HeaderMap) -> Result<Ask, Bad> {
        if uri.authority().is_some() {
            return Err(Bad::Unknown);
        }
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
        if *method != rule.method {
            return Err(Bad::Method);
        }
        let correlation = required(headers, "x-correlation-id")?;
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
            correlation: correlation.into(),
            class,
            tenant,
            hint,
            key: path.next_back().filter(|key| !key.is_empty()).map(Into::into),
            // Whatever the client says, nobody waits longer than its class does.
            left: left.min(rule.deadline),
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
            // The last answer must have arrived by now.
            if conn.since.get().elapsed() > if conn.used.get() { RESTED } else { FRESH } {
                conn.cut();
            }
        }
    }
}

impl Bad {
    fn status(&self) -> StatusCode {
        match self {
            Self::Header(_) | Self::Broken | Self::Framing => StatusCode::BAD_REQUEST,
            Self::Twice => StatusCode::CONFLICT,
            Self::Slow => StatusCode::REQUEST_TIMEOUT,
            Self::Unknown => StatusCode::NOT_FOUND,
            Self::Method => StatusCode::METHOD_NOT_ALLOWED,
            Self::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }

    fn response(&self) -> Response<Full<Bytes>> {
        let mut response = plain(self.status(), &self.to_string());
        // Where the request ends is not known, or not worth reading on for.
        if matches!(self, Self::TooLong | Self::Broken | Self::Slow | Self::Framing) {
            close(&mut response);
        }
        response
    }
}

/// How a request's head says where its body ends.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Framing {
    /// By its length, or there is none.
    Length(u64),
    /// In chunks.
    Chunked,
    /// In more than one way.
    Doubtful,
}

impl Framing {
    /// Read from the head as it came.
    fn of(head: &[Vec<u8>]) -> Self {
        let fields = |name: &str| {
            let named = head.iter().skip(1).filter_map(move |line| {
                let colon = line.iter().position(|&byte| byte == b':')?;
                line[..colon].trim_ascii().eq_ignore_ascii_case(name.as_bytes()).then(|| &line[colon + 1..])
            });
            named.collect::<Vec<_>>()
        };
        let lengths = fields("content-length");
        match (lengths.as_slice(), fields("transfer-encoding").is_empty()) {
            ([], true) => Self::Length(0),
            ([], false) => Self::Chunked,
            ([length], true) => {
                let length = str::from_utf8(length).ok().and_then(|text| text.trim().parse().ok());
                length.map_or(Self::Doubtful, Self::Length)
            }
            _ => Self::Doubtful,
        }
    }

    /// Bytes of the body, as far as is known.
    fn body(self) -> u64 {
        if let Self::Length(length) = self { length } else { u64::MAX }
    }
}

fn required<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, Bad> {
    let mut values = headers.get_all(name).iter();
    // A second one is as bad as none: who reads on may take the other.
    let (Some(value), None) = (values.next(), values.next()) else { return Err(Bad::Header(name)) };
    let value = value.to_str().ok().map(str::trim);
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

/// Headers that go on; what else a client sends is for this connection, or for nobody.
const FORWARDED: [&str; 9] = [
    "host",
    "content-type",
    "x-correlation-id",
    "idempotency-key",
    "x-service-class",
    "x-account",
    "x-repeat",
    "x-weight-hint",
    "x-facts",
];

fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let named =
        FORWARDED.iter().filter_map(|&name| Some((HeaderName::from_static(name), headers.get(name)?)));
    named.map(|(name, value)| (name, value.clone())).collect()
}

async fn collect(mut body: Incoming) -> Result<Bytes, Bad> {
    if body.size_hint().lower() > LONGEST_BODY as u64 {
        return Err(Bad::TooLong);
    }
    let mut whole = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| Bad::Broken)?.into_data() else { continue };
        if whole.len() + data.len() > LONGEST_BODY {
            return Err(Bad::TooLong);
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.into())
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
