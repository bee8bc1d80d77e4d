//! A client's connection: its stage, and when it may be evicted in favour of another one.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::ListenerOptions;
use crate::net::counting_stream::{CountingStream, UnreadState};

/// If descriptors are scarce, a connection may be evicted once it has sent nothing for this long since it was
/// accepted.
const MIN_INITIAL_IDLE_BEFORE_EVICTION: Duration = Duration::from_millis(60);
/// If descriptors are scarce, a connection may be evicted once it has been idle for this long since its last
/// response.
pub const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_millis(20);
/// If descriptors are scarce, a connection may be evicted once its client has taken this long to send the head of a
/// request or to read a response.
const MIN_STALL_BEFORE_EVICTION: Duration = Duration::from_millis(500);

/// If memory or descriptors are scarce, a connection may be evicted once its client has sent nothing of an unfinished
/// body for this long.
pub const MIN_BODY_STALL_BEFORE_EVICTION: Duration = Duration::from_millis(250);

/// A client's connection.
pub struct DownstreamConnection {
    /// Its socket.
    pub stream: CountingStream,
    stage: Cell<ConnectionStage>,
    has_served: Cell<bool>,
    /// The shared count of connections with requests; see [`super::connection_budget::ConnectionBudget`].
    requesting_count: Rc<Cell<usize>>,
    /// Whether this connection is included in `requesting_count`.
    is_counted: Cell<bool>,
    /// Whether memory is reserved for the body of its request.
    pub holds_body_memory: Cell<bool>,
    /// When the connection was accepted, began to read a body, got its last response, or was closed.
    pub last_activity: Cell<Instant>,
    /// Index in the budget's list of connections. Only the budget changes it.
    pub index: Cell<usize>,
    /// Whether the connection was accepted over the limit, so that its request is rejected and it is closed.
    pub over_limit: bool,
    /// Options of the connection's listener. Their address also identifies the listener.
    pub options: Rc<Cell<ListenerOptions>>,
    /// Wakes the connection's task to close the connection immediately.
    pub close: Notify,
}

/// The stage of a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ConnectionStage {
    /// Waiting for a request, or for the rest of its head.
    Waiting,
    /// The body of a request is being read.
    Receiving,
    /// A request waits for memory or is being answered.
    Busy,
    /// Closed, except that data which the client still sends is read.
    Lingering,
    /// About to end.
    Ending,
}

/// Why a connection may be evicted, in the order in which connections are evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionRank {
    /// It is closed except for data that the client still sends.
    Lingering,
    /// The client has never sent anything.
    Silent,
    /// The client is between two requests.
    Idle,
    /// The client has stopped in the middle of a request, or does not read its response.
    Stalled,
}

