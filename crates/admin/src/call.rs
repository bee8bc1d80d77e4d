//! The calls, one line each, and how they are answered.

use thiserror::Error;

/// Longest line of a call, its end included: the longest call and a name of [`LONGEST_NAME`] fit well.
pub const LONGEST_LINE: usize = 512;
/// Longest name of a server; list entries have some ten bytes.
pub const LONGEST_NAME: usize = 255;

/// All there are.
const CALLS: &str = "PING, INFO, DETACH ID, ATTACH ID, LAMEDUCK, REJOIN, TRACE, METRICS, FILTER LEVELS, \
    RECORD off|on|full, CONFIG, FLEET members, FLEET why NODE";

/// What is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process serves.
    Ping,
    /// The figures.
    Info,
    /// Take this server out.
    Detach(String),
    /// This server may serve again.
    Attach(String),
    /// Empty the node.
    LameDuck,
    /// Back to work.
    Rejoin,
    /// The recording, as a file.
    Trace,
    /// The figures, as OpenMetrics text.
    Metrics,
    /// What the log tells from now on.
    Filter(String),
    /// How much is recorded from now on.
    Record(Amount),
    /// The revision of the configuration in force, and its digest.
    Config,
    /// The fleet as this node sees it, as JSON.
    Members,
    /// Why a node is held for what it is, as JSON.
    WhyMember(String),
}

/// How much is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Amount {
    /// Nothing.
    Off,
    /// What is usual.
    On,
    /// All there is.
    Full,
}

/// Why a line is no call.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// It has too many bytes.
    #[error("a line has at most {LONGEST_LINE} bytes")]
    TooLong,
    /// Not text.
    #[error("not UTF-8")]
    NotText,
    /// Nothing there.
    #[error("an empty line; calls are {CALLS}")]
    Empty,
    /// No call of that name.
    #[error("no call `{0}`; calls are {CALLS}")]
    Unknown(String),
    /// The server is missing.
    #[error("{0} takes the id of one server")]
    NeedsServer(&'static str),
    /// What it takes is missing or another.
    #[error("{0} takes {1}")]
    Needs(&'static str, &'static str),
    /// More words than it takes.
    #[error("{0} takes nothing more")]
    TakesNothing(&'static str),
    /// The server's name can't be one.
    #[error("an id has at most {LONGEST_NAME} bytes, none of them a control character")]
    BadName,
}

impl Call {
    /// Reads a line, with or without its end.
    ///
    /// # Errors
    /// Why it is no call.
    pub fn parse(line: &[u8]) -> Result<Self, CallError> {
        if line.len() > LONGEST_LINE {
            return Err(CallError::TooLong);
        }
        let line = str::from_utf8(line).map_err(|_| CallError::NotText)?;
        let mut words = line.split_ascii_whitespace();
        let Some(name) = words.next() else { return Err(CallError::Empty) };
        let (server, rest) = (words.next(), words.next());
        let alone = |name, call| if server.is_some() { Err(CallError::TakesNothing(name)) } else { Ok(call) };
        let about = |name| match (server, rest) {
            (Some(server), None) if is_name(server) => Ok(server.to_owned()),
            (Some(_), None) => Err(CallError::BadName),
            _ => Err(CallError::NeedsServer(name)),
        };
        match name {
            "PING" => alone("PING", Self::Ping),
            "INFO" => alone("INFO", Self::Info),
            "LAMEDUCK" => alone("LAMEDUCK", Self::LameDuck),
            "REJOIN" => alone("REJOIN", Self::Rejoin),
            "DETACH" => about("DETACH").map(Self::Detach),
            "ATTACH" => about("ATTACH").map(Self::Attach),
            "TRACE" => alone("TRACE", Self::Trace),
            "METRICS" => alone("METRICS", Self::Metrics),
            "CONFIG" => alone("CONFIG", Self::Config),
            "FILTER" => match (server, rest) {
                (Some(levels), None) => Ok(Self::Filter(levels.to_owned())),
                _ => Err(CallError::Needs("FILTER", "levels, as `info` or `warn,discovery=debug`")),
            },
            "FLEET" => match (server, rest, words.next()) {
                (Some("members"), None, _) => Ok(Self::Members),
                (Some("why"), Some(node), None) if is_name(node) => Ok(Self::WhyMember(node.to_owned())),
                _ => Err(CallError::Needs("FLEET", "`members`, or `why` and a node")),
            },
            "RECORD" => match (server, rest) {
                (Some("off"), None) => Ok(Self::Record(Amount::Off)),
                (Some("on"), None) => Ok(Self::Record(Amount::On)),
                (Some("full"), None) => Ok(Self::Record(Amount::Full)),
                _ => Err(CallError::Needs("RECORD", "`off`, `on` or `full`")),
            },
            // What was sent goes back to a terminal: no longer than it helps, and nothing that steers it.
            other => Err(CallError::Unknown(other.chars().filter(|c| !c.is_control()).take(20).collect())),
        }
    }
}

fn is_name(text: &str) -> bool {
    text.len() <= LONGEST_NAME && !text.chars().any(char::is_control)
}

/// A yes, with what there is to say.
#[must_use]
pub fn yes(about: &str) -> String {
    if about.is_empty() { "OK\n".into() } else { format!("OK {about}\n") }
}

/// A no, with its reason.
#[must_use]
pub fn no(why: &str) -> String {
    format!("ERR {why}\n")
}
