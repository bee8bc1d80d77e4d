//! Follows the pace of one stream.

use std::time::{Duration, Instant};

use crate::{PaceError, PaceLimits, Side};

/// Monitors the pace of one stream.
#[derive(Debug)]
pub struct PaceMonitor {
    limits: PaceLimits,
    started_at: Instant,
    awaited: Side,
    /// When the present wait began; movement begins it anew.
    awaited_since: Instant,
    window: Window,
    total_bytes: u64,
}

/// What happened in the present window.
#[derive(Debug)]
struct Window {
    started_at: Instant,
    bytes: u64,
    /// How long the sink was awaited, without the present wait.
    sink_wait: Duration,
}

impl Window {
    fn new(now: Instant) -> Self {
        Self { started_at: now, bytes: 0, sink_wait: Duration::ZERO }
    }
}

impl PaceMonitor {
    /// Monitors a stream that begins at `now` and awaits its source.
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

    /// Total number of bytes that the source has sent.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.total_bytes
    }

    /// The side that is awaited.
    #[must_use]
    pub fn awaited_side(&self) -> Side {
        self.awaited
    }

    /// Records bytes from the source. The sink is awaited until it asks for more.
    pub fn on_bytes(&mut self, bytes: u64, now: Instant) {
        self.window.sink_wait += self.present_sink_wait(now);
        self.window.bytes = self.window.bytes.saturating_add(bytes);
        self.total_bytes = self.total_bytes.saturating_add(bytes);
        self.await_side(Side::Sink, now);
    }

    /// Records that the sink asks for more while there is nothing to pass on.
    pub fn on_demand(&mut self, now: Instant) {
        if self.awaited == Side::Sink {
            self.window.sink_wait += self.present_sink_wait(now);
            self.await_side(Side::Source, now);
        }
    }

    fn await_side(&mut self, side: Side, now: Instant) {
        self.awaited = side;
        self.awaited_since = now;
    }

    /// The part of the present wait that falls into the window, if the sink is awaited.
    fn present_sink_wait(&self, now: Instant) -> Duration {
        match self.awaited {
            Side::Source => Duration::ZERO,
            Side::Sink => now.saturating_duration_since(self.awaited_since.max(self.window.started_at)),
        }
    }

    /// Returns whether the source waits for the sink: what is left is the sink's to take.
    #[must_use]
    pub fn source_is_ahead(&self, now: Instant) -> bool {
        self.awaited == Side::Sink
            && now.saturating_duration_since(self.awaited_since) >= self.limits.min_ahead
    }

    /// Checks the stream against its limits. To be called regularly, since a window ends only with a call.
    ///
    /// # Errors
    /// The limit that the stream exceeds, with the side that was awaited.
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

    /// Checks the throughput of the present window and begins the next one.
    fn end_window(&mut self, now: Instant) -> Result<(), PaceError> {
        let length = now.saturating_duration_since(self.window.started_at);
        let sink_wait = self.window.sink_wait + self.present_sink_wait(now);
        let is_slow = self.window.bytes < self.limits.min_window_bytes;
        self.window = Window::new(now);
        if !is_slow {
            return Ok(());
        }
        Err(PaceError::TooSlow(if sink_wait > length / 2 { Side::Sink } else { Side::Source }))
    }
}
