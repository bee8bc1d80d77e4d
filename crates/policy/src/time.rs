//! Time in the decision module: nanoseconds on one monotonic clock of the node.

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;

/// One second in [`Nanos`].
pub const SECOND: Nanos = 1_000_000_000;

/// Converts a duration to seconds.
#[must_use]
pub fn seconds(duration: Nanos) -> f64 {
    duration as f64 / SECOND as f64
}

/// Converts seconds to a duration; negative values become zero.
#[must_use]
pub fn nanos(seconds: f64) -> Nanos {
    (seconds.max(0.0) * SECOND as f64) as Nanos
}
