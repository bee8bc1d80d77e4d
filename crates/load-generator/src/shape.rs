//! The rate of requests over time. Each shape provides the integral of its rate, so that arrival times can be computed
//! exactly by inverting it.

use std::f64::consts::TAU;
use std::str::FromStr;

use thiserror::Error;

use crate::{Nanos, SECOND};

/// Maximum rate, in requests per second. It is above what any machine can send, and keeps a typing error from
/// exhausting memory.
pub const MAX_RATE: f64 = 10_000_000.0;

/// A rate over time. Times and durations are in seconds, rates in requests per second.
#[derive(Clone, Debug, PartialEq)]
pub enum Shape {
    /// A constant rate.
    Constant(f64),
    /// Changes linearly from one rate to another, then stays constant.
    Ramp {
        /// Rate at the start.
        from: f64,
        /// Rate at the end of the change.
        to: f64,
        /// Duration of the change.
        over: f64,
    },
    /// One rate until a point in time, then another.
    Step {
        /// Rate until then.
        before: f64,
        /// Rate from then on.
        after: f64,
        /// Time of the step.
        at: f64,
    },
    /// A burst, as during a marathon event: a base rate, a linear rise to a peak, a hold, and a linear fall back.
    Burst {
        /// Rate before and after the burst.
        base: f64,
        /// Rate during the hold.
        peak: f64,
        /// Start of the rise.
        at: f64,
        /// Duration of the rise and of the fall.
        edge: f64,
        /// Duration of the hold.
        hold: f64,
    },
    /// Alternates between on and off, starting with on.
    OnOff {
        /// Rate while on.
        rate: f64,
        /// Duration of an on period.
        on: f64,
        /// Duration of an off period.
        off: f64,
    },
    /// A daily cycle: a sine wave around a mean rate.
    Diurnal {
        /// Mean rate.
        mean: f64,
        /// Amplitude, as a share of the mean.
        swing: f64,
        /// Duration of a cycle.
        period: f64,
    },
    /// The sum of several shapes.
    Sum(Vec<Shape>),
}

impl Shape {
    /// Returns the rate at `t`.
    #[must_use]
    pub fn rate(&self, t: f64) -> f64 {
        match self {
            Self::Constant(rate) => *rate,
            Self::Ramp { from, to, over } => from + (to - from) * (t / over).min(1.0),
            Self::Step { before, after, at } => {
                if t < *at {
                    *before
                } else {
                    *after
                }
            }
            Self::Burst { base, peak, at, edge, hold } => {
                let into = t - at;
                let share = if into < 0.0 || into >= 2.0 * edge + hold {
                    0.0
                } else if into < *edge {
                    into / edge
                } else if into < edge + hold {
                    1.0
                } else {
                    1.0 - (into - edge - hold) / edge
                };
                base + (peak - base) * share
            }
            Self::OnOff { rate, on, off } => {
                if t % (on + off) < *on {
                    *rate
                } else {
                    0.0
                }
            }
            Self::Diurnal { mean, swing, period } => mean * (1.0 + swing * (TAU * t / period).sin()),
            Self::Sum(parts) => parts.iter().map(|part| part.rate(t)).sum(),
        }
    }

    /// Returns the expected number of requests from the start to `t`.
    #[must_use]
    pub fn integral(&self, t: f64) -> f64 {
        match self {
            Self::Constant(rate) => rate * t,
            Self::Ramp { from, to, over } => {
                let rise = t.min(*over);
                from * rise + (to - from) * rise * rise / (2.0 * over) + to * (t - rise)
            }
            Self::Step { before, after, at } => before * t.min(*at) + after * (t - at).max(0.0),
            Self::Burst { base, peak, at, edge, hold } => {
                let into = (t - at).max(0.0);
                let up = into.min(*edge);
                let top = (into - edge).clamp(0.0, *hold);
                let down = (into - edge - hold).clamp(0.0, *edge);
                let slope = |span: f64| if *edge > 0.0 { span * span / (2.0 * edge) } else { 0.0 };
                base * t + (peak - base) * (slope(up) + top + down - slope(down))
            }
            Self::OnOff { rate, on, off } => {
                let rounds = (t / (on + off)).floor();
                rate * (rounds * on + (t - rounds * (on + off)).min(*on))
            }
            Self::Diurnal { mean, swing, period } => {
                mean * (t + swing * period / TAU * (1.0 - (TAU * t / period).cos()))
            }
            Self::Sum(parts) => parts.iter().map(|part| part.integral(t)).sum(),
        }
    }

    /// Returns the first time at which the expected number of requests reaches `count`, given a time `from` at which it
    /// is lower; `None` if that is after `end`.
    #[must_use]
    pub fn time_of(&self, count: f64, from: f64, end: f64) -> Option<f64> {
        if self.integral(end) < count {
            return None;
        }
        let (mut low, mut high) = (from, end);
        // The next arrival is usually close, so the search starts with a small bracket that doubles.
        let mut step = (count - self.integral(from)).max(1e-9) / self.rate(from).max(1e-3);
        while low + step < end {
            if self.integral(low + step) >= count {
                high = low + step;
                break;
            }
            low += step;
            step *= 2.0;
        }
        while high - low > 1e-10 {
            let middle = low.midpoint(high);
            if middle <= low || middle >= high {
                break;
            }
            if self.integral(middle) >= count { high = middle } else { low = middle }
        }
        Some(high)
    }
}

