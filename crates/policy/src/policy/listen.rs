//! The way of notes to whoever listens. Decides nothing.

use super::Balancer;
use crate::interface::RequestId;
use crate::note::{Look, Note};

impl Balancer {
    /// From now on all notes are kept, or news alone, which is how it begins.
    pub fn tell_all(&mut self, all: bool) {
        self.telling = all;
    }

    /// What the last [`Balancer::handle`] has noted, in its order; what is not read by the next one is gone.
    #[must_use]
    pub fn notes(&self) -> &[Note] {
        &self.notes
    }

    /// Notes what may be told often, where somebody listens.
    pub(super) fn note(&mut self, note: impl FnOnce(&Self) -> Note) {
        if self.telling {
            let note = note(self);
            self.notes.push(note);
        }
    }

    /// A pick as it is told.
    pub(super) fn picked(&self, id: RequestId, slot: usize, score: f64, look: &Look) -> Note {
        let server = &self.servers[slot];
        Note::Picked {
            id,
            server: server.id,
            score: score as f32,
            next: look.next.map(|(score, slot)| (self.servers[slot].id, score as f32)),
            out: server.out.len().min(usize::from(u16::MAX)) as u16,
            limit: server.limit as f32,
            hurdles: look.hurdles,
        }
    }
}
