//! Formatting of log lines. A line is never longer than the maximum size of an atomic write to a pipe.

use std::fmt::{self, Write};

use pumicehead_flight_recorder::bounded_text::escape;
use rustix::pipe::PIPE_BUF;
use tracing::Level;
use tracing::field::{Field, Visit};

/// Maximum length of a message or field value in bytes; longer ones are truncated.
pub const MAX_FIELD_BYTES: usize = 2_048;
/// Maximum length of a line in bytes, including its line feed. Writes of up to this length to a pipe are atomic (POSIX,
/// `write`), so that lines of several processes that share standard error are never interleaved.
pub const MAX_LINE_BYTES: usize = PIPE_BUF;

/// Key of the target in JSON lines. Log pipelines depend on it.
const TARGET_KEY: &str = "room";

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Message and fields of a log event.
#[derive(Debug, Default)]
pub struct Fields {
    /// The message.
    pub message: String,
    /// Names and values of the other fields, in order of declaration.
    pub others: Vec<(&'static str, String)>,
}

impl Fields {
    /// Creates a message without other fields.
    pub fn with_message(message: String) -> Self {
        Self { message, others: Vec::new() }
    }

    fn add(&mut self, field: &Field, value: String) {
        if field.name() == "message" { self.message = value } else { self.others.push((field.name(), value)) }
    }
}

impl Visit for Fields {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.add(field, truncated(escape(value), MAX_FIELD_BYTES));
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        // `tracing` passes formatted messages to this method.
        self.add(field, truncated(without_control_characters(&format!("{value:?}")), MAX_FIELD_BYTES));
    }
}

/// Formats the line of an event at `unix_ms`, including its line feed, with at most [`MAX_LINE_BYTES`].
pub fn line(format: LogFormat, unix_ms: u64, level: Level, target: &str, fields: &Fields) -> String {
    let mut line = match format {
        LogFormat::Text => text_line(unix_ms, level, target, fields),
        LogFormat::Json => json_line(unix_ms, level, target, fields),
    };
    line = truncated(line, MAX_LINE_BYTES - 1);
    line.push('\n');
    line
}

/// Formats a line of plain text that is not an event, with the same maximum length.
pub fn plain_line(text: &str) -> String {
    let mut line = truncated(without_control_characters(text), MAX_LINE_BYTES - 1);
    line.push('\n');
    line
}

fn text_line(unix_ms: u64, level: Level, target: &str, fields: &Fields) -> String {
    let mut line = format!("{} {level:>5} {target}: {}", utc(unix_ms), fields.message);
    for (name, value) in &fields.others {
        let _ = write!(line, " {name}={value}");
    }
    line
}

/// Truncates the values until the object fits into a line, as a truncated line would not be valid JSON.
fn json_line(unix_ms: u64, level: Level, target: &str, fields: &Fields) -> String {
    let mut max_value_bytes = MAX_FIELD_BYTES;
    loop {
        let object = json_object(max_value_bytes, unix_ms, level, target, fields);
        if object.len() < MAX_LINE_BYTES || max_value_bytes == 0 {
            return object;
        }
        max_value_bytes /= 2;
    }
}

fn json_object(max_value_bytes: usize, unix_ms: u64, level: Level, target: &str, fields: &Fields) -> String {
    let value = |text: &String| truncated(text.clone(), max_value_bytes).into();
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

fn truncated(mut text: String, max_bytes: usize) -> String {
    text.truncate(text.floor_char_boundary(max_bytes));
    text
}

/// Formats Unix milliseconds as an RFC 3339 timestamp in UTC.
pub fn utc(unix_ms: u64) -> String {
    let (days, millis_of_day) = (unix_ms / 86_400_000, unix_ms % 86_400_000);
    // Counts days from 1 March 0000 in years that end with February, after Howard Hinnant's "chrono-compatible low-level
    // date algorithms".
    let shifted_days = days + 719_468;
    let (era, day_of_era) = (shifted_days / 146_097, shifted_days % 146_097);
    let year = (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year + year / 4 - year / 100);
    let month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month + 2) / 5 + 1;
    let month = if month < 10 { month + 3 } else { month - 9 };
    let year = era * 400 + year + u64::from(month <= 2);
    let (seconds, millis) = (millis_of_day / 1_000, millis_of_day % 1_000);
    let (hour, minute, second) = (seconds / 3_600, seconds / 60 % 60, seconds % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{millis:03}Z")
}
