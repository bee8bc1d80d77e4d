//! The idle connections of one HTTP endpoint.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use pumicehead_config::model::Address;
use tokio::time::{Instant, timeout_at};

use super::connection::HttpConnection;
use crate::net::upstream::connection_registry::{ConnectionRegistry, IdleConnections};

/// Maximum time to wait after a response until its connection is ready for another request.
pub(super) const READY_TIMEOUT: Duration = Duration::from_millis(5);
/// Connections that have been idle for at least this long are preferred for reuse. An endpoint may send a second
/// response some milliseconds after the first; on a connection that is reused immediately it would be taken for the
/// response to the next request. Since new connections cost the endpoint work, this time is only enforced while
/// unsolicited data has been seen recently.
pub(super) const MIN_IDLE_BEFORE_REUSE: Duration = Duration::from_millis(10);

/// When unsolicited data, which belongs to no request, was last seen from an endpoint of the pool.
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
    /// Ordered by the time at which they became idle.
    idle: RefCell<VecDeque<IdleConnection>>,
    unsolicited_data: LastUnsolicitedData,
    /// How long idle connections are kept.
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

    /// Adds a connection that has just become idle.
    pub fn push_idle(&self, connection: HttpConnection) {
        self.idle.borrow_mut().push_back(IdleConnection { since: Instant::now(), connection });
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

    /// Takes the most recently used open connection that has been idle for at least [`MIN_IDLE_BEFORE_REUSE`]. If
    /// there is none, and the minimum idle time is not enforced, takes the longest idle connection.
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

    /// Whether connections must be idle for [`MIN_IDLE_BEFORE_REUSE`] before reuse: unsolicited data was seen so
    /// recently that a connection that was idle then may still be kept.
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
