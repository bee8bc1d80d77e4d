//! Events of a run as they happen.

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
    /// Starts a log now.
    pub fn starting_now() -> Self {
        Self { events: Rc::default(), start: clock::now() }
    }

    /// Adds an event of now.
    pub fn record(&self, kind: EventKind) {
        self.record_at(clock::now(), kind);
    }

    fn record_at(&self, at: Nanos, kind: EventKind) {
        self.events.borrow_mut().push(Event { at: at.saturating_sub(self.start), kind });
    }

    /// Adds events that a stand-in writes, until its output ends. Lines of another form are skipped.
    pub async fn collect(self, mut lines: UnboundedReceiver<String>) {
        while let Some(line) = lines.recv().await {
            if let Ok(event) = serde_json::from_str::<Event>(&line) {
                self.record_at(event.at, event.kind);
            }
        }
    }

    /// Takes all events.
    pub fn take_events(&self) -> Vec<Event> {
        self.events.take()
    }
}
