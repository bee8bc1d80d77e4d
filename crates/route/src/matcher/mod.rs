//! The compiled matcher: tables of numbers, built once and never changed.
//!
//! Each distinct host, path segment and header value is stored once ([`NameTable`]). Paths form a trie for
//! each host pattern; all tries share one table of nodes. Nodes are numbered level by level, so that the
//! children of a node are adjacent and sorted by label: no map and no list of children is stored. A route is
//! a fixed-size record; [`Matcher::route`] restores it from the tables.

mod build;
mod find;

use std::borrow::Borrow;
use std::mem::size_of_val;
use std::ops::Range;

use http::{HeaderName, Method};

use crate::methods::MethodSet;
use crate::names::{NameId, NameTable};
use crate::path::Segment;
use crate::{HeaderRule, HostPattern, Methods, PathPattern, Route};
use build::Builder;

/// No entry; larger than every index.
const NONE: u32 = u32::MAX;
/// The label of a node that matches any one segment. It sorts after every name.
const ANY_SEGMENT: NameId = NameId(NONE);
/// The value of a header condition that any value meets. It sorts after every name.
const ANY_VALUE: NameId = NameId(NONE);

/// The result of a match.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MatchResult {
    /// The index of the first route that matches.
    Route(usize),
    /// Routes match except for the method, with the methods that they allow: 405 (RFC 9110 section 15.5.6).
    MethodNotAllowed(Vec<Method>),
    /// No route matches host, path and headers: 404.
    NoMatch,
}

/// The hosts that a trie matches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum HostKey {
    Any,
    Exact(NameId),
    Subdomains(NameId),
}

/// The root node of a trie, if the trie exists.
#[derive(Clone, Copy, Debug)]
struct Root(u32);

impl Root {
    fn get(self) -> Option<u32> {
        (self.0 != NONE).then_some(self.0)
    }
}

impl Default for Root {
    fn default() -> Self {
        Self(NONE)
    }
}

/// The tries of a host name: for the name itself, and for its subdomains.
#[derive(Clone, Copy, Debug, Default)]
struct HostRoots {
    exact: Root,
    subdomains: Root,
}

/// The roots of all tries.
#[derive(Debug, Default)]
struct Roots {
    /// Host names.
    names: NameTable,
    /// By the number of the host name.
    by_name: Box<[HostRoots]>,
    any: Root,
    /// Whether any trie matches subdomains.
    has_subdomain_roots: bool,
    /// The hosts of each root; the roots are the first nodes.
    keys: Box<[HostKey]>,
}

/// A node of a trie. Its children are the nodes from `children_start` up to the next node's `children_start`.
#[derive(Clone, Copy, Debug)]
struct Node {
    parent: u32,
    /// The first route in this subtree: a search skips subtrees without an earlier route than the best so
    /// far.
    first_route: u32,
    children_start: u32,
    /// The leaf of the routes whose path ends here.
    exact: u32,
    /// The leaf of the routes that match any further segments from here.
    rest: u32,
}

/// Routes with the same host and path. Their indices are those in `leaf_routes` from `routes_start` up to the
/// next leaf's `routes_start`.
#[derive(Clone, Copy, Debug)]
struct Leaf {
    /// The first route of the leaf.
    first_route: u32,
    routes_start: u32,
    /// Number of routes without header conditions, which come first. Those hidden by earlier ones of the leaf
    /// are left out, so there are no more of them than methods.
    unconditional_count: u32,
    /// The buckets of the other routes are those from here up to the next leaf's `buckets_start`.
    buckets_start: u32,
}

/// Routes of a leaf with the same first header condition. The buckets of a leaf are sorted by header and
/// value.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    rule: Rule,
    routes_start: u32,
    count: u32,
}

/// A condition on a header field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Rule {
    /// Index of the field name in `fields`.
    field: u32,
    /// The value, or [`ANY_VALUE`].
    value: NameId,
}

/// The name of a header field.
#[derive(Debug)]
struct HeaderField {
    /// The text in the route.
    text: Box<str>,
    /// `None` if the text is not a valid field name: no request has such a field.
    name: Option<HeaderName>,
}

/// A route. Its header conditions are those in `rules` from `rules_start` up to the next route's
/// `rules_start`.
#[derive(Clone, Copy, Debug)]
struct RouteRecord {
    /// The node at which its path ends.
    node: u32,
    rules_start: u32,
    methods: MethodSet,
    /// Whether its path matches any further segments.
    rest: bool,
}

/// The methods of a route that have no bit in a [`MethodSet`].
#[derive(Debug)]
struct RareMethods {
    route: u32,
    methods: Box<[Method]>,
}

/// Compiled routes. A lookup takes a step for each label of the host and each segment of the path,
/// independent of the number of routes; only routes with the same host, path and first header condition are
/// checked one by one.
#[derive(Debug)]
pub struct Matcher {
    names: NameTable,
    fields: Box<[HeaderField]>,
    roots: Roots,
    /// The label of each node; those of roots are unused.
    labels: Box<[NameId]>,
    /// Followed by a sentinel that marks the end of the last node's children.
    nodes: Box<[Node]>,
    /// Followed by a sentinel.
    leaves: Box<[Leaf]>,
    buckets: Box<[Bucket]>,
    /// Indices of routes, by leaf.
    leaf_routes: Box<[u32]>,
    /// In the order of the file, followed by a sentinel.
    routes: Box<[RouteRecord]>,
    rules: Box<[Rule]>,
    /// Sorted by route.
    rare: Box<[RareMethods]>,
}

