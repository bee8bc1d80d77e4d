//! A node's configuration as tables of typed resources.
//!
//! A [`Snapshot`] is one state of the configuration: a table for each kind of resource, by name, the order of the
//! routes, and the settings of the node itself. A [`Delta`] is a list of typed [`Change`]s. [`Snapshot::apply`] takes a
//! delta whole or not at all, and [`Snapshot::difference`] finds the delta that leads from one state to another.
//! [`Snapshot::digest`] is the same for equal states, however they came about.
//!
//! Free of I/O, clocks and randomness. Where the states come from, a file or a network, is for the caller to say.

mod check;
mod delta;
mod digest;
mod order;
mod resource;
mod snapshot;

pub use check::Fault;
pub use delta::{ApplyError, Change, Delta};
pub use digest::Digest;
pub use resource::{
    Address, Backend, Class, Endpoints, Fleet, KeySource, Kind, Limits, Listener, Name, Node, Observe, Pool,
    Protocol, Repeats, Resource, ResourceId, Route, Tenant, TenantSource,
};
pub use snapshot::Snapshot;

/// Number of a configuration among those that a process had in force: it grows by one with each applied change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(pub u64);

impl Revision {
    /// The one after it.
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
