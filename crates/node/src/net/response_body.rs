//! Bodies of answers: whole, or passed on as they come.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use pumicehead_slow_peer::{GiveUp, Pace, Rules};
use tokio::sync::Notify;
use tokio::task;
use tokio::time::sleep;
use tracing::warn;

use crate::net::memory_budget::Reservation;

/// How often a stream is looked over.
const LOOK: Duration = Duration::from_millis(100);
/// A server that has begun its answer and says nothing for so long is hung, and a client that reads nothing has gone or
/// might as well have; both hold two connections meanwhile. Servers that pause for some seconds have been seen.
const SILENCE: Duration = Duration::from_secs(15);
/// A window long enough for pauses in it.
const WINDOW: Duration = Duration::from_secs(20);
/// 1 KiB a second: the slowest line that is in use is a hundred times as fast.
const LEAST: u64 = 20 << 10;
/// A body of 32 MB takes so long at 18 KB a second.
const LONGEST: Duration = Duration::from_secs(1_800);
/// The kernel and two libraries buffer for the client; one that has been waited for so long is slower than the server.
const AHEAD: Duration = Duration::from_millis(250);

/// Bounds on answers that pass through.
const RULES: Rules = Rules { silence: SILENCE, window: WINDOW, least: LEAST, longest: LONGEST, ahead: AHEAD };

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// All of it has been passed on.
    Complete,
    /// The server broke off or was given up.
    UpstreamFailed,
    /// The client left or was given up.
    ClientDisconnected,
}

/// A body.
pub enum ResponseBody {
    /// All of it.
    Full(Bytes),
    /// As it comes.
    Stream(Box<StreamedBody>),
}

impl ResponseBody {
    /// What to do at the end of one that passes through; nothing for a whole one.
    pub fn on_end(&mut self, hook: impl FnOnce(StreamEnd) + 'static) {
        if let Self::Stream(stream) = self {
            stream.hooks.push(Box::new(hook));
        }
    }

    /// Whether it passes through.
    pub fn is_stream(&self) -> bool {
        matches!(self, Self::Stream(_))
    }

    /// How one that passes through is cut from the client's side.
    pub fn set_abort(&self, cut: impl Fn() + 'static) {
        if let Self::Stream(stream) = self {
            *stream.passing.cut.borrow_mut() = Some(Box::new(cut));
        }
    }
}

impl From<Bytes> for ResponseBody {
    fn from(bytes: Bytes) -> Self {
        Self::Full(bytes)
    }
}

/// What is told when a stream ends.
type EndHook = Box<dyn FnOnce(StreamEnd)>;

/// An answer that passes through.
pub struct StreamedBody {
    first: Option<Bytes>,
    rest: Incoming,
    /// The stated length.
    length: Option<u64>,
    passing: Rc<StreamProgress>,
    hooks: Vec<EndHook>,
    /// What its buffers take.
    _part: Reservation,
}

/// What those who wait beside a stream know of it.
pub struct StreamProgress {
    pace: RefCell<Pace>,
    ended: Cell<Option<StreamEnd>>,
    /// The server's part is done, or the stream has ended.
    free: Notify,
    given_up: Cell<bool>,
    cut: RefCell<Option<Box<dyn Fn()>>>,
}

impl StreamedBody {
    /// Begins to pass on an answer whose start has come.
    pub fn new(
        first: Bytes,
        rest: Incoming,
        length: Option<u64>,
        part: Reservation,
    ) -> (Self, Rc<StreamProgress>) {
        let passing = Rc::new(StreamProgress {
            pace: RefCell::new(Pace::new(RULES, Instant::now())),
            ended: Cell::new(None),
            free: Notify::new(),
            given_up: Cell::new(false),
            cut: RefCell::new(None),
        });
        task::spawn_local(passing.clone().watch());
        let first = Some(first).filter(|first| !first.is_empty());
        (Self { first, rest, length, passing: passing.clone(), hooks: Vec::new(), _part: part }, passing)
    }

    fn finish(&mut self, how: StreamEnd) {
        if self.passing.ended.get().is_none() {
            self.passing.ended.set(Some(how));
            self.passing.free.notify_one();
            self.hooks.drain(..).for_each(|hook| hook(how));
        }
    }
}

impl Drop for StreamedBody {
    fn drop(&mut self) {
        let whole = self.rest.is_end_stream() && self.first.is_none();
        self.finish(if whole { StreamEnd::Complete } else { StreamEnd::ClientDisconnected });
    }
}

impl StreamProgress {
    /// Waits until the server's part is done; how the stream ended, if it has.
    pub async fn upstream_done(&self) -> Option<StreamEnd> {
        self.free.notified().await;
        self.ended.get()
    }

    async fn watch(self: Rc<Self>) {
        while self.ended.get().is_none() {
            sleep(LOOK).await;
            let now = Instant::now();
            let looked = self.pace.borrow_mut().look(now);
            if self.pace.borrow().source_is_ahead(now) {
                self.free.notify_one();
            }
            if let Err(why) = looked
                && self.ended.get().is_none()
            {
                self.give_up(why);
                return;
            }
        }
    }

    fn give_up(&self, why: GiveUp) {
        let bytes = self.pace.borrow().bytes();
        warn!(target: "stream", "an answer is cut after {bytes} bytes: {why} (source: server, sink: client)");
        self.given_up.set(true);
        // Its end takes the stream with it, whoever was to blame: the client must see that it is not whole.
        if let Some(cut) = &*self.cut.borrow() {
            cut();
        }
    }
}

impl HttpBody for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Self::Full(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Full(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Stream(stream) => stream.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.is_empty(),
            Self::Stream(stream) => stream.first.is_none() && stream.rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Stream(stream) => stream.length.map_or_else(SizeHint::default, |length| {
                SizeHint::with_exact(length.saturating_sub(stream.passing.pace.borrow().bytes()))
            }),
        }
    }
}

impl StreamedBody {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.passing.given_up.get() {
            self.finish(StreamEnd::UpstreamFailed);
            return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
        }
        if let Some(first) = self.first.take() {
            self.passing.pace.borrow_mut().moved(first.len() as u64, Instant::now());
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        loop {
            let polled = Pin::new(&mut self.rest).poll_frame(cx);
            let now = Instant::now();
            return match polled {
                Poll::Pending => {
                    self.passing.pace.borrow_mut().wants_more(now);
                    Poll::Pending
                }
                Poll::Ready(None) => {
                    self.finish(StreamEnd::Complete);
                    Poll::Ready(None)
                }
                Poll::Ready(Some(Err(error))) => {
                    self.finish(StreamEnd::UpstreamFailed);
                    Poll::Ready(Some(Err(io::Error::other(error))))
                }
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => {
                        self.passing.pace.borrow_mut().moved(data.len() as u64, now);
                        Poll::Ready(Some(Ok(Frame::data(data))))
                    }
                    // Trailers are fields of a hop unless both sides agree on them, and nobody asked for any.
                    Err(_) => continue,
                },
            };
        }
    }
}
