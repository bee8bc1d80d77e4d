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
struct KindState {
    interval_start: Nanos,
    count: u32,
    suppressed: u64,
}

/// Messages that were not logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuppressedMessages {
    /// Kind of the messages.
    pub kind: u64,
    /// Number of messages.
    pub count: u64,
    /// Time since the start of their interval.
    pub interval: Nanos,
}

/// State of the rate limit by kind.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    kinds: BTreeMap<u64, KindState>,
    /// Number of kinds with suppressed messages.
    suppressed_kinds: usize,
}

impl LogRateLimiter {
    /// Returns whether a message is to be logged, and what was suppressed in an earlier interval.
    pub fn check(&mut self, kind: u64, now: Nanos) -> (bool, Option<SuppressedMessages>) {
        let kind =
            if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&kind) { u64::MAX } else { kind };
        let new_state = KindState { interval_start: now, count: 0, suppressed: 0 };
        let state = self.kinds.entry(kind).or_insert(new_state);
        let mut expired = None;
        if now >= state.interval_start.saturating_add(INTERVAL) {
            expired = (state.suppressed > 0).then_some(SuppressedMessages {
                kind,
                count: state.suppressed,
                interval: now - state.interval_start,
            });
            self.suppressed_kinds -= usize::from(state.suppressed > 0);
            *state = new_state;
        }
        state.count = state.count.saturating_add(1);
        let is_logged = state.count <= MESSAGES_PER_INTERVAL;
        if !is_logged {
            self.suppressed_kinds += usize::from(state.suppressed == 0);
            state.suppressed += 1;
        }
        (is_logged, expired)
    }

    /// Returns what was suppressed in intervals that have ended. Must be called regularly: otherwise suppressed messages
    /// would not be reported until the next message of their kind.
    pub fn drain_expired(&mut self, now: Nanos) -> Vec<SuppressedMessages> {
        if self.suppressed_kinds == 0 {
            return Vec::new();
        }
        let mut expired = Vec::new();
        for (&kind, state) in &mut self.kinds {
            if state.suppressed > 0 && now >= state.interval_start.saturating_add(INTERVAL) {
                expired.push(SuppressedMessages {
                    kind,
                    count: state.suppressed,
                    interval: now - state.interval_start,
                });
                *state = KindState { interval_start: now, count: 0, suppressed: 0 };
            }
        }
        self.suppressed_kinds -= expired.len();
        expired
    }
}

#[cfg(test)]
#[path = "../tests/unit/log_rate_limit.rs"]
mod tests;
