//! Builds the tables: adds routes one by one to draft tables, whose nodes are then sorted and renumbered.

use http::HeaderName;
use rustc_hash::FxHashMap;

use super::{
    ANY_SEGMENT, ANY_VALUE, Bucket, HeaderField, HostKey, HostRoots, Leaf, Matcher, NONE, Node, RareMethods,
    Root, Roots, RouteRecord, Rule,
};
use crate::methods::MethodSet;
use crate::names::{NameId, NameTable};
use crate::path::Segment;
use crate::{HeaderRule, HostPattern, Methods, Route};

/// A node before the final numbering; drafts are in the order of first use.
struct DraftNode {
    parent: u32,
    label: NameId,
    /// Distance from its root.
    depth: u32,
}

/// The draft tables.
#[derive(Default)]
pub(super) struct Builder {
    names: NameTable,
    hosts: NameTable,
    fields: Vec<HeaderField>,
    field_indices: FxHashMap<Box<str>, u32>,
    root_drafts: FxHashMap<HostKey, u32>,
    /// In the order of first use, each with its draft node.
    roots: Vec<(HostKey, u32)>,
    nodes: Vec<DraftNode>,
    children: FxHashMap<(u32, NameId), u32>,
    /// Their `node` is a draft until `finish`.
    routes: Vec<RouteRecord>,
    rules: Vec<Rule>,
    rare: Vec<RareMethods>,
}

/// Nodes in their final order.
struct NumberedNodes {
    labels: Box<[NameId]>,
    nodes: Vec<Node>,
    /// The final number of each draft.
    numbers: Vec<u32>,
}

/// Leaves with their buckets and routes.
#[derive(Default)]
struct Leaves {
    leaves: Vec<Leaf>,
    buckets: Vec<Bucket>,
    routes: Vec<u32>,
}

impl Builder {
    /// Adds a route after the existing ones.
    pub fn add(&mut self, route: &Route) {
        let index = self.routes.len() as u32;
        let mut node = self.root(&route.host);
        for segment in &route.path.segments {
            let label = match segment {
                Segment::Literal(literal) => self.names.intern(literal),
                Segment::Any => ANY_SEGMENT,
            };
            node = self.child(node, label);
        }
        let (methods, rare) = MethodSet::new(&route.methods);
        if !rare.is_empty() {
            self.rare.push(RareMethods { route: index, methods: rare.into() });
        }
        let rules_start = self.rules.len() as u32;
        for rule in &route.headers {
            let rule = self.rule(rule);
            self.rules.push(rule);
        }
        self.routes.push(RouteRecord { node, rules_start, methods, rest: route.path.rest });
    }

    fn root(&mut self, host: &HostPattern) -> u32 {
        let key = match host {
            HostPattern::Any => HostKey::Any,
            HostPattern::Exact(name) => HostKey::Exact(self.hosts.intern(name.as_bytes())),
            HostPattern::Subdomains(name) => HostKey::Subdomains(self.hosts.intern(name.as_bytes())),
        };
        let new_draft = self.nodes.len() as u32;
        let root = *self.root_drafts.entry(key).or_insert(new_draft);
        if root == new_draft {
            self.roots.push((key, new_draft));
            self.nodes.push(DraftNode { parent: NONE, label: ANY_SEGMENT, depth: 0 });
        }
        root
    }

    fn child(&mut self, parent: u32, label: NameId) -> u32 {
        let new_draft = self.nodes.len() as u32;
        let child = *self.children.entry((parent, label)).or_insert(new_draft);
        if child == new_draft {
            let depth = self.nodes[parent as usize].depth + 1;
            self.nodes.push(DraftNode { parent, label, depth });
        }
        child
    }

