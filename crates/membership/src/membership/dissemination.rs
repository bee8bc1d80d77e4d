//! Dissemination of updates: piggybacked on datagrams, and in gossip rounds.

use std::net::SocketAddr;

use prost::Message;

use super::{Membership, Output};
use crate::Nanos;
use crate::broadcast_queue::retransmit_limit;
use crate::probe::SequenceNumber;
use crate::record::MemberId;
use crate::settings::MAX_DATAGRAM_BYTES;
use crate::state::MemberState;
use crate::wire::{Datagram, DatagramKind, MAJOR, MINOR, WireEntry};

/// Bytes reserved in a datagram for everything except updates.
const HEADER_BYTES: usize = 64;

impl Membership {
    pub(super) fn new_datagram(&self, kind: DatagramKind, seq: SequenceNumber, target: MemberId) -> Datagram {
        Datagram {
            protocol_major: MAJOR,
            protocol_minor: MINOR,
            fleet_id: self.fleet_id.0,
            sender_id: self.id.0,
            sender_epoch: self.record.epoch,
            kind: kind as i32,
            seq: seq.0,
            target_id: target.0,
            record_unknown: false,
            updates: Vec::new(),
        }
    }

    /// Creates a datagram that only carries updates.
    pub(super) fn new_gossip(&self) -> Datagram {
        self.new_datagram(DatagramKind::Gossip, SequenceNumber(0), MemberId::default())
    }

    /// Sends queued updates to random members.
    pub(super) fn gossip_round(&mut self, now: Nanos) {
        if self.broadcasts.is_empty() {
            return;
        }
        for id in self.random_members(self.settings.gossip_fanout, |entry| entry.state == MemberState::Alive)
        {
            self.send_gossip(now, id);
        }
    }

    /// Sends queued updates to a member.
    pub(super) fn send_gossip(&mut self, now: Nanos, to: MemberId) {
        let datagram = self.new_gossip();
        self.send_to_member(now, datagram, to);
    }

    /// Sends a datagram with piggybacked updates to a member, if its address is known.
    pub(super) fn send_to_member(&mut self, now: Nanos, datagram: Datagram, to: MemberId) {
        if let Some(address) = self.address_of_id(to) {
            self.send_with_updates(now, datagram, address, Some(to), MAX_DATAGRAM_BYTES);
        }
    }

    /// Fills a datagram with updates up to a size and sends it. A claim that the receiver is not alive comes first, so that the
    /// receiver can refute it.
    pub(super) fn send_with_updates(
        &mut self,
        now: Nanos,
        mut datagram: Datagram,
        to: SocketAddr,
        receiver: Option<MemberId>,
        max_bytes: usize,
    ) {
        let mut budget = max_bytes.saturating_sub(HEADER_BYTES);
        if let Some(entry) = receiver.and_then(|id| self.claim_to_refute(now, id))
            && entry.embedded_len() <= budget
        {
            budget -= entry.embedded_len();
            datagram.updates.push(entry);
        }
        let table = &self.table;
        let encode = |id| table.get(id).map(|entry| entry.to_wire(now));
        let limit = retransmit_limit(table.active_count());
        let size = |id| encode(id).map(|entry| entry.embedded_len());
        let taken = self.broadcasts.take_for_datagram(budget, limit, size);
        datagram.updates.extend(taken.into_iter().filter_map(encode));
        self.send_datagram(&datagram, to);
    }

    /// Returns the entry of a member whose state is not alive, for that member to refute.
    pub(super) fn claim_to_refute(&self, now: Nanos, id: MemberId) -> Option<WireEntry> {
        let entry = self.table.get(id).filter(|entry| entry.state != MemberState::Alive)?;
        Some(entry.to_wire(now))
    }

    pub(super) fn send_datagram(&mut self, datagram: &Datagram, to: SocketAddr) {
        let bytes = datagram.encode_to_vec();
        self.bytes_sent += bytes.len() as u64;
        self.outputs.push_back(Output::Datagram { to, bytes });
    }
}
