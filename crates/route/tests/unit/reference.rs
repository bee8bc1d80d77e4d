//! The matcher as it was before the compact one: a trie of maps for each host. The differential test holds the
//! compact one to it; nothing else uses it.

use rustc_hash::FxHashMap;

use crate::path::Segment;
use crate::{Found, HeaderRule, HostPattern, Methods, Misfit, Query, Route, values};

/// Past every route.
const NONE: u32 = u32::MAX;

/// Routes in order, by the value that a header must have; `None` is any.
type ByValue = FxHashMap<Option<Box<[u8]>>, Vec<u32>>;

/// Routes that share host and path.
#[derive(Debug)]
struct Leaf {
    least: u32,
    /// Without conditions on headers, in order; those that earlier ones here hide are left out, so there are no
    /// more of them than methods.
    plain: Vec<u32>,
    plain_methods: Methods,
    /// With conditions, by the name and the value of their first.
    by_header: Vec<(Box<str>, ByValue)>,
}

impl Default for Leaf {
    fn default() -> Self {
        Self {
            least: NONE,
            plain: Vec::new(),
            plain_methods: Methods::Only(Vec::new()),
            by_header: Vec::new(),
        }
    }
}

#[derive(Debug)]
struct Node {
    /// The first route here or below.
    least: u32,
    literal: FxHashMap<Box<[u8]>, u32>,
    any: Option<u32>,
    exact: Leaf,
    rest: Leaf,
}

impl Default for Node {
    fn default() -> Self {
        Self {
            least: NONE,
            literal: FxHashMap::default(),
            any: None,
            exact: Leaf::default(),
            rest: Leaf::default(),
        }
    }
}

/// Paths of the routes that share a host.
#[derive(Debug)]
struct Trie {
    nodes: Vec<Node>,
}

impl Default for Trie {
    fn default() -> Self {
        Self { nodes: vec![Node::default()] }
    }
}

/// Routes, compiled. A lookup costs a step for each label of the host and each segment of the path, whatever the
/// number of routes; only routes with the same host, path and first condition on a header are tried one by one.
#[derive(Debug, Default)]
pub struct Matcher {
    routes: Vec<Route>,
    exact: FxHashMap<Box<str>, Trie>,
    under: FxHashMap<Box<str>, Trie>,
    any: Trie,
}

impl Matcher {
    /// Compiles routes; the earlier one wins.
    #[must_use]
    pub fn new(routes: Vec<Route>) -> Self {
        let mut matcher = Self::default();
        for (place, route) in routes.iter().enumerate() {
            let trie = match &route.host {
                HostPattern::Any => &mut matcher.any,
                HostPattern::Exact(name) => matcher.exact.entry(name.clone()).or_default(),
                HostPattern::Under(name) => matcher.under.entry(name.clone()).or_default(),
            };
            trie.insert(place as u32, route);
        }
        matcher.routes = routes;
        matcher
    }

    /// The first route that a request fits.
    #[must_use]
    pub fn find(&self, query: &Query<'_>) -> Found {
        let mut best = NONE;
        self.each_trie(query.host, |trie| trie.find(0, 0, query, &self.routes, &mut best));
        if best != NONE {
            return Found::Route(best as usize);
        }
        let mut methods = Methods::Only(Vec::new());
        self.each_trie(query.host, |trie| {
            trie.each(
                0,
                &mut |place| match query.path.segments.get(place) {
                    Some(segment) => Step::Literal(segment),
                    None => Step::End,
                },
                0,
                &mut |leaf| {
                    leaf.each(|place| {
                        let route = &self.routes[place as usize];
                        if route.misfit(query) == Some(Misfit::Method) {
                            methods.join(&route.methods);
                        }
                    })
                },
            );
        });
        match methods {
            Methods::Only(list) if list.is_empty() => Found::Nothing,
            Methods::Only(list) => Found::Method(list),
            // A route that takes every method would have been found.
            Methods::Any => Found::Nothing,
        }
    }

    /// Earlier routes that together leave nothing to this one, in order; empty where something is left to it.
    #[must_use]
    pub fn hiders(&self, place: usize) -> Vec<usize> {
        let route = &self.routes[place];
        let mut covering = Vec::new();
        let mut look = |trie: &Trie| {
            let mut step = |at: usize| match route.path.segments.get(at) {
                Some(Segment::Literal(literal)) => Step::Literal(literal),
                Some(Segment::Any) => Step::Any,
                None if route.path.rest => Step::Rest,
                None => Step::End,
            };
            trie.each(0, &mut step, 0, &mut |leaf| {
                leaf.each(|other| {
                    let earlier = (other as usize) < place;
                    if earlier && covers_but_method(&self.routes[other as usize], route) {
                        covering.push(other as usize);
                    }
                });
            });
        };
        match &route.host {
            HostPattern::Any => look(&self.any),
            HostPattern::Exact(name) => self.each_trie(name, look),
            HostPattern::Under(name) => {
                // Those under the name itself cover it as well.
                self.under.get(name).into_iter().for_each(&mut look);
                self.each_trie_above(name, look);
            }
        }
        covering.sort_unstable();
        if let Some(&one) = covering.iter().find(|&&one| self.routes[one].methods.cover(&route.methods)) {
            return vec![one];
        }
        let mut together = Methods::Only(Vec::new());
        covering.iter().for_each(|&one| together.join(&self.routes[one].methods));
        if together.cover(&route.methods) { covering } else { Vec::new() }
    }

