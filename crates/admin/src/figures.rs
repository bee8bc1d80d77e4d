//! What a process has done so far and what it has in hand, and the text of it: one figure a line, as StatsD writes them
//! (`name:value|c` for counts, `|g` for what is in hand now).

use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Completed,
    /// Refused: it may come again.
    Rejected,
    /// Failed.
    Failed,
}

/// Counts since the start of the process. Shared by those that count, on one thread.
#[derive(Debug, Default)]
pub struct Figures {
    /// By class: name, and its counts in the order of [`AttemptOutcome`].
    classes: Vec<(String, [Cell<u64>; 3])>,
    /// Attempts written whole to servers.
    pub upstream_requests: Rc<Cell<u64>>,
    /// Configurations read again.
    pub config_reloads: Cell<u64>,
    /// Configurations that could not be used.
    pub config_reload_errors: Cell<u64>,
}

/// What is in hand at the moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Requests taken and not ended.
    pub pending: usize,
    /// Servers in the list.
    pub members: usize,
    /// Of these, the ones that get nothing new.
    pub members_unavailable: usize,
}

/// One more.
pub fn count(counter: &Cell<u64>) {
    counter.set(counter.get().saturating_add(1));
}

impl Figures {
    /// All zero, for these classes.
    pub fn new(classes: impl IntoIterator<Item = String>) -> Self {
        let classes = classes.into_iter().map(|name| (name, <[Cell<u64>; 3]>::default())).collect();
        Self { classes, ..Self::default() }
    }

    /// A request of a class has ended; one of no class counts nowhere.
    pub fn ended(&self, class: usize, outcome: Outcome) {
        if let Some((_, counts)) = self.classes.get(class) {
            count(&counts[outcome as usize]);
        }
    }

    /// The text, without an end line.
    #[must_use]
    pub fn text(&self, now: Now) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: u64, kind: char| {
            // Writing to a string does not fail.
            let _ = writeln!(text, "node.{name}:{value}|{kind}");
        };
        for (class, counts) in &self.classes {
            for (outcome, count) in ["completed", "rejected", "failed"].iter().zip(counts) {
                line(&format!("downstream_requests.{class}.{outcome}"), count.get(), 'c');
            }
        }
        line("upstream_requests", self.upstream_requests.get(), 'c');
        line("pending", now.pending as u64, 'g');
        line("members", now.members as u64, 'g');
        line("members_unavailable", now.members_unavailable as u64, 'g');
        line("config_reloads", self.config_reloads.get(), 'c');
        line("config_reload_errors", self.config_reload_errors.get(), 'c');
        text
    }
}
