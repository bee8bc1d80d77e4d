//! The log filter: which levels of which targets are logged.

use std::str::FromStr;

use pumicehead_flight_recorder::bounded_text::escape;
use thiserror::Error;
use tracing_subscriber::filter::Targets;

/// Longest filter in bytes, enough for a dozen targets with their levels.
const MAX_FILTER_BYTES: usize = 300;
/// Characters of an invalid filter that its error repeats.
const MAX_QUOTED_CHARS: usize = 60;
/// The filter at the start of a process.
pub const DEFAULT_FILTER: &str = "info";

/// Targets by their former names, which filters in configuration files may use.
const FORMER_TARGETS: [(&str, &str); 1] = [("calls", "admin")];

/// The text is not a filter.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is no filter: write levels, for all or for a room, such as `info` or `warn,discovery=debug`")]
pub struct FilterError(String);

/// Parses a filter: a level, or levels of targets, separated by commas.
///
/// # Errors
/// [`FilterError`].
pub fn parse_filter(text: &str) -> Result<Targets, FilterError> {
    let invalid = || FilterError(escape(&text.chars().take(MAX_QUOTED_CHARS).collect::<String>()));
    if text.len() > MAX_FILTER_BYTES || !text.split(',').all(is_directive) {
        return Err(invalid());
    }
    let directives: Vec<_> = text.split(',').map(with_present_target).collect();
    Targets::from_str(&directives.join(",")).map_err(|_| invalid())
}

/// A directive with its target's present name.
fn with_present_target(directive: &str) -> String {
    for (former, present) in FORMER_TARGETS {
        if let Some(level) = directive.strip_prefix(former).filter(|rest| rest.starts_with('=')) {
            return format!("{present}{level}");
        }
    }
    directive.to_owned()
}

/// Whether a part is a level or `TARGET=LEVEL`. The library takes an empty part for "all" and an unknown level for a target,
/// both of which are mistakes here.
fn is_directive(part: &str) -> bool {
    const LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];
    let (target, level) = part.split_once('=').unwrap_or(("", part));
    let is_target = target.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"_:-".contains(&byte));
    is_target && LEVELS.contains(&level.to_ascii_lowercase().as_str())
}
