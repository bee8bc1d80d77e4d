//! All that is held of members: a join of everything heard, its fingerprint, and what is forgotten.

use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::Nanos;
use crate::card::{Card, Key, hash};
use crate::settings::{MOST_GONE, MOST_MEMBERS};
use crate::state::{State, Version};
use crate::wire::Entry;

/// Parts of a view that are compared one by one, by the first bits of keys.
pub const PARTS: usize = 64;
/// Ages travel in these.
const AGE_UNIT: i64 = 100_000_000;

/// A member's saying of itself, read, and as the bytes that came: those are passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Said {
    /// What it says.
    pub card: Card,
    raw: Vec<u8>,
    key: Key,
    digest: u64,
}

impl Said {
    /// A card with its bytes.
    #[must_use]
    pub fn new(card: Card, raw: Vec<u8>) -> Arc<Self> {
        let (key, digest) = (card.key(), hash(&[&raw]));
        Arc::new(Self { card, raw, key, digest })
    }

    /// Who says it.
    #[must_use]
    pub fn key(&self) -> Key {
        self.key
    }

    /// Memory that it takes with its texts, in bytes, both counts of references included.
    fn bytes(&self) -> usize {
        let Card { name, address, zone, program, offers, .. } = &self.card;
        let texts = [name, address, zone, program].into_iter().chain(offers).map(String::capacity);
        let list = offers.capacity() * size_of::<String>();
        size_of::<Self>() + 2 * size_of::<usize>() + self.raw.capacity() + list + texts.sum::<usize>()
    }
}

/// What is held of a member.
#[derive(Clone, Debug)]
pub struct Held {
    /// Its own saying.
    pub said: Arc<Said>,
    /// What it is held for.
    pub state: State,
    /// Whether its own kernel said so, by refusing connections.
    pub refused: bool,
    /// Whether this member reaches it itself.
    pub here: bool,
    /// Questions in a row that it answered through others alone.
    pub missed: u8,
    /// Changes of late, and when the last one was.
    pub flaps: u8,
    /// Since when it is held so, by this process's clock; before its start where others told of it.
    pub since: i64,
    /// When this member last heard from it itself; never: the least there is.
    pub heard: i64,
    /// Who said so first, of its own seeing.
    pub witness: Key,
}

impl Held {
    /// Which saying, and what of it.
    #[must_use]
    pub fn version(&self) -> Version {
        Version { stamp: self.said.card.stamp(), state: self.state }
    }

    fn mark(&self) -> u64 {
        // States are few: each is another rotation of what the card's bytes come to.
        self.said.digest.rotate_left(9 * self.state.number())
    }

    /// As it travels.
    #[must_use]
    pub fn entry(&self, now: Nanos) -> Entry {
        let age = (now as i64).saturating_sub(self.since).max(0) / AGE_UNIT;
        Entry {
            card: self.said.raw.clone(),
            state: self.state.number(),
            age: u32::try_from(age).unwrap_or(u32::MAX),
            witness: self.witness.0,
            refused: self.refused,
        }
    }
}

/// Something heard of a member.
#[derive(Clone, Debug)]
pub struct Hearsay {
    /// Its own saying.
    pub said: Arc<Said>,
    /// What it is said to be.
    pub state: State,
    /// Whether its own kernel said so.
    pub refused: bool,
    /// Since when, by this process's clock.
    pub since: i64,
    /// Who says so of its own seeing.
    pub witness: Key,
}

impl Hearsay {
    /// Which saying, and what of it.
    #[must_use]
    pub fn version(&self) -> Version {
        Version { stamp: self.said.card.stamp(), state: self.state }
    }
}

/// Reads an entry; `None` where it is none, or of a later version's states.
#[must_use]
pub fn read(entry: &Entry, now: Nanos) -> Option<Hearsay> {
    let card = Card::read(&entry.card).ok()?;
    let state = State::of(entry.state)?;
    let since = (now as i64).saturating_sub(i64::from(entry.age) * AGE_UNIT);
    let said = Said::new(card, entry.card.clone());
    Some(Hearsay { said, state, refused: entry.refused, since, witness: Key(entry.witness) })
}

/// What became of something heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merged {
    /// The member was not known.
    New,
    /// It counts from now on; what the member was held for before.
    Newer(State),
    /// As it was.
    Same,
    /// What is held counts more, or there is no room.
    Older,
}

/// The table.
#[derive(Clone, Debug)]
pub struct Table {
    slots: FxHashMap<Key, u32>,
    all: Vec<Held>,
    parts: [u64; PARTS],
    counts: [u32; State::ALL.len()],
}

impl Default for Table {
    fn default() -> Self {
        Self {
            slots: FxHashMap::default(),
            all: Vec::new(),
            parts: [0; PARTS],
            counts: [0; State::ALL.len()],
        }
    }
}

fn part(key: Key) -> usize {
    (key.0 >> (u64::BITS - PARTS.trailing_zeros())) as usize
}

