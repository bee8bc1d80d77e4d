//! What happened, by one clock: the file that a storm leaves and that checkers read.

use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, BufRead, Write};

use serde::{Deserialize, Serialize};

use crate::Nanos;

/// What may be done with a request again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestClass {
    /// A read: as often as one likes.
    Read,
    /// A submit: its effect may happen once.
    Submit,
}

/// What a client saw last of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "end")]
pub enum ClientOutcome {
    /// An answer with this status; whether it was the one made for this request.
    Answered {
        /// The status.
        status: u16,
        /// A 200 whose body names another request is served with what nobody made for it.
        #[serde(rename = "own")]
        matches_request: bool,
    },
    /// The connection ended or broke before a whole answer.
    #[serde(rename = "broken")]
    ConnectionBroken,
    /// No connection came up.
    #[serde(rename = "no_connection")]
    ConnectFailed,
    /// Nothing came in the client's time, which has a margin beyond the deadline.
    #[serde(rename = "silent")]
    TimedOut,
}

impl ClientOutcome {
    /// Whether it was served.
    #[must_use]
    pub fn is_served(self) -> bool {
        matches!(self, Self::Answered { status: 200, matches_request: true })
    }

    /// Whether it was told that asking again is harmless.
    #[must_use]
    pub fn is_rejected(self) -> bool {
        matches!(self, Self::Answered { status: 429 | 503, .. })
    }
}

/// The words of violations, which results of runs hold.
impl fmt::Display for ClientOutcome {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered { status, matches_request } => {
                write!(out, "Answered {{ status: {status}, own: {matches_request} }}")
            }
            Self::ConnectionBroken => out.write_str("Broken"),
            Self::ConnectFailed => out.write_str("NoConnection"),
            Self::TimedOut => out.write_str("Silent"),
        }
    }
}

/// How a server is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedHealth {
    /// Takes work.
    Active,
    /// Wants nothing new.
    #[serde(rename = "leaving")]
    Draining,
}

/// What a member holds another one for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It stands still.
    Stalled,
    /// It may be dead.
    Suspect,
    /// It is dead.
    Dead,
    /// It said that it goes.
    Left,
}

/// How the reading of a file ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadFailure {
    /// The reader said what is wrong with it.
    #[serde(rename = "refused")]
    Rejected,
    /// The reader itself broke.
    #[serde(rename = "broke")]
    ReaderCrashed,
}

/// What a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessState {
    /// Started, and it listens.
    #[serde(rename = "up")]
    Running,
    /// Killed, or ended.
    Down,
    /// Stopped: it stands still and its kernel goes on.
    #[serde(rename = "stalled")]
    Paused,
    /// Goes on after a stop.
    Resumed,
    /// Told to end in order.
    #[serde(rename = "ending")]
    Stopping,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum EventKind {
    /// A client begins: the node that it asks, and how long it waits.
    #[serde(rename = "asked")]
    RequestStarted {
        /// The request, new for each.
        id: u64,
        /// Its class.
        class: RequestClass,
        /// The node.
        node: usize,
        /// How long the client waits, in milliseconds.
        patience_ms: u64,
    },
    /// It has its end.
    #[serde(rename = "ended")]
    RequestEnded {
        /// The request.
        id: u64,
        /// How.
        #[serde(flatten)]
        end: ClientOutcome,
    },
    /// A server has the whole request and works on it.
    #[serde(rename = "effect")]
    RequestExecuted {
        /// The request.
        id: u64,
        /// The server.
        server: usize,
        /// Its process, by start: 0 is the first.
        epoch: u32,
        /// Who sent it, as it says of itself.
        via: String,
    },
    /// A server took nothing of a request, and said so.
    #[serde(rename = "turned_away")]
    RequestRejected {
        /// The server.
        server: usize,
    },
    /// Discovery has written a change to a node's watch.
    #[serde(rename = "told")]
    DiscoveryUpdate {
        /// The node.
        node: usize,
        /// The server.
        server: usize,
        /// How it is listed now.
        listed: ListedHealth,
    },
    /// A node's process.
    #[serde(rename = "node")]
    NodeState {
        /// The node.
        node: usize,
        /// What it is now.
        state: ProcessState,
    },
    /// A server's process.
    #[serde(rename = "server")]
    EndpointState {
        /// The server.
        server: usize,
        /// Its process, by start.
        epoch: u32,
        /// What it is now.
        state: ProcessState,
    },
    /// A fault begins or ends.
    Fault {
        /// Its place in the scenario.
        number: usize,
        /// In words.
        text: String,
        /// Begins, or ends.
        begins: bool,
        /// Nodes whose links or processes it concerns.
        nodes: Vec<usize>,
        /// The links concerned are those from clients.
        clients: bool,
        /// Servers that say what is not so while it lasts.
        #[serde(default)]
        liars: Vec<usize>,
    },
    /// A member's view has changed.
    #[serde(rename = "view")]
    MembershipView {
        /// Whose.
        node: usize,
        /// The same where two hold the same.
        fingerprint: String,
        /// What each node is held for.
        holds: BTreeMap<usize, MemberState>,
    },
    /// A recording that a node wrote, read with the shipped program.
    #[serde(rename = "recording")]
    RecordingRead {
        /// The node.
        node: usize,
        /// Its name.
        file: String,
        /// The storm had changed bytes of it.
        harmed: bool,
        /// How the reading ended; `None`: well.
        failed: Option<ReadFailure>,
    },
    /// A node's process ended, and nobody had told it to.
    #[serde(rename = "crashed")]
    NodeCrashed {
        /// The node.
        node: usize,
        /// How it ended.
        text: String,
    },
    /// What a node holds.
    #[serde(rename = "held")]
    ResourceUsage {
        /// The node.
        node: usize,
        /// Descriptors.
        descriptors: u64,
        /// Memory, in KiB.
        memory_kib: u64,
    },
    /// The storm's own lag: how late its relay came to what it had to pass on, at most since the last.
    #[serde(rename = "lag")]
    HarnessLag {
        /// Microseconds.
        most_us: u64,
    },
}

/// An event of the history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// When, from the start of the storm.
    pub at: Nanos,
    /// What.
    #[serde(flatten)]
    #[serde(rename = "what")]
    pub kind: EventKind,
}

/// All of it, in the order of time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    /// The events.
    pub events: Vec<Event>,
}

impl History {
    /// Puts events in order.
    #[must_use]
    pub fn of(mut events: Vec<Event>) -> Self {
        events.sort_by_key(|event| event.at);
        Self { events }
    }

    /// Writes one JSON object a line.
    ///
    /// # Errors
    /// Those of the writer.
    pub fn write(&self, to: &mut impl Write) -> io::Result<()> {
        for event in &self.events {
            serde_json::to_writer(&mut *to, event)?;
            to.write_all(b"\n")?;
        }
        to.flush()
    }

    /// Reads what was written.
    ///
    /// # Errors
    /// A line that is none of ours, with its number.
    pub fn read(from: impl BufRead) -> io::Result<Self> {
        let mut events = Vec::new();
        for (number, line) in from.lines().enumerate() {
            let event = serde_json::from_str(&line?).map_err(|error| {
                io::Error::new(io::ErrorKind::InvalidData, format!("line {}: {error}", number + 1))
            })?;
            events.push(event);
        }
        Ok(Self::of(events))
    }
}
