//! Outputs of the state machine, which its driver executes.

use std::net::SocketAddr;

use crate::Nanos;
use crate::probe::SequenceNumber;
use crate::state::MemberState;
use crate::wire::ProtocolError;

/// An event, for logs and other parts of the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The first push/pull exchange with the fleet was completed.
    Joined {
        /// Number of active members, including this one.
        members: usize,
    },
    /// The state of a member changed.
    StateChanged {
        /// Name of the member.
        name: String,
        /// The previous state; `None` for a new member.
        from: Option<MemberState>,
        /// The new state.
        to: MemberState,
        /// Name of the member that observed the new state; empty if that member is unknown.
        reporter: String,
    },
    /// A member became reachable or unreachable from this one, while other members reach it or this one is isolated.
    ReachabilityChanged {
        /// Name of the member.
        name: String,
        /// Whether the member is now reachable from this one.
        reachable: bool,
    },
    /// This process was stalled: its timers fired late.
    ProcessStalled {
        /// How late the timer fired, in nanoseconds.
        duration: Nanos,
    },
    /// Another process with this member's name supersedes this one, which has stopped.
    Superseded {
        /// Address of the other process.
        address: String,
    },
    /// A message of another fleet or major protocol version was rejected. Reported once per address.
    PeerRejected {
        /// Address of the sender.
        address: SocketAddr,
        /// Why the message was rejected.
        error: ProtocolError,
    },
}

/// An action for the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Datagram {
        /// Destination.
        to: SocketAddr,
        /// Encoded datagram.
        bytes: Vec<u8>,
    },
    /// Connect, write the frame, and report the outcome within the probe timeout to [`Membership::on_stream_probe`].
    ///
    /// [`Membership::on_stream_probe`]: super::Membership::on_stream_probe
    StreamProbe {
        /// Sequence number of the probe.
        seq: SequenceNumber,
        /// Destination.
        to: SocketAddr,
        /// Encoded frame.
        frame: Vec<u8>,
    },
    /// Connect, write the frame, pass each received frame to [`Membership::on_stream_reply`] and write the reply that it returns,
    /// until it closes the stream.
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

/// What to do with a stream after a frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamAction {
    /// Write this encoded frame.
    Reply(Vec<u8>),
    /// Close the stream.
    Close,
}

/// A request on a stream that was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{error}")]
pub struct RejectedRequest {
    /// Why the request was rejected.
    #[source]
    pub error: ProtocolError,
    /// Encoded frame with the reason for the peer.
    pub reply: Vec<u8>,
}