impl DownstreamConnection {
    /// Returns a newly accepted connection.
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
            holds_body_memory: Cell::new(false),
            last_activity: Cell::new(Instant::now()),
            index: Cell::new(0),
            over_limit,
            options,
            close: Notify::new(),
        })
    }

    /// Returns the stage.
    pub fn stage(&self) -> ConnectionStage {
        self.stage.get()
    }

    /// Whether a response has been passed on or, over FastCGI, a request has been received.
    pub fn has_served(&self) -> bool {
        self.has_served.get()
    }

    /// Sets the stage, and the value of [`Self::has_served`].
    pub fn set_stage(&self, stage: ConnectionStage, has_served: bool) {
        self.stage.set(stage);
        self.has_served.set(has_served);
        let has_requests = match stage {
            ConnectionStage::Receiving | ConnectionStage::Busy => true,
            ConnectionStage::Waiting => has_served,
            ConnectionStage::Lingering | ConnectionStage::Ending => false,
        };
        if self.is_counted.replace(has_requests) != has_requests {
            let count = self.requesting_count.get();
            self.requesting_count.set(if has_requests { count + 1 } else { count - 1 });
        }
    }

    /// Records that no part of a request is awaited from the client, unless the connection is about to end.
    pub fn set_busy(&self) {
        if self.stage() == ConnectionStage::Receiving {
            self.set_stage(ConnectionStage::Busy, self.has_served());
        }
    }

    /// Records that the body of a request is being read from now on.
    pub fn start_receiving(&self) {
        self.last_activity.set(Instant::now());
        self.set_stage(ConnectionStage::Receiving, self.has_served());
    }

    /// Records that a response was passed on, so that the connection waits for the next request.
    pub fn mark_answered(&self) {
        self.last_activity.set(Instant::now());
        if self.stage() == ConnectionStage::Busy {
            self.set_stage(ConnectionStage::Waiting, true);
        }
    }

    /// Whether no part of a request is known to have been received, and no response is known to be in the process of
    /// being written.
    pub fn is_idle(&self) -> bool {
        self.stage.get() == ConnectionStage::Waiting
            && self.stream.head_started_at().is_none()
            && !self.stream.is_blocked()
            && self.stream.unread() != UnreadState::Data
    }

    /// Whether a request is known to have been received whose response is not finished, or was only just written.
    pub fn has_pending_response(&self) -> bool {
        match self.stage.get() {
            ConnectionStage::Receiving | ConnectionStage::Busy => true,
            ConnectionStage::Waiting => self.stream.is_blocked() || self.stream.unread() == UnreadState::Data,
            ConnectionStage::Lingering => self.last_activity.get().elapsed() < MIN_IDLE_BEFORE_EVICTION,
            ConnectionStage::Ending => false,
        }
    }

    /// Whether memory is reserved for a request that has not been received completely.
    fn holds_receive_memory(&self) -> bool {
        match self.stage.get() {
            ConnectionStage::Waiting => self.stream.holds_head_memory(),
            ConnectionStage::Receiving => self.holds_body_memory.get(),
            _ => false,
        }
    }

    /// Returns since when the client has sent nothing, if it has stopped in the middle of a request for which memory
    /// is reserved.
    pub fn memory_stalled_since(&self, now: Instant) -> Option<Instant> {
        if !self.holds_receive_memory() {
            return None;
        }
        let since = self.last_received_at();
        (now >= since + MIN_BODY_STALL_BEFORE_EVICTION).then_some(since)
    }

    /// Returns when the client last sent anything, or when the node began to read.
    pub fn last_received_at(&self) -> Instant {
        let last_activity = self.last_activity.get();
        self.stream.last_read_at().map_or(last_activity, |last_read| last_read.max(last_activity))
    }

    /// Returns the rank for eviction, or `None` if the connection must not be evicted.
    pub fn eviction_rank(&self, now: Instant) -> Option<EvictionRank> {
        let inactive_for = |time| now.saturating_duration_since(self.last_activity.get()) >= time;
        match (self.stage.get(), self.stream.head_started_at()) {
            (ConnectionStage::Lingering, _) => {
                inactive_for(MIN_IDLE_BEFORE_EVICTION).then_some(EvictionRank::Lingering)
            }
            // The last response is still waiting for the client to read it; closing now would truncate it.
            (ConnectionStage::Waiting, _) if self.stream.is_blocked() => {
                inactive_for(MIN_STALL_BEFORE_EVICTION).then_some(EvictionRank::Stalled)
            }
            (ConnectionStage::Waiting, None) if !self.has_served.get() => {
                inactive_for(MIN_INITIAL_IDLE_BEFORE_EVICTION).then_some(EvictionRank::Silent)
            }
            (ConnectionStage::Waiting, None) => {
                inactive_for(MIN_IDLE_BEFORE_EVICTION).then_some(EvictionRank::Idle)
            }
            (ConnectionStage::Waiting, Some(started)) => {
                (now >= started + MIN_STALL_BEFORE_EVICTION).then_some(EvictionRank::Stalled)
            }
            (ConnectionStage::Receiving, _) => (now
                >= self.last_received_at() + MIN_BODY_STALL_BEFORE_EVICTION)
                .then_some(EvictionRank::Stalled),
            _ => None,
        }
    }

    /// Whether the client has taken too long to send the head of a request, or the connection has been idle for too
    /// long.
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

    /// Keeps an idle connection that is about to end if a request has arrived on it that the event loop has not seen yet: closing
    /// it would reset it. Returns whether it is kept.
    pub fn keep_for_unread_request(&self) -> bool {
        let was_idle = self.stage() == ConnectionStage::Ending
            && self.stream.head_started_at().is_none()
            && !self.stream.is_blocked();
        let is_kept = was_idle && self.stream.unread() == UnreadState::Data;
        if is_kept {
            self.set_stage(ConnectionStage::Waiting, self.has_served());
        }
        is_kept
    }

    /// Closes the connection immediately.
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
