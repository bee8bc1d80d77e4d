//! The progress of a streamed response, shared with the stream.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::{Context, Waker};
use std::time::{Duration, Instant};

use pumicehead_policy::AttemptOutcome;
use pumicehead_slow_peer::{PaceError, PaceLimits, PaceMonitor};
use tokio::sync::Notify;
use tokio::time::sleep;
use tracing::warn;

use super::StreamEnd;

/// Interval at which the pace of a stream is checked.
const PACE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time without progress. An endpoint that sends nothing for this long within a response is considered hung,
/// and a client that reads nothing for this long is considered gone. Some endpoints pause for several seconds.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Window in which at least [`MIN_WINDOW_BYTES`] have to be passed on. It is long enough to contain pauses.
const PACE_WINDOW: Duration = Duration::from_secs(20);
/// 1 KiB/s, a hundredth of the slowest link in use.
const MIN_WINDOW_BYTES: u64 = 20 << 10;
/// Maximum duration of a response. It allows 32 MB at 18 kB/s.
const MAX_DURATION: Duration = Duration::from_secs(1_800);
/// Time of waiting for the client after which the endpoint counts as ahead of it, since the kernel and two libraries
/// also buffer data.
const MIN_AHEAD: Duration = Duration::from_millis(250);

/// Pace limits of streamed responses.
const PACE_LIMITS: PaceLimits = PaceLimits {
    idle_timeout: IDLE_TIMEOUT,
    window: PACE_WINDOW,
    min_window_bytes: MIN_WINDOW_BYTES,
    max_duration: MAX_DURATION,
    min_ahead: MIN_AHEAD,
};

/// The progress of a streamed response.
pub struct StreamProgress {
    pace: RefCell<PaceMonitor>,
    end: Cell<Option<StreamEnd>>,
    /// Notified when the endpoint has finished the response, or the stream has ended.
    upstream_done: Notify,
    aborted: Cell<bool>,
    /// Closes the client's connection.
    abort_hook: RefCell<Option<Box<dyn Fn()>>>,
    /// Wakes the task that waits for the body.
    waiting: RefCell<Option<Waker>>,
}

impl StreamProgress {
    pub(super) fn new() -> Rc<Self> {
        Rc::new(Self {
            pace: RefCell::new(PaceMonitor::new(PACE_LIMITS, Instant::now())),
            end: Cell::new(None),
            upstream_done: Notify::new(),
            aborted: Cell::new(false),
            abort_hook: RefCell::new(None),
            waiting: RefCell::new(None),
        })
    }

    /// Waits until the endpoint has finished the response; returns how the stream ended, if it has.
    async fn upstream_done(&self) -> Option<StreamEnd> {
        self.upstream_done.notified().await;
        self.end.get()
    }

    /// Waits until the endpoint has finished the response, or is ahead of the client; returns the outcome of the attempt.
    pub async fn outcome(&self) -> AttemptOutcome {
        match self.upstream_done().await {
            None | Some(StreamEnd::Complete) => AttemptOutcome::Success,
            Some(StreamEnd::UpstreamFailed) => AttemptOutcome::Reset,
            Some(StreamEnd::ClientDisconnected) => AttemptOutcome::Cancelled,
        }
    }

    pub(super) fn set_abort_hook(&self, hook: Box<dyn Fn()>) {
        *self.abort_hook.borrow_mut() = Some(hook);
    }

    /// Returns the number of bytes that were passed on.
    pub fn bytes(&self) -> u64 {
        self.pace.borrow().bytes()
    }

    pub(super) fn on_data(&self, bytes: usize, now: Instant) {
        self.pace.borrow_mut().on_bytes(bytes as u64, now);
    }

    /// Records that the client waits for data from the endpoint.
    pub(super) fn on_pending(&self, now: Instant, cx: &Context<'_>) {
        self.pace.borrow_mut().on_demand(now);
        *self.waiting.borrow_mut() = Some(cx.waker().clone());
    }

    /// Records that the client can't take more data yet.
    pub(super) fn on_blocked(&self, now: Instant) {
        self.pace.borrow_mut().on_blocked(now);
    }

    pub(super) fn is_aborted(&self) -> bool {
        self.aborted.get()
    }

    /// Records the end of the stream; returns whether it had not ended before.
    pub(super) fn finish(&self, end: StreamEnd) -> bool {
        if self.end.get().is_some() {
            return false;
        }
        self.end.set(Some(end));
        self.upstream_done.notify_one();
        true
    }

    /// Checks the pace until the stream has ended, and aborts the stream if it violates the limits.
    pub(super) async fn enforce_pace(self: Rc<Self>) {
        while self.end.get().is_none() {
            sleep(PACE_CHECK_INTERVAL).await;
            let now = Instant::now();
            let pace = self.pace.borrow_mut().check(now);
            if self.pace.borrow().source_is_ahead(now) {
                self.upstream_done.notify_one();
            }
            if let Err(reason) = pace
                && self.end.get().is_none()
            {
                return self.abort(reason);
            }
        }
    }

    /// Aborts the stream. Regardless of which side was too slow, the client has to see that the response is
    /// incomplete.
    fn abort(&self, reason: PaceError) {
        warn!(target: "stream", bytes = self.bytes(), %reason, "response aborted (source: endpoint, sink: client)");
        self.aborted.set(true);
        if let Some(hook) = &*self.abort_hook.borrow() {
            hook();
        }
        if let Some(waker) = self.waiting.borrow_mut().take() {
            waker.wake();
        }
    }
}
