//! Connections to servers of all pools and protocols: they share the node's descriptors.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

/// Idle connections close at this share of the time after which servers close them: one that closes while a
/// request is on its way there ends as a reset.
pub const IDLE_SHARE: f64 = 0.8;

/// Least time between two sweeps. The loop of each pool asks for one a second, and each looks at the idle connections of all
/// pools: 140 loops that did so in one turn held up requests for 0.2 s.
const LEAST_SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// One of the descriptors that servers may use.
pub struct ConnectionPermit(Rc<Cell<usize>>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A server's idle connections.
pub trait IdleConnections {
    /// Whether it is among the servers with idle connections; [`ConnectionRegistry`] alone changes it.
    fn registered(&self) -> &Cell<bool>;

    /// Since when the longest idle one is so; `None` where there is none.
    fn oldest_idle_since(&self) -> Option<Instant>;

    /// Closes that one.
    fn close_oldest(&self);

    /// Closes what has been idle for too long or has ended; tells whether any are left.
    fn sweep(&self, now: Instant) -> bool;
}

/// Connections of all pools.
pub struct ConnectionRegistry {
    places: usize,
    used: Rc<Cell<usize>>,
    /// Servers with idle connections.
    servers: RefCell<Vec<Rc<dyn IdleConnections>>>,
    last_sweep: Cell<Option<Instant>>,
}

impl ConnectionRegistry {
    /// At most so many.
    pub fn new(places: usize) -> Rc<Self> {
        Rc::new(Self {
            places,
            used: Rc::default(),
            servers: RefCell::default(),
            last_sweep: Cell::default(),
        })
    }

    /// A place for one more. Where there is none, the longest idle one makes way.
    pub fn acquire(&self) -> Option<ConnectionPermit> {
        if self.used.get() >= self.places {
            let servers = self.servers.borrow();
            let idle = servers.iter().filter_map(|server| Some((server.oldest_idle_since()?, server)));
            idle.min_by_key(|(since, _)| *since)?.1.close_oldest();
        }
        self.used.set(self.used.get() + 1);
        Some(ConnectionPermit(self.used.clone()))
    }

    /// A server has idle connections.
    pub fn register<T: IdleConnections + 'static>(&self, server: &Rc<T>) {
        // With every answer: a search among a thousand servers would cost more than the rest.
        if !server.registered().replace(true) {
            self.servers.borrow_mut().push(server.clone());
        }
    }

    /// Closes what has been idle for too long or has ended, and forgets servers without idle connections. Does nothing where
    /// that was done less than half a second ago.
    pub fn sweep(&self) {
        let now = Instant::now();
        if self.last_sweep.get().is_some_and(|last| now < last + LEAST_SWEEP_INTERVAL) {
            return;
        }
        self.last_sweep.set(Some(now));
        self.servers.borrow_mut().retain(|server| {
            let stays = server.sweep(now);
            server.registered().set(stays);
            stays
        });
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/connection_registry.rs"]
mod tests;
