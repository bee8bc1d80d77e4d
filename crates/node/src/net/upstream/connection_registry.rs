//! The node's limit on connections to endpoints, shared by all pools and protocols, and its idle connections.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

/// Fraction of an endpoint's idle timeout after which this node closes an idle connection. A request that is sent
/// while the endpoint closes the connection would end as a reset.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;
/// Minimum time between two sweeps. The event loop of each pool requests a sweep every second, and each sweep visits
/// the connections of all pools.
const MIN_SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Returns how long this node keeps an idle connection to an endpoint that closes it after `server_idle_timeout`.
pub fn max_idle_time(server_idle_timeout: Duration) -> Duration {
    server_idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION)
}

/// Counts as one connection to an endpoint until dropped.
pub struct ConnectionPermit(Rc<Cell<usize>>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The idle connections of an endpoint.
pub trait IdleConnections {
    /// Whether the endpoint is registered. Only [`ConnectionRegistry`] changes this flag.
    fn registered(&self) -> &Cell<bool>;

    /// Returns since when the longest idle connection has been idle, or `None` if there is no idle connection.
    fn oldest_idle_since(&self) -> Option<Instant>;

    /// Closes the longest idle connection.
    fn close_oldest(&self);

    /// Closes connections that have been idle for too long or were closed by the endpoint; returns whether any
    /// connection is left.
    fn sweep(&self, now: Instant) -> bool;
}

/// Registry of the connections of all pools.
pub struct ConnectionRegistry {
    limit: usize,
    open_count: Rc<Cell<usize>>,
    /// Endpoints that may have idle connections.
    idle: RefCell<Vec<Rc<dyn IdleConnections>>>,
    last_sweep: Cell<Option<Instant>>,
}

impl ConnectionRegistry {
    /// Returns a registry that allows at most `limit` connections.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self {
            limit,
            open_count: Rc::default(),
            idle: RefCell::default(),
            last_sweep: Cell::default(),
        })
    }

    /// Returns a permit for one more connection. At the limit, closes the longest idle connection, or returns `None`
    /// if there is no idle connection.
    pub fn acquire(&self) -> Option<ConnectionPermit> {
        if self.open_count.get() >= self.limit {
            let endpoints = self.idle.borrow();
            let idle =
                endpoints.iter().filter_map(|endpoint| Some((endpoint.oldest_idle_since()?, endpoint)));
            idle.min_by_key(|(since, _)| *since)?.1.close_oldest();
        }
        self.open_count.set(self.open_count.get() + 1);
        Some(ConnectionPermit(self.open_count.clone()))
    }

    /// Registers an endpoint that has idle connections, unless it is already registered.
    pub fn register<T: IdleConnections + 'static>(&self, endpoint: &Rc<T>) {
        // The flag avoids a search through a thousand endpoints after every response.
        if !endpoint.registered().replace(true) {
            self.idle.borrow_mut().push(endpoint.clone());
        }
    }

    /// Closes connections that have been idle for too long, and unregisters endpoints that have no connections left.
    /// Does nothing within [`MIN_SWEEP_INTERVAL`] of the last sweep.
    pub fn sweep(&self) {
        let now = Instant::now();
        if self.last_sweep.get().is_some_and(|last| now < last + MIN_SWEEP_INTERVAL) {
            return;
        }
        self.last_sweep.set(Some(now));
        self.idle.borrow_mut().retain(|endpoint| {
            let has_idle = endpoint.sweep(now);
            endpoint.registered().set(has_idle);
            has_idle
        });
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/connection_registry.rs"]
mod tests;
