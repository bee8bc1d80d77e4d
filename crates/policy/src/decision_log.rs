//! The decision events of the last call of [`Balancer::handle`]; they change no decision.

use crate::balancer::Balancer;
use crate::decision_event::DecisionEvent;

/// Decision events in their order.
#[derive(Default)]
pub(crate) struct DecisionLog {
    events: Vec<DecisionEvent>,
    /// Every decision is recorded, not only those for a log.
    records_all: bool,
}

impl DecisionLog {
    pub fn clear(&mut self) {
        self.events.clear();
    }

    /// Records an event that is rare enough for a log.
    pub fn push(&mut self, event: DecisionEvent) {
        self.events.push(event);
    }
}

impl Balancer {
    /// Sets whether every decision is recorded; else, as at the start, only what belongs in a log
    /// ([`DecisionEvent::is_logged`]).
    pub fn record_every_decision(&mut self, all: bool) {
        self.decision_log.records_all = all;
    }

    /// What the last [`Balancer::handle`] decided, in order. The next one discards it.
    #[must_use]
    pub fn decision_events(&self) -> &[DecisionEvent] {
        &self.decision_log.events
    }

    /// Records a frequent event, if every decision is recorded.
    pub(crate) fn trace(&mut self, event: impl FnOnce(&Self) -> DecisionEvent) {
        if self.decision_log.records_all {
            let event = event(self);
            self.decision_log.push(event);
        }
    }
}
