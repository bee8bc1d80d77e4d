//! How many requests come, as a rate over time. Every shape knows the integral of its rate, so that arrivals can be
//! placed exactly, by inverting it.

use std::f64::consts::TAU;
use std::str::FromStr;

use thiserror::Error;

use crate::{Nanos, SECOND};

/// Highest rate, a second: above what any machine sends, it keeps a slip of the pen from filling memory.
pub const MOST_RATE: f64 = 10_000_000.0;

/// A rate over time; times and spans in seconds, rates a second.
#[derive(Clone, Debug, PartialEq)]
pub enum Shape {
    /// Always the same.
    Constant(f64),
    /// Evenly from one to another over a span, then the last.
    Ramp {
        /// At the start.
        from: f64,
        /// At the end.
        to: f64,
        /// How long it takes.
        over: f64,
    },
    /// One until a time, then another.
    Step {
        /// Until then.
        before: f64,
        /// From then on.
        after: f64,
        /// When.
        at: f64,
    },
    /// A marathon's burst: a base, an even rise to a peak, a hold, an even fall back.
    Burst {
        /// Before and after.
        base: f64,
        /// During the hold.
        peak: f64,
        /// When the rise begins.
        at: f64,
        /// How long rise and fall take, each.
        edge: f64,
        /// How long the peak holds.
        hold: f64,
    },
    /// On and off by turns, beginning with on.
    OnOff {
        /// While on.
        rate: f64,
        /// How long on.
        on: f64,
        /// How long off.
        off: f64,
    },
    /// A day's wave around a mean.
    Diurnal {
        /// The mean.
        mean: f64,
        /// How far the wave goes from it, as a share of it.
        swing: f64,
        /// How long a day is.
        period: f64,
    },
    /// All of them together.
    Sum(Vec<Shape>),
}

impl Shape {
    /// The rate at a time.
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

    /// How many requests come from the start to a time, on average.
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

    /// The first time at which so many have come, from a time at which fewer had; `None` where they don't come
    /// within `end`.
    #[must_use]
    pub fn time_of(&self, count: f64, from: f64, end: f64) -> Option<f64> {
        if self.integral(end) < count {
            return None;
        }
        let (mut low, mut high) = (from, end);
        // The next one is mostly near: the bracket grows from there.
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

/// A shape that is none.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{text}`: {fault}")]
pub struct ShapeError {
    text: String,
    fault: String,
}

/// A rate such as `500`, `500/s` or `6/min`, a second.
///
/// # Errors
/// No number, below 0, above [`MOST_RATE`], or another unit.
pub fn parse_rate(text: &str) -> Result<f64, ShapeError> {
    let fault = |fault: &str| ShapeError { text: text.into(), fault: fault.into() };
    let (number, per) = match text.split_once('/') {
        None => (text, 1.0),
        Some((number, "s")) => (number, 1.0),
        Some((number, "min")) => (number, 60.0),
        Some((number, "h")) => (number, 3_600.0),
        Some(_) => return Err(fault("rates are `500/s`, `6/min` or `1/h`")),
    };
    let number: f64 = number.trim().parse().map_err(|_| fault("no rate, such as `500/s`"))?;
    let rate = number / per;
    if !(0.0..=MOST_RATE).contains(&rate) {
        return Err(fault("a rate is 0 to 10,000,000 a second"));
    }
    Ok(rate)
}

/// A span such as `500ms`, `10s`, `5min` or `1h`; a unit is needed.
///
/// # Errors
/// No number, no unit, or more than a year.
pub fn parse_span(text: &str) -> Result<Nanos, ShapeError> {
    let fault = |fault: &str| ShapeError { text: text.into(), fault: fault.into() };
    let end = text
        .find(|c: char| !c.is_ascii_digit() && c != '.')
        .ok_or(fault("a time needs a unit, such as `10s`"))?;
    let (number, unit) = text.split_at(end);
    let unit = match unit {
        "us" => 1e3,
        "ms" => 1e6,
        "s" => 1e9,
        "min" => 60e9,
        "h" => 3_600e9,
        "d" => 86_400e9,
        _ => return Err(fault("units of time are us, ms, s, min, h and d")),
    };
    let number: f64 = number.parse().map_err(|_| fault("no time, such as `10s`"))?;
    let span = number * unit;
    if span > 366.0 * 86_400e9 {
        return Err(fault("longer than a year"));
    }
    Ok(span as Nanos)
}

fn seconds(text: &str) -> Result<f64, ShapeError> {
    parse_span(text).map(|span| span as f64 / SECOND as f64)
}

impl FromStr for Shape {
    type Err = ShapeError;

    /// `constant:500/s`, `ramp:100,2000,30s`, `step:100,500,10s`, `burst:200,3000,5s,2s,4s` (base, peak, when, edge, hold),
    /// `onoff:500,2s,3s`, `diurnal:500,50%,60s`, and sums of them with `+`.
    fn from_str(text: &str) -> Result<Self, ShapeError> {
        if text.contains('+') {
            let parts = text.split('+').map(|part| part.trim().parse()).collect::<Result<_, _>>()?;
            return Ok(Self::Sum(parts));
        }
        let fault = |fault: &str| ShapeError { text: text.into(), fault: fault.into() };
        let (name, list) = text.split_once(':').unwrap_or((text, ""));
        let list: Vec<_> = list.split(',').map(str::trim).collect();
        let positive = |span: f64| if span > 0.0 { Ok(span) } else { Err(fault("a span of 0")) };
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
                let swing = swing.ok_or_else(|| fault("a swing is `0%` to `100%`"))? / 100.0;
                Self::Diurnal { mean: parse_rate(mean)?, swing, period: positive(seconds(period)?)? }
            }
            ("constant" | "ramp" | "step" | "burst" | "onoff" | "diurnal", _) => {
                return Err(fault("another number of values than this shape takes"));
            }
            _ => return Err(fault("shapes are constant, ramp, step, burst, onoff and diurnal")),
        })
    }
}
