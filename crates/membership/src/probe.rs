//! A probe in flight and its outcome.

use crate::Nanos;
use crate::record::{MemberId, RecordVersion};

/// Sequence number of a probe, assigned by the probing member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SequenceNumber(pub u32);

impl SequenceNumber {
    /// Advances to the next sequence number and returns it.
    pub(crate) fn advance(&mut self) -> Self {
        self.0 = self.0.wrapping_add(1);
        *self
    }
}

/// Outcome of a probe over a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StreamProbeOutcome {
    /// The member answered.
    Answered,
    /// The connection was refused or reset: no process listens there.
    Refused,
    /// The connection was accepted, but no response arrived in time.
    NoResponse,
    /// The connection could not be established.
    Unreachable,
}

/// A probe in flight.
#[derive(Clone, Debug)]
pub struct Probe {
    /// The member that is probed.
    pub target: MemberId,
    /// Version of the target's record at the start. If the target publishes a newer one, the outcome is discarded.
    pub target_version: RecordVersion,
    /// Sequence number of the probe.
    pub seq: SequenceNumber,
    /// When the ping was sent.
    pub started_at: Nanos,
    /// When indirect probes and the stream probe are due.
    pub indirect_at: Nanos,
    /// Whether the indirect probes and the stream probe were sent.
    pub indirect_sent: bool,
    /// Number of nacks: helpers that got no answer from the target either. Set to 1 if there are no helpers.
    pub nacks: u8,
    /// Whether the target answered the ping directly.
    pub direct_ack: bool,
    /// Whether the target answered a helper.
    pub indirect_ack: bool,
    /// Outcome of the stream probe, if it has ended.
    pub stream_outcome: Option<StreamProbeOutcome>,
}

/// Outcome of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The target answered the probing member.
    Reachable,
    /// The target only answered helpers.
    ReachableIndirectly,
    /// The target's address refuses connections.
    Refused,
    /// The target's kernel accepts connections, but its process does not answer.
    Stalled,
    /// The target did not answer.
    NoAnswer {
        /// Whether any helper sent a nack, or none was asked. Otherwise the fault may be the probing member's own.
        helpers_responded: bool,
    },
}

impl Probe {
    /// Whether the probe still waits for a direct ack before it sends indirect probes.
    #[must_use]
    pub fn awaits_direct_ack(&self) -> bool {
        !self.indirect_sent && !self.direct_ack
    }

    /// Returns the outcome at the end of the probe interval.
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
