//! This member's own record: changes to it, and leaving the fleet.

use prost::Message;

use super::Membership;
use crate::Nanos;
use crate::entry::{EncodedRecord, MemberClaim};
use crate::node_number::free_node_number;
use crate::record::{MemberRecord, Phase, VERSION_LIMIT};
use crate::settings::{LOAD_INTERVAL_PER_MEMBER, MIN_LOAD_INTERVAL};
use crate::state::MemberState;

impl Membership {
    /// Changes the own record and raises its incarnation, which refutes all claims about the previous one.
    pub(super) fn update_record(&mut self, now: Nanos, change: impl FnOnce(&mut MemberRecord)) {
        if self.stopped {
            return;
        }
        change(&mut self.record);
        self.record.incarnation = (self.record.incarnation + 1).min(VERSION_LIMIT - 1);
        self.publish_record(now);
    }

    /// Puts the own record into the table and queues it for broadcast.
    pub(super) fn publish_record(&mut self, now: Nanos) {
        let encoded = EncodedRecord::new(self.record.clone(), self.record.encode_to_vec());
        self.table.merge(&MemberClaim {
            encoded,
            state: MemberState::Alive,
            connection_refused: false,
            state_since: now as i64,
            reporter: self.id,
        });
        self.broadcasts.enqueue(self.id);
    }

    /// Announces the node's utilization in eighths, unless the last announcement was too recent. The interval between two
    /// announcements grows with the fleet, which limits the rate of updates in the whole fleet.
    pub fn set_load(&mut self, now: Nanos, eighths: u32) {
        let interval = MIN_LOAD_INTERVAL.max(LOAD_INTERVAL_PER_MEMBER * self.table.active_count() as u64);
        if self.record.load_eighths != eighths && now >= self.load_announced_at + interval {
            self.load_announced_at = now;
            self.update_record(now, |record| record.load_eighths = eighths);
        }
    }

    /// Announces that an operator drains this node, or has returned it to service.
    pub fn set_lame_duck(&mut self, now: Nanos, lame_duck: bool) {
        let phase = match (lame_duck, self.joined) {
            (true, _) => Phase::LameDuck,
            (false, true) => Phase::Serving,
            (false, false) => Phase::Joining,
        };
        if self.record.phase() != phase {
            self.update_record(now, |record| record.set_phase(phase));
        }
    }

    /// Announces to random members that this one leaves, and stops. The datagrams that this call outputs are the last.
    pub fn leave(&mut self, now: Nanos) {
        if self.stopped {
            return;
        }
        self.update_record(now, |_| {});
        if let Some(own) = self.table.get(self.id) {
            let left = MemberClaim { state: MemberState::Left, ..MemberClaim::from(own) };
            self.table.merge(&left);
        }
        self.broadcasts.enqueue(self.id);
        for id in self.random_members(2 * self.settings.gossip_fanout, |_| true) {
            self.send_gossip(now, id);
        }
        self.stopped = true;
    }

    /// Takes a free node number; see [`free_node_number`].
    pub(super) fn take_free_node_number(&mut self, now: Nanos) {
        let number = free_node_number(&self.table, self.id);
        if self.record.node_number != number {
            self.update_record(now, |record| record.node_number = number);
        }
    }
}
