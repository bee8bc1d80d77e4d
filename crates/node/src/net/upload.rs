//! The streamed part of a request's body. It is sent to a single endpoint, and can't be sent again once streaming has
//! started.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use pumicehead_slow_peer::{PaceError, PaceLimits, PaceMonitor, Side};

use crate::net::counting_stream::CountingStream;

/// Maximum pause of a client that has started to send its body.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Window in which a client has to send at least [`MIN_WINDOW_BYTES`].
const PACE_WINDOW: Duration = Duration::from_secs(4);
/// 4 KiB/s; clients on slow links send 64 kB/s.
const MIN_WINDOW_BYTES: u64 = 16 << 10;
/// Maximum duration of an upload. For comparison, 32 MB at 64 kB/s take 500 s.
const MAX_DURATION: Duration = Duration::from_secs(900);

/// Pace limits of uploads.
pub const UPLOAD_PACE_LIMITS: PaceLimits = PaceLimits {
    idle_timeout: IDLE_TIMEOUT,
    window: PACE_WINDOW,
    min_window_bytes: MIN_WINDOW_BYTES,
    max_duration: MAX_DURATION,
    min_ahead: PACE_WINDOW,
};

/// Progress of an upload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Only the buffered part has been read.
    Buffered,
    /// The rest is being sent to an endpoint.
    InProgress,
    /// The last byte was handed over for sending at this time.
    Completed(Instant),
    /// The client aborted the upload or was too slow.
    Incomplete,
    /// The body exceeds the size limit.
    TooLong,
}

/// The part of a request's body that is not buffered.
pub struct Upload {
    /// Data that was read after the buffered part.
    next: Cell<Bytes>,
    rest: RefCell<Option<Incoming>>,
    /// The client's connection.
    client: CountingStream,
    pace: RefCell<PaceMonitor>,
    stage: Cell<Stage>,
    /// Length of the whole body, if stated.
    length: Option<u64>,
    /// Number of further bytes that are allowed.
    remaining_bytes: Cell<u64>,
    /// How long the client waits for its response after the last byte of the body.
    time_left: Duration,
    /// When the last byte arrived, once the body was read completely.
    last_byte_at: Cell<Option<tokio::time::Instant>>,
}

/// What is known of a streamed body when its streaming begins.
pub struct UploadStart {
    /// Data that was read after the buffered part.
    pub next: Bytes,
    /// The rest, which has not been read.
    pub rest: Incoming,
    /// Length of the whole body, if stated.
    pub length: Option<u64>,
    /// Maximum number of bytes after the buffered part.
    pub allowed: u64,
    /// How long the client waits for its response after the last byte of the body.
    pub time_left: Duration,
}

impl Upload {
    /// Returns the part that is not buffered of a body that `client` sends.
    pub fn new(start: UploadStart, client: CountingStream) -> Rc<Self> {
        let UploadStart { next, rest, length, allowed, time_left } = start;
        Rc::new(Self {
            next: Cell::new(next),
            client,
            last_byte_at: Cell::new(None),
            rest: RefCell::new(Some(rest)),
            pace: RefCell::new(PaceMonitor::new(UPLOAD_PACE_LIMITS, Instant::now())),
            stage: Cell::new(Stage::Buffered),
            length,
            remaining_bytes: Cell::new(allowed),
            time_left,
        })
    }

    /// Whether streaming has started, so that the body can't be sent again.
    pub fn has_started(&self) -> bool {
        self.stage.get() != Stage::Buffered
    }

    /// When the last byte was handed over for sending.
    pub fn completed_at(&self) -> Option<Instant> {
        if let Stage::Completed(at) = self.stage.get() { Some(at) } else { None }
    }

    /// Returns the time up to which the client waits for its response, if the whole body is known to have arrived, read or
    /// not. While nothing is read, the client must not be blamed for the time that passes.
    pub fn deadline(&self) -> Option<tokio::time::Instant> {
        if self.last_byte_at.get().is_none() {
            self.client.observe_arrival();
        }
        let has_arrived = || self.client.has_body_arrived().then(|| self.client.last_arrival_at());
        Some(self.last_byte_at.get().or_else(has_arrived)? + self.time_left)
    }

    /// Returns how long the client waits, from `now` or from the last byte of the body if that has not arrived yet.
    pub fn time_left(&self, now: tokio::time::Instant) -> Duration {
        self.deadline().map_or(self.time_left, |deadline| deadline.saturating_duration_since(now))
    }

