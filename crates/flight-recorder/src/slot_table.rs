//! Exact sums by time slot and key, in bounded memory.
//!
//! Slots start one second wide. When the table is full, the width doubles and adjacent slots are merged; when a single slot
//! is still too large, its last keys are merged into [`Key::OTHER`]. The sum over all rows never changes.

use std::collections::BTreeMap;

use pumicehead_policy::{Nanos, SECOND};

use crate::wire_format::{Reader, put_varint};

/// Totals that can be added.
pub trait Row: Default + Clone {
    /// Adds another row.
    fn add(&mut self, other: &Self);
    /// Appends the stored form.
    fn write(&self, out: &mut Vec<u8>);
    /// Reads the stored form.
    fn read(from: &mut Reader<'_>) -> Option<Self>;
}

/// Key of a row.
pub trait Key: Ord + Copy {
    /// Key of the row into which other rows are merged for lack of memory.
    const OTHER: Self;
    /// Appends the stored form.
    fn write(&self, out: &mut Vec<u8>);
    /// Reads the stored form.
    fn read(from: &mut Reader<'_>) -> Option<Self>;
}

/// Rows by time slot and key.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotTable<K, V> {
    pub(crate) start: Nanos,
    pub(crate) width: Nanos,
    max_rows: usize,
    rows: BTreeMap<(u32, K), V>,
}

impl<K: Key, V: Row> SlotTable<K, V> {
    /// Creates an empty table that starts at `start` and holds at most `max_rows` rows, and one more for [`Key::OTHER`].
    #[must_use]
    pub fn new(start: Nanos, max_rows: usize) -> Self {
        Self { start, width: SECOND, max_rows: max_rows.max(2), rows: BTreeMap::new() }
    }

    fn slot(&self, at: Nanos) -> u32 {
        u32::try_from(at.saturating_sub(self.start) / self.width).unwrap_or(u32::MAX)
    }

    /// Returns the row of a time and a key, so that it can be added to. In a full table that may be the row of
    /// [`Key::OTHER`].
    pub fn row_mut(&mut self, at: Nanos, key: K) -> &mut V {
        let mut key = key;
        while self.rows.len() >= self.max_rows && !self.rows.contains_key(&(self.slot(at), key)) {
            if self.rows.keys().next_back().is_some_and(|&(slot, _)| slot > 0) || self.slot(at) > 0 {
                self.double_slot_width();
            } else if key == K::OTHER || self.rows.contains_key(&(0, K::OTHER)) {
                key = K::OTHER;
                break;
            } else {
                self.merge_last_row_into_other();
            }
        }
        self.rows.entry((self.slot(at), key)).or_default()
    }

    /// Doubles the width of slots and merges adjacent ones.
    fn double_slot_width(&mut self) {
        self.width = self.width.saturating_mul(2);
        for ((slot, key), row) in std::mem::take(&mut self.rows) {
            self.rows.entry((slot / 2, key)).or_default().add(&row);
        }
    }

    /// Merges the last row of the first slot into [`Key::OTHER`].
    fn merge_last_row_into_other(&mut self) {
        if let Some((_, row)) = self.rows.pop_last() {
            self.rows.entry((0, K::OTHER)).or_default().add(&row);
        }
    }

    /// Returns the width of a slot.
    #[must_use]
    pub fn width(&self) -> Nanos {
        self.width
    }

    /// Returns the number of rows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there are no rows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the rows of slots that start in a time range, with the start of their slot.
    pub fn rows_between(&self, from: Nanos, to: Nanos) -> impl Iterator<Item = (Nanos, K, &V)> {
        self.rows.iter().filter_map(move |(&(slot, key), row)| {
            let at = self.start.saturating_add(u64::from(slot).saturating_mul(self.width));
            (from <= at && at < to).then_some((at, key, row))
        })
    }

    /// Appends the stored form.
    pub fn write(&self, out: &mut Vec<u8>) {
        put_varint(out, self.start);
        put_varint(out, self.width);
        put_varint(out, self.rows.len() as u64);
        for ((slot, key), row) in &self.rows {
            put_varint(out, u64::from(*slot));
            key.write(out);
            row.write(out);
        }
    }

    /// Reads the stored form.
    pub fn read(from: &mut Reader<'_>) -> Option<Self> {
        let (start, width, count) = (from.varint()?, from.varint()?, from.varint_as::<usize>()?);
        let mut rows = BTreeMap::new();
        for _ in 0..count {
            rows.insert((from.varint_as()?, K::read(from)?), V::read(from)?);
        }
        (width > 0).then_some(Self { start, width, max_rows: count.max(2), rows })
    }
}
