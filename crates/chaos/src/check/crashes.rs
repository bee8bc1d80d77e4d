//! No process of the proxy exits by itself.

use super::{Checker, Violation};
use crate::history::{Event, EventKind, History};
use crate::scenario::Scenario;

/// No node exits unless the run ends it, and each one starts again.
pub struct NoCrashes;

impl Checker for NoCrashes {
    fn name(&self) -> &'static str {
        "crashes"
    }

    fn check(&self, _: &Scenario, history: &History) -> Vec<Violation> {
        let crash = |event: &Event| match &event.kind {
            EventKind::NodeCrashed { node, text } => {
                Some(self.violation(event.at, format!("node {node} ended: {text}")))
            }
            _ => None,
        };
        history.events.iter().filter_map(crash).collect()
    }
}
