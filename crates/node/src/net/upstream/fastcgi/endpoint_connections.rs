//! The connections of one process of a FastCGI endpoint.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use pumicehead_config::model::Address;
use tokio::time::Instant;

use super::connection::FastCgiConnection;
use crate::net::upstream::connection_registry::IdleConnections;

/// The connections of one process of an endpoint.
pub(super) struct EndpointConnections {
    pub address: Address,
    /// Whether requests may be written.
    pub is_usable: Cell<bool>,
    connections: RefCell<Vec<Rc<FastCgiConnection>>>,
    /// How long idle connections are kept.
    max_idle: Duration,
    registered: Cell<bool>,
}

/// The load of an endpoint from this node.
pub(super) struct EndpointLoad {
    /// Number of connections.
    pub connections: usize,
    /// Number of requests on all connections.
    pub in_flight: usize,
}

impl EndpointConnections {
    pub fn new(address: Address, max_idle: Duration) -> Self {
        Self {
            address,
            is_usable: Cell::new(true),
            connections: RefCell::default(),
            max_idle,
            registered: Cell::new(false),
        }
    }

    pub fn push(&self, connection: Rc<FastCgiConnection>) {
        self.connections.borrow_mut().push(connection);
    }

    /// Closes idle connections. If the endpoint is retired, connections that carry requests are closed after their
    /// last request.
    pub fn close_idle(&self) {
        let is_usable = self.is_usable.get();
        self.connections.borrow_mut().retain(|connection| {
            let closes = !is_usable || connection.is_idle();
            if closes {
                connection.retire();
            }
            !closes
        });
    }

    /// Removes connections that accept no more requests.
    pub fn remove_closed(&self) {
        self.connections
            .borrow_mut()
            .retain(|connection| !connection.is_idle() && !connection.closed.get() || connection.is_open());
    }

    /// Returns the connection with the most requests in flight below `max`, so that other connections become idle and
    /// expire.
    pub fn most_loaded_with_capacity(&self, max: usize) -> Option<Rc<FastCgiConnection>> {
        let connections = self.connections.borrow();
        let free = connections.iter().filter(|connection| connection.in_flight.get() < max);
        free.max_by_key(|connection| (connection.in_flight.get(), connection.idle_since.get())).cloned()
    }

    pub fn load(&self) -> EndpointLoad {
        let connections = self.connections.borrow();
        let in_flight = connections.iter().map(|connection| connection.in_flight.get()).sum();
        EndpointLoad { connections: connections.len(), in_flight }
    }
}

impl IdleConnections for EndpointConnections {
    fn registered(&self) -> &Cell<bool> {
        &self.registered
    }

    fn oldest_idle_since(&self) -> Option<Instant> {
        let connections = self.connections.borrow();
        connections
            .iter()
            .filter(|connection| connection.is_idle() && !connection.closed.get())
            .map(|connection| connection.idle_since.get())
            .min()
    }

    fn close_oldest(&self) {
        let mut connections = self.connections.borrow_mut();
        let idle = connections.iter().enumerate().filter(|(_, connection)| connection.is_idle());
        if let Some((index, _)) = idle.min_by_key(|(_, connection)| connection.idle_since.get()) {
            connections.remove(index).retire();
        }
    }

    fn sweep(&self, now: Instant) -> bool {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|connection| {
            let has_expired = connection.is_idle() && now >= connection.idle_since.get() + self.max_idle;
            if has_expired {
                connection.retire();
            }
            !has_expired && !connection.closed.get()
        });
        !connections.is_empty()
    }
}
