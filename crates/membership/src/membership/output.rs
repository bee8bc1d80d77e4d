//! What the state machine asks its driver to do.

use std::net::SocketAddr;

use crate::Nanos;
use crate::probe::SequenceNumber;
use crate::state::MemberState;
use crate::wire::ProtocolError;

/// Something that happened, for logs and other parts of the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The first exchange with the fleet is complete.
    Joined {
        /// Active members, this one included.
        members: usize,
    },
    /// A member changed its state.
    StateChanged {
        /// Name of the member.
        name: String,
        /// The state before; `None` for a new member.
        from: Option<MemberState>,
        /// The state now.
        to: MemberState,
        /// Name of the member that observed it; empty where that one is unknown.
        reporter: String,
    },
    /// A member became reachable or unreachable from here, while other members reach it or this one is isolated.
    ReachabilityChanged {
        /// Name of the member.
        name: String,
        /// Whether it is reachable from here now.
        reachable: bool,
    },
    /// This process was stalled: its timers fired late.
    ProcessStalled {
        /// How late, in nanoseconds.
        duration: Nanos,
    },
    /// A later process runs under this member's name; this one has stopped taking part.
    Superseded {
        /// Address of the later process.
        address: String,
    },
    /// A message of another fleet or protocol version was rejected; reported once for each address.
    PeerRejected {
        /// Address of the sender.
        address: SocketAddr,
        /// Why.
        error: ProtocolError,
    },
}

/// Something to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Datagram {
        /// Destination.
        to: SocketAddr,
        /// Encoded datagram.
        bytes: Vec<u8>,
    },
    /// Connect, write the frame, and report to [`Membership::on_stream_probe`] how that ended within the probe timeout.
    ///
    /// [`Membership::on_stream_probe`]: super::Membership::on_stream_probe
    StreamProbe {
        /// Number of the probe.
        seq: SequenceNumber,
        /// Destination.
        to: SocketAddr,
        /// Encoded frame.
        frame: Vec<u8>,
    },
    /// Connect, write the frame, hand each frame that comes back to [`Membership::on_stream_reply`] and write its reply, until
    /// there is none.
    ///
    /// [`Membership::on_stream_reply`]: super::Membership::on_stream_reply
    PushPull {
        /// Destination.
        to: SocketAddr,
        /// Encoded frame.
        frame: Vec<u8>,
    },
    /// Report an event.
    Event(Event),
}

/// How a stream goes on after a frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamAction {
    /// Write this encoded frame.
    Reply(Vec<u8>),
    /// Close the stream.
    Close,
}

/// A frame that was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{error}")]
pub struct RejectedRequest {
    /// Why.
    #[source]
    pub error: ProtocolError,
    /// Encoded frame that tells the peer why.
    pub reply: Vec<u8>,
}
