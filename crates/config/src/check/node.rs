//! The block `node`: the identity of the node and its position among other nodes.

use super::Checker;
use super::block_reader::BlockReader;
use super::names::{defined_twice, invalid_name, is_name};
use super::values::{integer, within};
use crate::diagnostic::Diagnostic;
use crate::model::{EntrySpans, Node};
use crate::syntax::Word;

/// Maximum number of zones: the decision module has 16-bit zone numbers, and keeps a mean for each class and
/// zone.
const MAX_ZONES: usize = 256;

/// The node if there is no `node` block.
pub(super) fn default_node() -> Node {
    Node {
        name: "pumicehead".into(),
        zones: vec![String::new()],
        zone: 0,
        node_count: 1,
        node_index: 0,
        spans: EntrySpans::default(),
    }
}

impl Checker<'_> {
    pub(super) fn node(&mut self, block: &BlockReader<'_>) -> Node {
        let mut node = Node { spans: block.spans.clone(), ..default_node() };
        if let Ok(Some(name)) = self.value(block, "name") {
            if is_name(&name.text) {
                node.name = name.text.into();
            } else {
                self.report(invalid_name(&name, "node"));
            }
        }
        if let Ok(Some(zones)) = self.values(block, "zones") {
            self.check_zones(&zones);
            node.zones = zones.into_iter().map(|zone| zone.text.into()).collect();
        }
        match self.value(block, "zone") {
            Ok(Some(zone)) => node.zone = self.zone_index(&node, &zone).unwrap_or(0),
            Ok(None) if node.zones.len() > 1 => {
                let span = block.spans.settings["zones"];
                let message = "the node has `zones`, but no `zone` of its own";
                self.report(Diagnostic::error("missing-setting", span, message).help("write `zone NAME`"));
            }
            _ => {}
        }
        let count = within(integer::<u32>, "1", "1000000");
        node.node_count = self.parsed(block, "nodes", 1, count).unwrap_or(1);
        node.node_index = self.parsed(block, "number", 0, integer::<u32>).unwrap_or(0);
        if node.node_index >= node.node_count {
            let span = block.spans.settings.get("number").copied().unwrap_or(block.spans.name);
            let (index, count) = (node.node_index, node.node_count);
            let message = format!("`number` is {index}, but {count} nodes are numbered from 0");
            self.report(Diagnostic::error("out-of-range", span, message));
        }
        node
    }

    fn check_zones(&mut self, zones: &[Word]) {
        if let Some(over) = zones.get(MAX_ZONES) {
            self.report(Diagnostic::error("too-many", over.span, format!("more than {MAX_ZONES} zones")));
        }
        for (index, zone) in zones.iter().enumerate() {
            if let Some(first) = zones[..index].iter().find(|other| other.text == zone.text) {
                self.report(defined_twice("zone", zone, first.span));
            }
        }
    }

    /// The index of a zone of the node.
    pub(super) fn zone_index(&mut self, node: &Node, word: &Word) -> Option<usize> {
        let index = node.zones.iter().position(|zone| **zone == *word.text);
        if index.is_none() {
            let known: Vec<_> =
                node.zones.iter().map(String::as_str).filter(|zone| !zone.is_empty()).collect();
            if known.is_empty() {
                let message = format!("the zone `{}` is not one of the node's zones", word.text);
                let help = "write `zones NAME ...` and `zone NAME` in the `node` block";
                self.report(Diagnostic::error("unknown-name", word.span, message).help(help));
            } else {
                self.report_unknown_word(word, "is not one of the node's zones", known);
            }
        }
        index
    }
}
