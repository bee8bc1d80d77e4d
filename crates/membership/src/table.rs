//! All that is held of members: a join of everything heard, its fingerprint, and what is forgotten.

use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::Nanos;
use crate::card::{MemberRecord, MemberId, stable_hash};
use crate::settings::{MAX_TOMBSTONES, MAX_MEMBERS};
use crate::state::{MemberState, Precedence};
use crate::wire::WireEntry;

/// Parts of a view that are compared one by one, by the first bits of keys.
pub const PARTITIONS: usize = 64;
/// Ages travel in these.
const AGE_UNIT: i64 = 100_000_000;

/// A member's saying of itself, read, and as the bytes that came: those are passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedRecord {
    /// What it says.
    pub record: MemberRecord,
    raw: Vec<u8>,
    key: MemberId,
    digest: u64,
}

impl EncodedRecord {
    /// A card with its bytes.
    #[must_use]
    pub fn new(card: MemberRecord, raw: Vec<u8>) -> Arc<Self> {
        let (key, digest) = (card.id(), stable_hash(&[&raw]));
        Arc::new(Self { record: card, raw, key, digest })
    }

    /// Who says it.
    #[must_use]
    pub fn id(&self) -> MemberId {
        self.key
    }

    /// Memory that it takes with its texts, in bytes, both counts of references included.
    fn bytes(&self) -> usize {
        let MemberRecord { name, address, zone, program_version, capabilities, .. } = &self.record;
        let texts = [name, address, zone, program_version].into_iter().chain(capabilities).map(String::capacity);
        let list = capabilities.capacity() * size_of::<String>();
        size_of::<Self>() + 2 * size_of::<usize>() + self.raw.capacity() + list + texts.sum::<usize>()
    }
}

/// What is held of a member.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// Its own saying.
    pub encoded: Arc<EncodedRecord>,
    /// What it is held for.
    pub state: MemberState,
    /// Whether its own kernel said so, by refusing connections.
    pub connection_refused: bool,
    /// Whether this member reaches it itself.
    pub reachable_from_here: bool,
    /// Questions in a row that it answered through others alone.
    pub consecutive_indirect_acks: u8,
    /// Changes of late, and when the last one was.
    pub flap_count: u8,
    /// Since when it is held so, by this process's clock; before its start where others told of it.
    pub state_since: i64,
    /// When this member last heard from it itself; never: the least there is.
    pub last_heard: i64,
    /// Who said so first, of its own seeing.
    pub reporter: MemberId,
}

impl MemberEntry {
    /// Which saying, and what of it.
    #[must_use]
    pub fn precedence(&self) -> Precedence {
        Precedence { version: self.encoded.record.version(), state: self.state }
    }

    fn mark(&self) -> u64 {
        // States are few: each is another rotation of what the card's bytes come to.
        self.encoded.digest.rotate_left(9 * self.state.code())
    }

    /// As it travels.
    #[must_use]
    pub fn to_wire(&self, now: Nanos) -> WireEntry {
        let age = (now as i64).saturating_sub(self.state_since).max(0) / AGE_UNIT;
        WireEntry {
            record: self.encoded.raw.clone(),
            state: self.state.code(),
            age_deciseconds: u32::try_from(age).unwrap_or(u32::MAX),
            reporter: self.reporter.0,
            connection_refused: self.connection_refused,
        }
    }
}

/// Something heard of a member.
#[derive(Clone, Debug)]
pub struct MemberClaim {
    /// Its own saying.
    pub encoded: Arc<EncodedRecord>,
    /// What it is said to be.
    pub state: MemberState,
    /// Whether its own kernel said so.
    pub connection_refused: bool,
    /// Since when, by this process's clock.
    pub state_since: i64,
    /// Who says so of its own seeing.
    pub reporter: MemberId,
}

impl MemberClaim {
    /// Which saying, and what of it.
    #[must_use]
    pub fn precedence(&self) -> Precedence {
        Precedence { version: self.encoded.record.version(), state: self.state }
    }
}

/// Reads an entry; `None` where it is none, or of a later version's states.
#[must_use]
pub fn read(entry: &WireEntry, now: Nanos) -> Option<MemberClaim> {
    let card = MemberRecord::from_bytes(&entry.record).ok()?;
    let state = MemberState::from_code(entry.state)?;
    let since = (now as i64).saturating_sub(i64::from(entry.age_deciseconds) * AGE_UNIT);
    let said = EncodedRecord::new(card, entry.record.clone());
    Some(MemberClaim { encoded: said, state, connection_refused: entry.connection_refused, state_since: since, reporter: MemberId(entry.reporter) })
}

/// What became of something heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The member was not known.
    Inserted,
    /// It counts from now on; what the member was held for before.
    Updated(MemberState),
    /// As it was.
    Unchanged,
    /// What is held counts more, or there is no room.
    Ignored,
}

/// The table.
#[derive(Clone, Debug)]
pub struct MemberTable {
    slots: FxHashMap<MemberId, u32>,
    all: Vec<MemberEntry>,
    parts: [u64; PARTITIONS],
    counts: [u32; MemberState::ALL.len()],
}

impl Default for MemberTable {
    fn default() -> Self {
        Self {
            slots: FxHashMap::default(),
            all: Vec::new(),
            parts: [0; PARTITIONS],
            counts: [0; MemberState::ALL.len()],
        }
    }
}

fn part(key: MemberId) -> usize {
    (key.0 >> (u64::BITS - PARTITIONS.trailing_zeros())) as usize
}

impl MemberTable {
    /// What is held of a member.
    #[must_use]
    pub fn get(&self, key: MemberId) -> Option<&MemberEntry> {
        self.slots.get(&key).map(|&slot| &self.all[slot as usize])
    }

