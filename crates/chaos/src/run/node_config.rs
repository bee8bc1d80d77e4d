//! Generates the configuration files of nodes.

use super::fleet::Fleet;
use crate::link::{LinkEnd, LinkPath};

/// Number of nodes that serve as seeds for joining the group.
const SEED_NODES: usize = 2;

impl Fleet<'_> {
    /// Returns a node's configuration in the configuration language of operators.
    pub(super) fn node_config(&self, node: usize) -> String {
        let discovery_path = LinkPath { from: LinkEnd::Node(node), to: LinkEnd::Discovery };
        let discovery = self.links.address(discovery_path);
        let deadline_ms = self.scenario.load.deadline_ms;
        let slow_start = self.scenario.fleet.slow_start;
        let recordings = self.files.node_dir(node);
        format!(
            "node {{\n    name n{node}\n    zones a\n    zone a\n    nodes {nodes}\n    number {node}\n}}\n\
             listener public {{\n    address 127.0.0.1:0\n}}\n\
             pool boards {{\n    discovery watch {discovery}\n    warm-up {warm_up_s}s from {initial_percent}%\n    tips-over 4 within 1500ms\n}}\n\
             class read {{\n    aim {aim_ms}ms\n    deadline {deadline_ms}ms\n    worth 1\n    late-worth 30%\n    repeats safe\n}}\n\
             class submit {{\n    aim {aim_ms}ms\n    deadline {deadline_ms}ms\n    worth 10\n    late-worth 30%\n    repeats unsafe\n}}\n\
             route submit {{\n    path /runs/**\n    method POST\n    class submit\n    pool boards\n}}\n\
             route read {{\n    path /**\n    class read\n    pool boards\n}}\n\
             observe {{\n    calls 127.0.0.1:0\n    recordings \"{recordings}\"\n}}\n{membership}",
            nodes = self.scenario.fleet.nodes,
            warm_up_s = slow_start.duration_s,
            initial_percent = slow_start.initial_share * 100.0,
            aim_ms = deadline_ms / 2,
            recordings = recordings.display(),
            membership = self.membership_config(node),
        )
    }

    /// Returns the `fleet` block, with the address at which the node reaches each other member; empty without membership.
    fn membership_config(&self, node: usize) -> String {
        if !self.scenario.fleet.membership {
            return String::new();
        }
        let address_of = |other: usize| {
            self.links.find_address(LinkPath { from: LinkEnd::Node(node), to: LinkEnd::Node(other) })
        };
        let mut text = "fleet {\n    name storm\n    address 127.0.0.1:0\n".to_owned();
        let seeds: Vec<_> =
            (0..SEED_NODES).filter_map(address_of).map(|address| address.to_string()).collect();
        if !seeds.is_empty() {
            text += &format!("    seeds {}\n", seeds.join(" "));
        }
        for other in 0..self.scenario.fleet.nodes {
            if let Some(address) = address_of(other) {
                text += &format!("    reach n{other} {address}\n");
            }
        }
        text + "}\n"
    }
}
