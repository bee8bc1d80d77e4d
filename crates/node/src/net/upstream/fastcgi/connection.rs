//! A connection to a FastCGI application and the task that drives it.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use hyper::{Method, StatusCode, header};
use pumicehead_fastcgi::cgi::{AnswerHead, HeadReader};
use pumicehead_fastcgi::client::{Client, Event, RequestId, Values};
use pumicehead_fastcgi::record::End;
use pumicehead_policy::AttemptOutcome;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::{Instant, sleep_until};
use tracing::warn;

use crate::net::counting_stream::{CountingStream, UnreadState};
use crate::net::exchange::UpstreamResponse;
use crate::net::header_fields;
use crate::net::memory_budget::{Reservation, SMALL_BODY_BYTES};
use crate::net::upstream::connection_registry::ConnectionPermit;
use crate::net::upstream::fastcgi::outcome::{FastCgiEnding, ResponseProgress};
use crate::net::upstream::transport;

/// Bytes that are read at once.
const READ: usize = 16 << 10;
/// How long an application may take to end a request that was aborted, before its connection takes no more.
const ABORT_GRACE: Duration = Duration::from_secs(5);
/// Between two lines of the log about errors that applications tell of, over all of them.
const STDERR_EVERY: Duration = Duration::from_secs(1);
/// Longest part of such a line.
const STDERR_SHOWN: usize = 200;

/// A request for a connection.
pub struct FastCgiRequest {
    /// Variables.
    pub params: Vec<(Bytes, Bytes)>,
    /// Body.
    pub body: Bytes,
    /// Method: an answer to HEAD has no body.
    pub method: Method,
    /// Longest body of an answer.
    pub longest: u64,
    /// Memory for a long one.
    pub part: Reservation,
    /// How it ended.
    pub end: oneshot::Sender<transport::AttemptResult>,
    /// Set once a byte of it may have been written.
    pub begun: Rc<Cell<bool>>,
}

enum ConnectionCommand {
    Request(u64, FastCgiRequest),
    Abort(u64),
}

/// What a connection's owner sees of it.
pub struct FastCgiConnection {
    orders: mpsc::UnboundedSender<ConnectionCommand>,
    /// Requests on it that have not ended.
    pub open: Cell<usize>,
    /// It takes no more.
    pub closed: Cell<bool>,
    /// Since when it has been idle.
    pub idle_since: Cell<Instant>,
    close: Notify,
    next: Cell<u64>,
    /// To ask the kernel by, while it is open.
    link: RefCell<Option<CountingStream>>,
}

/// An attempt on a connection; dropped before its end, it is aborted.
pub struct AbortGuard {
    connection: Rc<FastCgiConnection>,
    number: u64,
    over: bool,
}

impl AbortGuard {
    /// The attempt has ended.
    pub fn done(mut self) {
        self.over = true;
    }
}

impl Drop for AbortGuard {
    fn drop(&mut self) {
        if !self.over {
            let _ = self.connection.orders.send(ConnectionCommand::Abort(self.number));
        }
    }
}

impl FastCgiConnection {
    /// Sends a request. One that comes to a connection which has just ended is told that it never began.
    pub fn send(self: &Rc<Self>, job: FastCgiRequest) -> AbortGuard {
        let number = self.next.get();
        self.next.set(number + 1);
        self.open.set(self.open.get() + 1);
        // Where the task has ended, dropping the job tells so.
        let _ = self.orders.send(ConnectionCommand::Request(number, job));
        AbortGuard { connection: self.clone(), number, over: false }
    }

    /// Whether a request may be sent on it. The kernel is asked, not the loop, which may not have seen the latest yet.
    pub fn is_open(&self) -> bool {
        !self.closed.get()
            && self.link.borrow().as_ref().is_some_and(|link| link.unread() != UnreadState::End)
    }

    /// Closes it, now if it is idle, or else after its last request.
    pub fn retire(&self) {
        self.closed.set(true);
        self.close.notify_one();
    }
}

