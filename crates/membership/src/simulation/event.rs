//! Events of a simulation, ordered by virtual time.

use std::collections::BTreeMap;

use crate::Nanos;
use crate::probe::{SequenceNumber, StreamProbeOutcome};

/// An event at a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum SimEvent {
    /// A datagram arrives.
    Datagram { from: usize, bytes: Vec<u8> },
    /// A stream frame arrives from the node that opened the stream.
    Request { from: usize, purpose: StreamPurpose, bytes: Vec<u8> },
    /// A stream frame arrives from the node that accepted the stream.
    Reply { from: usize, purpose: StreamPurpose, bytes: Vec<u8> },
    /// A stream probe ends without a response.
    StreamProbeFailed { seq: SequenceNumber, outcome: StreamProbeOutcome },
    /// The node's timer fires.
    Timer,
}

/// The purpose for which a stream was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamPurpose {
    /// A push/pull exchange.
    PushPull,
    /// A stream probe.
    Probe(SequenceNumber),
}

/// An event with its time and node.
pub(super) struct Scheduled {
    pub(super) at: Nanos,
    pub(super) node: usize,
    pub(super) event: SimEvent,
}

/// Pending events. Events with equal times occur in the order in which they were scheduled.
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

    /// Removes and returns the next event, if it occurs no later than `end`.
    pub(super) fn pop_until(&mut self, end: Nanos) -> Option<Scheduled> {
        let next = self.events.first_entry()?;
        (next.get().at <= end).then(|| next.remove())
    }
}