impl Default for Matcher {
    fn default() -> Self {
        Self::new(std::iter::empty::<Route>())
    }
}

impl Matcher {
    /// Compiles routes. Earlier routes have precedence.
    #[must_use]
    pub fn new(routes: impl IntoIterator<Item = impl Borrow<Route>>) -> Self {
        let mut builder = Builder::default();
        for route in routes {
            builder.add(route.borrow());
        }
        builder.finish()
    }

    /// The number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.routes.len() - 1
    }

    /// Whether there are no routes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Restores a route. It equals the original, except that duplicate methods are removed and methods are
    /// sorted: common ones in the order of their bits, then the others as they were given.
    ///
    /// # Panics
    /// If there is no such route.
    #[must_use]
    pub fn route(&self, index: usize) -> Route {
        let record = &self.routes[index];
        let mut labels = Vec::new();
        let mut node = record.node;
        while !self.is_root(node) {
            labels.push(self.labels[node as usize]);
            node = self.nodes[node as usize].parent;
        }
        let segment = |label: &NameId| match *label {
            ANY_SEGMENT => Segment::Any,
            name => Segment::Literal(self.names.get(name).into()),
        };
        let segments = labels.iter().rev().map(segment).collect();
        Route {
            host: self.host(self.roots.keys[node as usize]),
            path: PathPattern { segments, rest: record.rest },
            methods: self.methods(index),
            headers: self.rules(index as u32).iter().map(|rule| self.header_rule(*rule)).collect(),
        }
    }

    /// Allocated bytes of all tables, without the overhead of the allocator.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        // A `HeaderName` that is not a standard one has its own copy of the text.
        let field = |field: &HeaderField| field.text.len() * if field.name.is_some() { 2 } else { 1 };
        self.names.memory_bytes()
            + size_of_val(&*self.fields)
            + self.fields.iter().map(field).sum::<usize>()
            + self.roots.names.memory_bytes()
            + size_of_val(&*self.roots.by_name)
            + size_of_val(&*self.roots.keys)
            + size_of_val(&*self.labels)
            + size_of_val(&*self.nodes)
            + size_of_val(&*self.leaves)
            + size_of_val(&*self.buckets)
            + size_of_val(&*self.leaf_routes)
            + size_of_val(&*self.routes)
            + size_of_val(&*self.rules)
            + size_of_val(&*self.rare)
            + self.rare.iter().map(|rare| size_of_val(&*rare.methods)).sum::<usize>()
    }

    fn host(&self, key: HostKey) -> HostPattern {
        // Host names were interned from strings.
        let text = |name| String::from_utf8_lossy(self.roots.names.get(name)).into();
        match key {
            HostKey::Any => HostPattern::Any,
            HostKey::Exact(name) => HostPattern::Exact(text(name)),
            HostKey::Subdomains(name) => HostPattern::Subdomains(text(name)),
        }
    }

    fn header_rule(&self, rule: Rule) -> HeaderRule {
        let value = (rule.value != ANY_VALUE).then(|| self.names.get(rule.value).into());
        HeaderRule { name: self.fields[rule.field as usize].text.clone(), value }
    }

    fn methods(&self, index: usize) -> Methods {
        self.routes[index].methods.methods(self.rare(index as u32))
    }

    fn rare(&self, index: u32) -> &[Method] {
        let found = self.rare.binary_search_by_key(&index, |rare| rare.route);
        found.map_or(&[], |found| &self.rare[found].methods)
    }

    fn rules(&self, index: u32) -> &[Rule] {
        let index = index as usize;
        &self.rules[self.routes[index].rules_start as usize..self.routes[index + 1].rules_start as usize]
    }

    fn is_root(&self, node: u32) -> bool {
        (node as usize) < self.roots.keys.len()
    }

    fn children(&self, node: u32) -> Range<usize> {
        let node = node as usize;
        self.nodes[node].children_start as usize..self.nodes[node + 1].children_start as usize
    }

    fn child(&self, node: u32, label: NameId) -> Option<u32> {
        let children = self.children(node);
        let found = self.labels[children.clone()].binary_search(&label).ok()?;
        Some((children.start + found) as u32)
    }

    /// The child that matches any one segment. It is the last child, if it exists.
    fn any_segment_child(&self, node: u32) -> Option<u32> {
        let last = self.children(node).last()?;
        (self.labels[last] == ANY_SEGMENT).then_some(last as u32)
    }

    /// All routes of a leaf, those without header conditions first.
    fn leaf_routes(&self, leaf: u32) -> &[u32] {
        let leaf = leaf as usize;
        &self.leaf_routes
            [self.leaves[leaf].routes_start as usize..self.leaves[leaf + 1].routes_start as usize]
    }

    fn buckets(&self, leaf: u32) -> &[Bucket] {
        let leaf = leaf as usize;
        &self.buckets[self.leaves[leaf].buckets_start as usize..self.leaves[leaf + 1].buckets_start as usize]
    }
}
