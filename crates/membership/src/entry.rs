//! What one member knows about another, and the claims that update it.

use std::sync::Arc;

use crate::record::{MemberId, MemberRecord, stable_hash};
use crate::state::{MemberState, Precedence};
use crate::wire::WireEntry;
use crate::{Nanos, SignedNanos, elapsed};

/// Unit of ages on the wire in nanoseconds: 100 ms.
pub(crate) const AGE_UNIT: i64 = 100_000_000;
/// Value of [`MemberEntry::last_heard`] if no message of the member was received yet.
pub const NEVER_HEARD: SignedNanos = SignedNanos::MIN;

/// A member's record together with the bytes it was decoded from. The bytes are forwarded unchanged, which preserves fields
/// that only later versions know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedRecord {
    /// The decoded record.
    pub record: MemberRecord,
    bytes: Vec<u8>,
    id: MemberId,
    hash: u64,
}

impl EncodedRecord {
    /// Combines a record with its encoded bytes.
    #[must_use]
    pub fn new(record: MemberRecord, bytes: Vec<u8>) -> Arc<Self> {
        let (id, hash) = (record.id(), stable_hash(&[&bytes]));
        Arc::new(Self { record, bytes, id, hash })
    }

    /// The id of the member that the record describes.
    #[must_use]
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Hash of the encoded bytes.
    pub(crate) fn hash(&self) -> u64 {
        self.hash
    }

    /// Allocated memory in bytes, including strings and both reference counts of the `Arc`.
    pub(crate) fn allocated_bytes(&self) -> usize {
        let MemberRecord { name, address, zone, program_version, capabilities, .. } = &self.record;
        let texts =
            [name, address, zone, program_version].into_iter().chain(capabilities).map(String::capacity);
        let list = capabilities.capacity() * size_of::<String>();
        size_of::<Self>() + 2 * size_of::<usize>() + self.bytes.capacity() + list + texts.sum::<usize>()
    }
}

/// What this member knows about a member.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// The member's newest record.
    pub encoded: Arc<EncodedRecord>,
    /// The member's current state in this table.
    pub state: MemberState,
    /// Whether the member's address refused connections, which proves that no process listens there.
    pub connection_refused: bool,
    /// Whether the local member can reach this one directly.
    pub reachable_from_here: bool,
    /// Number of consecutive probes that were answered only indirectly.
    pub consecutive_indirect_acks: u8,
    /// Number of recent state changes; see [`crate::settings::FLAP_THRESHOLD`].
    pub flap_count: u8,
    /// When the member entered its state, on the local clock.
    pub state_since: SignedNanos,
    /// When the local member last received a datagram of the member's current process; [`NEVER_HEARD`] if never.
    pub last_heard: SignedNanos,
    /// The member that observed the state.
    pub reporter: MemberId,
}

impl MemberEntry {
    /// Creates the entry of a member that was unknown before `claim`.
    pub(crate) fn new(claim: &MemberClaim) -> Self {
        Self {
            encoded: claim.encoded.clone(),
            state: claim.state,
            connection_refused: claim.connection_refused,
            reachable_from_here: true,
            consecutive_indirect_acks: 0,
            flap_count: 0,
            state_since: claim.state_since,
            last_heard: NEVER_HEARD,
            reporter: claim.reporter,
        }
    }

    /// The member's id.
    #[must_use]
    pub fn id(&self) -> MemberId {
        self.encoded.id()
    }

    /// The member's newest record.
    #[must_use]
    pub fn record(&self) -> &MemberRecord {
        &self.encoded.record
    }

    /// The precedence that a claim has to exceed to replace this entry's state.
    #[must_use]
    pub fn precedence(&self) -> Precedence {
        Precedence { version: self.record().version(), state: self.state }
    }

    /// The entry's contribution to the digests of a table.
    pub(crate) fn digest(&self) -> u64 {
        // Each state rotates the record's hash by a different amount.
        self.encoded.hash.rotate_left(9 * self.state.code())
    }

    /// Time since the member entered its state.
    pub(crate) fn age(&self, now: Nanos) -> Nanos {
        elapsed(now, self.state_since)
    }

    /// Converts the entry to its wire form.
    #[must_use]
    pub fn to_wire(&self, now: Nanos) -> WireEntry {
        WireEntry {
            record: self.encoded.bytes.clone(),
            state: self.state.code(),
            age_deciseconds: u32::try_from(self.age(now) as i64 / AGE_UNIT).unwrap_or(u32::MAX),
            reporter: self.reporter.0,
            connection_refused: self.connection_refused,
        }
    }
}

/// A claim about a member: received from another member, or observed by the local one.
#[derive(Clone, Debug)]
pub struct MemberClaim {
    /// The record that the claim is about.
    pub encoded: Arc<EncodedRecord>,
    /// The claimed state.
    pub state: MemberState,
    /// Whether the member's address refused connections.
    pub connection_refused: bool,
    /// When the member entered the claimed state, on the local clock.
    pub state_since: SignedNanos,
    /// The member that observed the claimed state.
    pub reporter: MemberId,
}

impl MemberClaim {
    /// Decodes a received entry. Returns `None` if its record is invalid or its state is unknown to this version.
    #[must_use]
    pub fn from_wire(entry: &WireEntry, now: Nanos) -> Option<Self> {
        let record = MemberRecord::from_bytes(&entry.record).ok()?;
        let state = MemberState::from_code(entry.state)?;
        Some(Self {
            encoded: EncodedRecord::new(record, entry.record.clone()),
            state,
            connection_refused: entry.connection_refused,
            state_since: (now as SignedNanos).saturating_sub(i64::from(entry.age_deciseconds) * AGE_UNIT),
            reporter: MemberId(entry.reporter),
        })
    }

    /// The id of the member that the claim is about.
    #[must_use]
    pub fn id(&self) -> MemberId {
        self.encoded.id()
    }

    /// The record that the claim is about.
    #[must_use]
    pub fn record(&self) -> &MemberRecord {
        &self.encoded.record
    }

    /// Decides which of two claims wins; see [`Precedence`].
    #[must_use]
    pub fn precedence(&self) -> Precedence {
        Precedence { version: self.record().version(), state: self.state }
    }
}

impl From<&MemberEntry> for MemberClaim {
    fn from(entry: &MemberEntry) -> Self {
        Self {
            encoded: entry.encoded.clone(),
            state: entry.state,
            connection_refused: entry.connection_refused,
            state_since: entry.state_since,
            reporter: entry.reporter,
        }
    }
}
