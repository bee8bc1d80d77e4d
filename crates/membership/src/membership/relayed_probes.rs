//! Pings that this member sends as a helper in the indirect probes of others.

use std::net::SocketAddr;

use super::Membership;
use crate::Nanos;
use crate::probe::SequenceNumber;
use crate::record::MemberId;
use crate::wire::DatagramKind;

/// Maximum number of relayed probes in flight. Further requests are ignored.
const MAX_RELAYED_PROBES: usize = 64;

/// A ping on behalf of another member.
#[derive(Clone, Debug)]
pub(super) struct RelayedProbe {
    seq: SequenceNumber,
    requester: SocketAddr,
    requester_seq: SequenceNumber,
    target: MemberId,
    /// When the requester gets a nack.
    pub(super) expires_at: Nanos,
}

impl Membership {
    /// Pings a target on behalf of the requester.
    pub(super) fn relay_probe(
        &mut self,
        now: Nanos,
        requester: SocketAddr,
        requester_seq: SequenceNumber,
        target: MemberId,
    ) {
        let Some(to) = self.address_of_id(target) else { return };
        if self.relayed_probes.len() >= MAX_RELAYED_PROBES {
            return;
        }
        let seq = self.last_seq.advance();
        let expires_at = now + self.settings.probe_timeout;
        self.relayed_probes.push_back(RelayedProbe { seq, requester, requester_seq, target, expires_at });
        let ping = self.new_datagram(DatagramKind::Ping, seq, target);
        self.send_datagram(&ping, to);
    }

    /// Forwards an ack to the requester. Returns `false` if it does not belong to a relayed probe.
    pub(super) fn answer_relayed_probe(&mut self, sender: MemberId, seq: SequenceNumber) -> bool {
        let is_answered = |relayed: &RelayedProbe| relayed.seq == seq && relayed.target == sender;
        let Some(index) = self.relayed_probes.iter().position(is_answered) else { return false };
        let Some(relayed) = self.relayed_probes.remove(index) else { return false };
        let ack = self.new_datagram(DatagramKind::Ack, relayed.requester_seq, sender);
        self.send_datagram(&ack, relayed.requester);
        true
    }

    /// Sends nacks for relayed probes that were not answered in time.
    pub(super) fn expire_relayed_probes(&mut self, now: Nanos) {
        while let Some(relayed) = self.relayed_probes.pop_front_if(|relayed| relayed.expires_at <= now) {
            let nack = self.new_datagram(DatagramKind::Nack, relayed.requester_seq, relayed.target);
            self.send_datagram(&nack, relayed.requester);
        }
    }
}
