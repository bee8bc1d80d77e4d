//! Detects which side of a streamed body is slow. Free of I/O: the caller passes the time, which must not go back.
//!
//! A body goes from its *source* to its *sink*. The source of a response is the endpoint and its sink the client; an
//! upload goes the other way.

mod monitor;

use std::time::Duration;

use thiserror::Error;

pub use monitor::PaceMonitor;

/// One end of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The sender of the body.
    Source,
    /// The receiver of the body.
    Sink,
}

impl Side {
    fn name(self) -> &'static str {
        match self {
            Self::Source => "source",
            Self::Sink => "sink",
        }
    }
}

/// Limits on the pace of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceLimits {
    /// Longest time without movement.
    pub idle_timeout: Duration,
    /// Length of the windows over which throughput is checked.
    pub window: Duration,
    /// Number of bytes that must move in each window.
    pub min_window_bytes: u64,
    /// Longest duration of a stream, even of one that moves.
    pub max_duration: Duration,
    /// The source is ahead once the sink has been awaited for this long.
    pub min_ahead: Duration,
}

/// Why a stream has to be aborted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PaceError {
    /// Nothing moved within the idle timeout, while this side was awaited.
    #[error("the {} was silent for too long", .0.name())]
    Idle(Side),
    /// Too few bytes moved in a window, for most of which this side was awaited.
    #[error("the {} was too slow", .0.name())]
    TooSlow(Side),
    /// The stream exceeded its longest duration.
    #[error("the stream took too long")]
    MaxDurationExceeded,
}