/// A request that has been sent, or is being.
struct PendingRequest {
    number: u64,
    job: FastCgiRequest,
    head: HeadReader,
    answer: Option<AnswerHead>,
    body: BytesMut,
    nothing: bool,
    spoilt: bool,
    /// Bytes that the connection will have written once all of this request is.
    whole_at: u64,
}

/// The task of a connection.
pub struct ConnectionDriver {
    /// One socket; clones of it read, write and look.
    reader: CountingStream,
    writer: CountingStream,
    shared: Rc<FastCgiConnection>,
    orders: mpsc::UnboundedReceiver<ConnectionCommand>,
    client: Client,
    out: VecDeque<Bytes>,
    /// Bytes that were put out and written.
    put: u64,
    written: u64,
    sent: HashMap<RequestId, PendingRequest>,
    /// When the first aborted request was, of those that have not ended.
    aborted: HashMap<RequestId, Instant>,
    values: Option<oneshot::Sender<Values>>,
    /// More than one request at a time.
    multiplexes: Rc<Cell<bool>>,
    name: Rc<str>,
    told: Rc<Cell<Option<Instant>>>,
    _place: ConnectionPermit,
}

/// What drivers of a server share.
#[derive(Clone)]
pub struct DriverContext {
    /// A connection may carry several requests at once.
    pub multiplexes: Rc<Cell<bool>>,
    /// For the log.
    pub name: Rc<str>,
    /// When the log last told of errors.
    pub told: Rc<Cell<Option<Instant>>>,
}

impl ConnectionDriver {
    /// A connection that has come up. `values` asks what the application is able to do.
    pub fn new(
        link: CountingStream,
        common: DriverContext,
        place: ConnectionPermit,
        values: Option<oneshot::Sender<Values>>,
    ) -> (Self, Rc<FastCgiConnection>) {
        let (to, orders) = mpsc::unbounded_channel();
        let shared = Rc::new(FastCgiConnection {
            orders: to,
            open: Cell::new(0),
            closed: Cell::new(false),
            idle_since: Cell::new(Instant::now()),
            close: Notify::new(),
            next: Cell::new(0),
            link: RefCell::new(Some(link.clone())),
        });
        let driver = Self {
            reader: link.clone(),
            writer: link,
            shared: shared.clone(),
            orders,
            client: Client::default(),
            out: VecDeque::new(),
            put: 0,
            written: 0,
            sent: HashMap::new(),
            aborted: HashMap::new(),
            values,
            multiplexes: common.multiplexes,
            name: common.name,
            told: common.told,
            _place: place,
        };
        (driver, shared)
    }

    /// Runs until the connection ends or is of no further use.
    pub async fn run(mut self) {
        if self.values.is_some() {
            let mut out = BytesMut::new();
            self.client.get_values(&mut out);
            self.put(out);
        }
        let shared = self.shared.clone();
        let mut input = vec![0; READ];
        loop {
            if shared.closed.get() && self.sent.is_empty() && self.orders.is_empty() {
                break;
            }
            // Of requests that nobody waits for, some applications never tell the end.
            let stuck = self.aborted.values().min().map(|since| *since + ABORT_GRACE);
            let far = Instant::now() + ABORT_GRACE;
            tokio::select! {
                order = self.orders.recv() => match order {
                    Some(ConnectionCommand::Request(number, job)) => {
                        // A request that is written behind the end of a kept connection may have run, for all
                        // that can be known.
                        if self.sent.is_empty() && self.reader.unread() == UnreadState::End {
                            break;
                        }
                        self.request(number, job);
                    }
                    Some(ConnectionCommand::Abort(number)) => if self.abort(number).await { break },
                    None => break,
                },
                read = self.reader.read(&mut input) => match read {
                    Ok(count) if count > 0 => if !self.receive(&input[..count]) { break },
                    _ => break,
                },
                written = write(&mut self.writer, self.out.front()), if !self.out.is_empty() => match written {
                    Ok(count) if count > 0 => self.wrote(count),
                    _ => break,
                },
                () = shared.close.notified() => {}
                () = sleep_until(stuck.unwrap_or(far)), if stuck.is_some() => {
                    shared.closed.set(true);
                    self.aborted.clear();
                }
            }
        }
        self.end();
    }

