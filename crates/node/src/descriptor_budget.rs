//! Division of a node's file descriptors between client connections and connections to backends.

use crate::net::downstream::OVERFLOW_CONNECTIONS;

/// Descriptors reserved for the process itself: standard streams, event loop, discovery, signals, and the first listener.
const RESERVED_DESCRIPTORS: usize = 24;
/// Tenths of the remaining descriptors for client connections. Each client connection has at most one request, and each
/// request has one or two attempts in flight.
const DOWNSTREAM_TENTHS: usize = 6;
/// Tenths of the remaining descriptors for connections to backends.
const UPSTREAM_TENTHS: usize = 10 - DOWNSTREAM_TENTHS;

/// Numbers of file descriptors available for connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// For client connections, not counting those over the limit that are accepted only to be rejected.
    pub downstream: usize,
    /// For connections to backends.
    pub upstream: usize,
}

impl DescriptorBudget {
    /// Divides `descriptors`, which must be at least 128. `listeners` is the number of descriptors for listeners and other
    /// sockets; the first of them is part of the reserve.
    pub fn new(descriptors: usize, listeners: usize) -> Self {
        let available = descriptors.saturating_sub(RESERVED_DESCRIPTORS + listeners.saturating_sub(1));
        Self {
            downstream: (available * DOWNSTREAM_TENTHS / 10).saturating_sub(OVERFLOW_CONNECTIONS).max(1),
            upstream: (available * UPSTREAM_TENTHS / 10).max(1),
        }
    }
}
