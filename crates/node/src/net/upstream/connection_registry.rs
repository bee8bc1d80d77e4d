//! The node's limit of connections to endpoints, shared by all pools and protocols, and its idle connections.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

/// Share of an endpoint's idle timeout after which this node closes an idle connection: a request that meets the
/// endpoint's close would end as a reset.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;
/// Least time between two sweeps. The loop of each pool asks for one a second, and each sweep visits the connections of
/// all pools.
const MIN_SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Returns for how long this node keeps an idle connection, of an endpoint that closes it after `server_idle_timeout`.
pub fn max_idle_time(server_idle_timeout: Duration) -> Duration {
    server_idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION)
}

/// Counts as one connection to an endpoint.
pub struct ConnectionPermit(Rc<Cell<usize>>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The idle connections of an endpoint.
pub trait IdleConnections {
    /// Whether the endpoint is registered; [`ConnectionRegistry`] alone changes it.
    fn registered(&self) -> &Cell<bool>;

    /// Since when the connection that has been idle longest is idle; `None` where there is none.
    fn oldest_idle_since(&self) -> Option<Instant>;

    /// Closes the connection that has been idle longest.
    fn close_oldest(&self);

    /// Closes connections that have been idle for too long or were closed by the endpoint; returns whether any is left.
    fn sweep(&self, now: Instant) -> bool;
}

/// The connections of all pools.
pub struct ConnectionRegistry {
    limit: usize,
    open_count: Rc<Cell<usize>>,
    /// Endpoints with idle connections.
    idle: RefCell<Vec<Rc<dyn IdleConnections>>>,
    last_sweep: Cell<Option<Instant>>,
}

impl ConnectionRegistry {
    /// A registry of at most `limit` connections.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self {
            limit,
            open_count: Rc::default(),
            idle: RefCell::default(),
            last_sweep: Cell::default(),
        })
    }

    /// Returns a permit for one more connection. At the limit the connection that has been idle longest is closed; `None`
    /// where there is none.
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

    /// Registers an endpoint that has idle connections, unless it is registered.
    pub fn register<T: IdleConnections + 'static>(&self, endpoint: &Rc<T>) {
        // The flag spares a search among a thousand endpoints after every response.
        if !endpoint.registered().replace(true) {
            self.idle.borrow_mut().push(endpoint.clone());
        }
    }

    /// Closes connections that have been idle for too long, and forgets endpoints without idle connections. Does nothing
    /// within [`MIN_SWEEP_INTERVAL`] of the last sweep.
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
