//! What happens in a simulation, in order of virtual time.

use std::collections::BTreeMap;

use crate::Nanos;
use crate::probe::{SequenceNumber, StreamProbeOutcome};

/// Something that reaches a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum SimEvent {
    /// A datagram arrives.
    Datagram { from: usize, bytes: Vec<u8> },
    /// A stream frame arrives from the node that opened the stream.
    Request { from: usize, purpose: StreamPurpose, bytes: Vec<u8> },
    /// A stream frame arrives from the node that accepted the stream.
    Reply { from: usize, purpose: StreamPurpose, bytes: Vec<u8> },
    /// A stream probe ends without an answer.
    StreamProbeFailed { seq: SequenceNumber, outcome: StreamProbeOutcome },
    /// The node's timer fires.
    Timer,
}

/// What a stream was opened for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamPurpose {
    /// A push/pull exchange.
    PushPull,
    /// A stream probe.
    Probe(SequenceNumber),
}

/// An event with its time and the node that it reaches.
pub(super) struct Scheduled {
    pub(super) at: Nanos,
    pub(super) node: usize,
    pub(super) event: SimEvent,
}

/// The events to come. Events of one time happen in the order in which they were scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    /// By time and sequence number.
    events: BTreeMap<(Nanos, u64), Scheduled>,
    last_sequence: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at: Nanos, node: usize, event: SimEvent) {
        self.last_sequence += 1;
        self.events.insert((at, self.last_sequence), Scheduled { at, node, event });
    }

    /// The next event, if it happens no later than `end`.
    pub(super) fn pop_until(&mut self, end: Nanos) -> Option<Scheduled> {
        let next = self.events.first_entry()?;
        (next.get().at <= end).then(|| next.remove())
    }
}
