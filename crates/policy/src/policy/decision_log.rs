//! The way of notes to whoever listens. Decides nothing.

use super::Balancer;
use crate::RequestId;
use crate::decision_event::{DecisionEvent, SelectionTrace};

impl Balancer {
    /// From now on all notes are kept, or news alone, which is how it begins.
    pub fn record_every_decision(&mut self, all: bool) {
        self.telling = all;
    }

    /// What the last [`Balancer::handle`] has noted, in its order; what is not read by the next one is gone.
    #[must_use]
    pub fn decision_events(&self) -> &[DecisionEvent] {
        &self.notes
    }

    /// Notes what may be told often, where somebody listens.
    pub(super) fn note(&mut self, note: impl FnOnce(&Self) -> DecisionEvent) {
        if self.telling {
            let note = note(self);
            self.notes.push(note);
        }
    }

    /// A pick as it is told.
    pub(super) fn picked(
        &self,
        id: RequestId,
        slot: usize,
        score: f64,
        look: &SelectionTrace,
    ) -> DecisionEvent {
        let server = &self.servers[slot];
        DecisionEvent::EndpointSelected {
            id,
            endpoint: server.id,
            score: score as f32,
            runner_up: look.runner_up.map(|(score, slot)| (self.servers[slot].id, score as f32)),
            in_flight: server.out.len().min(usize::from(u16::MAX)) as u16,
            limit: server.limit as f32,
            exclusions: look.exclusions,
        }
    }
}
