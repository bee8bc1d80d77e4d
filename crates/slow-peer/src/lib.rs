//! Whose slowness it is, of a body that passes through: who is waited for, who is given up, and when the source's work is
//! done. Free of I/O; the time is handed over with each call and must not go back.
//!
//! A body goes from its *source* to its *sink*: of an answer the server is the source and the client the sink, of an
//! upload the other way round.

use std::time::{Duration, Instant};

use thiserror::Error;

/// One end of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Where the body comes from.
    Source,
    /// Where it goes.
    Sink,
}

/// Bounds on a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rules {
    /// A side that is waited for so long while nothing moves is given up.
    pub silence: Duration,
    /// Over each of these spans ...
    pub window: Duration,
    /// ... so many bytes must move, or the side that was waited for most of the span is given up.
    pub least: u64,
    /// Whatever moves, a stream ends after this.
    pub longest: Duration,
    /// The sink has been waited for so long: the source is ahead of it.
    pub ahead: Duration,
}

/// Why a stream is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum GiveUp {
    /// Nothing moved for too long.
    #[error("the {} was silent for too long", name(*.0))]
    Silent(Side),
    /// Too little moved.
    #[error("the {} was too slow", name(*.0))]
    Slow(Side),
    /// It took too long, though it moved.
    #[error("the stream took too long")]
    TooLong,
}

fn name(side: Side) -> &'static str {
    match side {
        Side::Source => "source",
        Side::Sink => "sink",
    }
}

/// The pace of one stream.
#[derive(Debug)]
pub struct Pace {
    rules: Rules,
    begun: Instant,
    /// Who is waited for, and since when; moving begins the wait anew.
    waits_for: Side,
    since: Instant,
    /// The present window: its start, what moved, and how long the sink was waited for up to `since`.
    window: Instant,
    moved: u64,
    on_sink: Duration,
    bytes: u64,
}

impl Pace {
    /// Of a stream that begins by waiting for its source.
    #[must_use]
    pub fn new(rules: Rules, now: Instant) -> Self {
        Self {
            rules,
            begun: now,
            waits_for: Side::Source,
            since: now,
            window: now,
            moved: 0,
            on_sink: Duration::ZERO,
            bytes: 0,
        }
    }

    /// Bytes that have moved.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Who is waited for.
    #[must_use]
    pub fn waited_for(&self) -> Side {
        self.waits_for
    }

    /// So many bytes came from the source; until it is asked for more, the sink is waited for.
    pub fn moved(&mut self, bytes: u64, now: Instant) {
        self.turn(now);
        self.moved = self.moved.saturating_add(bytes);
        self.bytes = self.bytes.saturating_add(bytes);
        (self.waits_for, self.since) = (Side::Sink, now);
    }

    /// The sink takes more, and there is none yet.
    pub fn wants_more(&mut self, now: Instant) {
        self.turn(now);
        if self.waits_for == Side::Sink {
            (self.waits_for, self.since) = (Side::Source, now);
        }
    }

    /// Counts the wait so far.
    fn turn(&mut self, now: Instant) {
        if self.waits_for == Side::Sink {
            self.on_sink += now.saturating_duration_since(self.since.max(self.window));
        }
    }

    /// Whether the source has done its work, and what is left is the sink's to take.
    #[must_use]
    pub fn source_is_ahead(&self, now: Instant) -> bool {
        self.waits_for == Side::Sink && now.saturating_duration_since(self.since) >= self.rules.ahead
    }

    /// Looks it over. To be called now and then: nothing is given up in between.
    ///
    /// # Errors
    /// Why the stream ends here.
    pub fn look(&mut self, now: Instant) -> Result<(), GiveUp> {
        if now.saturating_duration_since(self.begun) >= self.rules.longest {
            return Err(GiveUp::TooLong);
        }
        if now.saturating_duration_since(self.since) >= self.rules.silence {
            return Err(GiveUp::Silent(self.waits_for));
        }
        let span = now.saturating_duration_since(self.window);
        if span < self.rules.window {
            return Ok(());
        }
        let running = now.saturating_duration_since(self.since.max(self.window));
        let on_sink = self.on_sink + if self.waits_for == Side::Sink { running } else { Duration::ZERO };
        let slow = self.moved < self.rules.least;
        (self.window, self.moved, self.on_sink) = (now, 0, Duration::ZERO);
        if !slow {
            return Ok(());
        }
        Err(GiveUp::Slow(if on_sink > span / 2 { Side::Sink } else { Side::Source }))
    }
}
