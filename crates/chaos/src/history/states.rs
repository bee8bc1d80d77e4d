//! States and outcomes in the events of a history. The serde attributes hold the stored names.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Class of a request, which decides whether a node may retry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestClass {
    /// Idempotent: may be executed any number of times.
    Read,
    /// Not idempotent: may be executed at most once.
    Submit,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "end")]
pub enum ClientOutcome {
    /// A complete response arrived.
    Answered {
        /// HTTP status.
        status: u16,
        /// Whether the body belongs to this request; true for every status other than 200.
        #[serde(rename = "own")]
        matches_request: bool,
    },
    /// The connection ended or broke before the response was complete.
    #[serde(rename = "broken")]
    ConnectionBroken,
    /// No connection could be opened.
    #[serde(rename = "no_connection")]
    ConnectFailed,
    /// No response arrived before the client's timeout, which is later than the deadline.
    #[serde(rename = "silent")]
    TimedOut,
}

impl ClientOutcome {
    /// Returns whether the client got a successful response that belongs to its request.
    #[must_use]
    pub fn is_success(self) -> bool {
        matches!(self, Self::Answered { status: 200, matches_request: true })
    }

    /// Returns whether the status says that the request was not executed and may be retried.
    #[must_use]
    pub fn is_rejected(self) -> bool {
        matches!(self, Self::Answered { status: 429 | 503, .. })
    }
}

/// Formats the outcome for the texts of violations, which keep the names of earlier versions.
impl fmt::Display for ClientOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered { status, matches_request } => {
                write!(formatter, "Answered {{ status: {status}, own: {matches_request} }}")
            }
            Self::ConnectionBroken => formatter.write_str("Broken"),
            Self::ConnectFailed => formatter.write_str("NoConnection"),
            Self::TimedOut => formatter.write_str("Silent"),
        }
    }
}

/// Health of an endpoint in discovery's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedHealth {
    /// Accepts new requests.
    Active,
    /// Accepts no new requests.
    #[serde(rename = "leaving")]
    Draining,
}

/// State of a member in another member's view, with the names that the nodes' admin command returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Its event loop is stalled.
    Stalled,
    /// May have failed.
    Suspect,
    /// Has failed.
    Dead,
    /// Announced that it leaves.
    Left,
}

/// Why a recording could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadFailure {
    /// The reader reported what is wrong with the file.
    #[serde(rename = "refused")]
    Rejected,
    /// The reader itself failed.
    #[serde(rename = "broke")]
    ReaderCrashed,
}

/// State of a process that a run started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessState {
    /// Started and listening.
    #[serde(rename = "up")]
    Running,
    /// Killed, or exited.
    Down,
    /// Paused by SIGSTOP; the kernel still accepts connections for it.
    #[serde(rename = "stalled")]
    Paused,
    /// Resumed by SIGCONT.
    Resumed,
    /// Got SIGTERM and has not exited yet.
    #[serde(rename = "ending")]
    Stopping,
}

impl ProcessState {
    /// Returns whether the process executes.
    #[must_use]
    pub fn is_running(self) -> bool {
        matches!(self, Self::Running | Self::Resumed)
    }
}
