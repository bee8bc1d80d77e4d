//! Recorded traffic: access logs in the Common or Combined Log Format, and the load generator's own format as CSV or
//! JSON lines.
//!
//! The own format has a line for each request: seconds since the start, method, path, length of the body in bytes.
//!
//! ```text
//! 0.000000,GET,/boards/any,0
//! {"at":0.25,"method":"POST","path":"/runs/7","body":120}
//! ```

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{Nanos, SECOND};

/// Maximum length of a line, in bytes.
const MAX_LINE_BYTES: usize = 64 << 10;
/// Maximum number of requests of a trace, counting copies; they take about 10 GB of memory.
const MAX_ENTRIES: usize = 50_000_000;
/// How far times may go backwards, in seconds: logs are written when requests end. Entries are sorted by time.
const MAX_BACKWARD_S: f64 = 60.0;
/// Largest jump ahead in time, in seconds. A longer one is either an error in the trace or an intended gap, which has
/// to be allowed explicitly.
const MAX_GAP_S: f64 = 6.0 * 3_600.0;

/// A recorded request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Time since the first request.
    pub at: Nanos,
    /// Method.
    pub method: String,
    /// Target.
    pub path: String,
    /// Length of the body, in bytes; 0 for access logs, which don't record it.
    pub body: usize,
}

/// Format of a trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Common or Combined Log Format.
    Log,
    /// The own format as CSV.
    Csv,
    /// The own format as JSON lines.
    Json,
}

/// How a trace is replayed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Replay {
    /// Factor by which time passes faster than in the trace.
    pub speed: f64,
    /// Number of times that each request is sent, spread over the time until the next request.
    pub copies: u32,
    /// Whether gaps of several hours are kept; otherwise they are errors.
    pub allow_gaps: bool,
}

/// Why a trace can't be read. Lines are numbered from 1.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TraceError {
    /// A line is malformed.
    #[error("line {line}: {message}")]
    Line {
        /// Number of the line.
        line: usize,
        /// Description of the error.
        message: &'static str,
    },
    /// Time goes backwards too far.
    #[error(
        "line {line}: time is {back} s before the latest earlier line; lines may be out of order by at most {MAX_BACKWARD_S} s"
    )]
    Backwards {
        /// Number of the line.
        line: usize,
        /// By how much, in whole seconds.
        back: u64,
    },
    /// Time jumps ahead too far.
    #[error("line {line}: time is {gap} s after the latest earlier line; allow gaps if this is intended")]
    Gap {
        /// Number of the line.
        line: usize,
        /// By how much, in whole seconds.
        gap: u64,
    },
    /// There are too many requests, counting copies.
    #[error("trace has more than {MAX_ENTRIES} requests, counting copies")]
    TooMany,
    /// There are no requests.
    #[error("trace contains no requests")]
    Empty,
    /// The speed or the number of copies is out of range.
    #[error("replay speed must be above 0 and at most 1,000, and copies must be 1 to 1,000")]
    InvalidReplay,
}

/// A line of the own format.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct JsonLine {
    at: f64,
    method: String,
    path: String,
    #[serde(default)]
    body: usize,
}

/// Returns the format of a trace, judged by its first non-empty line.
#[must_use]
pub fn format_of(text: &str) -> Format {
    let first = text.lines().find(|line| !line.trim().is_empty()).unwrap_or_default().trim_start();
    if first.starts_with('{') {
        Format::Json
    } else if first.contains('[') && first.contains('"') {
        Format::Log
    } else {
        Format::Csv
    }
}

/// Parses a trace and returns its requests sorted by time.
///
/// # Errors
/// If `replay` is out of range, the trace is empty or too long, or a line is malformed or has an implausible time.
pub fn parse(text: &str, replay: Replay) -> Result<Vec<Entry>, TraceError> {
    let is_valid = replay.speed > 0.0 && replay.speed <= 1_000.0 && (1..=1_000).contains(&replay.copies);
    if !is_valid {
        return Err(TraceError::InvalidReplay);
    }
    let format = format_of(text);
    let mut list: Vec<(f64, String, String, usize)> = Vec::new();
    let mut latest: Option<f64> = None;
    for (index, line) in text.lines().enumerate() {
        let number = index + 1;
        let message = |message| TraceError::Line { line: number, message };
        if line.len() > MAX_LINE_BYTES {
            return Err(message("longer than 64 KiB"));
        }
        if line.trim().is_empty() {
            continue;
        }
        let (at, method, path, body) = match format {
            Format::Log => parse_log_line(line).map_err(message)?,
            Format::Csv if index == 0 && line.starts_with("at,") => continue,
            Format::Csv => parse_csv_line(line).map_err(message)?,
            Format::Json => {
                let line: JsonLine = serde_json::from_str(line)
                    .map_err(|_| message("not a JSON object with at, method, path and body"))?;
                (line.at, line.method, line.path, line.body)
            }
        };
        if !at.is_finite() || at.abs() > 1e12 {
            return Err(message("invalid time"));
        }
        if method.is_empty() || method.parse::<hyper::Method>().is_err() {
            return Err(message("invalid method"));
        }
        if path.parse::<hyper::Uri>().is_err() || !path.starts_with('/') {
            return Err(message("invalid path"));
        }
        if let Some(latest) = latest {
            if at < latest - MAX_BACKWARD_S {
                return Err(TraceError::Backwards { line: number, back: (latest - at) as u64 });
            }
            if at > latest + MAX_GAP_S && !replay.allow_gaps {
                return Err(TraceError::Gap { line: number, gap: (at - latest) as u64 });
            }
        }
        latest = Some(latest.map_or(at, |latest| latest.max(at)));
        list.push((at, method, path, body));
        if list.len() * replay.copies as usize > MAX_ENTRIES {
            return Err(TraceError::TooMany);
        }
    }
    list.sort_by(|one, other| one.0.total_cmp(&other.0));
    let first = list.first().ok_or(TraceError::Empty)?.0;
    // Logs have a resolution of one second. Requests of the same second are spread over it, in order.
    if format == Format::Log {
        spread_equal_times(&mut list);
    }
    let mut entries = Vec::with_capacity(list.len() * replay.copies as usize);
    for index in 0..list.len() {
        let (at, method, path, body) = &list[index];
        let next = list.get(index + 1).map_or(*at, |next| next.0);
        for copy in 0..replay.copies {
            let at = at + (next - at) * f64::from(copy) / f64::from(replay.copies);
            let at = ((at - first) / replay.speed * SECOND as f64) as Nanos;
            entries.push(Entry { at, method: method.clone(), path: path.clone(), body: *body });
        }
    }
    Ok(entries)
}

