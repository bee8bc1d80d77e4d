//! Checks that nodes release the descriptors and memory that they used during faults.

use super::{Checker, Violation};
use crate::history::{EventKind, History};
use crate::scenario::Scenario;
use crate::{Nanos, SECOND};

/// Descriptors that a node may hold at the end beyond its maximum before the first fault: idle connections stay pooled for a
/// while.
const MAX_MORE_DESCRIPTORS: u64 = 64;
/// Memory that a node may hold at the end beyond its maximum before the first fault, in KiB.
const MAX_MORE_MEMORY_KIB: u64 = 24 << 10;

/// Each node holds at the end about as many descriptors and as much memory as before the first fault.
pub struct ResourcesReleased;

/// A sample of a node's resources.
#[derive(Clone, Copy)]
struct Usage {
    at: Nanos,
    descriptors: u64,
    memory_kib: u64,
}

impl Checker for ResourcesReleased {
    fn name(&self) -> &'static str {
        "resources"
    }

    fn check(&self, scenario: &Scenario, history: &History) -> Vec<Violation> {
        let nodes = 0..scenario.fleet.nodes;
        nodes.filter_map(|node| self.check_node(scenario, history, node)).collect()
    }
}

impl ResourcesReleased {
    fn check_node(&self, scenario: &Scenario, history: &History, node: usize) -> Option<Violation> {
        let usages = usages(history, node);
        let start = usages.first().map_or(0, |first| first.at);
        let baseline_end = start + (scenario.fault_free_s[0] * SECOND as f64) as Nanos;
        let baseline = || usages.iter().take_while(|usage| usage.at <= baseline_end);
        let descriptors_before = baseline().map(|usage| usage.descriptors).max().unwrap_or(0);
        let memory_before_kib = baseline().map(|usage| usage.memory_kib).max().unwrap_or(0);
        let &Usage { at, descriptors, memory_kib } = usages.last()?;
        if descriptors <= descriptors_before + MAX_MORE_DESCRIPTORS
            && memory_kib <= memory_before_kib + MAX_MORE_MEMORY_KIB
        {
            return None;
        }
        let text = format!(
            "node {node} holds {descriptors} descriptors and {memory_kib} KiB at the end, but at most {descriptors_before} and {memory_before_kib} KiB before the first fault"
        );
        Some(self.violation(at, text))
    }
}

fn usages(history: &History, node: usize) -> Vec<Usage> {
    let usage = |event: &crate::history::Event| match event.kind {
        EventKind::ResourceUsage { node: event_node, descriptors, memory_kib } if event_node == node => {
            Some(Usage { at: event.at, descriptors, memory_kib })
        }
        _ => None,
    };
    history.events.iter().filter_map(usage).collect()
}
