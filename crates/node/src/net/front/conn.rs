//! A client's connection: what it is about, and how willingly it makes way.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::Options;
use crate::net::link::{Link, Unread};

/// Where places are short, a connection makes way that has asked nothing for so long after it came up: clients
/// connect in order to ask ...
const SILENT: Duration = Duration::from_millis(60);
/// ... one that has been idle for so long since its last answer ...
pub const RESTED: Duration = Duration::from_millis(20);
/// ... and one that has begun a request but not ended its head, or does not read its answer.
const SLOW: Duration = Duration::from_millis(500);

/// A client's connection.
pub struct Conn {
    /// Its socket.
    pub link: Link,
    stage: Cell<Stage>,
    used: Cell<bool>,
    /// Connections that ask, over all; this one counts among them or not.
    asking: Rc<Cell<usize>>,
    counted: Cell<bool>,
    /// When it came up, was last answered, or was closed.
    pub since: Cell<Instant>,
    /// Where it is among all connections; [`super::budget::RetryBudgetSpent`] alone changes it.
    pub place: Cell<usize>,
    /// Over the budget: told so and closed.
    pub extra: bool,
    /// The bounds of its front.
    pub options: Rc<Cell<Options>>,
    /// To be closed after the request that it has, if any.
    pub close: Notify,
    /// To be closed at once.
    pub cut: Notify,
}

/// What a connection is about.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Waiting for a request, or for the rest of its head.
    Waiting,
    /// A request is being read or answered.
    Busy,
    /// Closed but for what the client still sends.
    Lingering,
    /// About to go.
    Ending,
}

impl Conn {
    /// One that has come up.
    pub fn new(link: Link, extra: bool, options: Rc<Cell<Options>>, asking: Rc<Cell<usize>>) -> Rc<Self> {
        Rc::new(Self {
            asking,
            counted: Cell::new(false),
            link,
            stage: Cell::new(Stage::Waiting),
            used: Cell::new(false),
            since: Cell::new(Instant::now()),
            place: Cell::new(0),
            extra,
            options,
            close: Notify::new(),
            cut: Notify::new(),
        })
    }

    /// What it is about.
    pub fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// Has had an answer.
    pub fn used(&self) -> bool {
        self.used.get()
    }

    /// It is about something else now; `used` once it has had an answer.
    pub fn set(&self, stage: Stage, used: bool) {
        self.stage.set(stage);
        self.used.set(used);
        let asks = match stage {
            Stage::Busy => true,
            Stage::Waiting => used,
            Stage::Lingering | Stage::Ending => false,
        };
        if self.counted.replace(asks) != asks {
            let count = self.asking.get();
            self.asking.set(if asks { count + 1 } else { count - 1 });
        }
    }

    /// Nothing is asked or half asked, as far as can be seen.
    pub fn is_idle(&self) -> bool {
        self.stage.get() == Stage::Waiting
            && self.link.begun().is_none()
            && !self.link.is_blocked()
            && self.link.unread() != Unread::Bytes
    }

    /// A request on it has come, as far as can be seen, and its answer has not gone, or only just.
    pub fn is_owing(&self) -> bool {
        match self.stage.get() {
            Stage::Busy => true,
            Stage::Waiting => self.link.is_blocked() || self.link.unread() == Unread::Bytes,
            Stage::Lingering => self.since.get().elapsed() < RESTED,
            Stage::Ending => false,
        }
    }

    /// How willingly it makes way, lower first; `None` where it must not.
    pub fn dispensable(&self, now: Instant) -> Option<u8> {
        let rested = |span| now.saturating_duration_since(self.since.get()) >= span;
        match (self.stage.get(), self.link.begun()) {
            (Stage::Lingering, _) => rested(RESTED).then_some(0),
            // Its last answer still waits for the client to read: an end now would cut it.
            (Stage::Waiting, _) if self.link.is_blocked() => rested(SLOW).then_some(3),
            (Stage::Waiting, None) if !self.used.get() => rested(SILENT).then_some(1),
            (Stage::Waiting, None) => rested(RESTED).then_some(2),
            (Stage::Waiting, Some(begun)) => (now >= begun + SLOW).then_some(3),
            _ => None,
        }
    }

    /// Has taken too long over a request, or has been idle for long.
    pub fn is_stale(&self, now: Instant) -> bool {
        let Options { patience, keep, .. } = self.options.get();
        self.stage.get() == Stage::Waiting
            && match self.link.begun() {
                _ if !self.used.get() => now >= self.since.get() + patience,
                Some(begun) => now >= begun + patience,
                None => now >= self.since.get() + keep && self.link.unread() == Unread::Nothing,
            }
    }

    /// Closes it now.
    pub fn cut(&self) {
        self.set(Stage::Ending, self.used());
        self.cut.notify_one();
    }
}

impl Drop for Conn {
    fn drop(&mut self) {
        if self.counted.get() {
            self.asking.set(self.asking.get() - 1);
        }
    }
}
