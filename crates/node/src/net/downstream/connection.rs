//! A client's connection: its stage, and when it may be closed in favour of another one.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::ListenerOptions;
use crate::net::counting_stream::{CountingStream, UnreadState};

/// Where descriptors are short, a connection may be evicted that has sent nothing for this long since it was accepted ...
const MIN_INITIAL_IDLE_BEFORE_EVICTION: Duration = Duration::from_millis(60);
/// ... that has been idle for this long since its last response ...
pub const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_millis(20);
/// ... or that has taken this long over the head of a request, or over reading its response.
const MIN_STALL_BEFORE_EVICTION: Duration = Duration::from_millis(500);

/// A client's connection.
pub struct DownstreamConnection {
    /// Its socket.
    pub stream: CountingStream,
    stage: Cell<ConnectionStage>,
    has_served: Cell<bool>,
    /// The counter of connections with requests; see [`super::connection_budget::ConnectionBudget`].
    requesting_count: Rc<Cell<usize>>,
    /// Whether this connection counts itself there.
    is_counted: Cell<bool>,
    /// When it was accepted, had its last response, or was closed.
    pub last_activity: Cell<Instant>,
    /// Index in the budget, which alone changes it.
    pub index: Cell<usize>,
    /// Accepted over the limit: its request is rejected and it is closed.
    pub over_limit: bool,
    /// Options of its listener; the listener is identified by them.
    pub options: Rc<Cell<ListenerOptions>>,
    /// Wakes the connection's task to close it at once.
    pub close: Notify,
}

/// The stage of a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ConnectionStage {
    /// Waits for a request, or for the rest of its head.
    Waiting,
    /// A request is read or answered.
    Busy,
    /// Closed, but for what the client still sends.
    Lingering,
    /// About to end.
    Ending,
}

impl DownstreamConnection {
    /// Returns a connection that was just accepted.
    pub fn new(
        stream: CountingStream,
        over_limit: bool,
        options: Rc<Cell<ListenerOptions>>,
        requesting_count: Rc<Cell<usize>>,
    ) -> Rc<Self> {
        Rc::new(Self {
            stream,
            stage: Cell::new(ConnectionStage::Waiting),
            has_served: Cell::new(false),
            requesting_count,
            is_counted: Cell::new(false),
            last_activity: Cell::new(Instant::now()),
            index: Cell::new(0),
            over_limit,
            options,
            close: Notify::new(),
        })
    }

    /// Its stage.
    pub fn stage(&self) -> ConnectionStage {
        self.stage.get()
    }

    /// Whether it has had a response.
    pub fn has_served(&self) -> bool {
        self.has_served.get()
    }

    /// Sets the stage, and whether it has had a response.
    pub fn set_stage(&self, stage: ConnectionStage, has_served: bool) {
        self.stage.set(stage);
        self.has_served.set(has_served);
        let has_requests = match stage {
            ConnectionStage::Busy => true,
            ConnectionStage::Waiting => has_served,
            ConnectionStage::Lingering | ConnectionStage::Ending => false,
        };
        if self.is_counted.replace(has_requests) != has_requests {
            let count = self.requesting_count.get();
            self.requesting_count.set(if has_requests { count + 1 } else { count - 1 });
        }
    }

    /// A response was passed on: it waits for the next request.
    pub fn mark_answered(&self) {
        self.last_activity.set(Instant::now());
        if self.stage() == ConnectionStage::Busy {
            self.set_stage(ConnectionStage::Waiting, true);
        }
    }

    /// Whether no part of a request has come and no response is being written, as far as can be seen.
    pub fn is_idle(&self) -> bool {
        self.stage.get() == ConnectionStage::Waiting
            && self.stream.head_started_at().is_none()
            && !self.stream.is_blocked()
            && self.stream.unread() != UnreadState::Data
    }

    /// Whether a request has come, as far as can be seen, whose response has not arrived, or only just.
    pub fn has_pending_response(&self) -> bool {
        match self.stage.get() {
            ConnectionStage::Busy => true,
            ConnectionStage::Waiting => self.stream.is_blocked() || self.stream.unread() == UnreadState::Data,
            ConnectionStage::Lingering => self.last_activity.get().elapsed() < MIN_IDLE_BEFORE_EVICTION,
            ConnectionStage::Ending => false,
        }
    }

    /// Rank for eviction, lowest first; `None` where it must not be evicted.
    pub fn eviction_rank(&self, now: Instant) -> Option<u8> {
        let inactive_for = |time| now.saturating_duration_since(self.last_activity.get()) >= time;
        match (self.stage.get(), self.stream.head_started_at()) {
            (ConnectionStage::Lingering, _) => inactive_for(MIN_IDLE_BEFORE_EVICTION).then_some(0),
            // Its last response waits for the client to read: closing now would cut it off.
            (ConnectionStage::Waiting, _) if self.stream.is_blocked() => {
                inactive_for(MIN_STALL_BEFORE_EVICTION).then_some(3)
            }
            (ConnectionStage::Waiting, None) if !self.has_served.get() => {
                inactive_for(MIN_INITIAL_IDLE_BEFORE_EVICTION).then_some(1)
            }
            (ConnectionStage::Waiting, None) => inactive_for(MIN_IDLE_BEFORE_EVICTION).then_some(2),
            (ConnectionStage::Waiting, Some(started)) => {
                (now >= started + MIN_STALL_BEFORE_EVICTION).then_some(3)
            }
            _ => None,
        }
    }

    /// Whether it has taken too long over a request, or has been idle for too long.
    pub fn has_timed_out(&self, now: Instant) -> bool {
        let ListenerOptions { request_timeout, idle_timeout, .. } = self.options.get();
        self.stage.get() == ConnectionStage::Waiting
            && match self.stream.head_started_at() {
                _ if !self.has_served.get() => now >= self.last_activity.get() + request_timeout,
                Some(started) => now >= started + request_timeout,
                None => {
                    now >= self.last_activity.get() + idle_timeout
                        && self.stream.unread() == UnreadState::Empty
                }
            }
    }

    /// Closes it at once.
    pub fn close_now(&self) {
        self.set_stage(ConnectionStage::Ending, self.has_served());
        self.close.notify_one();
    }
}

impl Drop for DownstreamConnection {
    fn drop(&mut self) {
        if self.is_counted.get() {
            self.requesting_count.set(self.requesting_count.get() - 1);
        }
    }
}
