//! What happened, by one clock: the file that a storm leaves and that checkers read.

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};

use serde::{Deserialize, Serialize};

use crate::Nanos;

/// What may be done with a request again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A read: as often as one likes.
    Read,
    /// A submit: its effect may happen once.
    Submit,
}

/// What a client saw last of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "end")]
pub enum End {
    /// An answer with this status; whether it was the one made for this request.
    Answered {
        /// The status.
        status: u16,
        /// A 200 whose body names another request is served with what nobody made for it.
        own: bool,
    },
    /// The connection ended or broke before a whole answer.
    Broken,
    /// No connection came up.
    NoConnection,
    /// Nothing came in the client's time, which has a margin beyond the deadline.
    Silent,
}

impl End {
    /// Whether it was served.
    #[must_use]
    pub fn is_served(self) -> bool {
        matches!(self, Self::Answered { status: 200, own: true })
    }

    /// Whether it was told that asking again is harmless.
    #[must_use]
    pub fn is_refused(self) -> bool {
        matches!(self, Self::Answered { status: 429 | 503, .. })
    }
}

/// How a server is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Listed {
    /// Takes work.
    Active,
    /// Wants nothing new.
    Leaving,
}

/// What a member holds another one for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Holds {
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
pub enum Unread {
    /// The reader said what is wrong with it.
    Refused,
    /// The reader itself broke.
    Broke,
}

/// What a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Started, and it listens.
    Up,
    /// Killed, or ended.
    Down,
    /// Stopped: it stands still and its kernel goes on.
    Stalled,
    /// Goes on after a stop.
    Resumed,
    /// Told to end in order.
    Ending,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum What {
    /// A client begins: the node that it asks, and how long it waits.
    Asked {
        /// The request, new for each.
        id: u64,
        /// Its class.
        class: Class,
        /// The node.
        node: usize,
        /// How long the client waits, in milliseconds.
        patience_ms: u64,
    },
    /// It has its end.
    Ended {
        /// The request.
        id: u64,
        /// How.
        #[serde(flatten)]
        end: End,
    },
    /// A server has the whole request and works on it.
    Effect {
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
    TurnedAway {
        /// The server.
        server: usize,
    },
    /// Discovery has written a change to a node's watch.
    Told {
        /// The node.
        node: usize,
        /// The server.
        server: usize,
        /// How it is listed now.
        listed: Listed,
    },
    /// A node's process.
    Node {
        /// The node.
        node: usize,
        /// What it is now.
        state: State,
    },
    /// A server's process.
    Server {
        /// The server.
        server: usize,
        /// Its process, by start.
        epoch: u32,
        /// What it is now.
        state: State,
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
    View {
        /// Whose.
        node: usize,
        /// The same where two hold the same.
        fingerprint: String,
        /// What each node is held for.
        holds: BTreeMap<usize, Holds>,
    },
    /// A recording that a node wrote, read with the shipped program.
    Recording {
        /// The node.
        node: usize,
        /// Its name.
        file: String,
        /// The storm had changed bytes of it.
        harmed: bool,
        /// How the reading ended; `None`: well.
        failed: Option<Unread>,
    },
    /// A node's process ended, and nobody had told it to.
    Crashed {
        /// The node.
        node: usize,
        /// How it ended.
        text: String,
    },
    /// What a node holds.
    Held {
        /// The node.
        node: usize,
        /// Descriptors.
        descriptors: u64,
        /// Memory, in KiB.
        memory_kib: u64,
    },
    /// The storm's own lag: how late its relay came to what it had to pass on, at most since the last.
    Lag {
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
    pub what: What,
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
