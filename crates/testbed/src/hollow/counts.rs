//! Counts membership messages at the receiver, so that those of real processes and of hollow nodes are counted the same way.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use prost::Message;
use pumicehead_membership::MemberId;
use pumicehead_membership::wire::{DatagramKind, FrameKind};

/// Kinds of datagrams, indexed as on the wire, with their names.
pub const DATAGRAM_KINDS: [(DatagramKind, &str); 5] = [
    (DatagramKind::Gossip, "gossip"),
    (DatagramKind::Ping, "ping"),
    (DatagramKind::IndirectPing, "indirect ping"),
    (DatagramKind::Ack, "ack"),
    (DatagramKind::Nack, "nack"),
];
/// Bytes of the UDP and IPv4 headers of a datagram.
pub const DATAGRAM_HEADER_BYTES: u64 = 28;
/// Bytes of the length prefix of a frame.
pub const FRAME_LENGTH_BYTES: u64 = 4;
/// Number of kinds of frames.
const FRAME_KINDS: usize = FrameKind::Reject as usize + 1;

/// The fields that datagrams and frames share.
#[derive(Clone, PartialEq, Message)]
struct MessageHeader {
    #[prost(fixed64, tag = "4")]
    from: u64,
    #[prost(int32, tag = "6")]
    kind: i32,
}

/// Messages received from one member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// Datagrams, in the order of [`DATAGRAM_KINDS`].
    pub datagrams: [u64; DATAGRAM_KINDS.len()],
    /// Bytes of datagrams, without UDP and IPv4 headers.
    pub datagram_bytes: u64,
    /// Frames of streams, by [`FrameKind`].
    pub frames: [u64; FRAME_KINDS],
    /// Bytes of frames, without length prefixes.
    pub frame_bytes: u64,
}

impl Received {
    /// Number of datagrams of all kinds.
    #[must_use]
    pub fn all_datagrams(&self) -> u64 {
        self.datagrams.iter().sum()
    }

    /// Number of frames of all kinds.
    #[must_use]
    pub fn all_frames(&self) -> u64 {
        self.frames.iter().sum()
    }
}

/// Counts the messages that all hollow nodes of a process receive, by sender.
#[derive(Debug, Default)]
pub struct ReceiveCounters {
    on: AtomicBool,
    by_sender: Mutex<HashMap<u64, Received>>,
}

impl ReceiveCounters {
    /// Resets the counters and starts to count.
    pub fn start(&self) {
        self.lock().clear();
        self.on.store(true, Ordering::Relaxed);
    }

    /// Stops counting and returns the counts by the sender's id.
    pub fn stop(&self) -> HashMap<u64, Received> {
        self.on.store(false, Ordering::Relaxed);
        std::mem::take(&mut *self.lock())
    }

    /// The counts of a member so far.
    #[must_use]
    pub fn received_from(&self, name: &str) -> Received {
        self.lock().get(&sender_id(name)).copied().unwrap_or_default()
    }

    /// Counts a received datagram.
    pub fn datagram(&self, bytes: &[u8]) {
        self.count(bytes, |received, kind| {
            if let Some(count) = received.datagrams.get_mut(kind) {
                *count += 1;
            }
            received.datagram_bytes += bytes.len() as u64;
        });
    }

    /// Counts a frame received over a stream.
    pub fn frame(&self, bytes: &[u8]) {
        self.count(bytes, |received, kind| {
            if let Some(count) = received.frames.get_mut(kind) {
                *count += 1;
            }
            received.frame_bytes += bytes.len() as u64;
        });
    }

    fn count(&self, bytes: &[u8], add: impl FnOnce(&mut Received, usize)) {
        if !self.on.load(Ordering::Relaxed) {
            return;
        }
        // Undecodable messages are not counted.
        let Ok(head) = MessageHeader::decode(bytes) else { return };
        let kind = usize::try_from(head.kind).unwrap_or(usize::MAX);
        add(self.lock().entry(head.from).or_default(), kind);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u64, Received>> {
        self.by_sender.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// The id of a member in messages.
pub(super) fn sender_id(name: &str) -> u64 {
    MemberId::from_name(name).0
}

/// Counts what a node has sent since its start.
#[derive(Debug, Default)]
pub struct SendCounters {
    datagrams: AtomicU64,
    datagram_bytes: AtomicU64,
    frames: AtomicU64,
    frame_bytes: AtomicU64,
}

/// A snapshot of [`SendCounters`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentCounts {
    /// Datagrams.
    pub datagrams: u64,
    /// Frames over streams.
    pub frames: u64,
    /// Bytes of datagrams and frames, with UDP and IPv4 headers and length prefixes, without TCP headers.
    pub bytes: u64,
}

impl SentCounts {
    /// Datagrams and frames.
    #[must_use]
    pub fn messages(&self) -> u64 {
        self.datagrams + self.frames
    }

    /// Adds another snapshot.
    pub fn add(&mut self, other: SentCounts) {
        self.datagrams += other.datagrams;
        self.frames += other.frames;
        self.bytes += other.bytes;
    }

    /// The difference to an earlier snapshot.
    #[must_use]
    pub fn since(&self, earlier: SentCounts) -> SentCounts {
        SentCounts {
            datagrams: self.datagrams.saturating_sub(earlier.datagrams),
            frames: self.frames.saturating_sub(earlier.frames),
            bytes: self.bytes.saturating_sub(earlier.bytes),
        }
    }
}

impl SendCounters {
    /// Counts a sent datagram.
    pub fn datagram(&self, bytes: usize) {
        self.datagrams.fetch_add(1, Ordering::Relaxed);
        self.datagram_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts a sent frame.
    pub fn frame(&self, bytes: usize) {
        self.frames.fetch_add(1, Ordering::Relaxed);
        self.frame_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// The current snapshot.
    #[must_use]
    pub fn sent(&self) -> SentCounts {
        let (datagrams, frames) =
            (self.datagrams.load(Ordering::Relaxed), self.frames.load(Ordering::Relaxed));
        let bytes = self.datagram_bytes.load(Ordering::Relaxed) + self.frame_bytes.load(Ordering::Relaxed);
        SentCounts {
            datagrams,
            frames,
            bytes: bytes + datagrams * DATAGRAM_HEADER_BYTES + frames * FRAME_LENGTH_BYTES,
        }
    }
}
