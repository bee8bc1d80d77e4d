//! What a member is made of, tells and wants done.

use std::net::SocketAddr;

use super::MOST_SEEDS;
use crate::Nanos;
use crate::card::{RecordError, MemberRecord};
use crate::settings::{SettingsError, Settings};
use crate::state::MemberState;

/// What a member is made of.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// How it behaves.
    pub settings: Settings,
    /// The fleet's name: members of another are refused.
    pub fleet_name: String,
    /// What it says of itself; incarnation and phase are the machine's.
    pub record: MemberRecord,
    /// Whom it asks first, at any of these; none: it is the first itself.
    pub seeds: Vec<SocketAddr>,
    /// Where this member reaches others, by name, in place of what they say.
    pub address_overrides: Vec<(String, SocketAddr)>,
    /// How many nodes there are, until it knows better.
    pub initial_node_count: u32,
    /// For its random numbers.
    pub rng_seed: u64,
}

/// Why there is no member.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MembershipError {
    /// Its own card.
    #[error(transparent)]
    Card(#[from] RecordError),
    /// Its settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Too many.
    #[error("more than {MOST_SEEDS} seeds")]
    Seeds,
}

/// Something for people and for other parts of the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// It has heard from the fleet.
    Joined {
        /// Members there.
        members: usize,
    },
    /// A member is held for something else.
    StateChanged {
        /// Its name.
        name: String,
        /// Before; `None`: it was not known.
        from: Option<MemberState>,
        /// Now.
        to: MemberState,
        /// Who says so: a name, or nothing where it is not known.
        reporter: String,
    },
    /// A member is reached from here no more, or again, while others reach it all along.
    ReachabilityChanged {
        /// Its name.
        name: String,
        /// Now.
        reachable: bool,
    },
    /// This process stood still for so long.
    ProcessStalled(Nanos),
    /// A later process has this member's name: this one is no member any more.
    Superseded {
        /// The later one's address.
        by: String,
    },
    /// Somebody of another fleet, or with a link of another version, was refused; told once for each address.
    PeerRejected {
        /// Who.
        from: SocketAddr,
        /// Why.
        why: String,
    },
}

/// Something to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Datagram {
        /// Where.
        to: SocketAddr,
        /// What.
        bytes: Vec<u8>,
    },
    /// Connect, write the frame, and tell [`Membership::on_checked`] what came of it within the patience.
    StreamProbe {
        /// Of the question.
        seq: u32,
        /// Where.
        to: SocketAddr,
        /// What.
        frame: Vec<u8>,
    },
    /// Connect, write the frame, hand each answer to [`Membership::on_reply`] and write what it gives, until it gives nothing.
    PushPull {
        /// Where.
        to: SocketAddr,
        /// What.
        frame: Vec<u8>,
    },
    /// Tell somebody.
    Event(Event),
}
