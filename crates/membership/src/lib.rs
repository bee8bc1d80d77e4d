//! SWIM-style group membership with Lifeguard's extensions, as a state machine without I/O: which members are alive, suspected,
//! stalled, dead or gone, and which of them this node cannot reach although others can.
//!
//! Nothing here opens a socket, reads a clock or draws system randomness: a [`Membership`] is given datagrams, stream frames,
//! times and a seed, and returns what to send. `docs/design/members.md` has the design, `docs/operate/members.md` the operation.
//! The modules, none of which depends on a later one:
//!
//! - `record`: what a member announces about itself; member ids, epochs, incarnations;
//! - `state`: the states of a member and their precedence;
//! - `settings`: intervals and bounds;
//! - `wire`: datagrams and stream frames as bytes;
//! - `entry`: what one member knows or claims about another;
//! - `table`: all entries, with the digests that anti-entropy compares;
//! - `broadcast_queue`: which updates to piggyback next, and how often;
//! - `awareness`, `suspicion`: Lifeguard's local health and suspicion timeouts;
//! - `probe`, `probe_history`, `probe_schedule`: whom to probe next and how a probe ended;
//! - `node_count`, `node_number`: how many nodes share the servers, and the number of each;
//! - `membership`: the state machine that drives all of it;
//! - `simulation`: whole fleets in virtual time.

pub mod awareness;
pub mod broadcast_queue;
pub mod entry;
pub mod membership;
pub mod node_count;
pub mod node_number;
pub mod probe;
pub mod probe_history;
pub mod probe_schedule;
mod random;
pub mod record;
pub mod settings;
pub mod simulation;
pub mod state;
pub mod suspicion;
pub mod table;
pub mod wire;

pub use entry::{EncodedRecord, MemberClaim, MemberEntry};
pub use membership::{
    Event, Membership, MembershipConfig, MembershipError, Output, RejectedRequest, StreamAction,
};
pub use probe::{SequenceNumber, StreamProbeOutcome};
pub use record::{Epoch, Incarnation, MemberId, MemberRecord, Phase, RecordError, RecordVersion};
pub use settings::{Settings, SettingsError};
pub use state::{MemberState, Precedence};
pub use table::{MemberTable, MergeOutcome};

/// Nanoseconds on the local monotonic clock.
pub type Nanos = u64;
/// The same for points that may lie before the clock's zero, such as a state change reported with its age.
pub type SignedNanos = i64;
/// A millisecond in [`Nanos`].
pub const MS: Nanos = 1_000_000;
/// A second in [`Nanos`].
pub const SECOND: Nanos = 1_000_000_000;

/// The time since `then`; zero where `then` lies in the future.
pub(crate) fn elapsed(now: Nanos, then: SignedNanos) -> Nanos {
    (now as SignedNanos).saturating_sub(then).max(0) as Nanos
}
