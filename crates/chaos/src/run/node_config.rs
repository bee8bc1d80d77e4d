//! Generates the configuration files of nodes.

use super::fleet::Fleet;
use crate::MS;
use crate::link::{LinkEnd, LinkPath};
use crate::scenario::Host;

/// Number of nodes that serve as seeds for joining the group.
const SEED_NODES: usize = 2;
/// Memory of a node on the platform.
const PLATFORM_MEMORY_MB: usize = 64;
/// File descriptors of a node on the platform.
const PLATFORM_DESCRIPTORS: usize = 512;

impl Fleet<'_> {
    /// Returns a node's configuration.
    pub(super) fn node_config(&self, node: usize) -> String {
        match self.scenario.fleet.host {
            Host::Standalone => self.standalone_config(node),
            Host::Platform => self.platform_config(node),
        }
    }

    /// Returns the configuration that the platform gives a node.
    fn platform_config(&self, node: usize) -> String {
        let discovery = self.links.address(LinkPath { from: LinkEnd::Node(node), to: LinkEnd::Discovery });
        let deadline_ns = self.scenario.load.deadline_ms * MS;
        let class = |name: &str, effect: &str, worth: f64| {
            let target_ns = deadline_ns / 2;
            format!(
                r#"{{"name":"{name}","effect":"{effect}","dedup_scope":"all","window_ns":5000000000,"target_ns":{target_ns},"deadline_ns":{deadline_ns},"worth":{worth:.1}}}"#
            )
        };
        let classes = [class("boards", "pure", 1.0), class("runs", "side_effect", 10.0)].join(",");
        let nodes = self.scenario.fleet.nodes;
        format!(
            r#"{{"name":"n{node}","listen":"127.0.0.1:0","admin":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5b{node:04x}",
            "limits":{{"cores":1.0,"memory_mb":{PLATFORM_MEMORY_MB},"sockets":{PLATFORM_DESCRIPTORS}}},"settings":{{"classes":[{classes}],"zones":["a"],"kinds":["m"],
            "membership_mode":"subscribe","quantum_ns":5000000,"me":{node},"replicas_of_me":{nodes},"rules":{{"ask_every_ns":200000000}},
            "ceilings":{{"max_attempts":3,"cancel":true,"parallel_tries":true,"retry_after":true,"max_retry_after_ns":2000000000,
            "conn_idle_ns":60000000000,"dial_timeout_ns":250000000}}}}}}"#
        )
    }

    /// Returns a node's configuration in the configuration language of operators.
    fn standalone_config(&self, node: usize) -> String {
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
