//! Checks that no node crashes.

use super::{Checker, Violation};
use crate::history::{Event, EventKind, History};
use crate::scenario::Scenario;

/// No node exits unless the run stops it, and each stopped node starts again.
pub struct NoCrashes;

impl Checker for NoCrashes {
    fn name(&self) -> &'static str {
        "crashes"
    }

    fn check(&self, _: &Scenario, history: &History) -> Vec<Violation> {
        let crash = |event: &Event| match &event.kind {
            EventKind::NodeCrashed { node, text } => {
                Some(self.violation(event.at, format!("node {node} crashed: {text}")))
            }
            _ => None,
        };
        history.events.iter().filter_map(crash).collect()
    }
}
