//! The order of routes: a list that moves entries in constant time, and the fewest moves between two orders.

use std::collections::{HashMap, HashSet};

use crate::name::Name;

/// A move of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RouteMove {
    /// The route that moves.
    pub route: Name,
    /// The route that it is moved directly before; `None` for the end.
    pub before: Option<Name>,
}

/// Returns the fewest moves that turn `old` into `new`, to be applied in order. Before the first one, names
/// that only `old` has must be removed, and names that only `new` has must be added anywhere.
pub(crate) fn fewest_moves(old: &[Name], new: &[Name]) -> Vec<RouteMove> {
    let positions: HashMap<&Name, usize> =
        old.iter().enumerate().map(|(position, name)| (name, position)).collect();
    let common: Vec<(usize, &Name)> =
        new.iter().filter_map(|name| Some((*positions.get(name)?, name))).collect();
    let unmoved = longest_increasing_subsequence(&common);
    let mut moves = Vec::new();
    let mut before = None;
    // In reverse order: the successor of a name is in its final position when the name is moved before it.
    for name in new.iter().rev() {
        if !unmoved.contains(name) {
            moves.push(RouteMove { route: name.clone(), before });
        }
        before = Some(name.clone());
    }
    moves
}

/// Returns the names of the longest subsequence with increasing positions; these need no move.
fn longest_increasing_subsequence<'a>(common: &[(usize, &'a Name)]) -> HashSet<&'a Name> {
    // For each length, the last entry of the increasing subsequence with the smallest final position.
    let mut ends: Vec<usize> = Vec::new();
    let mut previous = vec![None; common.len()];
    for (index, (position, _)) in common.iter().enumerate() {
        let length = ends.partition_point(|&end| common[end].0 < *position);
        previous[index] = length.checked_sub(1).map(|shorter| ends[shorter]);
        if length == ends.len() {
            ends.push(index);
        } else {
            ends[length] = index;
        }
    }
    let mut names = HashSet::with_capacity(ends.len());
    let mut next = ends.last().copied();
    while let Some(index) = next {
        names.insert(common[index].1);
        next = previous[index];
    }
    names
}

/// An order as a doubly linked list, so that a move takes constant time.
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
    /// Creates the order of a list of names.
    pub fn new(names: &[Name]) -> Self {
        let mut order = Self { links: HashMap::with_capacity(names.len()), first: None, last: None };
        names.iter().for_each(|name| order.insert(name.clone(), None));
        order
    }

    /// Whether a name is in the order.
    pub fn contains(&self, name: &str) -> bool {
        self.links.contains_key(name)
    }

    /// Inserts a new name directly before an existing one, or at the end.
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

    /// Removes a name, if it is in the order.
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

    /// Returns all names in order.
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
