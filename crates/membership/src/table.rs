//! The member table: the winning claim about each member, with digests for comparing tables.

use std::cmp::Ordering;

use rustc_hash::FxHashMap;

use crate::Nanos;
use crate::entry::{MemberClaim, MemberEntry};
use crate::record::MemberId;
use crate::settings::{MAX_MEMBERS, MAX_TOMBSTONES};
use crate::state::MemberState;

/// Number of partitions of the id space, by the highest bits of an id. Anti-entropy compares one digest per partition.
pub const PARTITIONS: usize = 64;

/// The effect of merging a claim into a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The member was unknown.
    Inserted,
    /// The claim replaced the known one.
    Updated {
        /// The member's state before the merge.
        previous: MemberState,
    },
    /// The table already has the same record and state. A different reporter or age alone changes nothing.
    Unchanged,
    /// The table has a claim of higher precedence or another member with the same id, or is full.
    Ignored,
}

/// The entries of all known members, including the local one. Merging is commutative, associative and idempotent: tables that
/// have received the same claims are equal.
#[derive(Clone, Debug)]
pub struct MemberTable {
    slots: FxHashMap<MemberId, u32>,
    entries: Vec<MemberEntry>,
    partition_digests: [u64; PARTITIONS],
    state_counts: [u32; MemberState::ALL.len()],
}

impl Default for MemberTable {
    fn default() -> Self {
        Self {
            slots: FxHashMap::default(),
            entries: Vec::new(),
            partition_digests: [0; PARTITIONS],
            state_counts: [0; MemberState::ALL.len()],
        }
    }
}

fn partition(id: MemberId) -> usize {
    (id.0 >> (u64::BITS - PARTITIONS.trailing_zeros())) as usize
}

impl MemberTable {
    /// The entry of a member.
    #[must_use]
    pub fn get(&self, id: MemberId) -> Option<&MemberEntry> {
        self.slots.get(&id).map(|&slot| &self.entries[slot as usize])
    }

    /// The entry of a member. Only fields that are not part of the digests may be changed.
    pub(crate) fn get_mut(&mut self, id: MemberId) -> Option<&mut MemberEntry> {
        self.slots.get(&id).map(|&slot| &mut self.entries[slot as usize])
    }