    fn put(&mut self, out: BytesMut) {
        self.put += out.len() as u64;
        self.out.push_back(out.freeze());
    }

    fn wrote(&mut self, count: usize) {
        self.written += count as u64;
        if let Some(front) = self.out.front_mut() {
            front.advance(count);
            if front.is_empty() {
                self.out.pop_front();
            }
        }
    }

    fn request(&mut self, number: u64, job: FastCgiRequest) {
        if job.end.is_closed() {
            return self.less();
        }
        let mut out = BytesMut::with_capacity(job.body.len() + 1_024);
        let Some(id) = self.client.begin(&mut out, true) else {
            let _ = job.end.send(transport::AttemptResult::without_response(AttemptOutcome::Rejected));
            return self.less();
        };
        self.client.params(&mut out, id, job.params.iter().map(|(name, value)| (&name[..], &value[..])));
        self.client.stdin(&mut out, id, &job.body);
        self.client.stdin_end(&mut out, id);
        job.begun.set(true);
        self.put(out);
        let sent = PendingRequest {
            number,
            job,
            head: HeadReader::default(),
            answer: None,
            body: BytesMut::new(),
            nothing: true,
            spoilt: false,
            whole_at: self.put,
        };
        self.sent.insert(id, sent);
    }

    /// One request fewer.
    fn less(&self) {
        let open = self.shared.open.get().saturating_sub(1);
        self.shared.open.set(open);
        if open == 0 {
            self.shared.idle_since.set(Instant::now());
        }
    }

    /// Nobody waits for a request any more; tells whether the connection is to end, as it does where it carries no
    /// other.
    async fn abort(&mut self, number: u64) -> bool {
        let found = self.sent.iter().find(|(_, sent)| sent.number == number).map(|(id, _)| *id);
        let Some(id) = found else { return false };
        self.sent.remove(&id);
        self.less();
        let mut out = BytesMut::new();
        self.client.abort(&mut out, id);
        self.put(out);
        self.aborted.insert(id, Instant::now());
        if self.multiplexes.get() && !self.shared.closed.get() {
            return false;
        }
        // What fits at once: the application hears of it before the connection ends.
        if let Some(front) = self.out.front()
            && let Ok(Ok(count)) = tokio::time::timeout(Duration::ZERO, self.writer.write(front)).await
        {
            // Where others are still open the connection goes on, and nothing may be written twice.
            self.wrote(count);
        }
        self.sent.is_empty()
    }

    /// Takes what has come; tells whether the connection is still of use.
    fn receive(&mut self, input: &[u8]) -> bool {
        let mut events = Vec::new();
        let sound = self.client.receive(input, &mut events);
        for event in events {
            match event {
                Event::Values(values) => {
                    if let Some(wanted) = self.values.take() {
                        let _ = wanted.send(values);
                    }
                }
                Event::Stdout(id, part) => {
                    if let Some(sent) = self.sent.get_mut(&id) {
                        sent.take(&part);
                    }
                }
                Event::StdoutEnd(_) => {}
                Event::Stderr(_, text) => self.tell(&text),
                Event::Ended(id, end) => {
                    self.aborted.remove(&id);
                    if let Some(sent) = self.sent.remove(&id) {
                        // Told after the connection is free, so that what is sent next finds it.
                        self.less();
                        sent.finish(end);
                    }
                }
            }
        }
        if let Err(error) = sound {
            warn!(target: "fastcgi", "{}: {error}", self.name);
        }
        sound.is_ok()
    }

