//! The compiled matcher: tables of numbers, built once and never changed.
//!
//! Each distinct host, path segment and header value is stored once ([`Names`]). Paths are a trie for each host
//! pattern; all tries share one table of nodes. Nodes are numbered level by level, so that a node's children lie
//! side by side, sorted by their labels: no map and no list of children is stored. A route is a fixed record; what
//! it wants is read back from the tables ([`Matcher::route`]).

mod build;
mod find;

use std::borrow::Borrow;
use std::mem::size_of_val;
use std::ops::Range;

use http::{HeaderName, Method};

use crate::methods::MethodSet;
use crate::names::{NameId, Names};
use crate::path::Segment;
use crate::{HeaderRule, HostPattern, Methods, PathPattern, Route};
use build::Builder;

/// No entry: past every number.
const NONE: u32 = u32::MAX;
/// The label of a node for any one segment. It sorts behind every name.
const ANY_SEGMENT: NameId = NameId(NONE);
/// A header condition that takes any value. It sorts behind every name.
const ANY_VALUE: NameId = NameId(NONE);

/// What the matcher says of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// The first route that it fits, by its place.
    Route(usize),
    /// It fits routes but for its method; these would do. 405 (RFC 9110 section 15.5.6).
    Method(Vec<Method>),
    /// No route takes its host, path and headers. 404.
    Nothing,
}

/// Which hosts a trie is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum HostKey {
    Any,
    Exact(NameId),
    Under(NameId),
}

/// The root of a trie, where there is one.
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

/// The tries of a host name: for itself, and for all hosts under it.
#[derive(Clone, Copy, Debug, Default)]
struct HostRoots {
    exact: Root,
    under: Root,
}

/// The roots of all tries.
#[derive(Debug, Default)]
struct Roots {
    /// Names of hosts.
    names: Names,
    /// By the number of the name.
    of_name: Box<[HostRoots]>,
    any: Root,
    /// Some trie is for hosts under a name.
    has_under: bool,
    /// The key of each root: roots are the first nodes.
    keys: Box<[HostKey]>,
}

/// A node of a trie. Its children are the nodes from `children` to before the next node's `children`.
#[derive(Clone, Copy, Debug)]
struct Node {
    parent: u32,
    /// The first route here or below: no walk goes where nothing earlier can be found.
    least: u32,
    children: u32,
    /// The leaf of routes whose path ends here.
    exact: u32,
    /// The leaf of routes that take any rest from here.
    rest: u32,
}

/// Routes that share host and path. Their places are those from `places` to before the next leaf's `places`.
#[derive(Clone, Copy, Debug)]
struct Leaf {
    /// The first of them.
    least: u32,
    places: u32,
    /// So many have no conditions on headers, and come first. Those that earlier ones here hide are left out, so
    /// there are no more of them than methods.
    plain: u32,
    /// The buckets of the others are those from here to before the next leaf's.
    buckets: u32,
}

/// Routes of a leaf whose first condition is the same. A leaf's buckets are sorted by header and value.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    rule: Rule,
    places: u32,
    count: u32,
}

/// A condition on a header field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Rule {
    /// Its name, by its place among the fields.
    field: u32,
    /// Its value, or [`ANY_VALUE`].
    value: NameId,
}

/// The name of a header field.
#[derive(Debug)]
struct Field {
    /// As the route has it.
    text: Box<str>,
    /// `None` where it is no name: no request has such a field.
    name: Option<HeaderName>,
}

/// A route. Its conditions are those from `rules` to before the next route's `rules`.
#[derive(Clone, Copy, Debug)]
struct Record {
    /// Where its path ends.
    node: u32,
    rules: u32,
    methods: MethodSet,
    /// Its path takes any rest.
    rest: bool,
}

/// Methods of a route that have no bit.
#[derive(Debug)]
struct RareMethods {
    place: u32,
    methods: Box<[Method]>,
}

/// Routes, compiled. A lookup costs a step for each label of the host and each segment of the path, whatever the
/// number of routes; only routes with the same host, path and first condition on a header are tried one by one.
#[derive(Debug)]
pub struct Matcher {
    names: Names,
    fields: Box<[Field]>,
    roots: Roots,
    /// The label of each node; those of roots mean nothing.
    labels: Box<[NameId]>,
    /// With one more at the end, where the last one's children end.
    nodes: Box<[Node]>,
    /// With one more at the end.
    leaves: Box<[Leaf]>,
    buckets: Box<[Bucket]>,
    /// Places of routes.
    places: Box<[u32]>,
    /// In the order of the file, with one more at the end.
    routes: Box<[Record]>,
    rules: Box<[Rule]>,
    /// Sorted by place.
    rare: Box<[RareMethods]>,
}

