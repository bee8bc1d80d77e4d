//! The node's limit on client connections, shared by all its listeners.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::time::Instant;

use super::DownstreamListener;
use super::accept::OVERFLOW_CONNECTIONS;
use super::connection::{ConnectionStage, DownstreamConnection};
use crate::net::counting_stream::UnreadState;

/// Once connections with requests take this fraction (1/n) of all descriptors, keep-alive is disabled, and each
/// connection is closed after its next response. Otherwise clients that keep connections open could take all
/// descriptors while the node is idle. The cost is that clients that send many requests reconnect more often.
const KEEP_ALIVE_DIVISOR: usize = 4;

/// The client connections of all listeners.
pub struct ConnectionBudget {
    connections: RefCell<Vec<Rc<DownstreamConnection>>>,
    /// Number of connections that have a request, or had one and may send another. Each connection updates the count
    /// for itself.
    requesting_count: Rc<Cell<usize>>,
    limit: usize,
    keep_alive_limit: usize,
}

impl ConnectionBudget {
    /// Returns a budget of `limit` connections, for a node that may open `descriptors` descriptors.
    pub fn new(limit: usize, descriptors: usize) -> Rc<Self> {
        Rc::new(Self {
            connections: RefCell::default(),
            requesting_count: Rc::default(),
            limit,
            keep_alive_limit: descriptors / KEEP_ALIVE_DIVISOR,
        })
    }

    /// Returns the maximum number of connections.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the number of connections.
    pub fn count(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Whether another connection would exceed the limit.
    pub fn is_full(&self) -> bool {
        self.count() >= self.limit
    }

    /// Whether there is no descriptor left even for a connection that is only rejected.
    pub fn is_overflow_full(&self) -> bool {
        self.count() >= self.limit + OVERFLOW_CONNECTIONS
    }

    /// Returns the shared count of connections with requests, for a new connection.
    pub fn requesting_count(&self) -> Rc<Cell<usize>> {
        self.requesting_count.clone()
    }

    /// Adds a connection.
    pub fn add(&self, connection: &Rc<DownstreamConnection>) {
        let mut connections = self.connections.borrow_mut();
        connection.index.set(connections.len());
        connections.push(connection.clone());
    }

    /// Removes a connection that has ended. Its index avoids a search through thousands of connections.
    pub fn remove(&self, connection: &Rc<DownstreamConnection>) {
        let mut connections = self.connections.borrow_mut();
        let index = connection.index.get();
        if connections.get(index).is_some_and(|found| Rc::ptr_eq(found, connection)) {
            connections.swap_remove(index);
            if let Some(moved) = connections.get(index) {
                moved.index.set(index);
            }
        }
    }

    /// Calls `visit` for each connection of a listener.
    pub fn for_each_connection_of(
        &self,
        owner: &DownstreamListener,
        mut visit: impl FnMut(&DownstreamConnection),
    ) {
        let connections = self.connections.borrow();
        connections
            .iter()
            .filter(|connection| owner.owns(connection))
            .for_each(|connection| visit(connection));
    }

    /// Closes the connection with the lowest eviction rank, or the one with the least recent activity among equals;
    /// returns whether a connection was closed.
    pub fn evict_one(&self) -> bool {
        let (connections, now) = (self.connections.borrow(), Instant::now());
        let rank = |connection: &Rc<DownstreamConnection>| {
            Some((connection.eviction_rank(now)?, connection.last_activity.get()))
        };
        let ranked = connections.iter().filter_map(|connection| Some((rank(connection)?, connection)));
        let Some((_, connection)) = ranked.min_by_key(|(rank, _)| *rank) else { return false };
        // A request may have been received that the event loop has not read yet. The kernel is only queried for the
        // chosen socket.
        if connection.stage() == ConnectionStage::Waiting && connection.stream.unread() == UnreadState::Data {
            return false;
        }
        connection.close_now();
        true
    }

    /// Whether connections with requests take so many descriptors that connections are closed after their next
    /// response.
    pub fn disables_keep_alive(&self) -> bool {
        self.requesting_count.get() >= self.keep_alive_limit
    }
}
