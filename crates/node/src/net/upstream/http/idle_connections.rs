//! The idle connections of one HTTP endpoint.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use pumicehead_config::model::Address;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::connection::HttpConnection;
use crate::net::upstream::connection_registry::{ConnectionRegistry, IdleConnections};

/// Maximum time to wait after a response until its connection is ready for another request.
pub(super) const READY_TIMEOUT: Duration = Duration::from_millis(5);
/// Minimum time between a response and the next request on its connection. An endpoint may send a second response some
/// milliseconds after the first. If the request is already on its way by then, nothing distinguishes that response from
/// the one to the request, and each later response on the connection is taken for that of the request after it.
pub(super) const MIN_IDLE_BEFORE_REUSE: Duration = Duration::from_millis(20);
/// Minimum time beyond the round trip, after which data has come that the endpoint's system held back until the response
/// was acknowledged.
const MIN_IDLE_AFTER_ROUND_TRIP: Duration = Duration::from_millis(10);
/// Maximum time between a response and the next request on its connection, if connections are established slowly.
const MAX_IDLE_BEFORE_REUSE: Duration = Duration::from_millis(50);
/// An attempt waits for a connection for at most this many response times of its endpoint.
const MAX_REUSE_WAIT_RESPONSES: u32 = 16;

/// An idle connection.
pub(super) struct IdleConnection {
    pub since: Instant,
    /// When the connection may carry another request.
    pub reusable_at: Instant,
    pub connection: HttpConnection,
}

/// An idle connection that one attempt waits for. It becomes idle again if the attempt ends before that.
struct ReservedConnection<'a> {
    endpoint: &'a Rc<EndpointConnections>,
    registry: &'a ConnectionRegistry,
    idle: Option<IdleConnection>,
}

impl ReservedConnection<'_> {
    /// Waits until the connection may carry another request.
    async fn reusable(mut self) -> Option<IdleConnection> {
        if let Some(idle) = self.idle.as_ref().filter(|idle| Instant::now() < idle.reusable_at) {
            sleep_until(idle.reusable_at).await;
        }
        self.idle.take()
    }
}

impl Drop for ReservedConnection<'_> {
    fn drop(&mut self) {
        if let Some(idle) = self.idle.take().filter(|_| self.endpoint.is_usable.get()) {
            self.endpoint.insert_idle(idle);
            // A sweep may have found no idle connection in the meantime.
            self.registry.register(self.endpoint);
        }
    }
}

/// The connections of one process of an endpoint.
pub(super) struct EndpointConnections {
    pub address: Address,
    /// Whether requests may be written.
    pub is_usable: Cell<bool>,
    /// Ordered by the time at which they became idle.
    idle: RefCell<VecDeque<IdleConnection>>,
    /// Duration of the last successful response.
    last_response_time: Cell<Option<Duration>>,
    /// Minimum time in which a connection was established: an upper bound of the round-trip time.
    min_connect_time: Cell<Option<Duration>>,
    /// How long idle connections are kept.
    max_idle: Duration,
    registered: Cell<bool>,
}

impl EndpointConnections {
    pub fn new(address: Address, max_idle: Duration) -> Self {
        Self {
            address,
            is_usable: Cell::new(true),
            idle: RefCell::default(),
            last_response_time: Cell::default(),
            min_connect_time: Cell::default(),
            max_idle,
            registered: Cell::new(false),
        }
    }

    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Adds a connection that has just become idle.
    pub fn push_idle(&self, connection: HttpConnection) {
        let since = Instant::now();
        let reusable_at = since + self.min_idle_before_reuse();
        self.idle.borrow_mut().push_back(IdleConnection { since, reusable_at, connection });
    }

    /// Makes a connection available for another request, unless the endpoint is retired or the connection is closed.
    pub fn return_idle(self: &Rc<Self>, registry: &ConnectionRegistry, mut connection: HttpConnection) {
        connection.mark_idle();
        if self.is_usable.get() && !connection.sender.is_closed() {
            self.push_idle(connection);
            registry.register(self);
        }
    }

