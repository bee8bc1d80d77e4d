//! Counters since process start and current gauges, formatted as StatsD lines (`name:value|c` for counters, `|g` for
//! gauges).

use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;

/// Outcome of a request from the client's point of view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The client got the response.
    Completed,
    /// Rejected by admission; the client may retry.
    Rejected,
    /// The request failed.
    Failed,
}

/// Outcome names in the StatsD text, in the order of [`RequestOutcome`].
const OUTCOME_NAMES: [&str; 3] = ["completed", "rejected", "failed"];

/// Counters of one service class.
#[derive(Debug, Default)]
struct ClassCounters {
    name: String,
    /// One counter per [`RequestOutcome`], indexed by its discriminant.
    by_outcome: [Cell<u64>; OUTCOME_NAMES.len()],
}

/// Counters of responses that endpoints began and that were not complete in time, or not at all.
#[derive(Debug, Default)]
pub struct ResponseCounters {
    /// Passed on because they were too long to be held.
    pub committed_too_long: Cell<u64>,
    /// Passed on because there was no memory to hold them.
    pub committed_without_memory: Cell<u64>,
    /// Passed on because the time of their attempt was over.
    pub committed_at_deadline: Cell<u64>,
    /// Dropped in favor of another attempt when the time of theirs was over.
    pub replaced: Cell<u64>,
    /// Dropped because there was no memory to pass them on.
    pub dropped_without_memory: Cell<u64>,
    /// Passed on in part: the endpoint ended them early, or either side was too slow.
    pub incomplete: Cell<u64>,
}

/// Counters since process start, shared within one thread.
#[derive(Debug, Default)]
pub struct Stats {
    classes: Vec<ClassCounters>,
    /// Attempts that were completely written to a backend.
    pub upstream_requests: Rc<Cell<u64>>,
    /// Responses that were not complete in time.
    pub responses: Rc<ResponseCounters>,
    /// Successful configuration reloads.
    pub config_reloads: Cell<u64>,
    /// Configuration reloads that failed.
    pub config_reload_errors: Cell<u64>,
}

/// Current values of the node's gauges.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Requests in flight.
    pub pending: usize,
    /// Endpoints in the endpoint list.
    pub members: usize,
    /// Listed endpoints that get no new requests.
    pub members_unavailable: usize,
}

/// Adds one to a counter, saturating at the maximum.
pub fn increment(counter: &Cell<u64>) {
    counter.set(counter.get().saturating_add(1));
}

impl ResponseCounters {
    /// Returns all counters with the names of their metrics.
    #[must_use]
    pub fn metrics(&self) -> [(&'static str, u64); 6] {
        [
            ("pumicehead_responses_committed_too_long", self.committed_too_long.get()),
            ("pumicehead_responses_committed_without_memory", self.committed_without_memory.get()),
            ("pumicehead_responses_committed_at_deadline", self.committed_at_deadline.get()),
            ("pumicehead_responses_replaced", self.replaced.get()),
            ("pumicehead_responses_dropped_without_memory", self.dropped_without_memory.get()),
            ("pumicehead_responses_incomplete", self.incomplete.get()),
        ]
    }
}

impl Stats {
    /// Creates zeroed counters for the service classes with these names.
    pub fn new(classes: impl IntoIterator<Item = String>) -> Self {
        let counters = |name| ClassCounters { name, by_outcome: Default::default() };
        Self { classes: classes.into_iter().map(counters).collect(), ..Self::default() }
    }

    /// Counts a finished request of the class at this index; an unknown class index is ignored.
    pub fn record_outcome(&self, class: usize, outcome: RequestOutcome) {
        if let Some(class) = self.classes.get(class) {
            increment(&class.by_outcome[outcome as usize]);
        }
    }

    /// Formats all counters and gauges as StatsD lines, without a terminating `END` line.
    #[must_use]
    pub fn statsd_text(&self, gauges: Gauges) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: u64, kind: char| {
            writeln!(text, "node.{name}:{value}|{kind}").expect("writing to a String cannot fail");
        };
        for class in &self.classes {
            for (outcome, count) in OUTCOME_NAMES.iter().zip(&class.by_outcome) {
                line(&format!("downstream_requests.{}.{outcome}", class.name), count.get(), 'c');
            }
        }
        line("upstream_requests", self.upstream_requests.get(), 'c');
        line("pending", gauges.pending as u64, 'g');
        line("members", gauges.members as u64, 'g');
        line("members_unavailable", gauges.members_unavailable as u64, 'g');
        line("config_reloads", self.config_reloads.get(), 'c');
        line("config_reload_errors", self.config_reload_errors.get(), 'c');
        for (name, count) in self.responses.metrics() {
            line(&name.replacen("pumicehead_responses_", "responses.", 1), count, 'c');
        }
        text
    }
}
