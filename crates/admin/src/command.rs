//! Admin commands, one line each, and the first words of their replies.

use thiserror::Error;

/// Longest line of a command in bytes, its end included.
pub const MAX_LINE_BYTES: usize = 512;
/// Longest name of a backend or a node in bytes.
pub const MAX_NAME_BYTES: usize = 255;
/// Most characters of an unknown command that its error repeats.
const MAX_QUOTED_CHARS: usize = 20;

/// Usage of all commands.
const USAGE: &str = "PING, INFO, DETACH ID, ATTACH ID, LAMEDUCK, REJOIN, TRACE, METRICS, FILTER LEVELS, \
    RECORD off|on|full, CONFIG, FLEET members, FLEET why NODE";

/// A command of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// `PING`: whether this process serves.
    Ping,
    /// `INFO`: StatsD lines.
    Info,
    /// `DETACH ID`: disable a backend.
    DisableBackend(String),
    /// `ATTACH ID`: enable a backend again.
    EnableBackend(String),
    /// `LAMEDUCK`: put this node in lame-duck mode: clients are sent elsewhere.
    LameDuck,
    /// `REJOIN`: leave lame-duck mode.
    Rejoin,
    /// `TRACE`: the flight recording as a file.
    Recording,
    /// `METRICS`: OpenMetrics text.
    Metrics,
    /// `FILTER LEVELS`: change the log filter.
    LogFilter(String),
    /// `RECORD off|on|full`: change how much is recorded.
    RecordingLevel(RecordingLevel),
    /// `CONFIG`: revision and digest of the configuration in force.
    Config,
    /// `FLEET members`: the group of nodes as this node sees it, as JSON.
    Members,
    /// `FLEET why NODE`: why a node has its state, as JSON.
    ExplainMember(String),
}

/// How much is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordingLevel {
    /// Nothing.
    Off,
    /// The usual sample.
    On,
    /// Everything.
    Full,
}

/// Why a line is not a command.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommandError {
    /// More than [`MAX_LINE_BYTES`].
    #[error("a line has at most {MAX_LINE_BYTES} bytes")]
    TooLong,
    /// Not UTF-8.
    #[error("not UTF-8")]
    NotUtf8,
    /// An empty line.
    #[error("an empty line; calls are {USAGE}")]
    Empty,
    /// No command of that name.
    #[error("no call `{0}`; calls are {USAGE}")]
    Unknown(String),
    /// This command takes the name of one backend.
    #[error("{0} takes the id of one server")]
    MissingBackend(&'static str),
    /// The arguments are missing or not the expected ones.
    #[error("{command} takes {expected}")]
    InvalidArguments {
        /// The command.
        command: &'static str,
        /// What it takes.
        expected: &'static str,
    },
    /// This command takes no arguments.
    #[error("{0} takes nothing more")]
    UnexpectedArguments(&'static str),
    /// The name is too long or has control characters.
    #[error("an id has at most {MAX_NAME_BYTES} bytes, none of them a control character")]
    InvalidName,
}

impl Command {
    /// Parses a line, with or without its end.
    ///
    /// # Errors
    /// [`CommandError`].
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
            other => Err(CommandError::Unknown(quoted(other))),
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
        [backend] if is_name(backend) => Ok((*backend).to_owned()),
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
        ["why", node] if is_name(node) => Ok(Command::ExplainMember((*node).to_owned())),
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

fn is_name(text: &str) -> bool {
    text.len() <= MAX_NAME_BYTES && !text.chars().any(char::is_control)
}

/// The start of a word, without characters that would control the operator's terminal.
fn quoted(word: &str) -> String {
    word.chars().filter(|character| !character.is_control()).take(MAX_QUOTED_CHARS).collect()
}

/// The reply of a command that was carried out, with details where there are any.
#[must_use]
pub fn ok_reply(details: &str) -> String {
    if details.is_empty() { "OK\n".into() } else { format!("OK {details}\n") }
}

/// The reply of a command that failed, with the reason.
#[must_use]
pub fn error_reply(reason: &str) -> String {
    format!("ERR {reason}\n")
}
