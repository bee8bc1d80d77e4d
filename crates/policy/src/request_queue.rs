//! Queue of requests by priority tier, and its dispatch.

use std::collections::BTreeSet;

use crate::balancer::Balancer;
use crate::priority::PriorityTier;
use crate::timer::Timer;
use crate::traffic_stats::Rate;
use crate::{Action, Nanos, RequestId, SECOND};

/// Interval at which dispatch is tried again if no event frees capacity.
pub(crate) const DISPATCH_INTERVAL: Nanos = SECOND / 50;
/// Minimum rate at which a tier is assumed to leave the queue, as a fraction of the rate of all tiers.
const MIN_TIER_RATE_SHARE: f64 = 0.05;

/// A queued request. Entries sort in the order in which they are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueEntry {
    pub tier: PriorityTier,
    /// In the highest tier, lower for a higher weight; 0 in all others.
    rank: u64,
    /// Number that increases in order of arrival in the queue.
    sequence: u64,
    pub id: RequestId,
}

/// Queued requests, and the rates at which the tiers leave the queue.
#[derive(Default)]
pub(crate) struct RequestQueue {
    entries: BTreeSet<QueueEntry>,
    queued_by_tier: [usize; PriorityTier::COUNT],
    last_sequence: u64,
    released_by_tier: [Rate; PriorityTier::COUNT],
    pub dispatch_timer_armed: bool,
}

impl RequestQueue {
    /// Adds a request. `priority_weight` must not be negative, since only then do its bits sort like its
    /// value.
    pub fn push(&mut self, id: RequestId, tier: PriorityTier, priority_weight: f64) -> QueueEntry {
        self.last_sequence += 1;
        let is_highest = tier == PriorityTier::Highest;
        let rank = if is_highest { u64::MAX - priority_weight.to_bits() } else { 0 };
        let entry = QueueEntry { tier, rank, sequence: self.last_sequence, id };
        self.queued_by_tier[tier.index()] += 1;
        self.entries.insert(entry);
        entry
    }

    pub fn remove(&mut self, entry: &QueueEntry) {
        self.queued_by_tier[entry.tier.index()] -= 1;
        self.entries.remove(entry);
    }

    /// Returns the entry to serve next.
    pub fn first(&self) -> Option<QueueEntry> {
        self.entries.first().copied()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Counts a request that has left the queue for an endpoint.
    pub fn record_release(&mut self, tier: PriorityTier, now: Nanos) {
        self.released_by_tier[tier.index()].add(now, 1.0);
    }

    /// Returns how long a tier's queue takes to drain at the recent rate, in seconds.
    pub fn expected_wait(&self, tier: PriorityTier, now: Nanos) -> f64 {
        let all: f64 = self.released_by_tier.iter().map(|rate| rate.get(now)).sum();
        let rate = self.released_by_tier[tier.index()].get(now).max(MIN_TIER_RATE_SHARE * all);
        self.queued_by_tier[tier.index()] as f64 / rate
    }

    /// Excludes a span in which this process did not run from the rates.
    pub fn exclude_span(&mut self, span: Nanos) {
        self.released_by_tier.iter_mut().for_each(|rate| rate.exclude_span(span));
    }
}

impl Balancer {
    /// Queues a request unless it is already queued.
    pub(crate) fn enqueue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.queued.is_none() {
            request.queued = Some(self.queue.push(id, request.tier, request.priority_weight));
        }
    }

    /// Removes a request from the queue, if it is queued.
    pub(crate) fn dequeue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if let Some(entry) = request.queued.take() {
            self.queue.remove(&entry);
        }
    }

    /// Starts attempts of queued requests, highest tier first, while there is capacity. Stops at the first
    /// request that no endpoint can take.
    pub(crate) fn dispatch(&mut self, actions: &mut Vec<Action>) {
        while self.has_capacity() {
            let Some(QueueEntry { tier, id, .. }) = self.queue.first() else { return };
            let Some(index) = self.select_endpoint(id) else { break };
            self.dequeue(id);
            self.queue.record_release(tier, self.now);
            self.start_attempt(id, index, actions);
        }
        if !self.queue.dispatch_timer_armed && !self.queue.is_empty() {
            self.queue.dispatch_timer_armed = true;
            self.arm(self.now + DISPATCH_INTERVAL, Timer::Dispatch, actions);
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/request_queue.rs"]
mod tests;
