//! Progress monitor of a single stream.

use std::time::{Duration, Instant};

use crate::{PaceError, PaceLimits, Side};

/// Monitors the progress of one stream and tracks which side is being waited for.
#[derive(Debug)]
pub struct PaceMonitor {
    limits: PaceLimits,
    started_at: Instant,
    awaited: Side,
    /// When the current wait began. Progress restarts it: bytes from the source, or the first demand of the sink after them.
    awaited_since: Instant,
    window: Window,
    total_bytes: u64,
}

/// Progress in the current window.
#[derive(Debug)]
struct Window {
    started_at: Instant,
    bytes: u64,
    /// How long the sink was awaited, excluding the current wait.
    sink_wait: Duration,
}

impl Window {
    fn new(now: Instant) -> Self {
        Self { started_at: now, bytes: 0, sink_wait: Duration::ZERO }
    }
}

impl PaceMonitor {
    /// Creates a monitor for a stream that starts at `now` and waits for its source.
    #[must_use]
    pub fn new(limits: PaceLimits, now: Instant) -> Self {
        Self {
            limits,
            started_at: now,
            awaited: Side::Source,
            awaited_since: now,
            window: Window::new(now),
            total_bytes: 0,
        }
    }

    /// Returns the total number of bytes that the source has sent, saturating at the maximum.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.total_bytes
    }

    /// Returns the side that is currently awaited.
    #[must_use]
    pub fn awaited_side(&self) -> Side {
        self.awaited
    }

    /// Records bytes received from the source. The sink is then awaited until it asks for more.
    pub fn on_bytes(&mut self, bytes: u64, now: Instant) {
        self.window.sink_wait += self.current_sink_wait(now);
        self.window.bytes = self.window.bytes.saturating_add(bytes);
        self.total_bytes = self.total_bytes.saturating_add(bytes);
        self.await_side(Side::Sink, now);
    }

    /// Records that the sink asks for more data while none is available.
    pub fn on_demand(&mut self, now: Instant) {
        if self.awaited == Side::Sink {
            self.window.sink_wait += self.current_sink_wait(now);
            self.await_side(Side::Source, now);
        }
    }

    /// Records that the sink can't take more data yet.
    pub fn on_blocked(&mut self, now: Instant) {
        if self.awaited == Side::Source {
            self.await_side(Side::Sink, now);
        }
    }

    fn await_side(&mut self, side: Side, now: Instant) {
        self.awaited = side;
        self.awaited_since = now;
    }

    /// Returns the part of the current wait that falls into the window if the sink is awaited, otherwise zero.
    fn current_sink_wait(&self, now: Instant) -> Duration {
        match self.awaited {
            Side::Source => Duration::ZERO,
            Side::Sink => now.saturating_duration_since(self.awaited_since.max(self.window.started_at)),
        }
    }

    /// Returns whether the source is ahead: the sink has been awaited for at least [`PaceLimits::min_ahead`], so that the
    /// rest of the transfer depends on the sink.
    #[must_use]
    pub fn source_is_ahead(&self, now: Instant) -> bool {
        self.awaited == Side::Sink
            && now.saturating_duration_since(self.awaited_since) >= self.limits.min_ahead
    }

    /// Checks the stream against its limits. Must be called regularly, as a window ends only at such a call.
    ///
    /// # Errors
    /// Returns the limit that the stream violates; for a slow or idle stream with the side that was awaited.
    pub fn check(&mut self, now: Instant) -> Result<(), PaceError> {
        if now.saturating_duration_since(self.started_at) >= self.limits.max_duration {
            return Err(PaceError::MaxDurationExceeded);
        }
        if now.saturating_duration_since(self.awaited_since) >= self.limits.idle_timeout {
            return Err(PaceError::Idle(self.awaited));
        }
        if now.saturating_duration_since(self.window.started_at) >= self.limits.window {
            return self.end_window(now);
        }
        Ok(())
    }

    /// Checks the throughput of the current window and starts the next one.
    fn end_window(&mut self, now: Instant) -> Result<(), PaceError> {
        let length = now.saturating_duration_since(self.window.started_at);
        let sink_wait = self.window.sink_wait + self.current_sink_wait(now);
        let is_slow = self.window.bytes < self.limits.min_window_bytes;
        self.window = Window::new(now);
        if !is_slow {
            return Ok(());
        }
        Err(PaceError::TooSlow(if sink_wait > length / 2 { Side::Sink } else { Side::Source }))
    }
}
