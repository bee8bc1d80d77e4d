//! Replicates a table over a connection. Only changes are sent, together with a digest of the whole table, so
//! that a difference caused by a fault on either side is detected with the next change.
//!
//! Entries are transferred as the bytes that the sender encoded. A receiver of an older version, which skips
//! unknown fields when it decodes them, therefore computes the same digest.

use std::collections::BTreeMap;

use bytes::Bytes;
use thiserror::Error;

/// Maximum number of entries in a table: ten times the endpoints of the largest deployment.
pub const MAX_ENTRIES: usize = 25_000;
/// Maximum size of a value in bytes.
pub const MAX_ENTRY_BYTES: usize = 1_024;
/// Bytes that the key of a removed entry counts towards the size limit of a delta.
const KEY_BYTES: usize = 4;
/// Bytes that an entry, in addition to its value, counts towards the size limit of a delta.
const ENTRY_OVERHEAD_BYTES: usize = 8;

/// Values by key.
pub type Table = BTreeMap<u32, Bytes>;

/// Changes to a table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TableDelta {
    /// Whether the table is cleared before the changes are applied.
    pub replaces_all: bool,
    /// New and changed entries.
    pub set: Vec<(u32, Bytes)>,
    /// Keys of removed entries.
    pub removed: Vec<u32>,
    /// Digest of the whole table after the changes.
    pub digest: u64,
}

/// Why a delta cannot be applied. The table is empty afterwards, and the whole table has to be requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SyncError {
    /// The digest of the table differs from the sender's.
    #[error("table digest mismatch: the table differs from the sender's")]
    DigestMismatch,
    /// The table has more than [`MAX_ENTRIES`].
    #[error("table too large: more than {MAX_ENTRIES} entries")]
    TooManyEntries,
    /// A value is longer than [`MAX_ENTRY_BYTES`].
    #[error("table entry too long: more than {MAX_ENTRY_BYTES} bytes")]
    EntryTooLong,
}

/// Returns the digest of an entry. The digest of a table is the sum of the digests of its entries, so that it
/// can be updated with the changed entries only. It detects faults, but does not protect against malicious
/// peers, which are kept out by authentication.
fn entry_digest(key: u32, value: &[u8]) -> u64 {
    let mut hash = splitmix64(u64::from(key) << 32 | value.len() as u64);
    for chunk in value.chunks(8) {
        let mut word = [0; 8];
        word[..chunk.len()].copy_from_slice(chunk);
        hash = splitmix64(hash ^ u64::from_le_bytes(word));
    }
    hash
}

/// One step of splitmix64. Unlike the hash functions of libraries, it is the same in all versions.
pub(crate) fn splitmix64(word: u64) -> u64 {
    let word = word.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

/// The sending side of a replicated table.
#[derive(Debug, Default)]
pub struct TableSender {
    sent: Table,
    digest: u64,
    started: bool,
}

impl TableSender {
    /// Returns the changes since the last call. New and changed entries are limited to `max_bytes`, and the
    /// others follow with the next calls. Returns `None` if nothing changed.
    pub fn delta(&mut self, table: &Table, max_bytes: usize) -> Option<TableDelta> {
        let replaces_all = !self.started;
        self.started = true;
        let removed = self.remove_missing(table);
        let set = self.set_changed(table, max_bytes, removed.len() * KEY_BYTES);
        let is_empty = !replaces_all && set.is_empty() && removed.is_empty();
        (!is_empty).then_some(TableDelta { replaces_all, set, removed, digest: self.digest })
    }

    /// Removes entries that are no longer in the table, and returns their keys.
    fn remove_missing(&mut self, table: &Table) -> Vec<u32> {
        let missing: Vec<u32> = self.sent.keys().filter(|key| !table.contains_key(key)).copied().collect();
        for key in &missing {
            if let Some(old) = self.sent.remove(key) {
                self.digest = self.digest.wrapping_sub(entry_digest(*key, &old));
            }
        }
        missing
    }

    /// Sets new and changed entries, and returns them. Returns at least one if there are any, and otherwise no
    /// more than fit into `max_bytes`, of which `size` are already in use.
    fn set_changed(&mut self, table: &Table, max_bytes: usize, mut size: usize) -> Vec<(u32, Bytes)> {
        let mut set = Vec::new();
        for (&key, value) in table {
            let old = self.sent.get(&key);
            if old == Some(value) {
                continue;
            }
            size += value.len() + ENTRY_OVERHEAD_BYTES;
            if size > max_bytes && !set.is_empty() {
                break;
            }
            let old_digest = old.map_or(0, |old| entry_digest(key, old));
            self.digest = self.digest.wrapping_sub(old_digest).wrapping_add(entry_digest(key, value));
            self.sent.insert(key, value.clone());
            set.push((key, value.clone()));
        }
        set
    }

    /// Makes the next delta contain the whole table, for a receiver that has lost its replica.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

/// The receiving side of a replicated table.
#[derive(Debug, Default)]
pub struct TableReplica {
    table: Table,
    digest: u64,
}

impl TableReplica {
    /// The sender's table as far as it was received.
    #[must_use]
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Applies changes to the table.
    ///
    /// # Errors
    /// Returns why the changes cannot be applied. The table is empty in that case.
    pub fn apply(&mut self, delta: &TableDelta) -> Result<(), SyncError> {
        let result = self.try_apply(delta);
        if result.is_err() {
            *self = Self::default();
        }
        result
    }

    fn try_apply(&mut self, delta: &TableDelta) -> Result<(), SyncError> {
        if delta.replaces_all {
            *self = Self::default();
        }
        for &key in &delta.removed {
            if let Some(old) = self.table.remove(&key) {
                self.digest = self.digest.wrapping_sub(entry_digest(key, &old));
            }
        }
        for (key, value) in &delta.set {
            if value.len() > MAX_ENTRY_BYTES {
                return Err(SyncError::EntryTooLong);
            }
            // Copied, since a slice would keep the whole received frame in memory.
            if let Some(old) = self.table.insert(*key, Bytes::copy_from_slice(value)) {
                self.digest = self.digest.wrapping_sub(entry_digest(*key, &old));
            }
            self.digest = self.digest.wrapping_add(entry_digest(*key, value));
            if self.table.len() > MAX_ENTRIES {
                return Err(SyncError::TooManyEntries);
            }
        }
        if self.digest == delta.digest { Ok(()) } else { Err(SyncError::DigestMismatch) }
    }
}