    fn complete(&self, now: Instant) {
        self.stage.set(Stage::Completed(now));
        self.last_byte_at.set(Some(self.client.last_arrival_at()));
    }

    /// Whether the upload failed because of the client.
    pub fn is_client_fault(&self) -> bool {
        matches!(self.stage.get(), Stage::Incomplete | Stage::TooLong)
    }

    /// Whether the body exceeds the size limit. If no length is stated, this is only detected while streaming.
    pub fn is_too_long(&self) -> bool {
        self.stage.get() == Stage::TooLong
    }

    /// Whether the upload has started and not ended.
    pub fn is_in_progress(&self) -> bool {
        self.stage.get() == Stage::InProgress
    }

    /// Checks the pace of the upload while it is in progress.
    ///
    /// # Errors
    /// Which pace limit was violated, and by which side; the source is the client.
    pub fn check_pace(&self) -> Result<(), PaceError> {
        if !self.is_in_progress() {
            return Ok(());
        }
        let pace = self.pace.borrow_mut().check(Instant::now());
        if matches!(
            pace,
            Err(PaceError::Idle(Side::Source)
                | PaceError::TooSlow(Side::Source)
                | PaceError::MaxDurationExceeded)
        ) {
            self.stage.set(Stage::Incomplete);
        }
        pace
    }

    /// Length of the whole body, if stated.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    fn start(&self) {
        if self.stage.get() == Stage::Buffered {
            self.stage.set(Stage::InProgress);
            *self.pace.borrow_mut() = PaceMonitor::new(UPLOAD_PACE_LIMITS, Instant::now());
        }
    }

    fn poll(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let mut rest = self.rest.borrow_mut();
        let Some(body) = rest.as_mut() else { return Poll::Ready(None) };
        self.start();
        let next = self.next.take();
        if !next.is_empty() {
            return Poll::Ready(Some(self.on_data(next, body.is_end_stream(), Instant::now())));
        }
        loop {
            let polled = Pin::new(&mut *body).poll_frame(cx);
            let now = Instant::now();
            return match polled {
                Poll::Pending => {
                    self.pace.borrow_mut().on_demand(now);
                    Poll::Pending
                }
                Poll::Ready(None) => {
                    self.complete(now);
                    *rest = None;
                    Poll::Ready(None)
                }
                Poll::Ready(Some(Err(error))) => {
                    self.stage.set(Stage::Incomplete);
                    Poll::Ready(Some(Err(io::Error::other(error))))
                }
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    // With a stated length, the end is known with the last frame, and the body may not be polled
                    // again.
                    let is_last = body.is_end_stream();
                    Poll::Ready(Some(self.on_data(data, is_last, now)))
                }
            };
        }
    }

    fn on_data(&self, data: Bytes, is_last: bool, now: Instant) -> Result<Frame<Bytes>, io::Error> {
        let Some(remaining) = self.remaining_bytes.get().checked_sub(data.len() as u64) else {
            self.stage.set(Stage::TooLong);
            return Err(io::ErrorKind::FileTooLarge.into());
        };
        self.remaining_bytes.set(remaining);
        self.pace.borrow_mut().on_bytes(data.len() as u64, now);
        if is_last {
            self.complete(now);
        }
        Ok(Frame::data(data))
    }
}

/// The body of a request to an endpoint: the buffered part, followed by the streamed rest.
pub struct OutgoingBody {
    buffered: Bytes,
    upload: Option<Rc<Upload>>,
    /// Number of bytes handed over for sending.
    sent: u64,
}

impl OutgoingBody {
    /// Returns a body of which nothing has been sent yet.
    pub fn new(buffered: Bytes, upload: Option<Rc<Upload>>) -> Self {
        Self { buffered, upload, sent: 0 }
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if !self.buffered.is_empty() {
            let buffered = std::mem::take(&mut self.buffered);
            self.sent += buffered.len() as u64;
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        let polled = self.upload.as_ref().map_or(Poll::Ready(None), |upload| upload.poll(cx));
        if let Poll::Ready(Some(Ok(frame))) = &polled {
            self.sent += frame.data_ref().map_or(0, |data| data.len() as u64);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_empty() && self.upload.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        match &self.upload {
            None => SizeHint::with_exact(self.buffered.len() as u64),
            Some(upload) => upload.length.map_or_else(SizeHint::default, |length| {
                SizeHint::with_exact(length.saturating_sub(self.sent))
            }),
        }
    }
}
