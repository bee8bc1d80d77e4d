//! Kinds of records that the simulator sends: their codes and their names in the protocol.

/// Kind of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RecordKind {
    Begin,
    EndpointsUpdated,
    NewRequest,
    ResponseStarted,
    AttemptEnded,
    ClientDisconnected,
    TimerFired,
    ProbeAnswered,
    LoadReport,
    Killed,
    EndpointList,
}

impl RecordKind {
    /// Returns the kind with this code; `None` if the code is unknown.
    pub(crate) fn from_code(code: u8) -> Option<Self> {
        Some(match code {
            1 => Self::Begin,
            2 => Self::EndpointsUpdated,
            3 => Self::NewRequest,
            4 => Self::ResponseStarted,
            5 => Self::AttemptEnded,
            6 => Self::ClientDisconnected,
            7 => Self::TimerFired,
            8 => Self::ProbeAnswered,
            9 => Self::LoadReport,
            10 => Self::Killed,
            11 => Self::EndpointList,
            _ => return None,
        })
    }

    /// Returns the name of the record in the protocol's specification, which error messages contain.
    pub(crate) fn wire_name(self) -> &'static str {
        match self {
            Self::Begin => "begin",
            Self::EndpointsUpdated => "roster_change",
            Self::NewRequest => "new_request",
            Self::ResponseStarted => "streaming",
            Self::AttemptEnded => "ended",
            Self::ClientDisconnected => "timed_out_client",
            Self::TimerFired => "timeout_fired",
            Self::ProbeAnswered => "pong",
            Self::LoadReport => "note_from",
            Self::Killed => "killed",
            Self::EndpointList => "roster",
        }
    }
}
