//! Comparing whole views over streams, and joining, which is the first time.
//!
//! Who begins sends its fingerprint and its own entry. The other one says that its own is the same, or gives the fingerprints
//! of the parts. Who began sends its entries of the parts that differ, and gets those of the other. Neither keeps anything
//! between two frames: what is merged counts the same whenever it comes.

use std::net::SocketAddr;

use prost::Message;

use super::{Event, JOIN, Membership, Output};
use crate::Nanos;
use crate::card::{MemberId, Phase};
use crate::settings::MAX_FRAME_BYTES;
use crate::state::MemberState;
use crate::table::PARTITIONS;
use crate::wire::{ProtocolError, WireEntry, Frame, DatagramKind, MAJOR, MINOR, FrameKind};

/// What a frame came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamAction {
    /// This goes back.
    Reply(Vec<u8>),
    /// It is over.
    Close,
}

/// Bytes of entries in one frame; what does not fit comes with the next comparison.
const MOST_ENTRIES: usize = MAX_FRAME_BYTES - 4_096;

impl Membership {
    pub(super) fn frame(&self, step: FrameKind) -> Frame {
        Frame {
            protocol_major: MAJOR,
            protocol_minor: MINOR,
            fleet_id: self.fleet,
            sender_id: self.me.0,
            sender_epoch: self.card.epoch,
            kind: step as i32,
            ..Frame::default()
        }
    }

    /// The first frame of a comparison.
    fn digest(&self, now: Nanos) -> Vec<u8> {
        let mut frame = self.frame(FrameKind::Digest);
        frame.fingerprint = self.table.fingerprint();
        frame.entries = self.table.get(self.me).map(|held| held.to_wire(now)).into_iter().collect();
        frame.encode_to_vec()
    }

    pub(super) fn sync_with(&mut self, now: Nanos, key: MemberId) {
        let Some(to) = self.table.get(key).and_then(|held| self.address(held)) else { return };
        let frame = self.digest(now);
        self.outputs.push_back(Output::PushPull { to, frame });
    }

    /// Asks the next seed.
    pub(super) fn join(&mut self, now: Nanos) {
        self.join_at = now + self.spread(self.join_pause);
        self.join_pause = (2 * self.join_pause).min(JOIN.1);
        if self.seeds.is_empty() {
            return;
        }
        let to = self.seeds[self.next_seed % self.seeds.len()];
        self.next_seed += 1;
        let frame = self.digest(now);
        self.outputs.push_back(Output::PushPull { to, frame });
    }

    /// Asks some seed that is no address of anybody there.
    pub(super) fn reseed(&mut self, now: Nanos) {
        let there: Vec<SocketAddr> = self
            .table
            .iter()
            .filter(|held| held.state.is_active())
            .filter_map(|held| self.address(held))
            .collect();
        let lost: Vec<_> = self.seeds.iter().filter(|seed| !there.contains(seed)).copied().collect();
        if lost.is_empty() {
            return;
        }
        let to = lost[self.next_seed % lost.len()];
        self.next_seed += 1;
        let frame = self.digest(now);
        self.outputs.push_back(Output::PushPull { to, frame });
    }

    /// Asks one of those that are held dead, whether it is back: one at a time, however many there are.
    pub(super) fn recall(&mut self, now: Nanos) {
        if self.table.count_in_state(MemberState::Dead) == 0 {
            return;
        }
        let mut dead: Vec<_> =
            self.table.iter().filter(|held| held.state == MemberState::Dead).map(|held| held.encoded.id()).collect();
        dead.sort_unstable();
        let place = rand_core::RngCore::next_u64(&mut self.rng) as usize % dead.len();
        let key = dead[place];
        let Some(to) = self.table.get(key).and_then(|held| self.address(held)) else { return };
        self.seq = self.seq.wrapping_add(1);
        let datagram = self.datagram(DatagramKind::Ping, self.seq, key);
        // With what is held of it: if it lives, it says something new.
        self.send(now, datagram, to, Some(key), crate::settings::MAX_DATAGRAM_BYTES);
    }

