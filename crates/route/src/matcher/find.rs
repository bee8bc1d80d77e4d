//! Walks over the tables: the first route that a request fits, and the routes that hide another one.

use http::HeaderMap;

use super::{ANY_SEGMENT, ANY_VALUE, Bucket, Found, HostRoots, Matcher, NONE, Rule};
use crate::methods::AskedMethod;
use crate::names::NameId;
use crate::{HostPattern, Methods, Query, compared};

/// A request with its method as a bit.
struct Asked<'a> {
    method: AskedMethod,
    query: &'a Query<'a>,
}

/// One step of a walk that collects leaves.
#[derive(Clone, Copy)]
enum Step {
    /// A segment, by its name; `None` where no route has this one.
    Literal { name: Option<NameId>, empty: bool },
    /// Any one segment.
    Any,
    /// Any rest.
    Rest,
    /// Nothing more.
    End,
}

impl Matcher {
    /// The first route that a request fits.
    #[must_use]
    pub fn find(&self, query: &Query<'_>) -> Found {
        let asked = Asked { method: AskedMethod::of(query.method), query };
        let mut best = NONE;
        self.each_root(query.host, |root| self.find_below(root, 0, &asked, &mut best));
        if best != NONE {
            return Found::Route(best as usize);
        }
        match self.allowed_methods(&asked) {
            Methods::Only(list) if list.is_empty() => Found::Nothing,
            Methods::Only(list) => Found::Method(list),
            // A route that takes every method would have been found.
            Methods::Any => Found::Nothing,
        }
    }

    /// Earlier routes that together leave nothing to this one, in order; empty where something is left to it.
    #[must_use]
    pub fn hiders(&self, place: usize) -> Vec<usize> {
        let route = self.route(place);
        let rules = self.rules(place as u32);
        let steps = self.steps_to(place);
        let step = |depth: usize| steps[depth];
        let mut covering = Vec::new();
        // The walk meets only routes whose hosts and paths take all of this one's.
        let visit = |root: u32| {
            self.each_leaf(root, 0, &step, &mut |leaf| {
                let earlier = self.places(leaf).iter().filter(|&&other| (other as usize) < place);
                let covers = earlier.filter(|&&other| self.conditions_cover(other, rules));
                covering.extend(covers.map(|&other| other as usize));
            });
        };
        match &route.host {
            HostPattern::Any => self.roots.any.get().into_iter().for_each(visit),
            HostPattern::Exact(name) => self.each_root(name, visit),
            HostPattern::Under(name) => self.each_root_under(name, visit),
        }
        covering.sort_unstable();
        let methods_of: Vec<_> = covering.iter().map(|&other| self.methods(other)).collect();
        if let Some(one) = methods_of.iter().position(|methods| methods.cover(&route.methods)) {
            return vec![covering[one]];
        }
        let mut together = Methods::Only(Vec::new());
        methods_of.iter().for_each(|methods| together.join(methods));
        if together.cover(&route.methods) { covering } else { Vec::new() }
    }

    /// The roots of the tries that take a host.
    fn each_root(&self, host: &str, mut visit: impl FnMut(u32)) {
        self.host_roots(host).exact.get().into_iter().for_each(&mut visit);
        self.each_root_above(host, visit);
    }

    /// The roots of the tries that take all hosts under a name: those under the name itself do as well.
    fn each_root_under(&self, name: &str, mut visit: impl FnMut(u32)) {
        self.host_roots(name).under.get().into_iter().for_each(&mut visit);
        self.each_root_above(name, visit);
    }

    fn each_root_above(&self, host: &str, mut visit: impl FnMut(u32)) {
        if self.roots.has_under {
            let dots = host.match_indices('.').filter(|(place, _)| *place > 0);
            let parents = dots.map(|(place, _)| self.host_roots(&host[place + 1..]));
            parents.filter_map(|roots| roots.under.get()).for_each(&mut visit);
        }
        self.roots.any.get().into_iter().for_each(visit);
    }

    fn host_roots(&self, host: &str) -> HostRoots {
        let name = self.roots.names.find(host.as_bytes());
        name.map_or(HostRoots::default(), |name| self.roots.of_name[name.0 as usize])
    }

    fn find_below(&self, at: u32, depth: usize, asked: &Asked<'_>, best: &mut u32) {
        let node = &self.nodes[at as usize];
        // What can't come earlier than the best so far is not looked at: `*` beside literals would double the
        // walk at every segment.
        if node.least >= *best {
            return;
        }
        self.find_in_leaf(node.rest, asked, best);
        let Some(segment) = asked.query.path.segments.get(depth) else {
            return self.find_in_leaf(node.exact, asked, best);
        };
        if self.children(at).is_empty() {
            return;
        }
        if let Some(child) = self.names.find(segment).and_then(|name| self.child(at, name)) {
            self.find_below(child, depth + 1, asked, best);
        }
        if let Some(child) = self.any_child(at).filter(|_| !segment.is_empty()) {
            self.find_below(child, depth + 1, asked, best);
        }
    }

