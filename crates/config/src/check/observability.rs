//! The block `observe`: logging, recording and the admin listener.

use std::net::SocketAddr;
use std::path::PathBuf;

use super::Checker;
use super::block_reader::BlockReader;
use super::values::{socket_address, within};
use crate::keywords::LOG_FORMS;
use crate::model::{Observability, Spanned};
use crate::units::{ValueError, parse_size};

/// Log levels, from the fewest lines to the most.
const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];
/// Longest log filter, in bytes.
const MAX_LOG_FILTER_BYTES: usize = 300;
/// Default memory of the flight recorder, in bytes.
const DEFAULT_RECORDER_BYTES: u64 = 1 << 20;

/// The default settings.
pub(super) fn default_observability() -> Observability {
    Observability {
        admin_address: None,
        log_filter: "info".into(),
        log_json: false,
        recorder_bytes: DEFAULT_RECORDER_BYTES,
        recording_directory: PathBuf::new(),
    }
}

impl Checker<'_> {
    pub(super) fn observability(&mut self, block: &BlockReader<'_>) -> Spanned<Observability> {
        let mut settings = default_observability();
        let log_json = self.choice_or(block, "log-form", "is neither `text` nor `json`", &LOG_FORMS, false);
        settings.log_json = log_json.unwrap_or(false);
        let admin = |text: &str| text.parse::<SocketAddr>().or_else(|_| socket_address(text)).map(Some);
        settings.admin_address = self.parsed(block, "calls", None, admin).flatten();
        if let Some(filter) = self.parsed(block, "log", settings.log_filter.clone(), parse_log_filter) {
            settings.log_filter = filter;
        }
        let recorder = self.parsed(block, "recorder", DEFAULT_RECORDER_BYTES, parse_recorder_size);
        settings.recorder_bytes = recorder.unwrap_or(DEFAULT_RECORDER_BYTES);
        let directory = self.parsed(block, "recordings", PathBuf::new(), parse_directory);
        settings.recording_directory = directory.unwrap_or_default();
        Spanned { value: settings, spans: block.spans.clone() }
    }
}

/// Parses a list of log levels, separated by commas, each for all targets or for one: `warn,discovery=debug`.
fn parse_log_filter(text: &str) -> Result<String, ValueError> {
    let is_level = |part: &str| {
        let (target, level) = part.split_once('=').unwrap_or(("", part));
        LOG_LEVELS.contains(&level)
            && target.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"_-".contains(&byte))
    };
    if text.len() <= MAX_LOG_FILTER_BYTES && text.split(',').all(is_level) {
        return Ok(text.to_owned());
    }
    Err(ValueError {
        code: "bad-levels",
        message: format!("`{text}` is not a valid list of log levels"),
        help: Some(
            "write a level such as `info`, or add levels for targets, as in `warn,discovery=debug`".into(),
        ),
    })
}

/// Parses a size in bytes, or `off`, which is 0.
fn parse_recorder_size(text: &str) -> Result<u64, ValueError> {
    match text {
        "off" => Ok(0),
        text => within(parse_size, "64KiB", "1GiB")(text),
    }
}

fn parse_directory(text: &str) -> Result<PathBuf, ValueError> {
    if text.starts_with('/') && !text.contains('\0') {
        return Ok(text.into());
    }
    let message = format!("`{text}` is not an absolute path of a directory");
    Err(ValueError { code: "bad-path", message, help: None })
}
