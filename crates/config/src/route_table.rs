//! The routes of a configuration as a running node keeps them: compact, without text, places or trees.
//!
//! Patterns lie in the matcher, names in one text, and the rest in records of numbers; what differs little between
//! routes is stored once. A difference against a newer configuration reads the routes back.

use std::collections::HashMap;
use std::hash::Hash;
use std::mem::size_of_val;

use pumicehead_route::Matcher;

use crate::model::{KeyOf, Places, Route, TenantOf};

/// What a route does with its requests. The numbers of class and pool are places in the configuration.
#[derive(Clone, Copy, Debug)]
struct Entry {
    class: u32,
    pool: u32,
    /// Among the distinct ones.
    tenant: u32,
    /// Among the distinct ones.
    key: u32,
}

/// All routes of a configuration, in order; built once and never changed.
#[derive(Debug)]
pub struct RouteTable {
    matcher: Matcher,
    entries: Box<[Entry]>,
    names: Box<str>,
    /// Where each name ends in `names`; it begins where the one before it ends.
    name_ends: Box<[u32]>,
    /// Each once.
    tenants: Box<[TenantOf]>,
    /// Each once.
    keys: Box<[KeyOf]>,
}

impl RouteTable {
    /// Of a configuration's routes.
    #[must_use]
    pub fn new(routes: &[Route]) -> Self {
        let mut tenants = Distinct::default();
        let mut keys = Distinct::default();
        let entry = |route: &Route| Entry {
            class: route.class as u32,
            pool: route.pool as u32,
            tenant: tenants.place(&route.tenant),
            key: keys.place(&route.key),
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

    /// Which route a request takes; its answers are places here.
    #[must_use]
    pub fn matcher(&self) -> &Matcher {
        &self.matcher
    }

    /// A route's name.
    #[must_use]
    pub fn name(&self, place: usize) -> &str {
        let start = place.checked_sub(1).map_or(0, |before| self.name_ends[before]);
        &self.names[start as usize..self.name_ends[place] as usize]
    }

    /// The class of a route's requests, by its place.
    #[must_use]
    pub fn class(&self, place: usize) -> usize {
        self.entries[place].class as usize
    }

    /// The pool that a route leads to, by its place.
    #[must_use]
    pub fn pool(&self, place: usize) -> usize {
        self.entries[place].pool as usize
    }

    /// How the tenant of a route's requests is known.
    #[must_use]
    pub fn tenant(&self, place: usize) -> &TenantOf {
        &self.tenants[self.entries[place].tenant as usize]
    }

    /// Where the key of a route's requests stands.
    #[must_use]
    pub fn key(&self, place: usize) -> &KeyOf {
        &self.keys[self.entries[place].key as usize]
    }

    /// A route again, without its places in files.
    #[must_use]
    pub fn route(&self, place: usize) -> Route {
        Route {
            name: self.name(place).to_owned(),
            pattern: self.matcher.route(place),
            class: self.class(place),
            pool: self.pool(place),
            tenant: self.tenant(place).clone(),
            key: self.key(place).clone(),
            at: Places::default(),
        }
    }

    /// All routes again, without their places in files.
    pub fn routes(&self) -> impl ExactSizeIterator<Item = Route> {
        (0..self.len()).map(|place| self.route(place))
    }

    /// Bytes on the heap, without the allocator's own overhead.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let tenant_text = |tenant: &TenantOf| match tenant {
            TenantOf::Header(name) => name.capacity(),
            TenantOf::None | TenantOf::Fixed(_) => 0,
        };
        let key_text = |key: &KeyOf| match key {
            KeyOf::Header(name) => name.capacity(),
            KeyOf::None | KeyOf::Segment(_) | KeyOf::Last => 0,
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

/// Values that are listed once each.
struct Distinct<T> {
    list: Vec<T>,
    places: HashMap<T, u32>,
}

impl<T> Default for Distinct<T> {
    fn default() -> Self {
        Self { list: Vec::new(), places: HashMap::new() }
    }
}

impl<T: Clone + Eq + Hash> Distinct<T> {
    /// The place of a value in the list, where it is added if it is new.
    fn place(&mut self, value: &T) -> u32 {
        if let Some(&place) = self.places.get(value) {
            return place;
        }
        let place = self.list.len() as u32;
        self.list.push(value.clone());
        self.places.insert(value.clone(), place);
        place
    }
}
