//! Interned byte strings: each is stored once and identified by a small number.

use std::hash::Hasher;
use std::mem::size_of_val;

use rustc_hash::FxHasher;

/// Marks a slot of the hash table that is empty.
const EMPTY: u32 = u32::MAX;
/// Slots of the hash table when the first name is added.
const MIN_SLOTS: usize = 8;

/// Number of a name, from 0 in the order of first use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct NameId(pub u32);

/// Interned names: one buffer with all texts, and an open-addressing hash table of their numbers.
#[derive(Debug, Default)]
pub(crate) struct NameTable {
    text: Vec<u8>,
    /// End of each name in `text`; a name begins at the end of the previous one.
    ends: Vec<u32>,
    /// Hash table of numbers with linear probing; at most half of the slots are used, and their count is a
    /// power of two.
    slots: Vec<u32>,
}

impl NameTable {
    /// Returns the number of a name, and adds the name if it is new.
    ///
    /// # Panics
    /// If the text reaches 4 GiB, which is far above the size limit of configurations.
    pub fn intern(&mut self, name: &[u8]) -> NameId {
        if self.slots.len() < 2 * (self.ends.len() + 1) {
            self.grow();
        }
        let slot = self.slot(name);
        if self.slots[slot] == EMPTY {
            self.slots[slot] = self.ends.len() as u32;
            self.text.extend_from_slice(name);
            let end = u32::try_from(self.text.len()).expect("interned names are smaller than 4 GiB");
            self.ends.push(end);
        }
        NameId(self.slots[slot])
    }

    /// Returns the number of a name, if it was added.
    pub fn find(&self, name: &[u8]) -> Option<NameId> {
        if self.slots.is_empty() {
            return None;
        }
        let number = self.slots[self.slot(name)];
        (number != EMPTY).then_some(NameId(number))
    }

    /// Returns the name with a number.
    pub fn get(&self, id: NameId) -> &[u8] {
        let number = id.0 as usize;
        let start = number.checked_sub(1).map_or(0, |previous| self.ends[previous]);
        &self.text[start as usize..self.ends[number] as usize]
    }

    /// Number of names.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Frees unused capacity.
    pub fn shrink_to_fit(&mut self) {
        self.text.shrink_to_fit();
        self.ends.shrink_to_fit();
    }

    /// Allocated bytes.
    pub fn memory_bytes(&self) -> usize {
        self.text.capacity() + self.ends.capacity() * size_of::<u32>() + size_of_val(&*self.slots)
    }

    /// The slot of a name, or the empty slot where it would be inserted.
    fn slot(&self, name: &[u8]) -> usize {
        let mask = self.slots.len() - 1;
        let mut slot = hash(name) as usize & mask;
        while self.slots[slot] != EMPTY && self.get(NameId(self.slots[slot])) != name {
            slot = (slot + 1) & mask;
        }
        slot
    }

    fn grow(&mut self) {
        let count = (2 * self.slots.len()).max(MIN_SLOTS);
        self.slots = vec![EMPTY; count];
        for number in 0..self.ends.len() as u32 {
            let slot = self.slot(self.get(NameId(number)));
            self.slots[slot] = number;
        }
    }
}

fn hash(name: &[u8]) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(name);
    hasher.finish()
}