impl Table {
    /// What is held of a member.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&Held> {
        self.slots.get(&key).map(|&slot| &self.all[slot as usize])
    }

    /// The same, for what is not part of the fingerprint.
    pub(crate) fn get_mut(&mut self, key: Key) -> Option<&mut Held> {
        self.slots.get(&key).map(|&slot| &mut self.all[slot as usize])
    }

    /// All, in no order that matters.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = &Held> {
        self.all.iter()
    }

    /// How many are held for this.
    #[must_use]
    pub fn count(&self, state: State) -> usize {
        self.counts[state.number() as usize] as usize
    }

    /// How many take part.
    #[must_use]
    pub fn there(&self) -> usize {
        State::ALL.into_iter().filter(|state| state.is_there()).map(|state| self.count(state)).sum()
    }

    /// The entry at a place, for draws.
    #[must_use]
    pub fn at(&self, place: usize) -> &Held {
        &self.all[place]
    }

    /// Entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Memory that it takes, counted by what it has reserved; what the allocator adds is not known here.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let slots = self.slots.capacity() * (size_of::<(Key, u32)>() + 1);
        let entries = self.all.capacity() * size_of::<Held>();
        let said: usize = self.all.iter().map(|held| held.said.bytes()).sum();
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
    pub fn parts(&self) -> &[u64; PARTS] {
        &self.parts
    }

    /// Entries of some parts.
    pub fn of_parts<'a>(&'a self, parts: &'a [u64]) -> impl Iterator<Item = &'a Held> {
        self.all.iter().filter(|held| parts.contains(&(part(held.said.key) as u64)))
    }

    /// Takes what was heard, where it counts more than what is held. What only differs by who says so changes nothing.
    pub fn merge(&mut self, heard: &Hearsay) -> Merged {
        let key = heard.said.key;
        let Some(&slot) = self.slots.get(&key) else {
            if self.all.len() >= MOST_MEMBERS {
                return Merged::Older;
            }
            self.slots.insert(key, self.all.len() as u32);
            self.all.push(Held {
                said: heard.said.clone(),
                state: heard.state,
                refused: heard.refused,
                here: true,
                missed: 0,
                flaps: 0,
                since: heard.since,
                heard: i64::MIN,
                witness: heard.witness,
            });
            self.count_in(self.all.len() - 1, true);
            return Merged::New;
        };
        let slot = slot as usize;
        let held = &self.all[slot];
        // Two names of one key, or two sayings under one stamp: whoever sees both keeps the same one.
        let order = (heard.version(), heard.said.digest).cmp(&(held.version(), held.said.digest));
        match order {
            std::cmp::Ordering::Less => return Merged::Older,
            std::cmp::Ordering::Equal => return Merged::Same,
            std::cmp::Ordering::Greater => {}
        }
        if heard.said.card.name != held.said.card.name {
            return Merged::Older;
        }
        let before = held.state;
        self.count_in(slot, false);
        let held = &mut self.all[slot];
        held.said = heard.said.clone();
        held.state = heard.state;
        held.refused = heard.refused;
        held.since = heard.since;
        held.witness = heard.witness;
        self.count_in(slot, true);
        Merged::Newer(before)
    }

    fn count_in(&mut self, slot: usize, is_in: bool) {
        let held = &self.all[slot];
        self.parts[part(held.said.key)] ^= held.mark();
        let count = &mut self.counts[held.state.number() as usize];
        *count = if is_in { *count + 1 } else { *count - 1 };
    }

    fn remove(&mut self, slot: usize) {
        self.count_in(slot, false);
        let gone = self.all.swap_remove(slot);
        self.slots.remove(&gone.said.key);
        if let Some(moved) = self.all.get(slot) {
            self.slots.insert(moved.said.key, slot as u32);
        }
    }

    /// Forgets whoever has been gone for too long, and the oldest of those where they are too many.
    pub fn forget(&mut self, now: Nanos, memory: Nanos) {
        let gone = |held: &Held| !held.state.is_there();
        let mut slot = 0;
        while slot < self.all.len() {
            let held = &self.all[slot];
            if gone(held) && (now as i64).saturating_sub(held.since) > memory as i64 {
                self.remove(slot);
            } else {
                slot += 1;
            }
        }
        let count = self.count(State::Dead) + self.count(State::Left);
        if count > MOST_GONE {
            let mut since: Vec<_> =
                self.all.iter().filter(|held| gone(held)).map(|held| (held.since, held.said.key)).collect();
            since.sort_unstable();
            for (_, key) in since.into_iter().take(count - MOST_GONE) {
                if let Some(&slot) = self.slots.get(&key) {
                    self.remove(slot as usize);
                }
            }
        }
    }

    /// Forgets everybody but one.
    pub fn keep_only(&mut self, key: Key) {
        let own = self.get(key).cloned();
        *self = Self::default();
        if let Some(own) = own {
            self.slots.insert(key, 0);
            self.all.push(own);
            self.count_in(0, true);
        }
    }
}
