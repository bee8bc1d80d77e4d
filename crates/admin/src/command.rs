//! Parsing of admin commands, one per line, and the `OK` and `ERR` reply lines.

use thiserror::Error;

/// Maximum length in bytes of a line that [`Command::parse`] accepts.
pub const MAX_LINE_BYTES: usize = 512;
/// Maximum length of a backend or node name in bytes.
pub const MAX_NAME_BYTES: usize = 255;
/// Maximum number of characters of an unknown command that the error message quotes.
const MAX_QUOTED_CHARS: usize = 20;

/// List of all commands, shown in error messages.
const USAGE: &str = "PING, INFO, DETACH ID, ATTACH ID, LAMEDUCK, REJOIN, TRACE, METRICS, FILTER LEVELS, \
    RECORD off|on|full, CONFIG, FLEET members, FLEET why NODE";

/// An admin command sent by an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// `PING`: report whether this process is serving.
    Ping,
    /// `INFO`: return statistics as StatsD lines.
    Info,
    /// `DETACH ID`: disable a backend.
    DisableBackend(String),
    /// `ATTACH ID`: re-enable a disabled backend.
    EnableBackend(String),
    /// `LAMEDUCK`: enter lame-duck mode, so that clients move to other nodes.
    LameDuck,
    /// `REJOIN`: leave lame-duck mode.
    Rejoin,
    /// `TRACE`: return the flight recording as the bytes of a recording file.
    Recording,
    /// `METRICS`: return metrics as OpenMetrics text.
    Metrics,
    /// `FILTER LEVELS`: change the log filter.
    LogFilter(String),
    /// `RECORD off|on|full`: change the recording level.
    RecordingLevel(RecordingLevel),
    /// `CONFIG`: return the revision and digest of the configuration in force.
    Config,
    /// `FLEET members`: return this node's view of the fleet as JSON.
    Members,
    /// `FLEET why NODE`: explain the state of a fleet member as JSON.
    ExplainMember(String),
}

/// How much the flight recorder records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordingLevel {
    /// Record nothing.
    Off,
    /// Record the default sample.
    On,
    /// Record everything.
    Full,
}

/// Why a line is not a valid command.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommandError {
    /// The line is longer than [`MAX_LINE_BYTES`].
    #[error("a line has at most {MAX_LINE_BYTES} bytes")]
    TooLong,
    /// The line is not valid UTF-8.
    #[error("not UTF-8")]
    NotUtf8,
    /// The line is empty.
    #[error("an empty line; calls are {USAGE}")]
    Empty,
    /// There is no command with this name.
    #[error("no call `{0}`; calls are {USAGE}")]
    Unknown(String),
    /// The command requires exactly one argument, a backend name.
    #[error("{0} takes the id of one server")]
    MissingBackend(&'static str),
    /// The arguments are missing or invalid.
    #[error("{command} takes {expected}")]
    InvalidArguments {
        /// The command.
        command: &'static str,
        /// Description of the expected arguments.
        expected: &'static str,
    },
    /// The command takes no arguments, but some were given.
    #[error("{0} takes nothing more")]
    UnexpectedArguments(&'static str),
    /// The backend name is too long or contains control characters.
    #[error("an id has at most {MAX_NAME_BYTES} bytes, none of them a control character")]
    InvalidName,
}

impl Command {
    /// Parses a command line, with or without its line ending.
    ///
    /// # Errors
    /// Returns a [`CommandError`] if the line is not a valid command.
    pub fn parse(line: &[u8]) -> Result<Self, CommandError> {
        if line.len() > MAX_LINE_BYTES {
            return Err(CommandError::TooLong);
        }
        let line = str::from_utf8(line).map_err(|_| CommandError::NotUtf8)?;
        let mut words = line.split_ascii_whitespace();
        let name = words.next().ok_or(CommandError::Empty)?;
        let arguments: Vec<&str> = words.collect();
        match name {
            "PING" => without_arguments("PING", Self::Ping, &arguments),
            "INFO" => without_arguments("INFO", Self::Info, &arguments),
            "LAMEDUCK" => without_arguments("LAMEDUCK", Self::LameDuck, &arguments),
            "REJOIN" => without_arguments("REJOIN", Self::Rejoin, &arguments),
            "TRACE" => without_arguments("TRACE", Self::Recording, &arguments),
            "METRICS" => without_arguments("METRICS", Self::Metrics, &arguments),
            "CONFIG" => without_arguments("CONFIG", Self::Config, &arguments),
            "DETACH" => backend_argument("DETACH", &arguments).map(Self::DisableBackend),
            "ATTACH" => backend_argument("ATTACH", &arguments).map(Self::EnableBackend),
            "FILTER" => parse_log_filter(&arguments),
            "FLEET" => parse_fleet(&arguments),
            "RECORD" => parse_recording_level(&arguments),
            other => Err(CommandError::Unknown(printable_prefix(other))),
        }
    }
}

fn without_arguments(
    name: &'static str,
    command: Command,
    arguments: &[&str],
) -> Result<Command, CommandError> {
    if arguments.is_empty() { Ok(command) } else { Err(CommandError::UnexpectedArguments(name)) }
}

fn backend_argument(name: &'static str, arguments: &[&str]) -> Result<String, CommandError> {
    match arguments {
        [backend] if is_valid_name(backend) => Ok((*backend).to_owned()),
        [_] => Err(CommandError::InvalidName),
        _ => Err(CommandError::MissingBackend(name)),
    }
}

fn parse_log_filter(arguments: &[&str]) -> Result<Command, CommandError> {
    match arguments {
        [levels] => Ok(Command::LogFilter((*levels).to_owned())),
        _ => Err(CommandError::InvalidArguments {
            command: "FILTER",
            expected: "levels, as `info` or `warn,discovery=debug`",
        }),
    }
}

fn parse_fleet(arguments: &[&str]) -> Result<Command, CommandError> {
    match arguments {
        ["members"] => Ok(Command::Members),
        ["why", node] if is_valid_name(node) => Ok(Command::ExplainMember((*node).to_owned())),
        _ => Err(CommandError::InvalidArguments {
            command: "FLEET",
            expected: "`members`, or `why` and a node",
        }),
    }
}

fn parse_recording_level(arguments: &[&str]) -> Result<Command, CommandError> {
    match arguments {
        ["off"] => Ok(Command::RecordingLevel(RecordingLevel::Off)),
        ["on"] => Ok(Command::RecordingLevel(RecordingLevel::On)),
        ["full"] => Ok(Command::RecordingLevel(RecordingLevel::Full)),
        _ => Err(CommandError::InvalidArguments { command: "RECORD", expected: "`off`, `on` or `full`" }),
    }
}

fn is_valid_name(text: &str) -> bool {
    text.len() <= MAX_NAME_BYTES && !text.chars().any(char::is_control)
}

/// Returns the first [`MAX_QUOTED_CHARS`] characters of a word without its control characters, which could act on the
/// operator's terminal.
fn printable_prefix(word: &str) -> String {
    word.chars().filter(|character| !character.is_control()).take(MAX_QUOTED_CHARS).collect()
}

/// Formats the reply to a successful command, with optional details.
#[must_use]
pub fn ok_reply(details: &str) -> String {
    if details.is_empty() { "OK\n".into() } else { format!("OK {details}\n") }
}

/// Formats the reply to a failed command.
#[must_use]
pub fn error_reply(reason: &str) -> String {
    format!("ERR {reason}\n")
}
