//! Rate limit of log messages: the first few of a kind in an interval are logged, the rest are counted.

use std::collections::BTreeMap;

use pumicehead_policy::{Nanos, SECOND};

/// Number of messages of one kind that are logged in an interval.
pub const MESSAGES_PER_INTERVAL: u32 = 10;
/// Length of an interval.
pub const INTERVAL: Nanos = 10 * SECOND;
/// Greatest number of kinds with a limit of their own; the rest share one.
pub const MAX_KINDS: usize = 512;

#[derive(Clone, Copy, Debug)]
struct Kind {
    since: Nanos,
    count: u32,
    more: u64,
}

/// Messages that were not logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuppressedMessages {
    /// Kind of the messages.
    pub kind: u64,
    /// Number of messages.
    pub count: u64,
    /// Time in which they came.
    pub interval: Nanos,
}

/// Counts of messages by kind.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    kinds: BTreeMap<u64, Kind>,
    held: usize,
}

impl LogRateLimiter {
    /// Returns whether a message is to be logged, and what was suppressed in an earlier interval.
    pub fn check(&mut self, kind: u64, now: Nanos) -> (bool, Option<SuppressedMessages>) {
        let kind =
            if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&kind) { u64::MAX } else { kind };
        let fresh = Kind { since: now, count: 0, more: 0 };
        let known = self.kinds.entry(kind).or_insert(fresh);
        let mut before = None;
        if now >= known.since.saturating_add(INTERVAL) {
            before = (known.more > 0).then_some(SuppressedMessages {
                kind,
                count: known.more,
                interval: now - known.since,
            });
            self.held -= usize::from(known.more > 0);
            *known = fresh;
        }
        known.count = known.count.saturating_add(1);
        let told = known.count <= MESSAGES_PER_INTERVAL;
        if !told {
            self.held += usize::from(known.more == 0);
            known.more += 1;
        }
        (told, before)
    }

    /// Returns what was suppressed in intervals that have ended. To be called regularly, or the last messages of a
    /// kind would not be reported.
    pub fn drain_expired(&mut self, now: Nanos) -> Vec<SuppressedMessages> {
        if self.held == 0 {
            return Vec::new();
        }
        let mut all = Vec::new();
        for (&kind, known) in &mut self.kinds {
            if known.more > 0 && now >= known.since.saturating_add(INTERVAL) {
                all.push(SuppressedMessages { kind, count: known.more, interval: now - known.since });
                *known = Kind { since: now, count: 0, more: 0 };
            }
        }
        self.held -= all.len();
        all
    }
}

#[cfg(test)]
#[path = "../tests/unit/log_rate_limit.rs"]
mod tests;
