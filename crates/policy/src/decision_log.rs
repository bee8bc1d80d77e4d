//! Decision events of the last call of [`Balancer::handle`]. Recording them changes no decision.

use crate::balancer::Balancer;
use crate::decision_event::DecisionEvent;

/// Decision events, in order.
#[derive(Default)]
pub(crate) struct DecisionLog {
    events: Vec<DecisionEvent>,
    /// Whether every decision is recorded, not only the events that belong in a log.
    records_all: bool,
}

impl DecisionLog {
    pub fn clear(&mut self) {
        self.events.clear();
    }

    /// Records an event. Frequent events are recorded by [`Balancer::trace`] instead.
    pub fn push(&mut self, event: DecisionEvent) {
        self.events.push(event);
    }
}

impl Balancer {
    /// Sets whether every decision is recorded. If not, which is the default, only events that belong in a
    /// log are recorded ([`DecisionEvent::is_logged`]).
    pub fn record_every_decision(&mut self, all: bool) {
        self.decision_log.records_all = all;
    }

    /// Returns what the last call of [`Balancer::handle`] decided, in order. The next call discards it.
    #[must_use]
    pub fn decision_events(&self) -> &[DecisionEvent] {
        &self.decision_log.events
    }

    /// Records a frequent event if every decision is recorded.
    pub(crate) fn trace(&mut self, event: impl FnOnce(&Self) -> DecisionEvent) {
        if self.decision_log.records_all {
            let event = event(self);
            self.decision_log.push(event);
        }
    }
}
