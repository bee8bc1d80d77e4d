//! The reference matcher, which the compact one replaced: a trie of maps for each host. Only the differential
//! test uses it, to compare its results with those of the compact matcher.

use rustc_hash::FxHashMap;

use crate::path::Segment;
use crate::{HeaderRule, HostPattern, MatchResult, Methods, Mismatch, Route, RouteQuery, header_values};

/// No route; larger than every index.
const NONE: u32 = u32::MAX;

/// Routes in order, by the value that a header must have; `None` stands for any value.
type ByValue = FxHashMap<Option<Box<[u8]>>, Vec<u32>>;

/// Routes with the same host and path.
#[derive(Debug)]
struct Leaf {
    first_route: u32,
    /// Routes without header conditions, in order. Those hidden by earlier ones of the leaf are left out, so
    /// there are no more of them than methods.
    unconditional: Vec<u32>,
    unconditional_methods: Methods,
    /// Routes with header conditions, by name and value of the first condition.
    by_header: Vec<(Box<str>, ByValue)>,
}

impl Default for Leaf {
    fn default() -> Self {
        Self {
            first_route: NONE,
            unconditional: Vec::new(),
            unconditional_methods: Methods::Only(Vec::new()),
            by_header: Vec::new(),
        }
    }
}

#[derive(Debug)]
struct Node {
    /// The first route in this subtree.
    first_route: u32,
    literal: FxHashMap<Box<[u8]>, u32>,
    any: Option<u32>,
    exact: Leaf,
    rest: Leaf,
}

impl Default for Node {
    fn default() -> Self {
        Self {
            first_route: NONE,
            literal: FxHashMap::default(),
            any: None,
            exact: Leaf::default(),
            rest: Leaf::default(),
        }
    }
}

/// The paths of the routes with the same host.
#[derive(Debug)]
struct Trie {
    nodes: Vec<Node>,
}

impl Default for Trie {
    fn default() -> Self {
        Self { nodes: vec![Node::default()] }
    }
}

/// Compiled routes. A lookup takes a step for each label of the host and each segment of the path,
/// independent of the number of routes; only routes with the same host, path and first header condition are
/// checked one by one.
#[derive(Debug, Default)]
pub struct Matcher {
    routes: Vec<Route>,
    exact: FxHashMap<Box<str>, Trie>,
    subdomains: FxHashMap<Box<str>, Trie>,
    any: Trie,
}

impl Matcher {
    /// Compiles routes. Earlier routes have precedence.
    #[must_use]
    pub fn new(routes: Vec<Route>) -> Self {
        let mut matcher = Self::default();
        for (index, route) in routes.iter().enumerate() {
            let trie = match &route.host {
                HostPattern::Any => &mut matcher.any,
                HostPattern::Exact(name) => matcher.exact.entry(name.clone()).or_default(),
                HostPattern::Subdomains(name) => matcher.subdomains.entry(name.clone()).or_default(),
            };
            trie.insert(index as u32, route);
        }
        matcher.routes = routes;
        matcher
    }

    /// Finds the first route that matches a request.
    #[must_use]
    pub fn find(&self, query: &RouteQuery<'_>) -> MatchResult {
        let mut best = NONE;
        self.for_each_trie(query.host, |trie| trie.find(0, 0, query, &self.routes, &mut best));
        if best != NONE {
            return MatchResult::Route(best as usize);
        }
        let mut methods = Methods::Only(Vec::new());
        self.for_each_trie(query.host, |trie| {
            trie.for_each_leaf(
                0,
                &mut |index| match query.path.segments.get(index) {
                    Some(segment) => Step::Literal(segment),
                    None => Step::End,
                },
                0,
                &mut |leaf| {
                    leaf.for_each_route(|index| {
                        let route = &self.routes[index as usize];
                        if route.mismatch(query) == Some(Mismatch::Method) {
                            methods.extend(&route.methods);
                        }
                    })
                },
            );
        });
        match methods {
            Methods::Only(list) if list.is_empty() => MatchResult::NoMatch,
            Methods::Only(list) => MatchResult::MethodNotAllowed(list),
            // Unreachable: a route that allows every method would have matched.
            Methods::Any => MatchResult::NoMatch,
        }
    }

    /// The earlier routes that together match every request that this one matches, in order; empty if this
    /// route can be taken.
    #[must_use]
    pub fn hidden_by(&self, index: usize) -> Vec<usize> {
        let route = &self.routes[index];
        let mut covering = Vec::new();
        let mut visit = |trie: &Trie| {
            let mut step = |at: usize| match route.path.segments.get(at) {
                Some(Segment::Literal(literal)) => Step::Literal(literal),
                Some(Segment::Any) => Step::Any,
                None if route.path.rest => Step::Rest,
                None => Step::End,
            };
            trie.for_each_leaf(0, &mut step, 0, &mut |leaf| {
                leaf.for_each_route(|other| {
                    let earlier = (other as usize) < index;
                    if earlier && covers_except_method(&self.routes[other as usize], route) {
                        covering.push(other as usize);
                    }
                });
            });
        };
        match &route.host {
            HostPattern::Any => visit(&self.any),
            HostPattern::Exact(name) => self.for_each_trie(name, visit),
            HostPattern::Subdomains(name) => {
                // The trie of the same name matches all of its subdomains as well.
                self.subdomains.get(name).into_iter().for_each(&mut visit);
                self.for_each_parent_trie(name, visit);
            }
        }
        covering.sort_unstable();
        if let Some(&one) = covering.iter().find(|&&one| self.routes[one].methods.covers(&route.methods)) {
            return vec![one];
        }
        let mut combined = Methods::Only(Vec::new());
        covering.iter().for_each(|&one| combined.extend(&self.routes[one].methods));
        if combined.covers(&route.methods) { covering } else { Vec::new() }
    }

