//! Collects the events of a run.

use std::cell::RefCell;
use std::rc::Rc;

use tokio::sync::mpsc::UnboundedReceiver;

use crate::history::{Event, EventKind};
use crate::{Nanos, clock};

/// Collects events, with times since the start of the run. Clones share the events.
#[derive(Clone)]
pub(crate) struct EventLog {
    events: Rc<RefCell<Vec<Event>>>,
    start: Nanos,
}

impl EventLog {
    /// Creates a log whose times count from now.
    pub fn starting_now() -> Self {
        Self { events: Rc::default(), start: clock::now() }
    }

    /// Adds an event with the current time.
    pub fn record(&self, kind: EventKind) {
        self.record_at(clock::now(), kind);
    }

    fn record_at(&self, at: Nanos, kind: EventKind) {
        self.events.borrow_mut().push(Event { at: at.saturating_sub(self.start), kind });
    }

    /// Adds the events that a stand-in writes, until its output ends. Skips lines that can't be decoded.
    pub async fn collect(self, mut lines: UnboundedReceiver<String>) {
        while let Some(line) = lines.recv().await {
            if let Ok(event) = serde_json::from_str::<Event>(&line) {
                self.record_at(event.at, event.kind);
            }
        }
    }

    /// Removes all events from the log and returns them.
    pub fn take_events(&self) -> Vec<Event> {
        self.events.take()
    }
}
