//! The streamed part of a request's body. It is sent to a single endpoint, and can't be sent again once streaming has
//! started.

mod read_ahead;

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use pumicehead_slow_peer::{PaceError, PaceLimits, PaceMonitor, Side};
use tokio::task::JoinSet;

use self::read_ahead::{BodyEnd, ReadAhead};
use crate::net::counting_stream::CountingStream;
use crate::net::memory_budget::MemoryBudget;

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

/// The part of a request's body that is not buffered. It is read in a task of its own, which ends with this.
pub struct Upload {
    state: Rc<UploadState>,
    _reader: JoinSet<()>,
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

struct UploadState {
    read_ahead: ReadAhead,
    /// The client's connection.
    client: CountingStream,
    pace: RefCell<PaceMonitor>,
    stage: Cell<Stage>,
    /// Length of the whole body, if stated.
    length: Option<u64>,
    /// How long the client waits for its response after the last byte of the body.
    time_left: Duration,
    /// When the last byte arrived, once the body was read completely.
    last_byte_at: Cell<Option<tokio::time::Instant>>,
}

impl Upload {
    /// Returns the part that is not buffered of a body that `client` sends, which is read ahead within `memory`.
    pub fn new(start: UploadStart, client: CountingStream, memory: Arc<MemoryBudget>) -> Rc<Self> {
        let UploadStart { next, rest, length, allowed, time_left } = start;
        let allowed = allowed.checked_sub(next.len() as u64);
        let state = Rc::new(UploadState {
            read_ahead: ReadAhead::new(next, memory),
            client,
            pace: RefCell::new(PaceMonitor::new(UPLOAD_PACE_LIMITS, Instant::now())),
            stage: Cell::new(Stage::Buffered),
            length,
            time_left,
            last_byte_at: Cell::new(None),
        });
        let mut reader = JoinSet::new();
        reader.spawn_local(state.clone().read(rest, allowed));
        Rc::new(Self { state, _reader: reader })
    }

    /// Whether streaming has started, so that the body can't be sent again.
    pub fn has_started(&self) -> bool {
        self.state.stage.get() != Stage::Buffered
    }

    /// When the last byte was handed over for sending.
    pub fn completed_at(&self) -> Option<Instant> {
        if let Stage::Completed(at) = self.state.stage.get() { Some(at) } else { None }
    }

    /// Returns the time up to which the client waits for its response, if the whole body is known to have arrived, read or
    /// not. While nothing is read, the client must not be blamed for the time that passes.
    pub fn deadline(&self) -> Option<tokio::time::Instant> {
        if self.state.last_byte_at.get().is_none() {
            self.state.client.observe_arrival();
        }
        let has_arrived =
            || self.state.client.has_body_arrived().then(|| self.state.client.last_arrival_at());
        Some(self.state.last_byte_at.get().or_else(has_arrived)? + self.state.time_left)
    }

    /// Returns how long the client waits, from `now` or from the last byte of the body if that has not arrived yet.
    pub fn time_left(&self, now: tokio::time::Instant) -> Duration {
        self.deadline().map_or(self.state.time_left, |deadline| deadline.saturating_duration_since(now))
    }

    /// Whether the upload failed because of the client.
    pub fn is_client_fault(&self) -> bool {
        matches!(self.state.stage.get(), Stage::Incomplete | Stage::TooLong)
    }

    /// Whether the body exceeds the size limit. If no length is stated, this is only detected while streaming.
    pub fn is_too_long(&self) -> bool {
        self.state.stage.get() == Stage::TooLong
    }

    /// Whether the upload has started and not ended.
    pub fn is_in_progress(&self) -> bool {
        self.state.stage.get() == Stage::InProgress
    }

    /// Checks the pace of the upload while it is in progress.
    ///
    /// # Errors
    /// Which pace limit was violated, and by which side; the source is the client.
    pub fn check_pace(&self) -> Result<(), PaceError> {
        if !self.is_in_progress() {
            return Ok(());
        }
        let pace = self.state.pace.borrow_mut().check(Instant::now());
        if matches!(
            pace,
            Err(PaceError::Idle(Side::Source)
                | PaceError::TooSlow(Side::Source)
                | PaceError::MaxDurationExceeded)
        ) {
            self.state.stage.set(Stage::Incomplete);
        }
        pace
    }

    /// Length of the whole body, if stated.
    pub fn length(&self) -> Option<u64> {
        self.state.length
    }
}

impl UploadState {
    /// Reads the rest, of which at most `allowed` bytes are accepted; `None` if there are too many already.
    async fn read(self: Rc<Self>, rest: Incoming, allowed: Option<u64>) {
        if self.read_ahead.fill(rest, allowed, &self.client).await == BodyEnd::Complete {
            self.last_byte_at.set(Some(self.client.last_arrival_at()));
        }
    }

    fn start(&self) {
        if self.stage.get() == Stage::Buffered {
            self.stage.set(Stage::InProgress);
            *self.pace.borrow_mut() = PaceMonitor::new(UPLOAD_PACE_LIMITS, Instant::now());
        }
    }

    fn poll(&self, cx: &Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.start();
        let now = Instant::now();
        if let Some(data) = self.read_ahead.take() {
            self.pace.borrow_mut().on_bytes(data.len() as u64, now);
            // With a stated length, the body may not be polled again.
            if self.read_ahead.is_finished() {
                self.stage.set(Stage::Completed(now));
            }
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        match self.read_ahead.end() {
            None => {
                self.pace.borrow_mut().on_demand(now);
                self.read_ahead.wake_when_read(cx);
                Poll::Pending
            }
            Some(BodyEnd::Complete) => {
                if self.stage.get() == Stage::InProgress {
                    self.stage.set(Stage::Completed(now));
                }
                Poll::Ready(None)
            }
            Some(BodyEnd::Aborted) => {
                self.stage.set(Stage::Incomplete);
                Poll::Ready(Some(Err(io::ErrorKind::UnexpectedEof.into())))
            }
            Some(BodyEnd::TooLong) => {
                self.stage.set(Stage::TooLong);
                Poll::Ready(Some(Err(io::ErrorKind::FileTooLarge.into())))
            }
        }
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
        let polled = self.upload.as_ref().map_or(Poll::Ready(None), |upload| upload.state.poll(cx));
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
            Some(upload) => upload.length().map_or_else(SizeHint::default, |length| {
                SizeHint::with_exact(length.saturating_sub(self.sent))
            }),
        }
    }
}
