//! Timestamps and durations as text.

use pumicehead_policy::{Nanos, SECOND};
use thiserror::Error;

const DAY: u64 = 86_400;

/// A text that is not a timestamp.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is no moment: seconds since the node's start (12.5), or a time of day in UTC (13:05:20)")]
pub struct TimestampError(String);

/// Reads seconds since `start`, or the first such time of day in UTC that is not before `start`.
///
/// # Errors
/// [`TimestampError`].
pub fn parse(text: &str, start: Nanos) -> Result<Nanos, TimestampError> {
    let error = || TimestampError(crate::bounded_text::escape(&text.chars().take(40).collect::<String>()));
    let seconds = |part: &str| {
        let is_decimal = !part.is_empty() && part.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
        part.parse::<f64>().ok().filter(|n| is_decimal && n.is_finite() && *n < 1e9)
    };
    let nanos = |seconds: f64| (seconds * SECOND as f64) as Nanos;
    let parts: Vec<_> = text.split(':').collect();
    match parts.as_slice() {
        [one] => {
            let one = one.strip_suffix('s').unwrap_or(one);
            Ok(start.saturating_add(nanos(seconds(one).ok_or_else(error)?)))
        }
        [hour, minute, second] => {
            let (hour, minute) = (hour.parse::<u64>().ok(), minute.parse::<u64>().ok());
            let (Some(hour), Some(minute)) = (hour.filter(|n| *n < 24), minute.filter(|n| *n < 60)) else {
                return Err(error());
            };
            let second = seconds(second).filter(|n| *n < 61.0).ok_or_else(error)?;
            let time_of_day = nanos((hour * 3_600 + minute * 60) as f64 + second);
            let midnight = start / (DAY * SECOND) * (DAY * SECOND);
            let at = midnight.saturating_add(time_of_day);
            // `start` has nanoseconds, a time of day usually only seconds.
            let earliest = start / SECOND * SECOND;
            Ok(if at < earliest { at.saturating_add(DAY * SECOND) } else { at })
        }
        _ => Err(error()),
    }
}

/// Formats a timestamp as seconds since the start and the time of day in UTC.
#[must_use]
pub fn format_timestamp(at: Nanos, start: Nanos) -> String {
    let since = at.saturating_sub(start) as f64 / SECOND as f64;
    let time_of_day = at / SECOND % DAY;
    format!("{since:.3} s ({:02}:{:02}:{:02})", time_of_day / 3_600, time_of_day / 60 % 60, time_of_day % 60)
}

/// Formats a duration in a suitable unit.
#[must_use]
pub fn format_duration(span: Nanos) -> String {
    match span {
        0..1_000_000 => format!("{} us", span / 1_000),
        1_000_000..SECOND => format!("{:.1} ms", span as f64 / 1e6),
        _ => format!("{:.2} s", span as f64 / SECOND as f64),
    }
}

#[cfg(test)]
#[path = "../tests/unit/timestamp.rs"]
mod tests;
