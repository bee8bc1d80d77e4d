//! Claims about this member itself: refuting them, stopping in favor of another process with the same name, and resolving
//! conflicts between node numbers.

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
            // Two processes have the same epoch: the one with the greater address continues.
            return self.yield_to(claim);
        }
        let is_accused = same_version && claim.state > MemberState::Alive;
        if claimed.incarnation > own.incarnation || is_accused || is_other_process {
            let is_suspected = matches!(claim.state, MemberState::Suspect | MemberState::Dead);
            self.awareness.degrade(u8::from(is_suspected));
            self.refute(now, claimed.incarnation.0.max(own.incarnation.0));
        }
    }

    /// Publishes the own record with an incarnation above the claimed one.
    fn refute(&mut self, now: Nanos, claimed_incarnation: u64) {
        self.update_record(now, |record| record.incarnation = claimed_incarnation.min(VERSION_LIMIT - 2));
    }

    /// Handles a claim about a process with this name and a later epoch. After the join it is another process, which supersedes
    /// this one. Before the join it is an earlier process whose clock was ahead, and this one continues with a higher epoch.
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

    /// Handles a claim about an earlier process of this member: takes over its node number if this process has none, and
    /// otherwise broadcasts the own record again.
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

    /// Resolves a conflict between this member and another one with the same node number: the one with the greater id takes a
    /// new number.
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