    /// The same, for what is not part of the fingerprint.
    pub(crate) fn get_mut(&mut self, key: MemberId) -> Option<&mut MemberEntry> {
        self.slots.get(&key).map(|&slot| &mut self.all[slot as usize])
    }

    /// All, in no order that matters.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = &MemberEntry> {
        self.all.iter()
    }

    /// How many are held for this.
    #[must_use]
    pub fn count_in_state(&self, state: MemberState) -> usize {
        self.counts[state.code() as usize] as usize
    }

    /// How many take part.
    #[must_use]
    pub fn active_count(&self) -> usize {
        MemberState::ALL.into_iter().filter(|state| state.is_active()).map(|state| self.count_in_state(state)).sum()
    }

    /// The entry at a place, for draws.
    #[must_use]
    pub fn entry_at(&self, place: usize) -> &MemberEntry {
        &self.all[place]
    }

    /// Entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Memory that it takes, counted by what it has reserved; what the allocator adds is not known here.
    #[must_use]
    pub fn allocated_bytes(&self) -> usize {
        let slots = self.slots.capacity() * (size_of::<(MemberId, u32)>() + 1);
        let entries = self.all.capacity() * size_of::<MemberEntry>();
        let said: usize = self.all.iter().map(|held| held.encoded.bytes()).sum();
        size_of::<Self>() + slots + entries + said
    }

    /// Whether nobody is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Of the whole view: the same in all processes that hold the same.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        self.parts.iter().zip(1u32..).fold(0, |sum, (part, place)| sum ^ part.rotate_left(place))
    }

    /// Of its parts.
    #[must_use]
    pub fn partition_digests(&self) -> &[u64; PARTITIONS] {
        &self.parts
    }

    /// Entries of some parts.
    pub fn entries_in_partitions<'a>(&'a self, parts: &'a [u64]) -> impl Iterator<Item = &'a MemberEntry> {
        self.all.iter().filter(|held| parts.contains(&(part(held.encoded.key) as u64)))
    }

    /// Takes what was heard, where it counts more than what is held. What only differs by who says so changes nothing.
    pub fn merge(&mut self, heard: &MemberClaim) -> MergeOutcome {
        let key = heard.encoded.key;
        let Some(&slot) = self.slots.get(&key) else {
            if self.all.len() >= MAX_MEMBERS {
                return MergeOutcome::Ignored;
            }
            self.slots.insert(key, self.all.len() as u32);
            self.all.push(MemberEntry {
                encoded: heard.encoded.clone(),
                state: heard.state,
                connection_refused: heard.connection_refused,
                reachable_from_here: true,
                consecutive_indirect_acks: 0,
                flap_count: 0,
                state_since: heard.state_since,
                last_heard: i64::MIN,
                reporter: heard.reporter,
            });
            self.count_in(self.all.len() - 1, true);
            return MergeOutcome::Inserted;
        };
        let slot = slot as usize;
        let held = &self.all[slot];
        // Two names of one key, or two sayings under one stamp: whoever sees both keeps the same one.
        let order = (heard.precedence(), heard.encoded.digest).cmp(&(held.precedence(), held.encoded.digest));
        match order {
            std::cmp::Ordering::Less => return MergeOutcome::Ignored,
            std::cmp::Ordering::Equal => return MergeOutcome::Unchanged,
            std::cmp::Ordering::Greater => {}
        }
        if heard.encoded.record.name != held.encoded.record.name {
            return MergeOutcome::Ignored;
        }
        let before = held.state;
        self.count_in(slot, false);
        let held = &mut self.all[slot];
        held.encoded = heard.encoded.clone();
        held.state = heard.state;
        held.connection_refused = heard.connection_refused;
        held.state_since = heard.state_since;
        held.reporter = heard.reporter;
        self.count_in(slot, true);
        MergeOutcome::Updated(before)
    }

    fn count_in(&mut self, slot: usize, is_in: bool) {
        let held = &self.all[slot];
        self.parts[part(held.encoded.key)] ^= held.mark();
        let count = &mut self.counts[held.state.code() as usize];
        *count = if is_in { *count + 1 } else { *count - 1 };
    }

    fn remove(&mut self, slot: usize) {
        self.count_in(slot, false);
        let gone = self.all.swap_remove(slot);
        self.slots.remove(&gone.encoded.key);
        if let Some(moved) = self.all.get(slot) {
            self.slots.insert(moved.encoded.key, slot as u32);
        }
    }

    /// Forgets whoever has been gone for too long, and the oldest of those where they are too many.
    pub fn forget_expired(&mut self, now: Nanos, memory: Nanos) {
        let gone = |held: &MemberEntry| !held.state.is_active();
        let mut slot = 0;
        while slot < self.all.len() {
            let held = &self.all[slot];
            if gone(held) && (now as i64).saturating_sub(held.state_since) > memory as i64 {
                self.remove(slot);
            } else {
                slot += 1;
            }
        }
        let count = self.count_in_state(MemberState::Dead) + self.count_in_state(MemberState::Left);
        if count > MAX_TOMBSTONES {
            let mut since: Vec<_> =
                self.all.iter().filter(|held| gone(held)).map(|held| (held.state_since, held.encoded.key)).collect();
            since.sort_unstable();
            for (_, key) in since.into_iter().take(count - MAX_TOMBSTONES) {
                if let Some(&slot) = self.slots.get(&key) {
                    self.remove(slot as usize);
                }
            }
        }
    }

    /// Forgets everybody but one.
    pub fn retain_only(&mut self, key: MemberId) {
        let own = self.get(key).cloned();
        *self = Self::default();
        if let Some(own) = own {
            self.slots.insert(key, 0);
            self.all.push(own);
            self.count_in(0, true);
        }
    }
}
