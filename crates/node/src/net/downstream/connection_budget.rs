//! The node's limits on client connections and on the memory for requests that they send, shared by all its listeners.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, timeout};

use super::DownstreamListener;
use super::accept::OVERFLOW_CONNECTIONS;
use super::connection::{ConnectionStage, DownstreamConnection, EvictionRank};
use crate::net::counting_stream::UnreadState;
use crate::net::memory_budget::{MemoryBudget, Reservation};

/// Once connections with requests take this fraction (1/n) of all descriptors, keep-alive is disabled, and each
/// connection is closed after its next response. Otherwise clients that keep connections open could take all
/// descriptors while the node is idle. The cost is that clients that send many requests reconnect more often.
const KEEP_ALIVE_DIVISOR: usize = 4;

/// Requests that are being received or wait for their response may use the memory limit divided by this.
const REQUEST_MEMORY_DIVISOR: usize = 6;
/// Memory limit per client connection, and per connection to an endpoint: what a connection of either kind holds without a
/// reservation, and as much again for everything else.
pub const MEMORY_LIMIT_PER_CONNECTION: usize = 96 << 10;
/// Interval at which a request that waits for memory looks for a connection to evict.
const EVICTION_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The client connections of all listeners.
pub struct ConnectionBudget {
    connections: RefCell<Vec<Rc<DownstreamConnection>>>,
    /// Number of connections that have a request, or had one and may send another. Each connection updates the count
    /// for itself.
    requesting_count: Rc<Cell<usize>>,
    limit: usize,
    keep_alive_limit: usize,
    request_memory: Arc<MemoryBudget>,
}

impl ConnectionBudget {
    /// Returns a budget of `limit` connections, or fewer if `memory_limit` bytes are too little for them, for a node that
    /// may open `descriptors` descriptors.
    pub fn new(limit: usize, descriptors: usize, memory_limit: usize) -> Rc<Self> {
        Rc::new(Self {
            connections: RefCell::default(),
            requesting_count: Rc::default(),
            limit: limit.min(memory_limit / MEMORY_LIMIT_PER_CONNECTION).max(1),
            keep_alive_limit: descriptors / KEEP_ALIVE_DIVISOR,
            request_memory: MemoryBudget::new(memory_limit / REQUEST_MEMORY_DIVISOR),
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
    /// returns its rank, or `None` if no connection was closed.
    pub fn evict_one(&self) -> Option<EvictionRank> {
        let (connections, now) = (self.connections.borrow(), Instant::now());
        let rank = |connection: &Rc<DownstreamConnection>| {
            Some((connection.eviction_rank(now)?, connection.last_received_at()))
        };
        let ranked = connections.iter().filter_map(|connection| Some((rank(connection)?, connection)));
        let ((rank, _), connection) = ranked.min_by_key(|(rank, _)| *rank)?;
        // Data may have been received that the event loop has not read yet. The kernel is only queried for the chosen
        // socket.
        let awaits_data = matches!(connection.stage(), ConnectionStage::Waiting | ConnectionStage::Receiving);
        if awaits_data && connection.stream.unread() == UnreadState::Data {
            return None;
        }
        connection.close_now();
        Some(rank)
    }

    /// Returns an empty reservation of memory for requests.
    pub fn request_reservation(&self) -> Reservation {
        self.request_memory.reservation()
    }

    /// Reserves memory for the request of a connection. While there is not enough, evicts connections whose clients have
    /// stopped in the middle of a request, and waits. Meanwhile it observes when the rest of the request arrives.
    pub async fn reserve_request_memory(
        &self,
        size: usize,
        connection: &DownstreamConnection,
    ) -> Reservation {
        let mut reservation = self.request_reservation();
        while !reservation.try_grow_to(size) {
            connection.stream.observe_arrival();
            self.evict_stalled_request();
            let _ = timeout(EVICTION_CHECK_INTERVAL, self.request_memory.released()).await;
        }
        reservation
    }

    /// Closes the connection that has been stalled for the longest time in the middle of a request for which memory is
    /// reserved.
    fn evict_stalled_request(&self) {
        let (connections, now) = (self.connections.borrow(), Instant::now());
        let stalled = connections
            .iter()
            .filter_map(|connection| Some((connection.memory_stalled_since(now)?, connection)));
        if let Some((_, connection)) = stalled.min_by_key(|(since, _)| *since)
            && connection.stream.unread() != UnreadState::Data
        {
            connection.close_now();
        }
    }

    /// Whether connections with requests take so many descriptors that connections are closed after their next
    /// response.
    pub fn disables_keep_alive(&self) -> bool {
        self.requesting_count.get() >= self.keep_alive_limit
    }
}
