//! Builds the tables: routes one by one into drafts, which are then sorted and numbered anew.

use http::HeaderName;
use rustc_hash::FxHashMap;

use super::{
    ANY_SEGMENT, ANY_VALUE, Bucket, Field, HostKey, HostRoots, Leaf, Matcher, NONE, Node, RareMethods,
    Record, Root, Roots, Rule,
};
use crate::methods::MethodSet;
use crate::names::{NameId, Names};
use crate::path::Segment;
use crate::{HeaderRule, HostPattern, Methods, Route};

/// A node in the order of first use.
struct DraftNode {
    parent: u32,
    label: NameId,
    /// Steps from its root.
    depth: u32,
}

/// Tables that grow.
#[derive(Default)]
pub(super) struct Builder {
    names: Names,
    hosts: Names,
    fields: Vec<Field>,
    field_of: FxHashMap<Box<str>, u32>,
    root_of: FxHashMap<HostKey, u32>,
    /// In the order of first use, each with its draft.
    roots: Vec<(HostKey, u32)>,
    nodes: Vec<DraftNode>,
    children: FxHashMap<(u32, NameId), u32>,
    /// Their nodes are drafts.
    routes: Vec<Record>,
    rules: Vec<Rule>,
    rare: Vec<RareMethods>,
}

/// Nodes in their last order.
struct Numbered {
    labels: Box<[NameId]>,
    nodes: Vec<Node>,
    /// The new number of each draft.
    number_of: Vec<u32>,
}

/// Leaves with all that they hold.
#[derive(Default)]
struct Leaves {
    leaves: Vec<Leaf>,
    buckets: Vec<Bucket>,
    places: Vec<u32>,
}

impl Builder {
    /// Adds a route behind those that are there.
    pub fn add(&mut self, route: &Route) {
        let place = self.routes.len() as u32;
        let mut node = self.root(&route.host);
        for segment in &route.path.segments {
            let label = match segment {
                Segment::Literal(literal) => self.names.intern(literal),
                Segment::Any => ANY_SEGMENT,
            };
            node = self.child(node, label);
        }
        let (methods, rare) = MethodSet::of(&route.methods);
        if !rare.is_empty() {
            self.rare.push(RareMethods { place, methods: rare.into() });
        }
        let rules = self.rules.len() as u32;
        for rule in &route.headers {
            let rule = self.rule(rule);
            self.rules.push(rule);
        }
        self.routes.push(Record { node, rules, methods, rest: route.path.rest });
    }

    fn root(&mut self, host: &HostPattern) -> u32 {
        let key = match host {
            HostPattern::Any => HostKey::Any,
            HostPattern::Exact(name) => HostKey::Exact(self.hosts.intern(name.as_bytes())),
            HostPattern::Under(name) => HostKey::Under(self.hosts.intern(name.as_bytes())),
        };
        let fresh = self.nodes.len() as u32;
        let root = *self.root_of.entry(key).or_insert(fresh);
        if root == fresh {
            self.roots.push((key, fresh));
            self.nodes.push(DraftNode { parent: NONE, label: ANY_SEGMENT, depth: 0 });
        }
        root
    }

    fn child(&mut self, parent: u32, label: NameId) -> u32 {
        let fresh = self.nodes.len() as u32;
        let child = *self.children.entry((parent, label)).or_insert(fresh);
        if child == fresh {
            let depth = self.nodes[parent as usize].depth + 1;
            self.nodes.push(DraftNode { parent, label, depth });
        }
        child
    }

    fn rule(&mut self, rule: &HeaderRule) -> Rule {
        let field = match self.field_of.get(&rule.name) {
            Some(&field) => field,
            None => {
                let field = self.fields.len() as u32;
                let name = HeaderName::from_bytes(rule.name.as_bytes()).ok();
                self.fields.push(Field { text: rule.name.clone(), name });
                self.field_of.insert(rule.name.clone(), field);
                field
            }
        };
        let value = rule.value.as_ref().map_or(ANY_VALUE, |value| self.names.intern(value));
        Rule { field, value }
    }

    /// The finished tables.
    pub fn finish(mut self) -> Matcher {
        self.children = FxHashMap::default();
        let mut numbered = self.number_nodes();
        for route in &mut self.routes {
            route.node = numbered.number_of[route.node as usize];
        }
        let end =
            Record { node: NONE, rules: self.rules.len() as u32, methods: MethodSet::default(), rest: false };
        self.routes.push(end);
        let leaves = self.leaves(&mut numbered.nodes);
        set_least(&mut numbered.nodes, &leaves.leaves);
        let roots = roots(self.hosts, &self.roots);
        self.names.shrink();
        Matcher {
            names: self.names,
            fields: self.fields.into(),
            roots,
            labels: numbered.labels,
            nodes: numbered.nodes.into(),
            leaves: leaves.leaves.into(),
            buckets: leaves.buckets.into(),
            places: leaves.places.into(),
            routes: self.routes.into(),
            rules: self.rules.into(),
            rare: self.rare.into(),
        }
    }

