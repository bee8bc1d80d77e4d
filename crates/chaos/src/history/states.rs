//! States and outcomes that events of a history carry. The stored names are in the serde attributes.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Class of a request, which decides whether a node may retry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestClass {
    /// Idempotent: may be executed any number of times.
    Read,
    /// Not idempotent: may be executed once at the most.
    Submit,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "end")]
pub enum ClientOutcome {
    /// A whole response came.
    Answered {
        /// HTTP status.
        status: u16,
        /// Whether the body is the one made for this request; true for every status other than 200.
        #[serde(rename = "own")]
        matches_request: bool,
    },
    /// The connection ended or broke before a whole response.
    #[serde(rename = "broken")]
    ConnectionBroken,
    /// No connection could be opened.
    #[serde(rename = "no_connection")]
    ConnectFailed,
    /// No response came before the client's timeout, which is some time after the deadline.
    #[serde(rename = "silent")]
    TimedOut,
}

impl ClientOutcome {
    /// Returns whether the client got the response to its own request.
    #[must_use]
    pub fn is_success(self) -> bool {
        matches!(self, Self::Answered { status: 200, matches_request: true })
    }

    /// Returns whether the status says that the request was not executed and may be repeated.
    #[must_use]
    pub fn is_rejected(self) -> bool {
        matches!(self, Self::Answered { status: 429 | 503, .. })
    }
}

/// Formats the outcome as the texts of violations hold it.
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
    /// Takes requests.
    Active,
    /// Wants no new requests.
    #[serde(rename = "leaving")]
    Draining,
}

/// State of a member in another member's view. Nodes answer with the same names.
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
    /// Started, and it listens.
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
