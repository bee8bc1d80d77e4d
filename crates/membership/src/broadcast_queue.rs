//! The queue of updates to piggyback on datagrams: those that were transmitted least come first.

use std::collections::BTreeSet;

use rustc_hash::FxHashMap;

use crate::Nanos;
use crate::record::MemberId;

/// Maximum number of queued updates. Beyond it the most transmitted ones are dropped; anti-entropy spreads them all the same.
const MAX_QUEUED: usize = 4_096;
/// Entries that are considered for one datagram, which holds about twelve.
const MAX_CONSIDERED: usize = 24;
/// Transmissions of an update beyond the logarithm of the fleet's size.
const EXTRA_TRANSMITS: u32 = 3;

/// Order of a queued update.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    /// How often it was transmitted.
    transmits: u32,
    /// Among those, the oldest first.
    sequence: u64,
}

/// Members whose entries are to be spread.
#[derive(Clone, Debug, Default)]
pub struct BroadcastQueue {
    positions: FxHashMap<MemberId, Position>,
    order: BTreeSet<(Position, MemberId)>,
    /// Updates about flapping members, held back until a time.
    delayed: BTreeSet<(Nanos, MemberId)>,
    last_sequence: u64,
}

impl BroadcastQueue {
    /// Queues an update about a member, in place of an older one.
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

    /// Queues an update about a member at a later time, in place of an older one.
    pub fn enqueue_at(&mut self, id: MemberId, at: Nanos) {
        self.remove(id);
        self.delayed.retain(|(_, other)| *other != id);
        self.delayed.insert((at, id));
    }

    /// Queues the delayed updates whose time has come.
    pub fn release_due(&mut self, now: Nanos) {
        while let Some(&(at, id)) = self.delayed.first()
            && at <= now
        {
            self.delayed.pop_first();
            self.enqueue(id);
        }
    }

    /// When the next delayed update is due.
    #[must_use]
    pub fn next_release(&self) -> Option<Nanos> {
        self.delayed.first().map(|(at, _)| *at)
    }

    /// Whether nothing is queued; delayed updates do not count.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Takes updates that fit into `budget` bytes and counts a transmission of each; one that reaches `transmit_limit` leaves
    /// the queue. `size` gives the encoded size of a member's entry, or `None` where it has none any more.
    pub fn take_for_datagram(
        &mut self,
        mut budget: usize,
        transmit_limit: u32,
        mut size: impl FnMut(MemberId) -> Option<usize>,
    ) -> Vec<MemberId> {
        let mut taken = Vec::new();
        let considered: Vec<_> = self.order.iter().map(|(_, id)| *id).take(MAX_CONSIDERED).collect();
        for id in considered {
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

/// How often each member transmits an update: a few times more than the gossip rounds in which it doubles through the fleet.
#[must_use]
pub fn retransmit_limit(members: usize) -> u32 {
    EXTRA_TRANSMITS + usize::BITS - members.leading_zeros()
}
