//! Client connections: reads requests, sends them to a pool, and gives each exactly one response.

mod accept;
mod body_buffer;
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
/// How long a node in lame-duck mode keeps idle connections, so that each can be closed with its next response.
/// Meanwhile load balancers in front of it learn that it takes no requests, so few requests are sent while their
/// connection is being closed.
const LAME_DUCK_GRACE: Duration = Duration::from_secs(1);

/// Options of a listener.
#[derive(Clone, Copy, Debug)]
pub struct ListenerOptions {
    /// Maximum time to receive a request completely, counted from the accept, or from the first byte of a later
    /// request.
    pub request_timeout: Duration,
    /// Time after which idle connections that have had a response are closed.
    pub idle_timeout: Duration,
    /// Maximum size of a body that is read completely, in bytes.
    pub max_buffered_body: usize,
    /// Maximum size of a streamed body, in bytes; `None` if longer bodies are rejected.
    pub max_streamed_body: Option<u64>,
    /// Maximum number of active requests on the node.
    pub max_active_requests: usize,
    /// Longest deadline of a request. Requests that have no response this long, plus a margin, after the process
    /// began to drain are failed.
    pub max_request_deadline: Duration,
    /// Whether the node itself responds to `/healthz`.
    pub serves_health_check: bool,
    /// `Retry-After` of the node's own rejections, if any.
    pub retry_after: Option<Nanos>,
}

/// A listener for client connections.
pub struct DownstreamListener {
    admission: Rc<dyn Admission>,
    active_requests: ActiveRequestIds,
    options: Rc<Cell<ListenerOptions>>,
    budget: Rc<ConnectionBudget>,
    draining: Cell<bool>,
    /// Whether the process is about to exit, so that new requests are rejected.
    is_exiting: Cell<bool>,
    /// Since when the node has been in lame-duck mode, if an operator has set it.
    lame_duck_since: Cell<Option<Instant>>,
    /// Whether other processes accept from the same socket.
    is_socket_shared: Cell<bool>,
    stats: Rc<Stats>,
    /// Memory for the buffered part of long bodies.
    memory: Arc<MemoryBudget>,
    /// Protocol of new connections.
    protocol: Cell<Protocol>,
    /// Fails all active requests of the node.
    fail_all: Box<dyn Fn()>,
    /// The flight recorder, for events that no pool sees.
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
    /// Returns a listener that shares the budget with other listeners. `fail_all` fails all active requests of the
    /// node.
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

    /// Sets the recorder, unless one was set before.
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

    /// Enters or leaves lame-duck mode, in which health checks fail and connections are closed, but requests are
    /// served.
    pub fn set_lame_duck(&self, is_lame_duck: bool) {
        let since = is_lame_duck.then(|| self.lame_duck_since.get().unwrap_or_else(Instant::now));
        self.lame_duck_since.set(since);
    }

    /// Whether an operator has put the node into lame-duck mode.
    pub fn is_lame_duck(&self) -> bool {
        self.lame_duck_since.get().is_some()
    }

    /// Whether the listener is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Marks that other processes accept from the same socket, so that connections that wait there during a drain are
    /// left to them.
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
        self.budget.for_each_connection_of(self, |connection| {
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
