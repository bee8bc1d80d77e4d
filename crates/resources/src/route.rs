//! Routes, and how the tenant and the key of a request are found.

use pumicehead_route::Route as Pattern;

use crate::name::Name;

/// How the tenant of a request is found. `T` refers to a tenant, by its name or by its index.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum TenantSource<T = Name> {
    /// Requests have no tenant.
    None,
    /// All requests of the route have this one.
    Fixed(T),
    /// The value of this header names it; in lower case.
    Header(String),
}

/// Where the key of a request is found.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum KeySource {
    /// Requests have no key.
    None,
    /// A segment of the path, from 0.
    Segment(usize),
    /// The last segment of the path.
    Last,
    /// The value of this header; in lower case.
    Header(String),
}

/// Which requests go to which pool. Routes have an order: the first that matches a request is taken.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// The requests that match.
    pub pattern: Pattern,
    /// Name of their class.
    pub class: Name,
    /// Name of their pool.
    pub pool: Name,
    /// Their tenant.
    pub tenant: TenantSource,
    /// Their key.
    pub key: KeySource,
}
