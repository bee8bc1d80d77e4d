//! The queue of updates to piggyback on datagrams, ordered by number of transmissions, the least transmitted first.

use std::collections::BTreeSet;

use rustc_hash::FxHashMap;

use crate::Nanos;
use crate::record::MemberId;

/// Maximum number of queued updates. If it is exceeded, the most transmitted update is dropped; anti-entropy still spreads it.
const MAX_QUEUED: usize = 4_096;
/// Maximum number of updates considered for one datagram, which has space for about twelve.
const MAX_CANDIDATES: usize = 24;
/// Number of transmissions of an update beyond the binary logarithm of the fleet size.
const EXTRA_TRANSMITS: u32 = 3;

/// Position of an update in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    /// Number of transmissions so far.
    transmits: u32,
    /// Orders updates with equally many transmissions, the oldest first.
    sequence: u64,
}

/// Members whose table entries have to be sent to other members.
#[derive(Clone, Debug, Default)]
pub struct BroadcastQueue {
    positions: FxHashMap<MemberId, Position>,
    order: BTreeSet<(Position, MemberId)>,
    /// Delayed updates about flapping members, by release time.
    delayed: BTreeSet<(Nanos, MemberId)>,
    last_sequence: u64,
}

impl BroadcastQueue {
    /// Queues an update about a member, replacing a queued one.
    pub fn enqueue(&mut self, id: MemberId) {
        self.remove(id);
        self.last_sequence += 1;
        self.insert(id, Position { transmits: 0, sequence: self.last_sequence });
        if self.order.len() > MAX_QUEUED
            && let Some(&(_, last)) = self.order.last()
        {
            self.remove(last);
        }
    }

    /// Queues an update about a member at a later time, replacing a queued or delayed one.
    pub fn enqueue_at(&mut self, id: MemberId, at: Nanos) {
        self.remove(id);
        self.delayed.retain(|(_, other)| *other != id);
        self.delayed.insert((at, id));
    }

    /// Queues the delayed updates that are due.
    pub fn release_due(&mut self, now: Nanos) {
        while let Some(&(at, id)) = self.delayed.first()
            && at <= now
        {
            self.delayed.pop_first();
            self.enqueue(id);
        }
    }

    /// Returns when the next delayed update is due.
    #[must_use]
    pub fn next_release(&self) -> Option<Nanos> {
        self.delayed.first().map(|(at, _)| *at)
    }

    /// Whether no update is queued; delayed updates do not count.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Selects updates that fit into `budget` bytes and counts one transmission of each. Updates that reach `transmit_limit` are
    /// removed from the queue. `size` returns the encoded size of a member's entry, or `None` if the entry no longer exists.
    pub fn take_for_datagram(
        &mut self,
        mut budget: usize,
        transmit_limit: u32,
        mut size: impl FnMut(MemberId) -> Option<usize>,
    ) -> Vec<MemberId> {
        let mut taken = Vec::new();
        let candidates: Vec<_> = self.order.iter().map(|(_, id)| *id).take(MAX_CANDIDATES).collect();
        for id in candidates {
            let Some(bytes) = size(id) else {
                self.remove(id);
                continue;
            };
            if bytes > budget {
                continue;
            }
            budget -= bytes;
            taken.push(id);
            self.count_transmit(id, transmit_limit);
        }
        taken
    }

    fn count_transmit(&mut self, id: MemberId, transmit_limit: u32) {
        if let Some(position) = self.remove(id)
            && position.transmits + 1 < transmit_limit
        {
            self.insert(id, Position { transmits: position.transmits + 1, ..position });
        }
    }

    fn insert(&mut self, id: MemberId, position: Position) {
        self.positions.insert(id, position);
        self.order.insert((position, id));
    }

    fn remove(&mut self, id: MemberId) -> Option<Position> {
        let position = self.positions.remove(&id)?;
        self.order.remove(&(position, id));
        Some(position)
    }
}

/// Returns how often each member transmits an update: the number of gossip rounds in which an update reaches the whole fleet if
/// its reach doubles each round, and a few more.
#[must_use]
pub fn retransmit_limit(members: usize) -> u32 {
    EXTRA_TRANSMITS + usize::BITS - members.leading_zeros()
}
