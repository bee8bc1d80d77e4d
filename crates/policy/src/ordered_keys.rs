//! Requests of classes that are ordered by key: requests with the same key run one at a time, in the order of
//! arrival, with a cooldown after an attempt that may still be executing.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use crate::balancer::Balancer;
use crate::request::Request;
use crate::{Nanos, RequestId};

#[derive(Debug, Default)]
struct KeyQueue {
    /// Requests in order of arrival; it is the turn of the first one.
    requests: VecDeque<RequestId>,
    cooldown_until: Nanos,
}

/// Whether a request has its turn, by condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyTurn {
    /// Whether all earlier requests of the key have ended.
    pub is_first: bool,
    /// Whether the key's cooldown is over.
    pub is_cooled_down: bool,
}

/// A queue for each key in use. The state of an idle key is freed.
#[derive(Debug, Default)]
pub struct OrderedKeys {
    queues: FxHashMap<u64, KeyQueue>,
    /// Keys in cooldown, ordered by the end of the cooldown.
    cooldowns: VecDeque<(Nanos, u64)>,
}

impl OrderedKeys {
    /// Appends a request to its key's queue.
    pub fn push(&mut self, key: u64, id: RequestId) {
        self.queues.entry(key).or_default().requests.push_back(id);
    }

    /// Removes a request from any position of its key's queue.
    pub fn remove(&mut self, key: u64, id: RequestId) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.requests.retain(|&other| other != id);
        }
    }

    /// Returns whether a request is the first one in its key's queue, and whether the key's cooldown is over.
    #[must_use]
    pub fn turn(&self, key: u64, id: RequestId, now: Nanos) -> KeyTurn {
        self.queues.get(&key).map_or(KeyTurn { is_first: false, is_cooled_down: true }, |queue| KeyTurn {
            is_first: queue.requests.front() == Some(&id),
            is_cooled_down: now >= queue.cooldown_until,
        })
    }

    /// Returns the first request of a key, unless the key is in cooldown. Frees the state of a key without
    /// requests.
    pub fn first_ready(&mut self, key: u64, now: Nanos) -> Option<RequestId> {
        let queue = self.queues.get(&key).filter(|queue| now >= queue.cooldown_until)?;
        let first = queue.requests.front().copied();
        if first.is_none() {
            self.queues.remove(&key);
        }
        first
    }

    /// Starts a key's cooldown. Cooldowns must be started in the order of their ends.
    pub fn start_cooldown(&mut self, key: u64, until: Nanos) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.cooldown_until = until;
            self.cooldowns.push_back((until, key));
        }
    }

    /// Returns a key whose cooldown has ended; each cooldown is returned once.
    pub fn pop_cooled_down(&mut self, now: Nanos) -> Option<u64> {
        self.cooldowns.pop_front_if(|&mut (until, _)| until <= now).map(|(_, key)| key)
    }
}

impl Balancer {
    /// Returns whether a request has its key's turn: all earlier requests and their attempts have ended, and
    /// the key's cooldown is over. A request that has already made an attempt needs no cooldown.
    pub(crate) fn has_turn(&self, id: RequestId, request: &Request) -> bool {
        request.key.is_none_or(|key| {
            let turn = self.ordered_keys.turn(key, id, self.now);
            turn.is_first && (turn.is_cooled_down || !request.attempts.is_empty())
        })
    }

    /// Queues the next request of a key for dispatch. Before its turn a request isn't queued, so that it
    /// takes no capacity and delays no other request.
    pub(crate) fn enqueue_next_of_key(&mut self, key: u64) {
        let Some(id) = self.ordered_keys.first_ready(key, self.now) else { return };
        let is_new = |request: &Request| !request.done && request.attempts.is_empty();
        if self.requests.get(&id).is_some_and(is_new) {
            self.enqueue(id);
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/ordered_keys.rs"]
mod tests;
