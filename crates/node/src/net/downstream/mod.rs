//! Connections of clients: requests are read, sent to a pool, and given exactly one response each.

mod accept;
mod body_framing;
mod connection;
pub mod connection_budget;
mod drain;
mod fastcgi;
mod http;
mod proxy;
mod request_body;
mod response;

use std::cell::{Cell, OnceCell};
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pumicehead_admin::stats::Stats;
use pumicehead_config::model::Protocol;
use pumicehead_policy::Nanos;
use tokio::net::TcpListener;
use tokio::task;
use tokio::time::{Instant, sleep};

pub use self::accept::{OVERFLOW_CONNECTIONS, listen};
use self::connection::{DownstreamConnection, MIN_IDLE_BEFORE_EVICTION};
use self::connection_budget::ConnectionBudget;
pub use self::drain::DrainReason;
use self::drain::NEW_CONNECTION_GRACE;
use crate::net::active_requests::ActiveRequestIds;
use crate::net::admission::Admission;
use crate::net::memory_budget::MemoryBudget;
use crate::net::recorder_sink::RecorderSink;

/// Interval at which connections are checked for timeouts.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A node in lame-duck mode keeps idle connections for this long, to close each with its next response: load balancers in
/// front of it learn meanwhile that it takes no requests, and few requests meet a close.
const LAME_DUCK_GRACE: Duration = Duration::from_secs(1);

/// Options of a listener.
#[derive(Clone, Copy, Debug)]
pub struct ListenerOptions {
    /// Longest time from the accept, or from the first byte of a later request, to the last byte of a request.
    pub request_timeout: Duration,
    /// Connections that had a response and are idle are closed after this.
    pub idle_timeout: Duration,
    /// Greatest number of bytes of a body that is read as a whole.
    pub max_buffered_body: usize,
    /// Longer bodies are streamed up to this many bytes; `None` where they are rejected.
    pub max_streamed_body: Option<u64>,
    /// Greatest number of active requests at the node.
    pub max_active_requests: usize,
    /// Requests without a response this long after the process began to drain fail.
    pub max_request_deadline: Duration,
    /// `GET /healthz` is answered by the node itself.
    pub serves_health_check: bool,
    /// `Retry-After` of the node's own rejections, where there is one.
    pub retry_after: Option<Nanos>,
}

/// A listener for client connections.
pub struct DownstreamListener {
    admission: Rc<dyn Admission>,
    active_requests: ActiveRequestIds,
    options: Rc<Cell<ListenerOptions>>,
    budget: Rc<ConnectionBudget>,
    draining: Cell<bool>,
    /// The process is about to exit: new requests are rejected.
    is_exiting: Cell<bool>,
    /// Since when the node is in lame-duck mode, where an operator has set that.
    lame_duck_since: Cell<Option<Instant>>,
    /// Other processes accept from the same socket.
    is_socket_shared: Cell<bool>,
    stats: Rc<Stats>,
    /// Memory for the buffered part of long bodies.
    memory: Arc<MemoryBudget>,
    /// Protocol of new connections.
    protocol: Cell<Protocol>,
    /// Fails all active requests of the node.
    fail_all: Box<dyn Fn()>,
    /// The flight recorder, for what no pool sees.
    recorder: OnceCell<RecorderSink>,
}

/// Aborts a task when its owner is dropped.
struct AbortOnDrop(task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl DownstreamListener {
    /// Returns a listener that shares the budget with others. `fail_all` fails all active requests of the node.
    pub fn new(
        admission: Rc<dyn Admission>,
        active_requests: ActiveRequestIds,
        options: ListenerOptions,
        budget: Rc<ConnectionBudget>,
        fail_all: impl Fn() + 'static,
        stats: Rc<Stats>,
        memory: Arc<MemoryBudget>,
    ) -> Rc<Self> {
        Rc::new(Self {
            admission,
            active_requests,
            options: Rc::new(Cell::new(options)),
            budget,
            draining: Cell::new(false),
            is_exiting: Cell::new(false),
            lame_duck_since: Cell::new(None),
            is_socket_shared: Cell::new(false),
            stats,
            memory,
            protocol: Cell::new(Protocol::Http),
            fail_all: Box::new(fail_all),
            recorder: OnceCell::new(),
        })
    }

    /// Sets the recorder; the first one that is set stays.
    pub fn set_recorder(&self, recorder: RecorderSink) {
        let _ = self.recorder.set(recorder);
    }

    /// Replaces the options.
    pub fn set_options(&self, options: ListenerOptions) {
        self.options.set(options);
    }

    /// Sets the protocol of new connections.
    pub fn set_protocol(&self, protocol: Protocol) {
        self.protocol.set(protocol);
    }

    /// Enters or leaves lame-duck mode: health checks fail and connections close, but requests are served.
    pub fn set_lame_duck(&self, is_lame_duck: bool) {
        let since = is_lame_duck.then(|| self.lame_duck_since.get().unwrap_or_else(Instant::now));
        self.lame_duck_since.set(since);
    }

    /// Whether an operator has put the node into lame-duck mode.
    pub fn is_lame_duck(&self) -> bool {
        self.lame_duck_since.get().is_some()
    }

    /// Whether it takes no more connections.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Marks that other processes accept from the same socket: connections that wait there at the end are theirs.
    pub fn set_socket_shared(&self) {
        self.is_socket_shared.set(true);
    }

    fn owns(&self, connection: &DownstreamConnection) -> bool {
        Rc::ptr_eq(&self.options, &connection.options)
    }

    /// Serves connections until `stop`, then drains.
    pub async fn run(self: Rc<Self>, listener: TcpListener, stop: impl Future<Output = DrainReason>) {
        let checked = self.clone();
        let _timeout_checks = AbortOnDrop(task::spawn_local(async move {
            loop {
                sleep(TIMEOUT_CHECK_INTERVAL).await;
                checked.close_timed_out();
            }
        }));
        let mut stop = pin!(stop);
        let reason = loop {
            tokio::select! {
                reason = stop.as_mut() => break reason,
                accepted = self.accept(&listener) => self.clone().spawn_connection(accepted),
            }
        };
        self.drain(listener, reason).await;
    }

    fn close_timed_out(&self) {
        let now = Instant::now();
        self.budget.for_each_of(self, |connection| {
            if connection.has_timed_out(now) {
                connection.close_now();
            }
        });
        if self.lame_duck_since.get().is_some_and(|since| now >= since + LAME_DUCK_GRACE) {
            self.close_idle(MIN_IDLE_BEFORE_EVICTION, NEW_CONNECTION_GRACE);
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/downstream.rs"]
mod tests;
