//! The log filter, which selects the levels that are logged for each target.

use std::str::FromStr;

use pumicehead_flight_recorder::bounded_text::escape;
use thiserror::Error;
use tracing_subscriber::filter::Targets;

/// Maximum length of a filter in bytes, enough for a dozen targets with their levels.
const MAX_FILTER_BYTES: usize = 300;
/// Maximum number of characters of an invalid filter that the error message quotes.
const MAX_QUOTED_CHARS: usize = 60;
/// The filter at process start.
pub const DEFAULT_FILTER: &str = "info";

/// Renamed targets, as (former name, current name). Filters in configuration files may still use the former names.
const FORMER_TARGETS: [(&str, &str); 1] = [("calls", "admin")];

/// The text is not a valid filter.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is no filter: write levels, for all or for a room, such as `info` or `warn,discovery=debug`")]
pub struct FilterError(String);

/// Parses a filter: comma-separated directives, each a level or `TARGET=LEVEL`.
///
/// # Errors
/// Returns [`FilterError`] if the text is too long or a directive is invalid.
pub fn parse_filter(text: &str) -> Result<Targets, FilterError> {
    let invalid = || FilterError(escape(&text.chars().take(MAX_QUOTED_CHARS).collect::<String>()));
    if text.len() > MAX_FILTER_BYTES || !text.split(',').all(is_directive) {
        return Err(invalid());
    }
    let directives: Vec<_> = text.split(',').map(with_current_target).collect();
    Targets::from_str(&directives.join(",")).map_err(|_| invalid())
}

/// Replaces the former name of a renamed target by the current one.
fn with_current_target(directive: &str) -> String {
    for (former, current) in FORMER_TARGETS {
        if let Some(level) = directive.strip_prefix(former).filter(|rest| rest.starts_with('=')) {
            return format!("{current}{level}");
        }
    }
    directive.to_owned()
}

/// Whether a part is a level or `TARGET=LEVEL`. [`Targets`] would take an empty part for "all levels" and an unknown level
/// for a target name; here both are errors.
fn is_directive(part: &str) -> bool {
    const LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];
    let (target, level) = part.split_once('=').unwrap_or(("", part));
    let is_target = target.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"_:-".contains(&byte));
    is_target && LEVELS.contains(&level.to_ascii_lowercase().as_str())
}