    fn each_trie<'a>(&'a self, host: &str, mut look: impl FnMut(&'a Trie)) {
        self.exact.get(host).into_iter().for_each(&mut look);
        self.each_trie_above(host, look);
    }

    fn each_trie_above<'a>(&'a self, host: &str, mut look: impl FnMut(&'a Trie)) {
        if !self.under.is_empty() {
            let dots = host.match_indices('.').filter(|(place, _)| *place > 0);
            let parents = dots.filter_map(|(place, _)| self.under.get(&host[place + 1..]));
            parents.for_each(&mut look);
        }
        look(&self.any);
    }
}

/// One step of a walk that collects leaves.
enum Step<'a> {
    /// A segment.
    Literal(&'a [u8]),
    /// Any one segment.
    Any,
    /// Any rest.
    Rest,
    /// Nothing more.
    End,
}

impl Trie {
    fn insert(&mut self, place: u32, route: &Route) {
        let mut at = 0;
        for segment in &route.path.segments {
            self.nodes[at].least = self.nodes[at].least.min(place);
            let fresh = self.nodes.len() as u32;
            let next = match segment {
                Segment::Literal(literal) => *self.nodes[at].literal.entry(literal.clone()).or_insert(fresh),
                Segment::Any => *self.nodes[at].any.get_or_insert(fresh),
            };
            if next == fresh {
                self.nodes.push(Node::default());
            }
            at = next as usize;
        }
        let node = &mut self.nodes[at];
        node.least = node.least.min(place);
        let leaf = if route.path.rest { &mut node.rest } else { &mut node.exact };
        leaf.insert(place, route);
    }

    fn find(&self, at: usize, depth: usize, query: &Query<'_>, routes: &[Route], best: &mut u32) {
        let node = &self.nodes[at];
        // What can't come earlier than the best so far is not looked at: `*` beside literals would double the
        // walk at every segment.
        if node.least >= *best {
            return;
        }
        node.rest.find(query, routes, best);
        let Some(segment) = query.path.segments.get(depth) else {
            return node.exact.find(query, routes, best);
        };
        if let Some(&next) = node.literal.get(segment.as_ref()) {
            self.find(next as usize, depth + 1, query, routes, best);
        }
        if let Some(next) = node.any.filter(|_| !segment.is_empty()) {
            self.find(next as usize, depth + 1, query, routes, best);
        }
    }

    /// Hands over the leaves whose paths take all that the steps allow.
    fn each<'s>(
        &self,
        at: usize,
        step: &mut impl FnMut(usize) -> Step<'s>,
        depth: usize,
        take: &mut impl FnMut(&Leaf),
    ) {
        let node = &self.nodes[at];
        take(&node.rest);
        let next = step(depth);
        match next {
            Step::Rest => return,
            Step::End => return take(&node.exact),
            Step::Literal(segment) => {
                if let Some(&next) = node.literal.get(segment) {
                    self.each(next as usize, step, depth + 1, take);
                }
                if segment.is_empty() {
                    return;
                }
            }
            Step::Any => {}
        }
        if let Some(next) = node.any {
            self.each(next as usize, step, depth + 1, take);
        }
    }
}

impl Leaf {
    fn insert(&mut self, place: u32, route: &Route) {
        let Some(first) = route.headers.first() else {
            if !self.plain_methods.cover(&route.methods) {
                self.plain_methods.join(&route.methods);
                self.plain.push(place);
                self.least = self.least.min(place);
            }
            return;
        };
        self.least = self.least.min(place);
        let known = self.by_header.iter().position(|(name, _)| *name == first.name);
        let known = known.unwrap_or_else(|| {
            self.by_header.push((first.name.clone(), FxHashMap::default()));
            self.by_header.len() - 1
        });
        self.by_header[known].1.entry(first.value.clone()).or_default().push(place);
    }

    fn find(&self, query: &Query<'_>, routes: &[Route], best: &mut u32) {
        if self.least >= *best {
            return;
        }
        let plain = self.plain.iter().take_while(|&&place| place < *best);
        let mut fits = plain.filter(|&&place| routes[place as usize].methods.allow(query.method));
        if let Some(&place) = fits.next() {
            *best = place;
        }
        for (name, by_value) in &self.by_header {
            let mut present = false;
            let mut try_all = |list: Option<&Vec<u32>>| {
                let list = list.into_iter().flatten();
                for &place in list {
                    if place >= *best {
                        return;
                    }
                    let route = &routes[place as usize];
                    let holds = route.headers.iter().all(|rule| rule.holds(query.headers));
                    if holds && route.methods.allow(query.method) {
                        *best = place;
                        return;
                    }
                }
            };
            for value in values(query.headers, name) {
                present = true;
                try_all(by_value.get(&Some(value.into())));
            }
            if present {
                try_all(by_value.get(&None));
            }
        }
    }

    fn each(&self, mut take: impl FnMut(u32)) {
        self.plain.iter().for_each(|&place| take(place));
        let lists = self.by_header.iter().flat_map(|(_, by_value)| by_value.values());
        lists.flatten().for_each(|&place| take(place));
    }
}

/// Whether every request that fits `other` fits `one`, but for the method.
fn covers_but_method(one: &Route, other: &Route) -> bool {
    one.host.covers(&other.host)
        && one.path.covers(&other.path)
        && one.headers.iter().all(|rule| other.headers.iter().any(|theirs| covers(rule, theirs)))
}

/// Whether a condition holds wherever the other does.
fn covers(rule: &HeaderRule, other: &HeaderRule) -> bool {
    rule.name == other.name && (rule.value.is_none() || rule.value == other.value)
}