    /// Iterates over all entries, in no particular order.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = &MemberEntry> {
        self.entries.iter()
    }

    /// The entry in a slot below [`MemberTable::len`], for random draws.
    #[must_use]
    pub fn entry_at(&self, slot: usize) -> &MemberEntry {
        &self.entries[slot]
    }

    /// Number of members in a state.
    #[must_use]
    pub fn count_in_state(&self, state: MemberState) -> usize {
        self.state_counts[state.code() as usize] as usize
    }

    /// Number of active members; see [`MemberState::is_active`].
    #[must_use]
    pub fn active_count(&self) -> usize {
        let active = MemberState::ALL.into_iter().filter(|state| state.is_active());
        active.map(|state| self.count_in_state(state)).sum()
    }

    /// Whether a member is known and active.
    #[must_use]
    pub fn is_active(&self, id: MemberId) -> bool {
        self.get(id).is_some_and(|entry| entry.state.is_active())
    }

    /// Number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no member is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Allocated memory in bytes, without the allocator's own overhead.
    #[must_use]
    pub fn allocated_bytes(&self) -> usize {
        let slots = self.slots.capacity() * (size_of::<(MemberId, u32)>() + 1);
        let entries = self.entries.capacity() * size_of::<MemberEntry>();
        let records: usize = self.entries.iter().map(|entry| entry.encoded.allocated_bytes()).sum();
        size_of::<Self>() + slots + entries + records
    }

    /// Digest of the whole table. It is the same for tables with equal records and states.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        let rotated = self.partition_digests.iter().zip(1u32..);
        rotated.fold(0, |sum, (digest, position)| sum ^ digest.rotate_left(position))
    }

    /// Digests of all partitions.
    #[must_use]
    pub fn partition_digests(&self) -> &[u64; PARTITIONS] {
        &self.partition_digests
    }

    /// Iterates over the entries in some partitions, given by index.
    pub fn entries_in_partitions<'a>(
        &'a self,
        partitions: &'a [u64],
    ) -> impl Iterator<Item = &'a MemberEntry> {
        self.entries.iter().filter(|entry| partitions.contains(&(partition(entry.id()) as u64)))
    }

    /// Merges a claim into the table.
    pub fn merge(&mut self, claim: &MemberClaim) -> MergeOutcome {
        let Some(&slot) = self.slots.get(&claim.id()) else { return self.insert(claim) };
        let slot = slot as usize;
        let entry = &self.entries[slot];
        // Of two records with the same version and state, the one with the greater hash wins, which is the same in all tables.
        let order =
            (claim.precedence(), claim.encoded.hash()).cmp(&(entry.precedence(), entry.encoded.hash()));
        match order {
            Ordering::Less => return MergeOutcome::Ignored,
            Ordering::Equal => return MergeOutcome::Unchanged,
            Ordering::Greater => {}
        }
        // Another name with the same id: the hash of the names collides, and the known member stays.
        if claim.record().name != entry.record().name {
            return MergeOutcome::Ignored;
        }
        let previous = entry.state;
        self.subtract_from_digests(slot);
        let entry = &mut self.entries[slot];
        entry.encoded = claim.encoded.clone();
        entry.state = claim.state;
        entry.connection_refused = claim.connection_refused;
        entry.state_since = claim.state_since;
        entry.reporter = claim.reporter;
        self.add_to_digests(slot);
        MergeOutcome::Updated { previous }
    }

    fn insert(&mut self, claim: &MemberClaim) -> MergeOutcome {
        if self.entries.len() >= MAX_MEMBERS {
            return MergeOutcome::Ignored;
        }
        self.slots.insert(claim.id(), self.entries.len() as u32);
        self.entries.push(MemberEntry::new(claim));
        self.add_to_digests(self.entries.len() - 1);
        MergeOutcome::Inserted
    }

    fn add_to_digests(&mut self, slot: usize) {
        let entry = &self.entries[slot];
        self.partition_digests[partition(entry.id())] ^= entry.digest();
        self.state_counts[entry.state.code() as usize] += 1;
    }

    fn subtract_from_digests(&mut self, slot: usize) {
        let entry = &self.entries[slot];
        self.partition_digests[partition(entry.id())] ^= entry.digest();
        self.state_counts[entry.state.code() as usize] -= 1;
    }

    fn remove(&mut self, slot: usize) {
        self.subtract_from_digests(slot);
        let removed = self.entries.swap_remove(slot);
        self.slots.remove(&removed.id());
        if let Some(moved) = self.entries.get(slot) {
            self.slots.insert(moved.id(), slot as u32);
        }
    }

    /// Removes members that have been dead or left for longer than `retention`, and the oldest tombstones beyond
    /// [`MAX_TOMBSTONES`].
    pub fn remove_expired_tombstones(&mut self, now: Nanos, retention: Nanos) {
        let mut slot = 0;
        while slot < self.entries.len() {
            let entry = &self.entries[slot];
            if !entry.state.is_active() && entry.age(now) > retention {
                self.remove(slot);
            } else {
                slot += 1;
            }
        }
        let tombstones = self.count_in_state(MemberState::Dead) + self.count_in_state(MemberState::Left);
        self.remove_oldest_tombstones(tombstones.saturating_sub(MAX_TOMBSTONES));
    }

    fn remove_oldest_tombstones(&mut self, excess: usize) {
        if excess == 0 {
            return;
        }
        let tombstones = self.entries.iter().filter(|entry| !entry.state.is_active());
        let mut by_age: Vec<_> = tombstones.map(|entry| (entry.state_since, entry.id())).collect();
        by_age.sort_unstable();
        for (_, id) in by_age.into_iter().take(excess) {
            if let Some(&slot) = self.slots.get(&id) {
                self.remove(slot as usize);
            }
        }
    }

    /// Removes all entries except that of the given member.
    pub fn retain_only(&mut self, id: MemberId) {
        let kept = self.get(id).cloned();
        *self = Self::default();
        if let Some(kept) = kept {
            self.slots.insert(id, 0);
            self.entries.push(kept);
            self.add_to_digests(0);
        }
    }
}
