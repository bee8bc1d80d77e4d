//! How a node's descriptors are dealt out.

use crate::net::downstream::OVERFLOW_CONNECTIONS;

/// Descriptors for the program itself: standard streams, the event loop, discovery, signals, the first listener.
const OWN: usize = 24;

/// Descriptors for connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Places {
    /// Of clients, without those that are told that there is no place.
    pub clients: usize,
    /// Of servers.
    pub servers: usize,
}

impl Places {
    /// Of so many descriptors, at least 128, with so many listeners. Clients get the larger part: each holds one
    /// request, which has one attempt out or two.
    pub fn of(descriptors: usize, listeners: usize) -> Self {
        let rest = descriptors.saturating_sub(OWN + listeners.saturating_sub(1));
        Self {
            clients: (rest * 6 / 10).saturating_sub(OVERFLOW_CONNECTIONS).max(1),
            servers: (rest * 4 / 10).max(1),
        }
    }
}
