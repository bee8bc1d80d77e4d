//! The order of the routes: a list that takes moves without a search, and the fewest moves between two orders.

use std::collections::{HashMap, HashSet};

use crate::resource::Name;

/// A route that stands before another from now on, or at the end where there is no other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Move {
    pub route: Name,
    pub before: Option<Name>,
}

/// The moves that make `old` into `new`, to be carried out in order. Names that only `old` has must be gone by then, and
/// those that only `new` has must be in the list, anywhere. As few as there can be.
pub(crate) fn moves(old: &[Name], new: &[Name]) -> Vec<Move> {
    let places: HashMap<&Name, usize> = old.iter().enumerate().map(|(place, name)| (name, place)).collect();
    let common: Vec<(usize, &Name)> =
        new.iter().filter_map(|name| Some((*places.get(name)?, name))).collect();
    let staying = longest_rise(&common);
    let mut moves = Vec::new();
    let mut before = None;
    // From the end: what stands behind a name is in its place already when the name is put before it.
    for name in new.iter().rev() {
        if !staying.contains(name) {
            moves.push(Move { route: name.clone(), before });
        }
        before = Some(name.clone());
    }
    moves
}

/// Names of the longest sequence of rising places: these need no move.
fn longest_rise<'a>(common: &[(usize, &'a Name)]) -> HashSet<&'a Name> {
    // Of the sequences of each length, the entry that the one with the least last place ends with.
    let mut ends: Vec<usize> = Vec::new();
    let mut previous = vec![None; common.len()];
    for (at, (place, _)) in common.iter().enumerate() {
        let length = ends.partition_point(|&end| common[end].0 < *place);
        previous[at] = length.checked_sub(1).map(|shorter| ends[shorter]);
        if length == ends.len() {
            ends.push(at);
        } else {
            ends[length] = at;
        }
    }
    let mut names = HashSet::with_capacity(ends.len());
    let mut next = ends.last().copied();
    while let Some(at) = next {
        names.insert(common[at].1);
        next = previous[at];
    }
    names
}

/// An order as a linked list: thousands of moves cost no search through it.
pub(crate) struct LinkedOrder {
    links: HashMap<Name, Links>,
    first: Option<Name>,
    last: Option<Name>,
}

#[derive(Default)]
struct Links {
    previous: Option<Name>,
    next: Option<Name>,
}

impl LinkedOrder {
    pub fn new(names: &[Name]) -> Self {
        let mut order = Self { links: HashMap::with_capacity(names.len()), first: None, last: None };
        names.iter().for_each(|name| order.insert(name.clone(), None));
        order
    }

    pub fn contains(&self, name: &str) -> bool {
        self.links.contains_key(name)
    }

    /// Puts a name that is not there before another that is, or at the end.
    pub fn insert(&mut self, name: Name, before: Option<Name>) {
        let previous = match &before {
            Some(next) => self.links.get_mut(next).and_then(|links| links.previous.replace(name.clone())),
            None => self.last.replace(name.clone()),
        };
        match &previous {
            Some(previous) => {
                if let Some(links) = self.links.get_mut(previous) {
                    links.next = Some(name.clone());
                }
            }
            None => self.first = Some(name.clone()),
        }
        self.links.insert(name, Links { previous, next: before });
    }

    pub fn remove(&mut self, name: &str) {
        let Some(Links { previous, next }) = self.links.remove(name) else { return };
        match &previous {
            Some(previous) => {
                if let Some(links) = self.links.get_mut(previous) {
                    links.next.clone_from(&next);
                }
            }
            None => self.first.clone_from(&next),
        }
        match &next {
            Some(next) => {
                if let Some(links) = self.links.get_mut(next) {
                    links.previous = previous;
                }
            }
            None => self.last = previous,
        }
    }

    pub fn into_names(self) -> Vec<Name> {
        let mut names = Vec::with_capacity(self.links.len());
        let mut next = self.first;
        while let Some(name) = next {
            next = self.links.get(&name).and_then(|links| links.next.clone());
            names.push(name);
        }
        names
    }
}
