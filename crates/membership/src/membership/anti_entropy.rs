//! Anti-entropy: push/pull exchanges of member tables over streams. The first exchange of a member is its join.
//!
//! The initiator sends the fingerprint of its table and its own entry. The responder replies that the fingerprints are equal, or
//! with the digests of all partitions. The initiator then sends its entries in the partitions that differ, and receives those of
//! the responder. Neither side keeps state between frames, since merging does not depend on order.

use std::net::SocketAddr;

use prost::Message;

use super::{Membership, Output, RejectedRequest, StreamAction};
use crate::Nanos;
use crate::entry::MemberEntry;
use crate::record::MemberId;
use crate::settings::MAX_FRAME_BYTES;
use crate::table::PARTITIONS;
use crate::wire::{Frame, FrameKind, MAJOR, MINOR, ProtocolError, WireEntry};

/// Bytes reserved in a frame for everything except entries.
const HEADER_BYTES: usize = 4_096;
/// Maximum total size of the entries in one frame. The others follow with the next exchange.
const MAX_ENTRY_BYTES: usize = MAX_FRAME_BYTES - HEADER_BYTES;

impl Membership {
    pub(super) fn new_frame(&self, kind: FrameKind) -> Frame {
        Frame {
            protocol_major: MAJOR,
            protocol_minor: MINOR,
            fleet_id: self.fleet_id.0,
            sender_id: self.id.0,
            sender_epoch: self.record.epoch,
            kind: kind as i32,
            ..Frame::default()
        }
    }

    /// Starts a push/pull exchange with a member.
    pub(super) fn push_pull_with(&mut self, now: Nanos, id: MemberId) {
        if let Some(to) = self.address_of_id(id) {
            self.start_push_pull(now, to);
        }
    }

    /// Starts a push/pull exchange with the member at an address, which may be unknown.
    pub(super) fn start_push_pull(&mut self, now: Nanos, to: SocketAddr) {
        let mut frame = self.new_frame(FrameKind::Digest);
        frame.fingerprint = self.table.fingerprint();
        frame.entries = self.table.get(self.id).map(|entry| entry.to_wire(now)).into_iter().collect();
        self.outputs.push_back(Output::PushPull { to, frame: frame.encode_to_vec() });
    }

    /// Handles a frame on a stream that another member opened.
    ///
    /// # Errors
    /// The frame is too long or malformed, or of another fleet or major version. The error contains the reply with the reason.
    pub fn on_stream_request(
        &mut self,
        now: Nanos,
        from: SocketAddr,
        bytes: &[u8],
    ) -> Result<StreamAction, RejectedRequest> {
        self.detect_stall(now);
        let frame = match Frame::from_bytes(bytes, self.fleet_id) {
            Ok(frame) => frame,
            Err(error) => return Err(self.reject(from, error)),
        };
        if self.stopped {
            return Ok(StreamAction::Close);
        }
        self.last_received_at = now;
        // While joining, only replies to this member's own requests are known to be current.
        if self.joined {
            self.apply_entries(now, &frame.entries);
        }
        let Some(mut reply) = self.reply_to(now, &frame) else { return Ok(StreamAction::Close) };
        if reply.entries.is_empty() {
            reply.entries.extend(self.claim_to_refute(now, MemberId(frame.sender_id)));
        }
        reply.fingerprint = self.table.fingerprint();
        Ok(StreamAction::Reply(reply.encode_to_vec()))
    }

    fn reply_to(&self, now: Nanos, request: &Frame) -> Option<Frame> {
        match FrameKind::try_from(request.kind).unwrap_or(FrameKind::Unknown) {
            FrameKind::Ping => Some(self.new_frame(FrameKind::Ack)),
            FrameKind::Digest if request.fingerprint == self.table.fingerprint() => {
                Some(self.new_frame(FrameKind::InSync))
            }
            FrameKind::Digest => {
                let partitions = self.table.partition_digests().to_vec();
                Some(Frame { partitions, ..self.new_frame(FrameKind::PartitionDigests) })
            }
            FrameKind::Entries => {
                let entries = self.entries_to_send(now, &request.partitions);
                Some(Frame { entries, ..self.new_frame(FrameKind::Entries) })
            }
            _ => None,
        }
    }

    fn reject(&mut self, from: SocketAddr, error: ProtocolError) -> RejectedRequest {
        self.report_rejected(from, &error);
        let mut reply = self.new_frame(FrameKind::Reject);
        reply.reject_reason = error.to_string();
        // Does not reveal this fleet's id to nodes of other fleets.
        reply.fleet_id = 0;
        RejectedRequest { error, reply: reply.encode_to_vec() }
    }

    /// Handles a reply on a stream that this member opened.
    pub fn on_stream_reply(&mut self, now: Nanos, from: SocketAddr, bytes: &[u8]) -> StreamAction {
        self.detect_stall(now);
        if self.stopped {
            return StreamAction::Close;
        }
        let frame = match Frame::from_bytes(bytes, self.fleet_id) {
            Ok(frame) => frame,
            Err(error) => {
                self.report_rejected(from, &error);
                return StreamAction::Close;
            }
        };
        self.last_received_at = now;
        self.apply_entries(now, &frame.entries);
        match FrameKind::try_from(frame.kind).unwrap_or(FrameKind::Unknown) {
            FrameKind::PartitionDigests => {
                StreamAction::Reply(self.push_entries(now, &frame.partitions).encode_to_vec())
            }
            FrameKind::InSync | FrameKind::Entries => {
                self.complete_join(now);
                StreamAction::Close
            }
            _ => StreamAction::Close,
        }
    }

    /// Returns a frame with this member's entries in the partitions whose digests differ from the peer's.
    fn push_entries(&self, now: Nanos, peer_digests: &[u64]) -> Frame {
        let own = self.table.partition_digests();
        let differing = (0..PARTITIONS).filter(|&index| peer_digests.get(index) != Some(&own[index]));
        let partitions: Vec<u64> = differing.map(|index| index as u64).collect();
        let entries = self.entries_to_send(now, &partitions);
        Frame { partitions, entries, ..self.new_frame(FrameKind::Entries) }
    }

    /// Returns the entries in some partitions that have not expired, up to the size of a frame.
    fn entries_to_send(&self, now: Nanos, partitions: &[u64]) -> Vec<WireEntry> {
        let mut budget = MAX_ENTRY_BYTES;
        let retention = self.settings.tombstone_retention;
        let is_current = |entry: &&MemberEntry| entry.state.is_active() || entry.age(now) <= retention;
        let current = self.table.entries_in_partitions(partitions).filter(is_current);
        current
            .map(|entry| entry.to_wire(now))
            .take_while(|entry| {
                let size = entry.embedded_len();
                let fits = size <= budget;
                budget = budget.saturating_sub(size);
                fits
            })
            .collect()
    }
}
