//! Configurations of nodes, as an operator would write them.

use super::Fleet;
use crate::faults::End;

impl Fleet<'_> {
    /// A node's file, as an operator would write it.
    pub(super) fn text(&self, node: usize) -> String {
        let discovery = self.links[&(End::Node(node), End::Discovery)].0;
        let patience = self.scenario.load.patience_ms;
        let (cold_s, cold_from) = self.scenario.fleet.cold;
        let folder = self.files.of(node);
        let folder = folder.display();
        format!(
            "node {{\n    name n{node}\n    zones a\n    zone a\n    nodes {}\n    number {node}\n}}\n\
             listener public {{\n    address 127.0.0.1:0\n}}\n\
             pool boards {{\n    discovery watch {discovery}\n    warm-up {cold_s}s from {}%\n    tips-over 4 within 1500ms\n}}\n\
             class read {{\n    aim {}ms\n    deadline {patience}ms\n    worth 1\n    late-worth 30%\n    repeats safe\n}}\n\
             class submit {{\n    aim {}ms\n    deadline {patience}ms\n    worth 10\n    late-worth 30%\n    repeats unsafe\n}}\n\
             route submit {{\n    path /runs/**\n    method POST\n    class submit\n    pool boards\n}}\n\
             route read {{\n    path /**\n    class read\n    pool boards\n}}\n\
             observe {{\n    calls 127.0.0.1:0\n    recordings \"{folder}\"\n}}\n{}",
            self.scenario.fleet.nodes,
            cold_from * 100.0,
            patience / 2,
            patience / 2,
            self.fleet_text(node),
        )
    }

    /// The block of a member: where it reaches each other one, as an operator with several networks would write it.
    fn fleet_text(&self, node: usize) -> String {
        if !self.scenario.fleet.members {
            return String::new();
        }
        let reached = |other: usize| self.links.get(&(End::Node(node), End::Node(other))).map(|link| link.0);
        let mut text = "fleet {\n    name storm\n    address 127.0.0.1:0\n".to_owned();
        // Two seeds: each is told of the other one.
        let seeds: Vec<_> = (0..2).filter_map(reached).map(|address| address.to_string()).collect();
        if !seeds.is_empty() {
            text += &format!("    seeds {}\n", seeds.join(" "));
        }
        for other in 0..self.scenario.fleet.nodes {
            if let Some(address) = reached(other) {
                text += &format!("    reach n{other} {address}\n");
            }
        }
        text + "}\n"
    }
}