/// Why a shape, rate or duration can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{text}`: {message}")]
pub struct ShapeError {
    text: String,
    message: String,
}

/// Parses a rate such as `500`, `500/s` or `6/min` into requests per second.
///
/// # Errors
/// If the text is not a number, the rate is below 0 or above [`MAX_RATE`], or the unit is unknown.
pub fn parse_rate(text: &str) -> Result<f64, ShapeError> {
    let error = |message: &str| ShapeError { text: text.into(), message: message.into() };
    let (number, per) = match text.split_once('/') {
        None => (text, 1.0),
        Some((number, "s")) => (number, 1.0),
        Some((number, "min")) => (number, 60.0),
        Some((number, "h")) => (number, 3_600.0),
        Some(_) => return Err(error("a rate has the form `500/s`, `6/min` or `1/h`")),
    };
    let number: f64 = number.trim().parse().map_err(|_| error("not a rate such as `500/s`"))?;
    let rate = number / per;
    if !(0.0..=MAX_RATE).contains(&rate) {
        return Err(error("a rate must be 0 to 10,000,000 per second"));
    }
    Ok(rate)
}

/// Parses a duration such as `500ms`, `10s`, `5min` or `1h`; the unit is required.
///
/// # Errors
/// If the text is not a number with a known unit, or the duration exceeds 366 days.
pub fn parse_duration(text: &str) -> Result<Nanos, ShapeError> {
    let error = |message: &str| ShapeError { text: text.into(), message: message.into() };
    let end = text
        .find(|c: char| !c.is_ascii_digit() && c != '.')
        .ok_or(error("a duration needs a unit, such as `10s`"))?;
    let (number, unit) = text.split_at(end);
    let unit = match unit {
        "us" => 1e3,
        "ms" => 1e6,
        "s" => 1e9,
        "min" => 60e9,
        "h" => 3_600e9,
        "d" => 86_400e9,
        _ => return Err(error("units of time are us, ms, s, min, h and d")),
    };
    let number: f64 = number.parse().map_err(|_| error("not a duration such as `10s`"))?;
    let span = number * unit;
    if span > 366.0 * 86_400e9 {
        return Err(error("a duration must not exceed 366 days"));
    }
    Ok(span as Nanos)
}

fn seconds(text: &str) -> Result<f64, ShapeError> {
    parse_duration(text).map(|span| span as f64 / SECOND as f64)
}

impl FromStr for Shape {
    type Err = ShapeError;

    /// Parses `constant:500/s`, `ramp:100,2000,30s`, `step:100,500,10s`, `burst:200,3000,5s,2s,4s` (base, peak, at,
    /// edge, hold), `onoff:500,2s,3s`, `diurnal:500,50%,60s`, and sums of them with `+`.
    fn from_str(text: &str) -> Result<Self, ShapeError> {
        if text.contains('+') {
            let parts = text.split('+').map(|part| part.trim().parse()).collect::<Result<_, _>>()?;
            return Ok(Self::Sum(parts));
        }
        let error = |message: &str| ShapeError { text: text.into(), message: message.into() };
        let (name, list) = text.split_once(':').unwrap_or((text, ""));
        let list: Vec<_> = list.split(',').map(str::trim).collect();
        let positive =
            |span: f64| if span > 0.0 { Ok(span) } else { Err(error("this duration must be above 0")) };
        Ok(match (name, &list[..]) {
            ("constant", [rate]) => Self::Constant(parse_rate(rate)?),
            ("ramp", [from, to, over]) => {
                Self::Ramp { from: parse_rate(from)?, to: parse_rate(to)?, over: positive(seconds(over)?)? }
            }
            ("step", [before, after, at]) => {
                Self::Step { before: parse_rate(before)?, after: parse_rate(after)?, at: seconds(at)? }
            }
            ("burst", [base, peak, at, edge, hold]) => Self::Burst {
                base: parse_rate(base)?,
                peak: parse_rate(peak)?,
                at: seconds(at)?,
                edge: positive(seconds(edge)?)?,
                hold: seconds(hold)?,
            },
            ("onoff", [rate, on, off]) => {
                Self::OnOff { rate: parse_rate(rate)?, on: positive(seconds(on)?)?, off: seconds(off)? }
            }
            ("diurnal", [mean, swing, period]) => {
                let swing = swing.strip_suffix('%').and_then(|swing| swing.parse::<f64>().ok());
                let swing = swing.filter(|swing| (0.0..=100.0).contains(swing));
                let swing = swing.ok_or_else(|| error("a swing must be `0%` to `100%`"))? / 100.0;
                Self::Diurnal { mean: parse_rate(mean)?, swing, period: positive(seconds(period)?)? }
            }
            ("constant" | "ramp" | "step" | "burst" | "onoff" | "diurnal", _) => {
                return Err(error("wrong number of values for this shape"));
            }
            _ => {
                return Err(error(
                    "unknown shape; shapes are constant, ramp, step, burst, onoff and diurnal",
                ));
            }
        })
    }
}