    fn entries(&self, now: Nanos, parts: &[u64]) -> Vec<WireEntry> {
        let mut room = MOST_ENTRIES;
        let memory = self.settings.tombstone_retention as i64;
        let told = self
            .table
            .entries_in_partitions(parts)
            .filter(|held| held.state.is_active() || (now as i64).saturating_sub(held.state_since) <= memory);
        told.map(|held| held.to_wire(now))
            .take_while(|entry| {
                let size = super::size(entry);
                let fits = size <= room;
                room = room.saturating_sub(size);
                fits
            })
            .collect()
    }

    /// A frame has come to this member; what goes back.
    ///
    /// # Errors
    /// Bytes that are of no frame of this fleet; a refusal goes back where that helps whoever sent them.
    pub fn on_stream_request(
        &mut self,
        now: Nanos,
        from: SocketAddr,
        bytes: &[u8],
    ) -> Result<StreamAction, (ProtocolError, Vec<u8>)> {
        self.wake(now);
        let frame = match Frame::from_bytes(bytes, self.fleet) {
            Ok(frame) => frame,
            Err(error) => {
                self.refuse(from, &error);
                let mut refusal = self.frame(FrameKind::Reject);
                refusal.reject_reason = error.to_string();
                // Its own fleet's number would be no use to others.
                refusal.fleet_id = 0;
                return Err((error, refusal.encode_to_vec()));
            }
        };
        if self.over {
            return Ok(StreamAction::Close);
        }
        self.heard_at = now;
        // As with datagrams: only answers to its own questions are new for sure.
        if self.joined {
            for entry in &frame.entries {
                self.hear(now, entry);
            }
        }
        let mut answer = match FrameKind::try_from(frame.kind).unwrap_or(FrameKind::Unknown) {
            FrameKind::Ping => self.frame(FrameKind::Ack),
            FrameKind::Digest if frame.fingerprint == self.table.fingerprint() => self.frame(FrameKind::InSync),
            FrameKind::Digest => {
                let mut answer = self.frame(FrameKind::PartitionDigests);
                answer.partitions = self.table.partition_digests().to_vec();
                answer
            }
            FrameKind::Entries => {
                let mut answer = self.frame(FrameKind::Entries);
                answer.entries = self.entries(now, &frame.partitions);
                answer
            }
            _ => return Ok(StreamAction::Close),
        };
        // What is held against whoever asks: it answers for itself.
        if let Some(held) = self.table.get(MemberId(frame.sender_id))
            && held.state != MemberState::Alive
            && answer.entries.is_empty()
        {
            answer.entries.push(held.to_wire(now));
        }
        answer.fingerprint = self.table.fingerprint();
        Ok(StreamAction::Reply(answer.encode_to_vec()))
    }

    /// An answer has come to a frame of this member's; what goes next.
    pub fn on_stream_reply(&mut self, now: Nanos, from: SocketAddr, bytes: &[u8]) -> StreamAction {
        self.wake(now);
        if self.over {
            return StreamAction::Close;
        }
        let frame = match Frame::from_bytes(bytes, self.fleet) {
            Ok(frame) => frame,
            Err(error) => {
                self.refuse(from, &error);
                return StreamAction::Close;
            }
        };
        self.heard_at = now;
        for entry in &frame.entries {
            self.hear(now, entry);
        }
        match FrameKind::try_from(frame.kind).unwrap_or(FrameKind::Unknown) {
            FrameKind::PartitionDigests => {
                let own = self.table.partition_digests();
                let differ = (0..PARTITIONS).filter(|&part| frame.partitions.get(part) != Some(&own[part]));
                let parts: Vec<u64> = differ.map(|part| part as u64).collect();
                let mut next = self.frame(FrameKind::Entries);
                next.entries = self.entries(now, &parts);
                next.partitions = parts;
                StreamAction::Reply(next.encode_to_vec())
            }
            FrameKind::InSync | FrameKind::Entries => {
                self.has_joined(now);
                StreamAction::Close
            }
            _ => StreamAction::Close,
        }
    }

    fn has_joined(&mut self, now: Nanos) {
        if std::mem::replace(&mut self.joined, true) {
            return;
        }
        self.join_pause = JOIN.0;
        if self.card.phase() == Phase::Joining {
            self.change(now, |card| card.set_phase(Phase::Serving));
        }
        if self.card.node_number == 0 {
            self.number(now);
        }
        let members = self.table.active_count();
        self.outputs.push_back(Output::Event(Event::Joined { members }));
    }
}
