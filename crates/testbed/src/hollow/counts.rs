//! What members send, counted where it arrives: the sender's own figures are not needed, so real processes and hollow nodes are
//! counted alike.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use prost::Message;
use pumicehead_membership::MemberId;
use pumicehead_membership::wire::{DatagramKind, FrameKind};

/// Kinds of datagrams that are told apart.
pub const KINDS: [(DatagramKind, &str); 5] = [
    (DatagramKind::Gossip, "gossip"),
    (DatagramKind::Ping, "ping"),
    (DatagramKind::IndirectPing, "indirect ping"),
    (DatagramKind::Ack, "ack"),
    (DatagramKind::Nack, "nack"),
];
/// Heads of a datagram over UDP and IPv4, in bytes.
pub const DATAGRAM_HEADS: u64 = 28;
/// The length that stands before a frame, in bytes.
pub const FRAME_HEAD: u64 = 4;
/// Steps of an exchange over a stream.
const STEPS: usize = FrameKind::Reject as usize + 1;

/// The fields that datagrams and frames have in common.
#[derive(Clone, PartialEq, Message)]
struct Head {
    #[prost(fixed64, tag = "4")]
    from: u64,
    #[prost(int32, tag = "6")]
    kind: i32,
}

/// What arrived from one member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// Datagrams, in the order of [`MAX_KINDS`].
    pub datagrams: [u64; KINDS.len()],
    /// Their bytes, without heads.
    pub datagram_bytes: u64,
    /// Frames of streams, by [`FrameKind`].
    pub frames: [u64; STEPS],
    /// Their bytes, without lengths.
    pub frame_bytes: u64,
}

impl Received {
    /// Datagrams of all kinds.
    #[must_use]
    pub fn all_datagrams(&self) -> u64 {
        self.datagrams.iter().sum()
    }

    /// Frames of all steps.
    #[must_use]
    pub fn all_frames(&self) -> u64 {
        self.frames.iter().sum()
    }
}

/// Counts what arrives at all hollow nodes of a process, by sender.
#[derive(Debug, Default)]
pub struct PeerCounts {
    on: AtomicBool,
    by_sender: Mutex<HashMap<u64, Received>>,
}

impl PeerCounts {
    /// Begins to count from zero.
    pub fn start(&self) {
        self.lock().clear();
        self.on.store(true, Ordering::Relaxed);
    }

    /// Stops; what was counted, by the sender's key.
    pub fn stop(&self) -> HashMap<u64, Received> {
        self.on.store(false, Ordering::Relaxed);
        std::mem::take(&mut *self.lock())
    }

    /// What was counted of a member until now.
    #[must_use]
    pub fn of(&self, name: &str) -> Received {
        self.lock().get(&sender(name)).copied().unwrap_or_default()
    }

    /// A datagram has arrived.
    pub fn datagram(&self, bytes: &[u8]) {
        self.count(bytes, |received, kind| {
            if let Some(count) = received.datagrams.get_mut(kind) {
                *count += 1;
            }
            received.datagram_bytes += bytes.len() as u64;
        });
    }

    /// A frame has arrived over a stream.
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
        // Bytes that are no message count for nobody.
        let Ok(head) = Head::decode(bytes) else { return };
        let kind = usize::try_from(head.kind).unwrap_or(usize::MAX);
        add(self.lock().entry(head.from).or_default(), kind);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u64, Received>> {
        self.by_sender.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// The key of a name as messages carry it.
pub(super) fn sender(name: &str) -> u64 {
    MemberId::from_name(name).0
}

/// What one node has sent since its start.
#[derive(Debug, Default)]
pub struct Traffic {
    datagrams: AtomicU64,
    datagram_bytes: AtomicU64,
    frames: AtomicU64,
    frame_bytes: AtomicU64,
}

/// The same at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sent {
    /// Datagrams.
    pub datagrams: u64,
    /// Frames over streams.
    pub frames: u64,
    /// Bytes of both, with the heads of UDP and IPv4 and the lengths of frames; the heads of TCP are not counted.
    pub bytes: u64,
}

impl Sent {
    /// Messages of both sorts.
    #[must_use]
    pub fn messages(&self) -> u64 {
        self.datagrams + self.frames
    }

    /// Adds another node's.
    pub fn add(&mut self, other: Sent) {
        self.datagrams += other.datagrams;
        self.frames += other.frames;
        self.bytes += other.bytes;
    }

    /// What came since an earlier moment.
    #[must_use]
    pub fn since(&self, earlier: Sent) -> Sent {
        Sent {
            datagrams: self.datagrams.saturating_sub(earlier.datagrams),
            frames: self.frames.saturating_sub(earlier.frames),
            bytes: self.bytes.saturating_sub(earlier.bytes),
        }
    }
}

impl Traffic {
    /// A datagram was sent.
    pub fn datagram(&self, bytes: usize) {
        self.datagrams.fetch_add(1, Ordering::Relaxed);
        self.datagram_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// A frame was sent.
    pub fn frame(&self, bytes: usize) {
        self.frames.fetch_add(1, Ordering::Relaxed);
        self.frame_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// All until now.
    #[must_use]
    pub fn sent(&self) -> Sent {
        let (datagrams, frames) =
            (self.datagrams.load(Ordering::Relaxed), self.frames.load(Ordering::Relaxed));
        let bytes = self.datagram_bytes.load(Ordering::Relaxed) + self.frame_bytes.load(Ordering::Relaxed);
        Sent { datagrams, frames, bytes: bytes + datagrams * DATAGRAM_HEADS + frames * FRAME_HEAD }
    }
}
