//! SWIM-style group membership with Lifeguard's extensions, as a state machine without I/O: which members are alive, suspected,
//! stalled, dead or have left, and which of them this node cannot reach although others can.
//!
//! The crate opens no sockets, reads no clock and uses no system randomness: a [`Membership`] takes datagrams, stream frames,
//! the current time and a random seed as input, and returns what to send. The design is described in `docs/design/members.md`,
//! operation in `docs/operate/members.md`. Modules, each depending on earlier ones only:
//!
//! - `record`: what a member announces about itself; member ids, epochs, incarnations;
//! - `state`: the states of a member and their precedence;
//! - `settings`: intervals and bounds;
//! - `wire`: datagrams and stream frames as bytes;
//! - `entry`: what one member knows or claims about another;
//! - `table`: all entries, with the digests that anti-entropy compares;
//! - `broadcast_queue`: which updates to piggyback next, and how often;
//! - `awareness`, `suspicion`: Lifeguard's local health and suspicion timeouts;
//! - `probe`, `probe_history`, `probe_schedule`: which member to probe next, and the outcomes of probes;
//! - `node_count`, `node_number`: the number of nodes that share the endpoints, and the unique number of each node;
//! - `membership`: the state machine that combines these modules;
//! - `simulation`: simulation of whole fleets in virtual time.

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
/// Like [`Nanos`], for times that may lie before the clock's zero, such as a state change that is received as an age.
pub type SignedNanos = i64;
/// One millisecond in [`Nanos`].
pub const MS: Nanos = 1_000_000;
/// One second in [`Nanos`].
pub const SECOND: Nanos = 1_000_000_000;

/// Returns the time since `then`, or zero if `then` is in the future.
pub(crate) fn elapsed(now: Nanos, then: SignedNanos) -> Nanos {
    (now as SignedNanos).saturating_sub(then).max(0) as Nanos
}
