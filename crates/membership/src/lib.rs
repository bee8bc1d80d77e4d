//! A fleet's view of itself, kept by its members: who is there, who has left, is dead, stands still, or can't be reached
//! from here though others reach it. `docs/design/members.md` has the reasons, `docs/operate/members.md` the use.
//!
//! Nothing here does I/O, reads a clock or draws from the system: a [`Membership`] is handed datagrams, frames, times and a seed,
//! and says what to send. Order of the files, none of which knows a later one:
//!
//! - `card`: what a member says of itself, and who is meant by a name;
//! - `state`: what others say of it, and which of two sayings counts;
//! - `settings`: bounds, with their reasons;
//! - `wire`: datagrams and frames as bytes;
//! - `table`: all entries, their fingerprint, what two tables differ in, what is forgotten;
//! - `news`: what is passed on, and how often;
//! - `doubt`: suspicion that ends, and the observer's own health;
//! - `probe`: whom to ask next, and what an exchange came to;
//! - `share`: how many nodes share a server, and this one's number;
//! - `member`: the machine that drives all of it; `sync` is its part over streams.

pub mod card;
pub mod doubt;
pub mod member;
pub mod news;
pub mod probe;
pub mod settings;
pub mod share;
pub mod sim;
pub mod state;
pub mod table;
pub mod wire;

pub use card::{MemberRecord, Epoch, Incarnation, MemberId, Phase, RecordVersion};
pub use member::{StreamProbeOutcome, Event, Membership, Output};
pub use settings::Settings;
pub use state::{MemberState, Precedence};

/// Nanoseconds on the process's own monotonic clock.
pub type Nanos = u64;
/// A millisecond.
pub const MS: Nanos = 1_000_000;
/// A second.
pub const SECOND: Nanos = 1_000_000_000;
