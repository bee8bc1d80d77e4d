//! Searches of the tables: the first route that matches a request, and the routes that hide another one.

use http::HeaderMap;

use super::{ANY_SEGMENT, ANY_VALUE, Bucket, HostRoots, MatchResult, Matcher, NONE, Rule};
use crate::methods::RequestMethod;
use crate::names::NameId;
use crate::{HostPattern, Methods, RouteQuery, trimmed_value};

/// A request and its encoded method.
struct EncodedRequest<'a> {
    method: RequestMethod,
    query: &'a RouteQuery<'a>,
}

/// One step of a traversal that collects leaves.
#[derive(Clone, Copy)]
enum Step {
    /// A literal segment; `name` is `None` if no route has it.
    Literal { name: Option<NameId>, empty: bool },
    /// Any one segment.
    Any,
    /// Any further segments.
    Rest,
    /// The end of the path.
    End,
}

impl Matcher {
    /// Finds the first route that matches a request.
    #[must_use]
    pub fn find(&self, query: &RouteQuery<'_>) -> MatchResult {
        let request = EncodedRequest { method: RequestMethod::new(query.method), query };
        let mut best = NONE;
        self.for_each_root(query.host, |root| self.find_below(root, 0, &request, &mut best));
        if best != NONE {
            return MatchResult::Route(best as usize);
        }
        match self.allowed_methods(&request) {
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
        let route = self.route(index);
        let rules = self.rules(index as u32);
        let steps = self.path_steps(index);
        let step = |depth: usize| steps[depth];
        let mut covering = Vec::new();
        // The traversal visits only routes that match every host and path of this one.
        let visit = |root: u32| {
            self.for_each_leaf(root, 0, &step, &mut |leaf| {
                let earlier = self.leaf_routes(leaf).iter().filter(|&&other| (other as usize) < index);
                let covers = earlier.filter(|&&other| self.rules_cover(other, rules));
                covering.extend(covers.map(|&other| other as usize));
            });
        };
        match &route.host {
            HostPattern::Any => self.roots.any.get().into_iter().for_each(visit),
            HostPattern::Exact(name) => self.for_each_root(name, visit),
            HostPattern::Subdomains(name) => self.for_each_subdomain_root(name, visit),
        }
        covering.sort_unstable();
        let methods_of: Vec<_> = covering.iter().map(|&other| self.methods(other)).collect();
        if let Some(one) = methods_of.iter().position(|methods| methods.covers(&route.methods)) {
            return vec![covering[one]];
        }
        let mut combined = Methods::Only(Vec::new());
        methods_of.iter().for_each(|methods| combined.extend(methods));
        if combined.covers(&route.methods) { covering } else { Vec::new() }
    }

    /// Visits the roots of the tries that match a host.
    fn for_each_root(&self, host: &str, mut visit: impl FnMut(u32)) {
        self.host_roots(host).exact.get().into_iter().for_each(&mut visit);
        self.for_each_parent_root(host, visit);
    }

    /// Visits the roots of the tries that match all subdomains of a name, including the trie of its
    /// subdomains.
    fn for_each_subdomain_root(&self, name: &str, mut visit: impl FnMut(u32)) {
        self.host_roots(name).subdomains.get().into_iter().for_each(&mut visit);
        self.for_each_parent_root(name, visit);
    }

    /// Visits the roots of the tries of subdomains of the parent domains of a host, and of all hosts.
    fn for_each_parent_root(&self, host: &str, mut visit: impl FnMut(u32)) {
        if self.roots.has_subdomain_roots {
            let dots = host.match_indices('.').filter(|(index, _)| *index > 0);
            let parents = dots.map(|(index, _)| self.host_roots(&host[index + 1..]));
            parents.filter_map(|roots| roots.subdomains.get()).for_each(&mut visit);
        }
        self.roots.any.get().into_iter().for_each(visit);
    }

    fn host_roots(&self, host: &str) -> HostRoots {
        let name = self.roots.names.find(host.as_bytes());
        name.map_or(HostRoots::default(), |name| self.roots.by_name[name.0 as usize])
    }

    fn find_below(&self, at: u32, depth: usize, request: &EncodedRequest<'_>, best: &mut u32) {
        let node = &self.nodes[at as usize];
        // Skips subtrees without an earlier route than the best so far: otherwise `*` next to literals would
        // double the search at every segment.
        if node.first_route >= *best {
            return;
        }
        self.find_in_leaf(node.rest, request, best);
        let Some(segment) = request.query.path.segments.get(depth) else {
            return self.find_in_leaf(node.exact, request, best);
        };
        if self.children(at).is_empty() {
            return;
        }
        if let Some(child) = self.names.find(segment).and_then(|name| self.child(at, name)) {
            self.find_below(child, depth + 1, request, best);
        }
        if let Some(child) = self.any_segment_child(at).filter(|_| !segment.is_empty()) {
            self.find_below(child, depth + 1, request, best);
        }
    }

    fn find_in_leaf(&self, number: u32, request: &EncodedRequest<'_>, best: &mut u32) {
        let Some(leaf) = self.leaves.get(number as usize).filter(|leaf| leaf.first_route < *best) else {
            return;
        };
        let unconditional = &self.leaf_routes(number)[..leaf.unconditional_count as usize];
        let earlier = unconditional.iter().take_while(|&&index| index < *best);
        if let Some(&index) = earlier.into_iter().find(|&&index| self.method_matches(index, request)) {
            *best = index;
        }
        for group in self.buckets(number).chunk_by(|one, other| one.rule.field == other.rule.field) {
            self.find_in_buckets(group, request, best);
        }
    }

    /// Searches the buckets of one header for the values that a request has for it.
    fn find_in_buckets(&self, group: &[Bucket], request: &EncodedRequest<'_>, best: &mut u32) {
        let Some(first) = group.first() else { return };
        let find = |value: NameId| {
            let found = group.binary_search_by_key(&value, |bucket| bucket.rule.value).ok();
            found.map(|index| &group[index])
        };
        let mut has_field = false;
        for value in self.field_values(first.rule, request.query.headers) {
            has_field = true;
            let bucket = self.names.find(value).and_then(find);
            bucket.into_iter().for_each(|bucket| self.find_in_bucket(bucket, request, best));
        }
        if has_field {
            find(ANY_VALUE).into_iter().for_each(|bucket| self.find_in_bucket(bucket, request, best));
        }
    }

    fn find_in_bucket(&self, bucket: &Bucket, request: &EncodedRequest<'_>, best: &mut u32) {
        let start = bucket.routes_start as usize;
        let routes = &self.leaf_routes[start..start + bucket.count as usize];
        let earlier = routes.iter().take_while(|&&index| index < *best);
        let matches = |index: u32| {
            self.headers_match(index, request.query.headers) && self.method_matches(index, request)
        };
        if let Some(&index) = earlier.into_iter().find(|&&index| matches(index)) {
            *best = index;
        }
    }

    /// The methods of all routes that match a request except for its method.
    fn allowed_methods(&self, request: &EncodedRequest<'_>) -> Methods {
        let step = |depth: usize| match request.query.path.segments.get(depth) {
            Some(segment) => Step::Literal { name: self.names.find(segment), empty: segment.is_empty() },
            None => Step::End,
        };
        let mut allowed = Methods::Only(Vec::new());
        self.for_each_root(request.query.host, |root| {
            self.for_each_leaf(root, 0, &step, &mut |leaf| {
                for &index in self.leaf_routes(leaf) {
                    if self.headers_match(index, request.query.headers)
                        && !self.method_matches(index, request)
                    {
                        allowed.extend(&self.methods(index as usize));
                    }
                }
            });
        });
        allowed
    }

    /// Visits the leaves whose paths match everything that the steps from `depth` on match. The last step is
    /// [`Step::End`] or [`Step::Rest`].
    fn for_each_leaf(
        &self,
        at: u32,
        depth: usize,
        step: &impl Fn(usize) -> Step,
        visit: &mut impl FnMut(u32),
    ) {
        let node = &self.nodes[at as usize];
        if node.rest != NONE {
            visit(node.rest);
        }
        if node.exact == NONE && self.children(at).is_empty() {
            return;
        }
        match step(depth) {
            Step::Rest => return,
            Step::End => {
                if node.exact != NONE {
                    visit(node.exact);
                }
                return;
            }
            Step::Literal { name, empty } => {
                if let Some(child) = name.and_then(|name| self.child(at, name)) {
                    self.for_each_leaf(child, depth + 1, step, visit);
                }
                if empty {
                    return;
                }
            }
            Step::Any => {}
        }
        if let Some(child) = self.any_segment_child(at) {
            self.for_each_leaf(child, depth + 1, step, visit);
        }
    }

    /// The path of a route as steps.
    fn path_steps(&self, index: usize) -> Vec<Step> {
        let record = &self.routes[index];
        let mut steps = vec![if record.rest { Step::Rest } else { Step::End }];
        let mut node = record.node;
        while !self.is_root(node) {
            steps.push(match self.labels[node as usize] {
                ANY_SEGMENT => Step::Any,
                name => Step::Literal { name: Some(name), empty: self.names.get(name).is_empty() },
            });
            node = self.nodes[node as usize].parent;
        }
        steps.reverse();
        steps
    }

    fn method_matches(&self, index: u32, request: &EncodedRequest<'_>) -> bool {
        let allowed = self.routes[index as usize].methods.allows(request.method);
        allowed.unwrap_or_else(|| self.rare(index).contains(request.query.method))
    }

    /// Whether the header fields of a request meet all header conditions of a route.
    fn headers_match(&self, index: u32, headers: &HeaderMap) -> bool {
        self.rules(index).iter().all(|rule| {
            let mut values = self.field_values(*rule, headers);
            match rule.value {
                ANY_VALUE => values.next().is_some(),
                value => values.any(|actual| actual == self.names.get(value)),
            }
        })
    }

    /// The values that a request has for the header field of a condition.
    fn field_values<'a>(
        &self,
        rule: Rule,
        headers: &'a HeaderMap,
    ) -> impl Iterator<Item = &'a [u8]> + use<'a> {
        let name = self.fields[rule.field as usize].name.as_ref();
        let values = name.map(|name| headers.get_all(name).iter());
        values.into_iter().flatten().map(trimmed_value)
    }

    /// Whether a request that meets the conditions `others` also meets the header conditions of a route.
    fn rules_cover(&self, index: u32, others: &[Rule]) -> bool {
        self.rules(index).iter().all(|rule| {
            let covers =
                |other: &Rule| rule.field == other.field && [other.value, ANY_VALUE].contains(&rule.value);
            others.iter().any(covers)
        })
    }
}