    fn find_in_leaf(&self, number: u32, asked: &Asked<'_>, best: &mut u32) {
        let Some(leaf) = self.leaves.get(number as usize).filter(|leaf| leaf.least < *best) else { return };
        let plain = &self.places(number)[..leaf.plain as usize];
        let earlier = plain.iter().take_while(|&&place| place < *best);
        if let Some(&place) = earlier.into_iter().find(|&&place| self.allows(place, asked)) {
            *best = place;
        }
        for group in self.buckets(number).chunk_by(|one, other| one.rule.field == other.rule.field) {
            self.find_in_buckets(group, asked, best);
        }
    }

    /// Looks into the buckets of one header, by the values that a request has for it.
    fn find_in_buckets(&self, group: &[Bucket], asked: &Asked<'_>, best: &mut u32) {
        let Some(first) = group.first() else { return };
        let find = |value: NameId| {
            let found = group.binary_search_by_key(&value, |bucket| bucket.rule.value).ok();
            found.map(|place| &group[place])
        };
        let mut present = false;
        for value in self.values(first.rule, asked.query.headers) {
            present = true;
            let bucket = self.names.find(value).and_then(find);
            bucket.into_iter().for_each(|bucket| self.find_in_bucket(bucket, asked, best));
        }
        if present {
            find(ANY_VALUE).into_iter().for_each(|bucket| self.find_in_bucket(bucket, asked, best));
        }
    }

    fn find_in_bucket(&self, bucket: &Bucket, asked: &Asked<'_>, best: &mut u32) {
        let start = bucket.places as usize;
        let places = &self.places[start..start + bucket.count as usize];
        let earlier = places.iter().take_while(|&&place| place < *best);
        let fits = |place: u32| self.holds(place, asked.query.headers) && self.allows(place, asked);
        if let Some(&place) = earlier.into_iter().find(|&&place| fits(place)) {
            *best = place;
        }
    }

    /// The methods of all routes that a request fits but for its method.
    fn allowed_methods(&self, asked: &Asked<'_>) -> Methods {
        let step = |depth: usize| match asked.query.path.segments.get(depth) {
            Some(segment) => Step::Literal { name: self.names.find(segment), empty: segment.is_empty() },
            None => Step::End,
        };
        let mut allowed = Methods::Only(Vec::new());
        self.each_root(asked.query.host, |root| {
            self.each_leaf(root, 0, &step, &mut |leaf| {
                for &place in self.places(leaf) {
                    if self.holds(place, asked.query.headers) && !self.allows(place, asked) {
                        allowed.join(&self.methods(place as usize));
                    }
                }
            });
        });
        allowed
    }

    /// Hands over the leaves whose paths take all that the steps allow, from the step at a depth on. The last step is
    /// [`Step::End`] or [`Step::Rest`].
    fn each_leaf(&self, at: u32, depth: usize, step: &impl Fn(usize) -> Step, visit: &mut impl FnMut(u32)) {
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
                    self.each_leaf(child, depth + 1, step, visit);
                }
                if empty {
                    return;
                }
            }
            Step::Any => {}
        }
        if let Some(child) = self.any_child(at) {
            self.each_leaf(child, depth + 1, step, visit);
        }
    }

    /// The path of a route as steps.
    fn steps_to(&self, place: usize) -> Vec<Step> {
        let record = &self.routes[place];
        let mut steps = vec![if record.rest { Step::Rest } else { Step::End }];
        let mut at = record.node;
        while !self.is_root(at) {
            steps.push(match self.labels[at as usize] {
                ANY_SEGMENT => Step::Any,
                name => Step::Literal { name: Some(name), empty: self.names.get(name).is_empty() },
            });
            at = self.nodes[at as usize].parent;
        }
        steps.reverse();
        steps
    }

    fn allows(&self, place: u32, asked: &Asked<'_>) -> bool {
        let allowed = self.routes[place as usize].methods.allows(asked.method);
        allowed.unwrap_or_else(|| self.rare(place).contains(asked.query.method))
    }

    /// Whether all conditions of a route on header fields hold.
    fn holds(&self, place: u32, headers: &HeaderMap) -> bool {
        self.rules(place).iter().all(|rule| {
            let mut values = self.values(*rule, headers);
            match rule.value {
                ANY_VALUE => values.next().is_some(),
                value => values.any(|value_asked| value_asked == self.names.get(value)),
            }
        })
    }

    /// The values that a request has for the field of a condition.
    fn values<'a>(&self, rule: Rule, headers: &'a HeaderMap) -> impl Iterator<Item = &'a [u8]> + use<'a> {
        let name = self.fields[rule.field as usize].name.as_ref();
        let values = name.map(|name| headers.get_all(name).iter());
        values.into_iter().flatten().map(compared)
    }

    /// Whether the conditions of a route hold wherever some others do.
    fn conditions_cover(&self, place: u32, others: &[Rule]) -> bool {
        self.rules(place).iter().all(|rule| {
            let covers =
                |other: &Rule| rule.field == other.field && [other.value, ANY_VALUE].contains(&rule.value);
            others.iter().any(covers)
        })
    }
}
