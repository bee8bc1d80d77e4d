//! Handling of received datagrams.

use std::net::SocketAddr;

use super::{Event, Membership, Output};
use crate::Nanos;
use crate::probe::SequenceNumber;
use crate::record::{Epoch, MemberId};
use crate::settings::MAX_DATAGRAM_BYTES;
use crate::state::MemberState;
use crate::wire::{Datagram, DatagramKind, ProtocolError};

/// Number of rejected peers whose address is kept, so that each is reported only once.
const MAX_REJECTED_PEERS: usize = 32;

/// The process that sent a datagram, compared with the one in the sender's table entry.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SenderProcess {
    /// The sender has no entry, or its entry is about an earlier process.
    Unknown,
    /// The sender's entry is about this process.
    Current,
    /// The sender's entry is about a later process.
    Outdated,
}

impl Membership {
    /// Handles a received datagram.
    pub fn on_datagram(&mut self, now: Nanos, from: SocketAddr, bytes: &[u8]) {
        self.detect_stall(now);
        if self.stopped {
            return;
        }
        let datagram = match Datagram::from_bytes(bytes, self.fleet_id) {
            Ok(datagram) => datagram,
            Err(error) => return self.report_rejected(from, &error),
        };
        let sender = MemberId(datagram.sender_id);
        if sender == self.id {
            // An own datagram that was looped back, or another process with this name; push/pull resolves that conflict.
            return;
        }
        self.last_received_at = now;
        let process = self.sender_process(&datagram);
        if process == SenderProcess::Current {
            self.record_contact(now, sender);
        }
        // While joining, updates may be as old as the table that this member dropped after a long stall. The push/pull exchange
        // of the join brings current ones.
        if self.joined {
            self.apply_entries(now, &datagram.updates);
        }
        self.dispatch_datagram(now, from, &datagram, process, bytes.len());
    }

    fn sender_process(&self, datagram: &Datagram) -> SenderProcess {
        let epoch = Epoch(datagram.sender_epoch);
        match self.table.get(MemberId(datagram.sender_id)).map(|entry| entry.record().version().epoch) {
            Some(known) if known == epoch => SenderProcess::Current,
            Some(known) if known > epoch => SenderProcess::Outdated,
            _ => SenderProcess::Unknown,
        }
    }

    /// Records that a datagram of a member's current process has arrived.
    fn record_contact(&mut self, now: Nanos, id: MemberId) {
        if let Some(entry) = self.table.get_mut(id) {
            entry.last_heard = now as i64;
            if entry.state == MemberState::Alive && !entry.reachable_from_here {
                self.set_reachable(id, true);
            }
        }
    }

    fn dispatch_datagram(
        &mut self,
        now: Nanos,
        from: SocketAddr,
        datagram: &Datagram,
        process: SenderProcess,
        received_bytes: usize,
    ) {
        let (sender, target) = (MemberId(datagram.sender_id), MemberId(datagram.target_id));
        let seq = SequenceNumber(datagram.seq);
        match DatagramKind::try_from(datagram.kind).unwrap_or(DatagramKind::Gossip) {
            DatagramKind::Gossip => {}
            DatagramKind::Ping => {
                let mut ack = self.new_datagram(DatagramKind::Ack, seq, self.id);
                ack.record_unknown = process == SenderProcess::Unknown;
                let receiver = (process == SenderProcess::Current).then_some(sender);
                // The source address may be forged. The ack is no larger than the ping, which prevents amplification.
                self.send_with_updates(now, ack, from, receiver, received_bytes.min(MAX_DATAGRAM_BYTES));
            }
            DatagramKind::IndirectPing if target != self.id => self.relay_probe(now, from, seq, target),
            DatagramKind::IndirectPing => {}
            DatagramKind::Ack => {
                self.on_ack(now, sender, seq, target);
                if datagram.record_unknown {
                    self.broadcasts.enqueue(self.id);
                    self.send_gossip(now, sender);
                }
            }
            DatagramKind::Nack => self.on_nack(seq, target),
        }
    }

    fn on_ack(&mut self, now: Nanos, sender: MemberId, seq: SequenceNumber, target: MemberId) {
        if self.answer_relayed_probe(sender, seq) {
            return;
        }
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == seq && probe.target == target) {
            if sender == target {
                probe.direct_ack = true;
            } else {
                probe.indirect_ack = true;
            }
            return;
        }
        // A member that is considered dead or left has answered, for instance to a reconnect ping.
        if self.table.get(sender).is_some_and(|entry| !entry.state.is_active()) {
            self.push_pull_with(now, sender);
        }
    }

    fn on_nack(&mut self, seq: SequenceNumber, target: MemberId) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == seq && probe.target == target) {
            probe.nacks = probe.nacks.saturating_add(1);
        }
    }

    /// Reports a message of another fleet or major version, once per address.
    pub(super) fn report_rejected(&mut self, address: SocketAddr, error: &ProtocolError) {
        let is_foreign =
            matches!(error, ProtocolError::OtherFleet | ProtocolError::UnsupportedVersion { .. });
        if !is_foreign || self.rejected_peers.contains(&address) {
            return;
        }
        self.rejected_peers.push_back(address);
        if self.rejected_peers.len() > MAX_REJECTED_PEERS {
            self.rejected_peers.pop_front();
        }
        let event = Event::PeerRejected { address, error: error.clone() };
        self.outputs.push_back(Output::Event(event));
    }
}
