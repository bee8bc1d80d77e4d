//! Requests of one key in a line, with a rest between them: a plain container. Who joins, when a key rests
//! and what a turn allows is said in `src/policy.rs`.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use crate::{Nanos, RequestId};

#[derive(Debug, Default)]
struct Line {
    waiting: VecDeque<RequestId>,
    rest_until: Nanos,
}

/// A line for each key in use; the state of an idle key is freed.
#[derive(Debug, Default)]
pub struct Turns {
    lines: FxHashMap<u64, Line>,
    /// Keys at rest, in the order in which their rests end.
    resting: VecDeque<(Nanos, u64)>,
}

impl Turns {
    /// Puts a request at the end of its key's line.
    pub fn join(&mut self, key: u64, id: RequestId) {
        self.lines.entry(key).or_default().waiting.push_back(id);
    }

    /// Takes a request out of its key's line, wherever it stands.
    pub fn leave(&mut self, key: u64, id: RequestId) {
        if let Some(line) = self.lines.get_mut(&key) {
            line.waiting.retain(|&other| other != id);
        }
    }

    /// Whether the request is the first of its line, and whether the key has had its rest.
    #[must_use]
    pub fn state(&self, key: u64, id: RequestId, now: Nanos) -> (bool, bool) {
        let first = |line: &Line| (line.waiting.front() == Some(&id), now >= line.rest_until);
        self.lines.get(&key).map_or((false, true), first)
    }

    /// The first of a line whose key has had its rest.
    pub fn next(&mut self, key: u64, now: Nanos) -> Option<RequestId> {
        let line = self.lines.get(&key).filter(|line| now >= line.rest_until)?;
        let first = line.waiting.front().copied();
        if first.is_none() {
            self.lines.remove(&key);
        }
        first
    }

    /// Lets a key rest; rests must be asked for in the order of their ends.
    pub fn rest(&mut self, key: u64, until: Nanos) {
        if let Some(line) = self.lines.get_mut(&key) {
            line.rest_until = until;
            self.resting.push_back((until, key));
        }
    }

    /// A key whose rest has ended, each rest once.
    pub fn rested(&mut self, now: Nanos) -> Option<u64> {
        self.resting.pop_front_if(|&mut (until, _)| until <= now).map(|(_, key)| key)
    }
}
