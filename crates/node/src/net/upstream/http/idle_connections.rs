//! The idle connections of one HTTP endpoint.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use pumicehead_config::model::Address;
use tokio::time::{Instant, timeout_at};

use super::connection::HttpConnection;
use crate::net::upstream::connection_registry::{ConnectionRegistry, IdleConnections};

/// Longest time to wait until a connection is ready for another request after its response.
pub(super) const READY_TIMEOUT: Duration = Duration::from_millis(5);
/// A connection that has been idle for this long is reused first. An endpoint may send a second response some
/// milliseconds after the first, which on a connection that is reused at once would be taken for the next request's.
/// Only where unsolicited data has been seen is no connection reused earlier: new ones cost the endpoint work.
pub(super) const MIN_IDLE_BEFORE_REUSE: Duration = Duration::from_millis(10);

/// When data last came from an endpoint of the pool that no request had asked for.
pub(super) type LastUnsolicitedData = Rc<Cell<Option<Instant>>>;

/// An idle connection.
pub(super) struct IdleConnection {
    pub since: Instant,
    pub connection: HttpConnection,
}

/// The connections of one process of an endpoint.
pub(super) struct EndpointConnections {
    pub address: Address,
    /// Whether requests may be written.
    pub is_usable: Cell<bool>,
    /// Ordered by the time since which they are idle.
    idle: RefCell<VecDeque<IdleConnection>>,
    unsolicited_data: LastUnsolicitedData,
    /// Idle connections are kept for this long.
    max_idle: Duration,
    registered: Cell<bool>,
}

impl EndpointConnections {
    pub fn new(address: Address, unsolicited_data: LastUnsolicitedData, max_idle: Duration) -> Self {
        Self {
            address,
            is_usable: Cell::new(true),
            idle: RefCell::default(),
            unsolicited_data,
            max_idle,
            registered: Cell::new(false),
        }
    }

    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Adds a connection that has become idle now.
    pub fn push_idle(&self, connection: HttpConnection) {
        self.idle.borrow_mut().push_back(IdleConnection { since: Instant::now(), connection });
    }

    /// Keeps a connection for another request, unless the endpoint is retired or has closed it.
    pub fn return_idle(self: &Rc<Self>, registry: &ConnectionRegistry, mut connection: HttpConnection) {
        connection.mark_idle();
        if self.is_usable.get() && !connection.sender.is_closed() {
            self.push_idle(connection);
            registry.register(self);
        }
    }

    /// Keeps a connection once it is ready for another request; closes one that is not by `deadline` or within
    /// [`READY_TIMEOUT`].
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

    /// Takes the most recently used connection that has rested for [`MIN_IDLE_BEFORE_REUSE`] and is open. Where none has, and none
    /// must, takes the one that has rested longest.
    pub fn take_idle(&self) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        let now = Instant::now();
        loop {
            let idle_enough = idle.iter().rposition(|idle| now >= idle.since + MIN_IDLE_BEFORE_REUSE);
            let index = idle_enough.or((!self.requires_min_idle()).then_some(0))?;
            let taken = idle.remove(index)?;
            self.check_unsolicited_data(&taken.connection, now);
            if taken.since.elapsed() < self.max_idle && taken.connection.is_open() {
                return Some(taken);
            }
        }
    }

    /// Whether unsolicited data came within the time for which a connection that was idle then is kept.
    fn requires_min_idle(&self) -> bool {
        self.unsolicited_data.get().is_some_and(|at| at.elapsed() < self.max_idle)
    }

    fn check_unsolicited_data(&self, connection: &HttpConnection, now: Instant) {
        if connection.has_unsolicited_data() {
            self.unsolicited_data.set(Some(now));
        }
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
        idle.retain(|idle| {
            self.check_unsolicited_data(&idle.connection, now);
            now < idle.since + self.max_idle && idle.connection.is_open()
        });
        !idle.is_empty()
    }
}