    fn for_each_trie<'a>(&'a self, host: &str, mut visit: impl FnMut(&'a Trie)) {
        self.exact.get(host).into_iter().for_each(&mut visit);
        self.for_each_parent_trie(host, visit);
    }

    fn for_each_parent_trie<'a>(&'a self, host: &str, mut visit: impl FnMut(&'a Trie)) {
        if !self.subdomains.is_empty() {
            let dots = host.match_indices('.').filter(|(index, _)| *index > 0);
            let parents = dots.filter_map(|(index, _)| self.subdomains.get(&host[index + 1..]));
            parents.for_each(&mut visit);
        }
        visit(&self.any);
    }
}

/// One step of a traversal that collects leaves.
enum Step<'a> {
    /// A literal segment.
    Literal(&'a [u8]),
    /// Any one segment.
    Any,
    /// Any further segments.
    Rest,
    /// The end of the path.
    End,
}

impl Trie {
    fn insert(&mut self, index: u32, route: &Route) {
        let mut at = 0;
        for segment in &route.path.segments {
            self.nodes[at].first_route = self.nodes[at].first_route.min(index);
            let new_node = self.nodes.len() as u32;
            let next = match segment {
                Segment::Literal(literal) => {
                    *self.nodes[at].literal.entry(literal.clone()).or_insert(new_node)
                }
                Segment::Any => *self.nodes[at].any.get_or_insert(new_node),
            };
            if next == new_node {
                self.nodes.push(Node::default());
            }
            at = next as usize;
        }
        let node = &mut self.nodes[at];
        node.first_route = node.first_route.min(index);
        let leaf = if route.path.rest { &mut node.rest } else { &mut node.exact };
        leaf.insert(index, route);
    }

    fn find(&self, at: usize, depth: usize, query: &RouteQuery<'_>, routes: &[Route], best: &mut u32) {
        let node = &self.nodes[at];
        // Skips subtrees without an earlier route than the best so far: otherwise `*` next to literals would
        // double the search at every segment.
        if node.first_route >= *best {
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

    /// Visits the leaves whose paths match everything that the steps match.
    fn for_each_leaf<'s>(
        &self,
        at: usize,
        step: &mut impl FnMut(usize) -> Step<'s>,
        depth: usize,
        visit: &mut impl FnMut(&Leaf),
    ) {
        let node = &self.nodes[at];
        visit(&node.rest);
        let next = step(depth);
        match next {
            Step::Rest => return,
            Step::End => return visit(&node.exact),
            Step::Literal(segment) => {
                if let Some(&next) = node.literal.get(segment) {
                    self.for_each_leaf(next as usize, step, depth + 1, visit);
                }
                if segment.is_empty() {
                    return;
                }
            }
            Step::Any => {}
        }
        if let Some(next) = node.any {
            self.for_each_leaf(next as usize, step, depth + 1, visit);
        }
    }
}

impl Leaf {
    fn insert(&mut self, index: u32, route: &Route) {
        let Some(first) = route.headers.first() else {
            if !self.unconditional_methods.covers(&route.methods) {
                self.unconditional_methods.extend(&route.methods);
                self.unconditional.push(index);
                self.first_route = self.first_route.min(index);
            }
            return;
        };
        self.first_route = self.first_route.min(index);
        let known = self.by_header.iter().position(|(name, _)| *name == first.name);
        let known = known.unwrap_or_else(|| {
            self.by_header.push((first.name.clone(), FxHashMap::default()));
            self.by_header.len() - 1
        });
        self.by_header[known].1.entry(first.value.clone()).or_default().push(index);
    }

    fn find(&self, query: &RouteQuery<'_>, routes: &[Route], best: &mut u32) {
        if self.first_route >= *best {
            return;
        }
        let unconditional = self.unconditional.iter().take_while(|&&index| index < *best);
        let mut matching =
            unconditional.filter(|&&index| routes[index as usize].methods.allows(query.method));
        if let Some(&index) = matching.next() {
            *best = index;
        }
        for (name, by_value) in &self.by_header {
            let mut has_field = false;
            let mut try_all = |list: Option<&Vec<u32>>| {
                let list = list.into_iter().flatten();
                for &index in list {
                    if index >= *best {
                        return;
                    }
                    let route = &routes[index as usize];
                    let headers_match = route.headers.iter().all(|rule| rule.matches(query.headers));
                    if headers_match && route.methods.allows(query.method) {
                        *best = index;
                        return;
                    }
                }
            };
            for value in header_values(query.headers, name) {
                has_field = true;
                try_all(by_value.get(&Some(value.into())));
            }
            if has_field {
                try_all(by_value.get(&None));
            }
        }
    }

    fn for_each_route(&self, mut visit: impl FnMut(u32)) {
        self.unconditional.iter().for_each(|&index| visit(index));
        let lists = self.by_header.iter().flat_map(|(_, by_value)| by_value.values());
        lists.flatten().for_each(|&index| visit(index));
    }
}

/// Whether every request that matches `other` matches `one`, except for the method.
fn covers_except_method(one: &Route, other: &Route) -> bool {
    one.host.covers(&other.host)
        && one.path.covers(&other.path)
        && one.headers.iter().all(|rule| other.headers.iter().any(|theirs| rule_covers(rule, theirs)))
}

/// Whether every request that meets `other` meets `rule`.
fn rule_covers(rule: &HeaderRule, other: &HeaderRule) -> bool {
    rule.name == other.name && (rule.value.is_none() || rule.value == other.value)
}