    fn rule(&mut self, rule: &HeaderRule) -> Rule {
        let field = match self.field_indices.get(&rule.name) {
            Some(&field) => field,
            None => {
                let field = self.fields.len() as u32;
                let name = HeaderName::from_bytes(rule.name.as_bytes()).ok();
                self.fields.push(HeaderField { text: rule.name.clone(), name });
                self.field_indices.insert(rule.name.clone(), field);
                field
            }
        };
        let value = rule.value.as_ref().map_or(ANY_VALUE, |value| self.names.intern(value));
        Rule { field, value }
    }

    /// Builds the final tables.
    pub fn finish(mut self) -> Matcher {
        self.children = FxHashMap::default();
        let mut numbered = self.number_nodes();
        for route in &mut self.routes {
            route.node = numbered.numbers[route.node as usize];
        }
        let rules_start = self.rules.len() as u32;
        self.routes.push(RouteRecord { node: NONE, rules_start, methods: MethodSet::default(), rest: false });
        let leaves = self.leaves(&mut numbered.nodes);
        set_first_routes(&mut numbered.nodes, &leaves.leaves);
        let roots = root_table(self.hosts, &self.roots);
        self.names.shrink_to_fit();
        Matcher {
            names: self.names,
            fields: self.fields.into(),
            roots,
            labels: numbered.labels,
            nodes: numbered.nodes.into(),
            leaves: leaves.leaves.into(),
            buckets: leaves.buckets.into(),
            leaf_routes: leaves.routes.into(),
            routes: self.routes.into(),
            rules: self.rules.into(),
            rare: self.rare.into(),
        }
    }

    /// Numbers the nodes level by level, each level in the order of the parents' final numbers and then of
    /// labels: the children of a node are adjacent, and are followed by those of the next node.
    fn number_nodes(&self) -> NumberedNodes {
        let mut levels: Vec<Vec<u32>> = vec![self.roots.iter().map(|(_, draft)| *draft).collect()];
        for (draft, node) in self.nodes.iter().enumerate().filter(|(_, node)| node.depth > 0) {
            let depth = node.depth as usize;
            if levels.len() <= depth {
                levels.resize_with(depth + 1, Vec::new);
            }
            levels[depth].push(draft as u32);
        }
        let mut numbers = vec![NONE; self.nodes.len()];
        let mut order = Vec::with_capacity(self.nodes.len());
        for mut level in levels {
            // The roots keep their order: their parents and labels are all equal.
            level.sort_by_key(|&draft| {
                let node = &self.nodes[draft as usize];
                let parent = numbers.get(node.parent as usize).copied();
                (parent, node.label)
            });
            for draft in level {
                numbers[draft as usize] = order.len() as u32;
                order.push(draft);
            }
        }
        let labels = order.iter().map(|&draft| self.nodes[draft as usize].label).collect();
        let nodes = self.link_nodes(&order, &numbers);
        NumberedNodes { labels, nodes, numbers }
    }

