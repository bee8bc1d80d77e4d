//! Claims about this member itself: refuting them, yielding to a later process of the same name, and keeping node numbers
//! distinct.

use super::{Event, Membership, Output};
use crate::Nanos;
use crate::entry::MemberClaim;
use crate::record::{MemberId, Phase, VERSION_LIMIT};
use crate::state::MemberState;

impl Membership {
    pub(super) fn on_claim_about_self(&mut self, now: Nanos, claim: &MemberClaim) {
        let (claimed, own) = (claim.record().version(), self.record.version());
        if claimed.epoch > own.epoch {
            return self.on_later_epoch(now, claim);
        }
        if claimed.epoch < own.epoch {
            return self.on_earlier_epoch(now, claim);
        }
        let same_version = claimed == own;
        let is_other_process = same_version && claim.record().address != self.record.address;
        if is_other_process && claim.record().address > self.record.address {
            // Two processes chose the same epoch: the one with the greater address continues.
            return self.yield_to(claim);
        }
        let is_accused = same_version && claim.state > MemberState::Alive;
        if claimed.incarnation > own.incarnation || is_accused || is_other_process {
            let is_suspected = matches!(claim.state, MemberState::Suspect | MemberState::Dead);
            self.awareness.degrade(u8::from(is_suspected));
            self.refute(now, claimed.incarnation.0.max(own.incarnation.0));
        }
    }

    /// Publishes the record with an incarnation above the claimed one.
    fn refute(&mut self, now: Nanos, claimed_incarnation: u64) {
        self.update_record(now, |record| record.incarnation = claimed_incarnation.min(VERSION_LIMIT - 2));
    }

    /// The fleet knows a process of this name with a later epoch. After the join that is another process. Before it, it is an
    /// earlier one whose clock was ahead, and this one continues above it.
    fn on_later_epoch(&mut self, now: Nanos, claim: &MemberClaim) {
        let (next_epoch, number) = (claim.record().epoch + 1, claim.record().node_number);
        if self.joined || next_epoch >= VERSION_LIMIT {
            return self.yield_to(claim);
        }
        self.update_record(now, |record| {
            record.epoch = next_epoch;
            record.incarnation = 0;
            record.node_number = if record.node_number == 0 { number } else { record.node_number };
        });
    }

    /// The fleet knows an earlier process of this member: its node number stays with the name.
    fn on_earlier_epoch(&mut self, now: Nanos, claim: &MemberClaim) {
        let number = claim.record().node_number;
        if self.record.node_number == 0 && number != 0 {
            self.update_record(now, |record| record.node_number = number);
        } else {
            self.broadcasts.enqueue(self.id);
        }
    }

    fn yield_to(&mut self, claim: &MemberClaim) {
        self.stopped = true;
        let address = claim.record().address.clone();
        self.outputs.push_back(Output::Event(Event::Superseded { address }));
    }

    /// Where two members have one node number, the one with the greater id takes another.
    pub(super) fn resolve_number_conflict(&mut self, now: Nanos, id: MemberId) {
        let Some(entry) = self.table.get(id) else { return };
        let number = entry.record().node_number;
        let is_conflict =
            number != 0 && number == self.record.node_number && entry.record().phase() != Phase::Joining;
        if is_conflict && id < self.id {
            self.take_free_node_number(now);
        }
    }
}
