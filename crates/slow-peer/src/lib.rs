//! Detects which side of a streamed body is slow. The crate does no I/O and reads no clock: the caller passes the time,
//! which must be monotonic.
//!
//! A body flows from its *source* to its *sink*. For a response the source is the endpoint and the sink is the client; for
//! an upload it is the other way round.

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

/// Limits on the progress of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceLimits {
    /// Maximum time without progress.
    pub idle_timeout: Duration,
    /// Length of the windows over which throughput is checked.
    pub window: Duration,
    /// Minimum number of bytes that the source must send in each window.
    pub min_window_bytes: u64,
    /// Maximum duration of a stream, even if it makes progress.
    pub max_duration: Duration,
    /// The source counts as ahead once the sink has been awaited for this long.
    pub min_ahead: Duration,
}

/// Why a stream has to be aborted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PaceError {
    /// There was no progress within the idle timeout while this side was awaited.
    #[error("the {} exceeded the idle timeout", .0.name())]
    Idle(Side),
    /// Too few bytes were sent in a window, for most of which this side was awaited.
    #[error("the {} was below the minimum throughput", .0.name())]
    TooSlow(Side),
    /// The stream reached its maximum duration.
    #[error("the stream exceeded its maximum duration")]
    MaxDurationExceeded,
}
