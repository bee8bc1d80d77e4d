//! A client's connection: what it is about, and how willingly it makes way.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::net::counting_stream::{CountingStream, UnreadState};
use crate::net::downstream::ListenerOptions;

/// Where places are short, a connection makes way that has asked nothing for so long after it came up: clients
/// connect in order to ask ...
const SILENT: Duration = Duration::from_millis(60);
/// ... one that has been idle for so long since its last answer ...
pub const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_millis(20);
/// ... and one that has begun a request but not ended its head, or does not read its answer.
const SLOW: Duration = Duration::from_millis(500);

/// A client's connection.
pub struct DownstreamConnection {
    /// Its socket.
    pub stream: CountingStream,
    stage: Cell<ConnectionStage>,
    used: Cell<bool>,
    /// Connections that ask, over all; this one counts among them or not.
    asking: Rc<Cell<usize>>,
    counted: Cell<bool>,
    /// When it came up, was last answered, or was closed.
    pub last_activity: Cell<Instant>,
    /// Where it is among all connections; [`crate::net::downstream::connection_budget::RetryBudgetSpent`] alone changes it.
    pub index: Cell<usize>,
    /// Over the budget: told so and closed.
    pub over_limit: bool,
    /// The bounds of its front.
    pub options: Rc<Cell<ListenerOptions>>,
    /// To be closed after the request that it has, if any.
    pub close: Notify,
    /// To be closed at once.
    pub cut: Notify,
}

/// What a connection is about.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ConnectionStage {
    /// Waiting for a request, or for the rest of its head.
    Waiting,
    /// A request is being read or answered.
    Busy,
    /// Closed but for what the client still sends.
    Lingering,
    /// About to go.
    Ending,
}

impl DownstreamConnection {
    /// One that has come up.
    pub fn new(
        link: CountingStream,
        extra: bool,
        options: Rc<Cell<ListenerOptions>>,
        asking: Rc<Cell<usize>>,
    ) -> Rc<Self> {
        Rc::new(Self {
            asking,
            counted: Cell::new(false),
            stream: link,
            stage: Cell::new(ConnectionStage::Waiting),
            used: Cell::new(false),
            last_activity: Cell::new(Instant::now()),
            index: Cell::new(0),
            over_limit: extra,
            options,
            close: Notify::new(),
            cut: Notify::new(),
        })
    }

    /// What it is about.
    pub fn stage(&self) -> ConnectionStage {
        self.stage.get()
    }

    /// Has had an answer.
    pub fn used(&self) -> bool {
        self.used.get()
    }

    /// It is about something else now; `used` once it has had an answer.
    pub fn set_stage(&self, stage: ConnectionStage, used: bool) {
        self.stage.set(stage);
        self.used.set(used);
        let asks = match stage {
            ConnectionStage::Busy => true,
            ConnectionStage::Waiting => used,
            ConnectionStage::Lingering | ConnectionStage::Ending => false,
        };
        if self.counted.replace(asks) != asks {
            let count = self.asking.get();
            self.asking.set(if asks { count + 1 } else { count - 1 });
        }
    }

    /// Nothing is asked or half asked, as far as can be seen.
    pub fn is_idle(&self) -> bool {
        self.stage.get() == ConnectionStage::Waiting
            && self.stream.head_started_at().is_none()
            && !self.stream.is_blocked()
            && self.stream.unread() != UnreadState::Bytes
    }

    /// A request on it has come, as far as can be seen, and its answer has not gone, or only just.
    pub fn owes_response(&self) -> bool {
        match self.stage.get() {
            ConnectionStage::Busy => true,
            ConnectionStage::Waiting => {
                self.stream.is_blocked() || self.stream.unread() == UnreadState::Bytes
            }
            ConnectionStage::Lingering => self.last_activity.get().elapsed() < MIN_IDLE_BEFORE_EVICTION,
            ConnectionStage::Ending => false,
        }
    }

    /// How willingly it makes way, lower first; `None` where it must not.
    pub fn eviction_rank(&self, now: Instant) -> Option<u8> {
        let rested = |span| now.saturating_duration_since(self.last_activity.get()) >= span;
        match (self.stage.get(), self.stream.head_started_at()) {
            (ConnectionStage::Lingering, _) => rested(MIN_IDLE_BEFORE_EVICTION).then_some(0),
            // Its last answer still waits for the client to read: an end now would cut it.
            (ConnectionStage::Waiting, _) if self.stream.is_blocked() => rested(SLOW).then_some(3),
            (ConnectionStage::Waiting, None) if !self.used.get() => rested(SILENT).then_some(1),
            (ConnectionStage::Waiting, None) => rested(MIN_IDLE_BEFORE_EVICTION).then_some(2),
            (ConnectionStage::Waiting, Some(begun)) => (now >= begun + SLOW).then_some(3),
            _ => None,
        }
    }

    /// Has taken too long over a request, or has been idle for long.
    pub fn has_timed_out(&self, now: Instant) -> bool {
        let ListenerOptions { request_timeout, idle_timeout, .. } = self.options.get();
        self.stage.get() == ConnectionStage::Waiting
            && match self.stream.head_started_at() {
                _ if !self.used.get() => now >= self.last_activity.get() + request_timeout,
                Some(begun) => now >= begun + request_timeout,
                None => {
                    now >= self.last_activity.get() + idle_timeout
                        && self.stream.unread() == UnreadState::Nothing
                }
            }
    }

    /// Closes it now.
    pub fn close_now(&self) {
        self.set_stage(ConnectionStage::Ending, self.used());
        self.cut.notify_one();
    }
}

impl Drop for DownstreamConnection {
    fn drop(&mut self) {
        if self.counted.get() {
            self.asking.set(self.asking.get() - 1);
        }
    }
}