    /// The nodes in the final order, each with its parent and its first child, followed by a sentinel.
    fn link_nodes(&self, order: &[u32], numbers: &[u32]) -> Vec<Node> {
        let mut children = vec![0; order.len() + 1];
        let mut parents = Vec::with_capacity(order.len());
        for &draft in order {
            let parent = self.nodes[draft as usize].parent;
            let parent = numbers.get(parent as usize).copied().unwrap_or(NONE);
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
        let link = |(parent, children_start)| Node {
            parent,
            first_route: NONE,
            children_start,
            exact: NONE,
            rest: NONE,
        };
        parents.into_iter().zip(children).map(link).collect()
    }

    /// Groups the routes by host and path into leaves, and links the leaves to their nodes.
    fn leaves(&self, nodes: &mut [Node]) -> Leaves {
        let mut order: Vec<u32> = (0..self.routes.len() as u32 - 1).collect();
        let key = |index: u32| {
            let record = &self.routes[index as usize];
            (record.node, record.rest)
        };
        order.sort_unstable_by_key(|&index| (key(index), index));
        let mut leaves = Leaves::default();
        for group in order.chunk_by(|&one, &other| key(one) == key(other)) {
            let (node, rest) = key(group[0]);
            let node = &mut nodes[node as usize];
            let leaf = if rest { &mut node.rest } else { &mut node.exact };
            *leaf = leaves.leaves.len() as u32;
            self.add_leaf(group, &mut leaves);
        }
        leaves.push_sentinel();
        leaves
    }

    /// Adds a leaf with a group of routes, which must be in order.
    fn add_leaf(&self, group: &[u32], leaves: &mut Leaves) {
        let routes_start = leaves.routes.len() as u32;
        let buckets_start = leaves.buckets.len() as u32;
        let mut allowed = Methods::Only(Vec::new());
        let mut conditional = Vec::new();
        for &index in group {
            if let Some(rule) = self.rules_of(index).first() {
                conditional.push((*rule, index));
                continue;
            }
            let methods = self.methods(index);
            if !allowed.covers(&methods) {
                allowed.extend(&methods);
                leaves.routes.push(index);
            }
        }
        let unconditional_count = leaves.routes.len() as u32 - routes_start;
        conditional.sort_unstable();
        for same in conditional.chunk_by(|(one, _), (other, _)| one == other) {
            let bucket_start = leaves.routes.len() as u32;
            leaves.routes.extend(same.iter().map(|(_, index)| *index));
            leaves.buckets.push(Bucket {
                rule: same[0].0,
                routes_start: bucket_start,
                count: same.len() as u32,
            });
        }
        let first_route = leaves.routes[routes_start as usize..].iter().min().copied().unwrap_or(NONE);
        leaves.leaves.push(Leaf { first_route, routes_start, unconditional_count, buckets_start });
    }

    fn rules_of(&self, index: u32) -> &[Rule] {
        let index = index as usize;
        &self.rules[self.routes[index].rules_start as usize..self.routes[index + 1].rules_start as usize]
    }

    fn methods(&self, index: u32) -> Methods {
        let found = self.rare.binary_search_by_key(&index, |rare| rare.route);
        let rare = found.map_or(&[][..], |found| &self.rare[found].methods);
        self.routes[index as usize].methods.methods(rare)
    }
}

/// Builds the table of the roots, which are the first nodes, in the order of `keys`.
fn root_table(mut names: NameTable, keys: &[(HostKey, u32)]) -> Roots {
    names.shrink_to_fit();
    let mut roots = Roots {
        by_name: vec![HostRoots::default(); names.len()].into(),
        names,
        keys: keys.iter().map(|(key, _)| *key).collect(),
        ..Roots::default()
    };
    for (node, (key, _)) in keys.iter().enumerate() {
        let root = Root(node as u32);
        match *key {
            HostKey::Any => roots.any = root,
            HostKey::Exact(name) => roots.by_name[name.0 as usize].exact = root,
            HostKey::Subdomains(name) => {
                roots.by_name[name.0 as usize].subdomains = root;
                roots.has_subdomain_roots = true;
            }
        }
    }
    roots
}

impl Leaves {
    /// Adds a sentinel that marks the end of the last leaf's entries.
    fn push_sentinel(&mut self) {
        let (routes_start, buckets_start) = (self.routes.len() as u32, self.buckets.len() as u32);
        let (first_route, unconditional_count) = (NONE, 0);
        self.leaves.push(Leaf { first_route, routes_start, unconditional_count, buckets_start });
    }
}

/// Sets the first route in the subtree of each node. Children have higher numbers than their parents.
fn set_first_routes(nodes: &mut [Node], leaves: &[Leaf]) {
    let first_of = |leaf: u32| leaves.get(leaf as usize).map_or(NONE, |leaf| leaf.first_route);
    for index in (0..nodes.len()).rev() {
        let Node { parent, first_route, exact, rest, .. } = nodes[index];
        let first_route = first_route.min(first_of(exact)).min(first_of(rest));
        nodes[index].first_route = first_route;
        if let Some(parent) = nodes.get_mut(parent as usize) {
            parent.first_route = parent.first_route.min(first_route);
        }
    }
}
