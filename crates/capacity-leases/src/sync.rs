//! A table kept equal on two sides of a connection: changes only, and a digest of all, so that a fault of either side is
//! found with the next change and not never.
//!
//! Entries are bytes as their writer made them. So a reader of an older version, which skips fields that it does not know,
//! finds the same digest.

use std::collections::BTreeMap;

use bytes::Bytes;
use thiserror::Error;

/// Most entries of a table: ten times the servers of the largest fleet that this is meant for.
pub const MOST_ENTRIES: usize = 25_000;
/// Longest entry.
pub const LONGEST_ENTRY: usize = 1_024;

/// What a table holds.
pub type Table = BTreeMap<u32, Bytes>;

/// What has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// Everything that was there before is gone.
    pub whole: bool,
    /// New or other entries.
    pub set: Vec<(u32, Bytes)>,
    /// Entries that are gone.
    pub gone: Vec<u32>,
    /// Of the whole table once this is applied.
    pub digest: u64,
}

/// A delta that can't be applied. The table is empty afterwards, and the whole has to be asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SyncError {
    /// The digests differ.
    #[error("the table differs from its sender's")]
    Differs,
    /// Too many entries.
    #[error("more than {MOST_ENTRIES} entries")]
    TooMany,
    /// Too long an entry.
    #[error("an entry of more than {LONGEST_ENTRY} bytes")]
    TooLong,
}

/// Of one entry; those of all are added up, so that a change needs no look at the others. Against faults, not against
/// peers who mean harm: those hold a certificate.
fn digest(key: u32, value: &[u8]) -> u64 {
    let mut hash = mix(u64::from(key) << 32 | value.len() as u64);
    for chunk in value.chunks(8) {
        let mut word = [0; 8];
        word[..chunk.len()].copy_from_slice(chunk);
        hash = mix(hash ^ u64::from_le_bytes(word));
    }
    hash
}

/// The finisher of splitmix64: the same in all versions, as hashers of libraries are not.
pub(crate) fn mix(word: u64) -> u64 {
    let word = word.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

/// The sending side of one connection.
#[derive(Debug, Default)]
pub struct Source {
    sent: Table,
    digest: u64,
    begun: bool,
}

impl Source {
    /// What has changed since the last call, as far as some bytes reach; the rest comes with the next calls. `None` where
    /// nothing has.
    pub fn delta(&mut self, table: &Table, most_bytes: usize) -> Option<Delta> {
        let mut delta = Delta { whole: !self.begun, ..Delta::default() };
        self.begun = true;
        let gone: Vec<u32> = self.sent.keys().filter(|key| !table.contains_key(key)).copied().collect();
        for key in gone {
            if let Some(old) = self.sent.remove(&key) {
                self.digest = self.digest.wrapping_sub(digest(key, &old));
            }
            delta.gone.push(key);
        }
        let mut size = delta.gone.len() * 4;
        for (&key, value) in table {
            let old = self.sent.get(&key);
            if old == Some(value) {
                continue;
            }
            size += value.len() + 8;
            if size > most_bytes && !delta.set.is_empty() {
                break;
            }
            let less = old.map_or(0, |old| digest(key, old));
            self.digest = self.digest.wrapping_sub(less).wrapping_add(digest(key, value));
            self.sent.insert(key, value.clone());
            delta.set.push((key, value.clone()));
        }
        delta.digest = self.digest;
        (delta.whole || !delta.set.is_empty() || !delta.gone.is_empty()).then_some(delta)
    }

    /// The other side has lost its table: the next delta is the whole.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

/// The receiving side of one connection.
#[derive(Debug, Default)]
pub struct Mirror {
    table: Table,
    digest: u64,
}

impl Mirror {
    /// What the sender has, as far as it is known.
    #[must_use]
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Takes changes in.
    ///
    /// # Errors
    /// Why they can't be; the table is empty then.
    pub fn apply(&mut self, delta: &Delta) -> Result<(), SyncError> {
        let done = self.try_apply(delta);
        if done.is_err() {
            *self = Self::default();
        }
        done
    }

    fn try_apply(&mut self, delta: &Delta) -> Result<(), SyncError> {
        if delta.whole {
            *self = Self::default();
        }
        for &key in &delta.gone {
            if let Some(old) = self.table.remove(&key) {
                self.digest = self.digest.wrapping_sub(digest(key, &old));
            }
        }
        for (key, value) in &delta.set {
            if value.len() > LONGEST_ENTRY {
                return Err(SyncError::TooLong);
            }
            // Copied: a view would keep the whole frame that it came in for as long as one entry is there.
            if let Some(old) = self.table.insert(*key, Bytes::copy_from_slice(value)) {
                self.digest = self.digest.wrapping_sub(digest(*key, &old));
            }
            self.digest = self.digest.wrapping_add(digest(*key, value));
            if self.table.len() > MOST_ENTRIES {
                return Err(SyncError::TooMany);
            }
        }
        if self.digest == delta.digest { Ok(()) } else { Err(SyncError::Differs) }
    }
}
