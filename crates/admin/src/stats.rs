//! Counters of a process since its start and gauges of the moment, as StatsD lines (`name:value|c` for counters, `|g` for
//! gauges).

use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served.
    Completed,
    /// Rejected by admission; the client may retry.
    Rejected,
    /// Failed.
    Failed,
}

/// Names of the outcomes in the text, in the order of the enum.
const OUTCOME_NAMES: [&str; 3] = ["completed", "rejected", "failed"];

/// Counters of one service class.
#[derive(Debug, Default)]
struct ClassCounters {
    name: String,
    /// By [`RequestOutcome`], in its order.
    by_outcome: [Cell<u64>; OUTCOME_NAMES.len()],
}

/// Counters since the start of the process, shared on one thread.
#[derive(Debug, Default)]
pub struct Stats {
    classes: Vec<ClassCounters>,
    /// Attempts written whole to backends.
    pub upstream_requests: Rc<Cell<u64>>,
    /// Configuration reloads.
    pub config_reloads: Cell<u64>,
    /// Configuration reloads that failed.
    pub config_reload_errors: Cell<u64>,
}

/// What the node holds at the moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Requests in flight.
    pub pending: usize,
    /// Endpoints in the list.
    pub members: usize,
    /// Of these, the ones that get no new requests.
    pub members_unavailable: usize,
}

/// Adds one to a counter.
pub fn increment(counter: &Cell<u64>) {
    counter.set(counter.get().saturating_add(1));
}

impl Stats {
    /// Counters at zero, for the classes of these names.
    pub fn new(classes: impl IntoIterator<Item = String>) -> Self {
        let counters = |name| ClassCounters { name, by_outcome: Default::default() };
        Self { classes: classes.into_iter().map(counters).collect(), ..Self::default() }
    }

    /// Counts the end of a request of the class at this index; an unknown class counts nowhere.
    pub fn record_outcome(&self, class: usize, outcome: RequestOutcome) {
        if let Some(class) = self.classes.get(class) {
            increment(&class.by_outcome[outcome as usize]);
        }
    }

    /// StatsD lines, without an end line.
    #[must_use]
    pub fn statsd_text(&self, gauges: Gauges) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: u64, kind: char| {
            writeln!(text, "node.{name}:{value}|{kind}").expect("a write to a string does not fail");
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
        text
    }
}
