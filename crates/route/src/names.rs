//! Byte strings that are stored once each and known by small numbers.

use std::hash::Hasher;
use std::mem::size_of_val;

use rustc_hash::FxHasher;

/// A slot of the hash table that holds no name.
const EMPTY: u32 = u32::MAX;
/// Slots of a table when its first name is added.
const FEWEST_SLOTS: usize = 8;

/// A name's number, from 0 in the order of first use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct NameId(pub u32);

/// Interned names: one text for all of them, and an open-addressing hash table of their numbers.
#[derive(Debug, Default)]
pub(crate) struct Names {
    text: Vec<u8>,
    /// Where each name ends in `text`; it begins where the one before it ends.
    ends: Vec<u32>,
    /// Numbers of names, by linear probing; at most half of the slots are taken, and their count is a power of two.
    slots: Vec<u32>,
}

impl Names {
    /// The number of a name, which is added where it is new.
    ///
    /// # Panics
    /// With 4 GiB of text: configurations are bounded far below.
    pub fn intern(&mut self, name: &[u8]) -> NameId {
        if self.slots.len() < 2 * (self.ends.len() + 1) {
            self.grow();
        }
        let slot = self.slot(name);
        if self.slots[slot] == EMPTY {
            self.slots[slot] = self.ends.len() as u32;
            self.text.extend_from_slice(name);
            let end = u32::try_from(self.text.len()).expect("names have less than 4 GiB");
            self.ends.push(end);
        }
        NameId(self.slots[slot])
    }

    /// The number of a name, if it is known.
    pub fn find(&self, name: &[u8]) -> Option<NameId> {
        if self.slots.is_empty() {
            return None;
        }
        let number = self.slots[self.slot(name)];
        (number != EMPTY).then_some(NameId(number))
    }

    /// The name of a number.
    pub fn get(&self, id: NameId) -> &[u8] {
        let number = id.0 as usize;
        let start = number.checked_sub(1).map_or(0, |before| self.ends[before]);
        &self.text[start as usize..self.ends[number] as usize]
    }

    /// How many names there are.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Gives back what was reserved for more names.
    pub fn shrink(&mut self) {
        self.text.shrink_to_fit();
        self.ends.shrink_to_fit();
    }

    /// Bytes on the heap.
    pub fn heap_bytes(&self) -> usize {
        self.text.capacity() + self.ends.capacity() * size_of::<u32>() + size_of_val(&*self.slots)
    }

    /// The slot that holds a name, or the empty one where it belongs.
    fn slot(&self, name: &[u8]) -> usize {
        let mask = self.slots.len() - 1;
        let mut slot = hash(name) as usize & mask;
        while self.slots[slot] != EMPTY && self.get(NameId(self.slots[slot])) != name {
            slot = (slot + 1) & mask;
        }
        slot
    }

    fn grow(&mut self) {
        let count = (2 * self.slots.len()).max(FEWEST_SLOTS);
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
