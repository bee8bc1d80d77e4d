//! Kinds of records that the simulator sends: their codes and their names on the wire.

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
    /// The kind with this code; `None` if there is none.
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

    /// The name that the wire's description gives the record; errors show it.
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
