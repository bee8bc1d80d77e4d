//! Filters: which levels of which targets are logged.

use std::str::FromStr;

use pumicehead_flight_recorder::bounded_text::escape;
use thiserror::Error;
use tracing_subscriber::filter::Targets;

/// Longest filter that is parsed, in bytes: a dozen targets with their levels.
const LONGEST_FILTER: usize = 300;
/// Most characters of a bad filter that its error repeats.
const LONGEST_QUOTE: usize = 60;
/// The filter in force until another one is set.
pub const USUAL: &str = "info";

/// A filter that can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is no filter: write levels, for all or for a room, such as `info` or `warn,discovery=debug`")]
pub struct BadFilter(String);

/// Parses a filter: a level, or levels of targets, separated by commas.
///
/// # Errors
/// [`BadFilter`].
pub fn filter(text: &str) -> Result<Targets, BadFilter> {
    let fault = || BadFilter(escape(&text.chars().take(LONGEST_QUOTE).collect::<String>()));
    if text.len() > LONGEST_FILTER || !text.split(',').all(is_directive) {
        return Err(fault());
    }
    Targets::from_str(text).map_err(|_| fault())
}

/// The library reads an empty part as "all", and a word that is no level as a target: neither is what was meant.
fn is_directive(part: &str) -> bool {
    const LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];
    let (target, level) = part.split_once('=').unwrap_or(("", part));
    let is_target = target.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"_:-".contains(&byte));
    is_target && LEVELS.contains(&level.to_ascii_lowercase().as_str())
}