/// Spreads entries with equal times evenly over one second, keeping their order.
fn spread_equal_times(list: &mut [(f64, String, String, usize)]) {
    let mut start = 0;
    while start < list.len() {
        let second = list[start].0;
        let same = list[start..].iter().take_while(|entry| entry.0 == second).count();
        for (index, entry) in list[start..start + same].iter_mut().enumerate() {
            entry.0 += index as f64 / same as f64;
        }
        start += same;
    }
}

fn parse_csv_line(line: &str) -> Result<(f64, String, String, usize), &'static str> {
    let parts: Vec<_> = line.trim_end().splitn(4, ',').collect();
    let [at, method, path, body] = parts[..] else { return Err("not `at,method,path,body`") };
    let at = at.trim().parse().map_err(|_| "invalid time")?;
    let body = body.trim().parse().map_err(|_| "body is not a number of bytes")?;
    Ok((at, method.trim().into(), path.trim().into(), body))
}

/// Parses a line of an access log: `host ident user [time] "METHOD path HTTP/x" status bytes ...`.
fn parse_log_line(line: &str) -> Result<(f64, String, String, usize), &'static str> {
    let (_, rest) = line.split_once('[').ok_or("no time between `[` and `]`")?;
    let (time, rest) = rest.split_once(']').ok_or("no time between `[` and `]`")?;
    let at = parse_log_time(time).ok_or("invalid time; the format is `10/Oct/2000:13:55:36 -0700`")?;
    let (_, rest) = rest.split_once('"').ok_or("no request in quotes")?;
    let (request, _) = rest.split_once('"').ok_or("no request in quotes")?;
    let mut words = request.split(' ');
    let (method, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    if !words.next().is_some_and(|version| version.starts_with("HTTP/")) || words.next().is_some() {
        return Err("request is not `METHOD path HTTP/x`");
    }
    Ok((at, method.into(), path.into(), 0))
}

/// Parses a time such as `10/Oct/2000:13:55:36 -0700` into Unix seconds.
fn parse_log_time(text: &str) -> Option<f64> {
    const MONTHS: [&str; 12] =
        ["Jan", "Feb", "Mar", "Apr", "May", "Jun", "Jul", "Aug", "Sep", "Oct", "Nov", "Dec"];
    let (clock, zone) = text.split_once(' ')?;
    let (date, time) = clock.split_once(':')?;
    let date: Vec<_> = date.split('/').collect();
    let time: Vec<_> = time.split(':').collect();
    let ([day, month, year], [hour, minute, second]) = (&date[..], &time[..]) else { return None };
    let month = MONTHS.iter().position(|name| name == month)? as i64 + 1;
    let number = |text: &str, min: i64, max: i64| {
        let digits = text.bytes().all(|b| b.is_ascii_digit());
        text.parse::<i64>().ok().filter(|n| digits && (min..=max).contains(n))
    };
    let (day, year) = (number(day, 1, 31)?, number(year, 1970, 9_999)?);
    let (hour, minute, second) = (number(hour, 0, 23)?, number(minute, 0, 59)?, number(second, 0, 60)?);
    let sign = match zone.as_bytes().first()? {
        b'+' => 1,
        b'-' => -1,
        _ => return None,
    };
    let zone = zone.get(1..).filter(|zone| zone.len() == 4)?;
    let offset = number(zone.get(..2)?, 0, 14)? * 3_600 + number(zone.get(2..)?, 0, 59)? * 60;
    // Days since 1970-01-01 in the Gregorian calendar, with years that start in March.
    let (y, m) = if month > 2 { (year, month - 3) } else { (year - 1, month + 9) };
    let days = 365 * y + y / 4 - y / 100 + y / 400 + (153 * m + 2) / 5 + day - 1 - 719_468;
    Some((days * 86_400 + hour * 3_600 + minute * 60 + second - sign * offset) as f64)
}

/// Formats requests in the own format as CSV.
#[must_use]
pub fn write_csv(entries: &[Entry]) -> String {
    use std::fmt::Write;
    let mut out = String::from("at,method,path,body\n");
    for entry in entries {
        let at = entry.at as f64 / SECOND as f64;
        let _ = writeln!(out, "{at:.6},{},{},{}", entry.method, entry.path, entry.body);
    }
    out
}