impl Default for Matcher {
    fn default() -> Self {
        Self::new(std::iter::empty::<Route>())
    }
}

impl Matcher {
    /// Compiles routes; the earlier one wins.
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

    /// What a route wants. It equals what the matcher was built of, but for the order of its methods, which is that
    /// of RFC 9110 with rarer ones behind, and for methods that were named twice.
    ///
    /// # Panics
    /// Where there is no such route.
    #[must_use]
    pub fn route(&self, place: usize) -> Route {
        let record = &self.routes[place];
        let mut labels = Vec::new();
        let mut at = record.node;
        while !self.is_root(at) {
            labels.push(self.labels[at as usize]);
            at = self.nodes[at as usize].parent;
        }
        let segment = |label: &NameId| match *label {
            ANY_SEGMENT => Segment::Any,
            name => Segment::Literal(self.names.get(name).into()),
        };
        let segments = labels.iter().rev().map(segment).collect();
        Route {
            host: self.host(self.roots.keys[at as usize]),
            path: PathPattern { segments, rest: record.rest },
            methods: self.methods(place),
            headers: self.rules(place as u32).iter().map(|rule| self.header_rule(*rule)).collect(),
        }
    }

    /// Bytes on the heap: all tables at the size they were allocated with, without the allocator's own overhead.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        // A `HeaderName` that is not a common one has its text once more.
        let field = |field: &Field| field.text.len() * if field.name.is_some() { 2 } else { 1 };
        self.names.heap_bytes()
            + size_of_val(&*self.fields)
            + self.fields.iter().map(field).sum::<usize>()
            + self.roots.names.heap_bytes()
            + size_of_val(&*self.roots.of_name)
            + size_of_val(&*self.roots.keys)
            + size_of_val(&*self.labels)
            + size_of_val(&*self.nodes)
            + size_of_val(&*self.leaves)
            + size_of_val(&*self.buckets)
            + size_of_val(&*self.places)
            + size_of_val(&*self.routes)
            + size_of_val(&*self.rules)
            + size_of_val(&*self.rare)
            + self.rare.iter().map(|rare| size_of_val(&*rare.methods)).sum::<usize>()
    }

    fn host(&self, key: HostKey) -> HostPattern {
        // Names of hosts came in as text.
        let text = |name| String::from_utf8_lossy(self.roots.names.get(name)).into();
        match key {
            HostKey::Any => HostPattern::Any,
            HostKey::Exact(name) => HostPattern::Exact(text(name)),
            HostKey::Under(name) => HostPattern::Under(text(name)),
        }
    }

    fn header_rule(&self, rule: Rule) -> HeaderRule {
        let value = (rule.value != ANY_VALUE).then(|| self.names.get(rule.value).into());
        HeaderRule { name: self.fields[rule.field as usize].text.clone(), value }
    }

    fn methods(&self, place: usize) -> Methods {
        self.routes[place].methods.methods(self.rare(place as u32))
    }

    fn rare(&self, place: u32) -> &[Method] {
        let found = self.rare.binary_search_by_key(&place, |rare| rare.place);
        found.map_or(&[], |found| &self.rare[found].methods)
    }

    fn rules(&self, place: u32) -> &[Rule] {
        let place = place as usize;
        &self.rules[self.routes[place].rules as usize..self.routes[place + 1].rules as usize]
    }

    fn is_root(&self, node: u32) -> bool {
        (node as usize) < self.roots.keys.len()
    }

    fn children(&self, node: u32) -> Range<usize> {
        let node = node as usize;
        self.nodes[node].children as usize..self.nodes[node + 1].children as usize
    }

    fn child(&self, node: u32, label: NameId) -> Option<u32> {
        let children = self.children(node);
        let found = self.labels[children.clone()].binary_search(&label).ok()?;
        Some((children.start + found) as u32)
    }

    /// The child for any one segment: the last one, if any is.
    fn any_child(&self, node: u32) -> Option<u32> {
        let last = self.children(node).last()?;
        (self.labels[last] == ANY_SEGMENT).then_some(last as u32)
    }

    /// All places of a leaf, those without conditions first.
    fn places(&self, leaf: u32) -> &[u32] {
        let leaf = leaf as usize;
        &self.places[self.leaves[leaf].places as usize..self.leaves[leaf + 1].places as usize]
    }

    fn buckets(&self, leaf: u32) -> &[Bucket] {
        let leaf = leaf as usize;
        &self.buckets[self.leaves[leaf].buckets as usize..self.leaves[leaf + 1].buckets as usize]
    }
}