    /// Errors that an application tells of: some of them, in part, at a bounded rate. Bytes without end cost no memory.
    fn tell(&self, text: &[u8]) {
        let now = Instant::now();
        if self.told.get().is_some_and(|last| now < last + STDERR_EVERY) {
            return;
        }
        self.told.set(Some(now));
        let shown = String::from_utf8_lossy(&text[..text.len().min(STDERR_SHOWN)]);
        warn!(target: "fastcgi", "{}: stderr: {}", self.name, shown.trim_end().escape_debug());
    }

    /// The connection has ended, and with it all that is open on it.
    fn end(mut self) {
        self.shared.closed.set(true);
        self.shared.link.take();
        for (_, sent) in std::mem::take(&mut self.sent) {
            // What was put out and not written never arrived.
            let broken = FastCgiEnding::ConnectionLost { request_written: self.written >= sent.whole_at };
            self.less();
            let _ = sent.job.end.send(transport::AttemptResult::without_response(broken.classify().outcome));
        }
    }
}

async fn write(link: &mut CountingStream, bytes: Option<&Bytes>) -> std::io::Result<usize> {
    link.write(bytes.map_or(&[], |bytes| &bytes[..])).await
}

impl PendingRequest {
    fn take(&mut self, part: &[u8]) {
        self.nothing = false;
        if self.spoilt {
            return;
        }
        if self.answer.is_some() {
            return self.take_body(part);
        }
        match self.head.feed(part) {
            Ok(None) => {}
            Ok(Some((head, rest))) => {
                self.answer = Some(head);
                self.take_body(&rest);
            }
            Err(_) => self.spoilt = true,
        }
    }

    /// Whether its answer has no body, whatever comes.
    fn is_bodiless(&self) -> bool {
        let status = self.answer.as_ref().map(|head| head.status);
        self.job.method == Method::HEAD
            || matches!(status, Some(StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED))
    }

    fn take_body(&mut self, part: &[u8]) {
        if part.is_empty() || self.is_bodiless() {
            return;
        }
        let size = self.body.len() + part.len();
        let room = size <= SMALL_BODY_BYTES.max(self.job.part.size())
            || self.job.part.try_grow(size.next_multiple_of(SMALL_BODY_BYTES));
        if size as u64 > self.job.longest || !room {
            self.spoilt = true;
            self.body = BytesMut::new();
            return;
        }
        self.body.extend_from_slice(part);
    }

    fn finish(mut self, end: End) {
        let mut stated = None;
        let got = match &self.answer {
            _ if self.nothing => ResponseProgress::Empty,
            None => ResponseProgress::Malformed,
            Some(_) if self.spoilt => ResponseProgress::Malformed,
            Some(head) => {
                stated = head.headers.get(header::CONTENT_LENGTH).cloned();
                let length =
                    stated.as_ref().map(|value| value.to_str().ok().and_then(|text| text.parse().ok()));
                let fits = self.is_bodiless() || length.is_none_or(|length| length == Some(self.body.len()));
                let unprocessed = head.headers.get("x-unprocessed").is_some_and(|value| value == "1");
                let seen = crate::net::upstream::response_classification::ResponseHead {
                    status: head.status,
                    unprocessed,
                    delimited: true,
                };
                if fits { ResponseProgress::Complete(seen) } else { ResponseProgress::Malformed }
            }
        };
        let verdict = FastCgiEnding::Completed(end, got).classify();
        let bodiless = self.is_bodiless();
        let answer =
            self.answer.take().filter(|_| verdict.forward).map(|AnswerHead { status, mut headers }| {
                header_fields::strip_hop_by_hop(&mut headers);
                // Of an answer without a body it tells what there would be.
                if let Some(length) = stated.filter(|_| bodiless && status != StatusCode::NO_CONTENT) {
                    headers.insert(header::CONTENT_LENGTH, length);
                }
                UpstreamResponse { status, headers, body: self.job.part.attach_to(self.body.freeze()).into() }
            });
        let _ = self.job.end.send(transport::AttemptResult {
            response: answer,
            ..transport::AttemptResult::without_response(verdict.outcome)
        });
    }
}

/// Connections of one server.
pub type Pool = RefCell<Vec<Rc<FastCgiConnection>>>;