    /// Numbers nodes level by level, each level by the new numbers of parents and then by labels. So the children of
    /// a node follow each other, and those of the next node follow them.
    fn number_nodes(&self) -> Numbered {
        let mut levels: Vec<Vec<u32>> = vec![self.roots.iter().map(|(_, draft)| *draft).collect()];
        for (draft, node) in self.nodes.iter().enumerate().filter(|(_, node)| node.depth > 0) {
            let depth = node.depth as usize;
            if levels.len() <= depth {
                levels.resize_with(depth + 1, Vec::new);
            }
            levels[depth].push(draft as u32);
        }
        let mut number_of = vec![NONE; self.nodes.len()];
        let mut order = Vec::with_capacity(self.nodes.len());
        for mut level in levels {
            // Roots stay in their order: their parents and labels are all the same.
            level.sort_by_key(|&draft| {
                let node = &self.nodes[draft as usize];
                let parent = number_of.get(node.parent as usize).copied();
                (parent, node.label)
            });
            for draft in level {
                number_of[draft as usize] = order.len() as u32;
                order.push(draft);
            }
        }
        let labels = order.iter().map(|&draft| self.nodes[draft as usize].label).collect();
        let nodes = self.linked(&order, &number_of);
        Numbered { labels, nodes, number_of }
    }

    /// Nodes in their order, each with its parent and its first child, and one more at the end.
    fn linked(&self, order: &[u32], number_of: &[u32]) -> Vec<Node> {
        let mut children = vec![0; order.len() + 1];
        let mut parents = Vec::with_capacity(order.len());
        for &draft in order {
            let parent = self.nodes[draft as usize].parent;
            let parent = number_of.get(parent as usize).copied().unwrap_or(NONE);
            parents.push(parent);
            if parent != NONE {
                children[parent as usize] += 1;
            }
        }
        let mut next = self.roots.len() as u32;
        for count in &mut children {
            let first = next;
            next += *count;
            *count = first;
        }
        parents.push(NONE);
        let link = |(parent, children)| Node { parent, least: NONE, children, exact: NONE, rest: NONE };
        parents.into_iter().zip(children).map(link).collect()
    }

    /// Groups routes by host and path, and hangs the groups at their nodes.
    fn leaves(&self, nodes: &mut [Node]) -> Leaves {
        let mut order: Vec<u32> = (0..self.routes.len() as u32 - 1).collect();
        let key = |place: u32| {
            let record = &self.routes[place as usize];
            (record.node, record.rest)
        };
        order.sort_unstable_by_key(|&place| (key(place), place));
        let mut leaves = Leaves::default();
        for group in order.chunk_by(|&one, &other| key(one) == key(other)) {
            let (node, rest) = key(group[0]);
            let node = &mut nodes[node as usize];
            let leaf = if rest { &mut node.rest } else { &mut node.exact };
            *leaf = leaves.leaves.len() as u32;
            self.leaf(group, &mut leaves);
        }
        leaves.end();
        leaves
    }

    /// Adds a leaf of routes, which are in order.
    fn leaf(&self, group: &[u32], leaves: &mut Leaves) {
        let start = leaves.places.len() as u32;
        let buckets = leaves.buckets.len() as u32;
        let mut allowed = Methods::Only(Vec::new());
        let mut conditional = Vec::new();
        for &place in group {
            if let Some(rule) = self.rules_of(place).first() {
                conditional.push((*rule, place));
                continue;
            }
            let methods = self.methods(place);
            if !allowed.cover(&methods) {
                allowed.join(&methods);
                leaves.places.push(place);
            }
        }
        let plain = leaves.places.len() as u32 - start;
        conditional.sort_unstable();
        for same in conditional.chunk_by(|(one, _), (other, _)| one == other) {
            let places = leaves.places.len() as u32;
            leaves.places.extend(same.iter().map(|(_, place)| *place));
            leaves.buckets.push(Bucket { rule: same[0].0, places, count: same.len() as u32 });
        }
        let least = leaves.places[start as usize..].iter().min().copied().unwrap_or(NONE);
        leaves.leaves.push(Leaf { least, places: start, plain, buckets });
    }

    fn rules_of(&self, place: u32) -> &[Rule] {
        let place = place as usize;
        &self.rules[self.routes[place].rules as usize..self.routes[place + 1].rules as usize]
    }

    fn methods(&self, place: u32) -> Methods {
        let found = self.rare.binary_search_by_key(&place, |rare| rare.place);
        let rare = found.map_or(&[][..], |found| &self.rare[found].methods);
        self.routes[place as usize].methods.methods(rare)
    }
}

/// The table of roots, which are the first nodes in the order of their keys here.
fn roots(mut names: Names, keys: &[(HostKey, u32)]) -> Roots {
    names.shrink();
    let mut roots = Roots {
        of_name: vec![HostRoots::default(); names.len()].into(),
        names,
        keys: keys.iter().map(|(key, _)| *key).collect(),
        ..Roots::default()
    };
    for (node, (key, _)) in keys.iter().enumerate() {
        let root = Root(node as u32);
        match *key {
            HostKey::Any => roots.any = root,
            HostKey::Exact(name) => roots.of_name[name.0 as usize].exact = root,
            HostKey::Under(name) => {
                roots.of_name[name.0 as usize].under = root;
                roots.has_under = true;
            }
        }
    }
    roots
}

impl Leaves {
    /// One more at the end, where the last one's entries end.
    fn end(&mut self) {
        let (places, buckets) = (self.places.len() as u32, self.buckets.len() as u32);
        self.leaves.push(Leaf { least: NONE, places, plain: 0, buckets });
    }
}

/// The first route at or below each node. Children come behind their parents.
fn set_least(nodes: &mut [Node], leaves: &[Leaf]) {
    let least_of = |leaf: u32| leaves.get(leaf as usize).map_or(NONE, |leaf| leaf.least);
    for place in (0..nodes.len()).rev() {
        let Node { parent, least, exact, rest, .. } = nodes[place];
        let least = least.min(least_of(exact)).min(least_of(rest));
        nodes[place].least = least;
        if let Some(parent) = nodes.get_mut(parent as usize) {
            parent.least = parent.least.min(least);
        }
    }
}
