//! The compact form of the routes of a configuration, which a running node keeps instead of text, spans and
//! trees.
//!
//! Patterns are stored in the matcher, names in one string, and everything else in records of numbers; equal
//! tenants and keys are stored once. The routes can be restored to diff them with a newer configuration.

use std::collections::HashMap;
use std::hash::Hash;
use std::mem::size_of_val;

use pumicehead_route::Matcher;

use crate::model::{EntrySpans, KeySource, Route, TenantSource};

/// Class, pool, tenant and key of a route. Class and pool are indices in the configuration.
#[derive(Clone, Copy, Debug)]
struct Entry {
    class: u32,
    pool: u32,
    /// Index in `tenants`.
    tenant: u32,
    /// Index in `keys`.
    key: u32,
}

/// All routes of a configuration, in order; built once and never changed.
#[derive(Debug)]
pub struct RouteTable {
    matcher: Matcher,
    entries: Box<[Entry]>,
    names: Box<str>,
    /// End of each name in `names`; a name begins at the end of the previous one.
    name_ends: Box<[u32]>,
    /// Without duplicates.
    tenants: Box<[TenantSource]>,
    /// Without duplicates.
    keys: Box<[KeySource]>,
}

impl RouteTable {
    /// Builds the table of a configuration's routes.
    #[must_use]
    pub fn new(routes: &[Route]) -> Self {
        let mut tenants = Distinct::default();
        let mut keys = Distinct::default();
        let entry = |route: &Route| Entry {
            class: route.class as u32,
            pool: route.pool as u32,
            tenant: tenants.index_of(&route.tenant),
            key: keys.index_of(&route.key),
        };
        let entries = routes.iter().map(entry).collect();
        let mut names = String::with_capacity(routes.iter().map(|route| route.name.len()).sum());
        let add_name = |route: &Route| {
            names.push_str(&route.name);
            names.len() as u32
        };
        let name_ends = routes.iter().map(add_name).collect();
        Self {
            matcher: Matcher::new(routes.iter().map(|route| &route.pattern)),
            entries,
            names: names.into(),
            name_ends,
            tenants: tenants.list.into(),
            keys: keys.list.into(),
        }
    }

    /// The number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no routes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The matcher. It finds routes by their index in this table.
    #[must_use]
    pub fn matcher(&self) -> &Matcher {
        &self.matcher
    }

    /// The name of a route.
    #[must_use]
    pub fn name(&self, index: usize) -> &str {
        let start = index.checked_sub(1).map_or(0, |previous| self.name_ends[previous]);
        &self.names[start as usize..self.name_ends[index] as usize]
    }

    /// Index of the class of a route's requests.
    #[must_use]
    pub fn class(&self, index: usize) -> usize {
        self.entries[index].class as usize
    }

    /// Index of the pool of a route.
    #[must_use]
    pub fn pool(&self, index: usize) -> usize {
        self.entries[index].pool as usize
    }

    /// How the tenant of a route's requests is determined.
    #[must_use]
    pub fn tenant(&self, index: usize) -> &TenantSource {
        &self.tenants[self.entries[index].tenant as usize]
    }

    /// Where the key of a route's requests is taken from.
    #[must_use]
    pub fn key(&self, index: usize) -> &KeySource {
        &self.keys[self.entries[index].key as usize]
    }

    /// Restores a route, without its spans.
    #[must_use]
    pub fn route(&self, index: usize) -> Route {
        Route {
            name: self.name(index).to_owned(),
            pattern: self.matcher.route(index),
            class: self.class(index),
            pool: self.pool(index),
            tenant: self.tenant(index).clone(),
            key: self.key(index).clone(),
            spans: EntrySpans::default(),
        }
    }

    /// Restores all routes, without their spans.
    pub fn routes(&self) -> impl ExactSizeIterator<Item = Route> {
        (0..self.len()).map(|index| self.route(index))
    }

    /// Allocated bytes, without the overhead of the allocator.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let tenant_text = |tenant: &TenantSource| match tenant {
            TenantSource::Header(name) => name.capacity(),
            TenantSource::None | TenantSource::Fixed(_) => 0,
        };
        let key_text = |key: &KeySource| match key {
            KeySource::Header(name) => name.capacity(),
            KeySource::None | KeySource::Segment(_) | KeySource::Last => 0,
        };
        self.matcher.memory_bytes()
            + size_of_val(&*self.entries)
            + self.names.len()
            + size_of_val(&*self.name_ends)
            + size_of_val(&*self.tenants)
            + self.tenants.iter().map(tenant_text).sum::<usize>()
            + size_of_val(&*self.keys)
            + self.keys.iter().map(key_text).sum::<usize>()
    }
}

/// A list of distinct values.
struct Distinct<T> {
    list: Vec<T>,
    indices: HashMap<T, u32>,
}

impl<T> Default for Distinct<T> {
    fn default() -> Self {
        Self { list: Vec::new(), indices: HashMap::new() }
    }
}

impl<T: Clone + Eq + Hash> Distinct<T> {
    /// The index of a value in the list; a new value is added.
    fn index_of(&mut self, value: &T) -> u32 {
        if let Some(&index) = self.indices.get(value) {
            return index;
        }
        let index = self.list.len() as u32;
        self.list.push(value.clone());
        self.indices.insert(value.clone(), index);
        index
    }
}
