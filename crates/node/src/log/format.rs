//! Line formats. A line is never longer than what a pipe takes atomically.

use std::fmt::{self, Write};

use pumicehead_flight_recorder::bounded_text::escape;
use rustix::pipe::PIPE_BUF;
use tracing::Level;
use tracing::field::{Field, Visit};

/// Longest text of a message or a field in bytes; longer ones are cut.
pub const MAX_FIELD_BYTES: usize = 2_048;
/// Longest line in bytes, with its line feed. Writes of up to this length to a pipe are atomic (POSIX, `write`), so that
/// lines of processes that share standard error are never mixed.
pub const MAX_LINE_BYTES: usize = PIPE_BUF;

/// Key of the target in JSON lines, which log pipelines read.
const TARGET_KEY: &str = "room";

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object for each line.
    Json,
}

/// Message and fields of an event.
#[derive(Debug, Default)]
pub struct Fields {
    /// The message.
    pub message: String,
    /// Names and values of the other fields, in their order.
    pub others: Vec<(&'static str, String)>,
}

impl Fields {
    /// A message without fields.
    pub fn with_message(message: String) -> Self {
        Self { message, others: Vec::new() }
    }

    fn put(&mut self, field: &Field, value: String) {
        if field.name() == "message" { self.message = value } else { self.others.push((field.name(), value)) }
    }
}

impl Visit for Fields {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.put(field, cut(escape(value), MAX_FIELD_BYTES));
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        // The library passes formatted messages here.
        self.put(field, cut(without_control_characters(&format!("{value:?}")), MAX_FIELD_BYTES));
    }
}

/// The line of an event at `unix_ms`, with its line feed; at most [`MAX_LINE_BYTES`] long.
pub fn line(form: LogFormat, unix_ms: u64, level: Level, target: &str, fields: &Fields) -> String {
    let mut line = match form {
        LogFormat::Text => text(unix_ms, level, target, fields),
        LogFormat::Json => json(unix_ms, level, target, fields),
    };
    line = cut(line, MAX_LINE_BYTES - 1);
    line.push('\n');
    line
}

/// A line of plain text that is no event, with the same limit.
pub fn plain_line(text: &str) -> String {
    let mut line = cut(without_control_characters(text), MAX_LINE_BYTES - 1);
    line.push('\n');
    line
}

fn text(unix_ms: u64, level: Level, target: &str, fields: &Fields) -> String {
    let mut line = format!("{} {level:>5} {target}: {}", utc(unix_ms), fields.message);
    for (name, value) in &fields.others {
        let _ = write!(line, " {name}={value}");
    }
    line
}

/// Shortens the values until the object fits: a line that is cut would not be JSON.
fn json(unix_ms: u64, level: Level, target: &str, fields: &Fields) -> String {
    let mut longest_value = MAX_FIELD_BYTES;
    loop {
        let object = json_with(longest_value, unix_ms, level, target, fields);
        if object.len() < MAX_LINE_BYTES || longest_value == 0 {
            return object;
        }
        longest_value /= 2;
    }
}

fn json_with(longest_value: usize, unix_ms: u64, level: Level, target: &str, fields: &Fields) -> String {
    let value = |text: &String| cut(text.clone(), longest_value).into();
    let mut object = serde_json::Map::new();
    object.insert("time".into(), utc(unix_ms).into());
    object.insert("level".into(), level.to_string().into());
    object.insert(TARGET_KEY.into(), target.into());
    object.insert("message".into(), value(&fields.message));
    object.extend(fields.others.iter().map(|(name, text)| ((*name).to_owned(), value(text))));
    serde_json::Value::Object(object).to_string()
}

fn without_control_characters(text: &str) -> String {
    text.chars().map(|character| if character.is_control() { ' ' } else { character }).collect()
}

fn cut(mut text: String, longest: usize) -> String {
    text.truncate(text.floor_char_boundary(longest));
    text
}

/// Unix milliseconds as an RFC 3339 time in UTC.
pub fn utc(unix_ms: u64) -> String {
    let (days, of_day) = (unix_ms / 86_400_000, unix_ms % 86_400_000);
    // Days since 1 March 0000, in years that end with February ("chrono-compatible low-level date algorithms", Hinnant).
    let shifted = days + 719_468;
    let (era, of_era) = (shifted / 146_097, shifted % 146_097);
    let year = (of_era - of_era / 1_460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * year + year / 4 - year / 100);
    let month = (5 * of_year + 2) / 153;
    let day = of_year - (153 * month + 2) / 5 + 1;
    let month = if month < 10 { month + 3 } else { month - 9 };
    let year = era * 400 + year + u64::from(month <= 2);
    let (seconds, millis) = (of_day / 1_000, of_day % 1_000);
    let (hour, minute, second) = (seconds / 3_600, seconds / 60 % 60, seconds % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{millis:03}Z")
}