    /// Makes a connection available once it is ready for another request. Closes it if it is not ready by `deadline`
    /// or within [`READY_TIMEOUT`].
    pub async fn return_when_ready(
        self: &Rc<Self>,
        registry: &ConnectionRegistry,
        mut connection: HttpConnection,
        deadline: Instant,
    ) {
        let deadline = deadline.min(Instant::now() + READY_TIMEOUT);
        let is_ready = connection.sender.is_ready()
            || matches!(timeout_at(deadline, connection.sender.ready()).await, Ok(Ok(())));
        if is_ready {
            self.return_idle(registry, connection);
        }
    }

    /// Records how long it took to establish a connection.
    pub fn on_connected(&self, connect_time: Duration) {
        let min = self.min_connect_time.get().map_or(connect_time, |min| min.min(connect_time));
        self.min_connect_time.set(Some(min));
    }

    fn min_idle_before_reuse(&self) -> Duration {
        let round_trip = self.min_connect_time.get().unwrap_or_default();
        (round_trip + MIN_IDLE_AFTER_ROUND_TRIP).clamp(MIN_IDLE_BEFORE_REUSE, MAX_IDLE_BEFORE_REUSE)
    }

    /// Records how long the endpoint took for a successful response.
    pub fn on_response(&self, response_time: Duration) {
        self.last_response_time.set(Some(response_time));
    }

    /// Takes an open connection that may carry another request. If there is none, waits for the one that has been idle
    /// for the longest time, unless that takes longer than [`MAX_REUSE_WAIT_RESPONSES`]. A
    /// new connection costs the endpoint work, but an attempt that waits occupies one of the endpoint's places.
    pub async fn take_idle(self: &Rc<Self>, registry: &ConnectionRegistry) -> Option<IdleConnection> {
        while let Some(reserved) = self.reserve_idle(registry) {
            let Some(idle) = reserved.reusable().await else { continue };
            if self.is_reusable(&idle, Instant::now()) {
                return Some(idle);
            }
        }
        None
    }

    /// Reserves the most recently used of the connections that may carry another request, so that the others expire,
    /// or else the connection that has been idle for the longest time, if it is worth the wait.
    fn reserve_idle<'a>(
        self: &'a Rc<Self>,
        registry: &'a ConnectionRegistry,
    ) -> Option<ReservedConnection<'a>> {
        let mut idle = self.idle.borrow_mut();
        let now = Instant::now();
        let reusable = idle.iter().rposition(|idle| now >= idle.reusable_at);
        let index = reusable.or_else(|| self.is_worth_waiting(idle.front()?, now).then_some(0))?;
        let reserved = idle.remove(index)?;
        Some(ReservedConnection { endpoint: self, registry, idle: Some(reserved) })
    }

    fn is_worth_waiting(&self, idle: &IdleConnection, now: Instant) -> bool {
        let wait = idle.reusable_at.saturating_duration_since(now);
        self.last_response_time.get().is_none_or(|time| wait <= time * MAX_REUSE_WAIT_RESPONSES)
    }

    /// Inserts a connection in the order of the times at which they became idle.
    fn insert_idle(&self, connection: IdleConnection) {
        let mut idle = self.idle.borrow_mut();
        let index = idle.partition_point(|other| other.since <= connection.since);
        idle.insert(index, connection);
    }

    /// Whether a connection is open, has received nothing since it became idle, and has not expired.
    fn is_reusable(&self, idle: &IdleConnection, now: Instant) -> bool {
        now < idle.since + self.max_idle
            && idle.connection.is_open()
            && !idle.connection.has_unsolicited_data()
    }
}

impl IdleConnections for EndpointConnections {
    fn registered(&self) -> &Cell<bool> {
        &self.registered
    }

    fn oldest_idle_since(&self) -> Option<Instant> {
        self.idle.borrow().front().map(|idle| idle.since)
    }

    fn close_oldest(&self) {
        drop(self.idle.borrow_mut().pop_front());
    }

    fn sweep(&self, now: Instant) -> bool {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|idle| self.is_reusable(idle, now));
        !idle.is_empty()
    }
}
