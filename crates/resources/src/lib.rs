//! A node's configuration as tables of typed resources.
//!
//! A [`Snapshot`] is one state of the configuration: a table for each kind of resource, the order of the
//! routes, and the settings of the node itself. A [`Delta`] is a list of typed [`Change`]s.
//! [`Snapshot::apply`] applies a delta as a whole or not at all, and [`Snapshot::difference`] returns the
//! delta that turns one state into another. [`Snapshot::digest`] is equal for equal states, whatever changes
//! led to them.
//!
//! Free of I/O, clocks and randomness.

mod build;
mod class;
mod delta;
mod digest;
mod error;
mod name;
mod node;
mod pool;
mod resource;
mod route;
mod route_order;
mod snapshot;
mod validation;

pub use class::{Class, ClassSettings, Idempotency, Tenant};
pub use delta::{Change, Delta};
pub use digest::Digest;
pub use error::{ApplyError, ValidationError};
pub use name::Name;
pub use node::{Cluster, Limits, Listener, Node, Observability};
pub use pool::{Address, Endpoint, EndpointSource, Pool, PoolSettings, Protocol};
pub use resource::{Kind, Resource, ResourceId};
pub use route::{KeySource, Route, TenantSource};
pub use snapshot::Snapshot;

/// Sequence number of a configuration among those that a process has applied, from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(pub u64);

impl Revision {
    /// The next revision.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl std::fmt::Display for Revision {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}
