//! A probe in flight, and how it ended.

use crate::Nanos;
use crate::record::{MemberId, RecordVersion};

/// Number of a probe, counted by the member that probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SequenceNumber(pub u32);

impl SequenceNumber {
    /// Advances to the next number and returns it.
    pub(crate) fn advance(&mut self) -> Self {
        self.0 = self.0.wrapping_add(1);
        *self
    }
}

/// How a probe over a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StreamProbeOutcome {
    /// The member answered.
    Answered,
    /// The connection was refused or reset: no process listens there.
    Refused,
    /// The connection was accepted, but nothing came back.
    NoResponse,
    /// The connection could not be established.
    Unreachable,
}

/// A probe in flight.
#[derive(Clone, Debug)]
pub struct Probe {
    /// The member that is probed.
    pub target: MemberId,
    /// Version of the target's record at the start; a newer one makes the probe moot.
    pub target_version: RecordVersion,
    /// The probe's number.
    pub seq: SequenceNumber,
    /// When the ping was sent.
    pub started_at: Nanos,
    /// When indirect probes and the stream probe are due.
    pub indirect_at: Nanos,
    /// Whether they were sent.
    pub indirect_sent: bool,
    /// Helpers that reported that the target does not answer them either.
    pub nacks: u8,
    /// Whether the target answered directly.
    pub direct_ack: bool,
    /// Whether the target answered a helper.
    pub indirect_ack: bool,
    /// How the stream probe ended; `None` until it has.
    pub stream_outcome: Option<StreamProbeOutcome>,
}

/// How a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The target answered this member.
    Reachable,
    /// The target answered helpers alone.
    ReachableIndirectly,
    /// The target's address refuses connections.
    Refused,
    /// The target's kernel accepts connections, but its process does not answer.
    Stalled,
    /// No answer at all.
    NoAnswer {
        /// Whether helpers sent nacks. Without any the fault may be this member's own.
        helpers_responded: bool,
    },
}

impl Probe {
    /// Whether indirect probes are still to be sent unless an ack comes.
    #[must_use]
    pub fn awaits_direct_ack(&self) -> bool {
        !self.indirect_sent && !self.direct_ack
    }

    /// How the probe ended, at the end of its interval.
    #[must_use]
    pub fn outcome(&self) -> ProbeOutcome {
        if self.direct_ack || self.stream_outcome == Some(StreamProbeOutcome::Answered) {
            return ProbeOutcome::Reachable;
        }
        if self.indirect_ack {
            return ProbeOutcome::ReachableIndirectly;
        }
        match self.stream_outcome {
            Some(StreamProbeOutcome::Refused) => ProbeOutcome::Refused,
            Some(StreamProbeOutcome::NoResponse) => ProbeOutcome::Stalled,
            _ => ProbeOutcome::NoAnswer { helpers_responded: !self.indirect_sent || self.nacks > 0 },
        }
    }
}
