//! How often a message of one kind is told: the first few of a span, and then how many more there were.

use std::collections::BTreeMap;

use pumicehead_policy::{Nanos, SECOND};

/// Messages of one kind in a span that are told one by one: enough to see what differs among them.
pub const MESSAGES_PER_INTERVAL: u32 = 10;
/// The span.
pub const INTERVAL: Nanos = 10 * SECOND;
/// Kinds that are told apart; places in the code are some hundred at most. What comes beyond counts as one kind.
pub const MAX_KINDS: usize = 512;

#[derive(Clone, Copy, Debug)]
struct Kind {
    since: Nanos,
    count: u32,
    more: u64,
}

/// Messages that were held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuppressedMessages {
    /// Their kind.
    pub kind: u64,
    /// How many.
    pub count: u64,
    /// In so long.
    pub interval: Nanos,
}

/// The counts.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    kinds: BTreeMap<u64, Kind>,
    held: usize,
}

impl LogRateLimiter {
    /// Whether a message of a kind is to be told at `now`. What was held back of a span before is given with it.
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

    /// What was held back in spans that have ended by `now`: to be asked now and then, or the last of a kind would
    /// never be heard of.
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
