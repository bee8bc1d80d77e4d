//! Routes, and how the tenant and the key of a request are determined.

use pumicehead_route::Route as Pattern;

use crate::name::Name;

/// How the tenant of a request is determined. `T` identifies a tenant, by name or by index.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum TenantSource<T = Name> {
    /// Requests have no tenant.
    None,
    /// All requests of the route have this tenant.
    Fixed(T),
    /// The value of this header names the tenant. The header name is in lower case.
    Header(String),
}

/// Where the key of a request is taken from.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum KeySource {
    /// Requests have no key.
    None,
    /// The segment of the path with this index, from 0.
    Segment(usize),
    /// The last segment of the path.
    Last,
    /// The value of this header. The header name is in lower case.
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
    /// How their tenant is determined.
    pub tenant: TenantSource,
    /// Where their key is taken from.
    pub key: KeySource,
}
