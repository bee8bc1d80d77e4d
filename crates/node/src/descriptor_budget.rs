//! How a node's file descriptors are divided between connections.

use crate::net::downstream::OVERFLOW_CONNECTIONS;

/// Descriptors of the program itself: standard streams, event loop, discovery, signals, the first listener.
const RESERVED_DESCRIPTORS: usize = 24;
/// Parts of ten for clients' connections. Each has at most one request, which has one attempt in flight or two.
const DOWNSTREAM_TENTHS: usize = 6;
/// Parts of ten for connections to backends.
const UPSTREAM_TENTHS: usize = 10 - DOWNSTREAM_TENTHS;

/// Descriptors for connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Clients' connections, without those over the limit that are only rejected.
    pub downstream: usize,
    /// Connections to backends.
    pub upstream: usize,
}

impl DescriptorBudget {
    /// Divides `descriptors`, at least 128, of which `listeners` are for listeners and other sockets.
    pub fn new(descriptors: usize, listeners: usize) -> Self {
        let rest = descriptors.saturating_sub(RESERVED_DESCRIPTORS + listeners.saturating_sub(1));
        Self {
            downstream: (rest * DOWNSTREAM_TENTHS / 10).saturating_sub(OVERFLOW_CONNECTIONS).max(1),
            upstream: (rest * UPSTREAM_TENTHS / 10).max(1),
        }
    }
}
