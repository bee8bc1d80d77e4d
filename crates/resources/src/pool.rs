//! Pools and their endpoints.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use pumicehead_policy::{Discovery, Nanos};

use crate::name::Name;

/// An application protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1.
    Http,
    /// FastCGI 1.0.
    FastCgi,
}

/// Address of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Address {
    /// A TCP address.
    Tcp(SocketAddr),
    /// The path of a Unix domain socket.
    Unix(PathBuf),
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Tcp(address) => address.fmt(f),
            Self::Unix(path) => write!(f, "unix:{}", path.display()),
        }
    }
}

/// Where the endpoints of a pool are listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointSource {
    /// They are resources of the configuration.
    Static,
    /// A discovery service lists them.
    Discovered {
        /// Address of the service.
        address: SocketAddr,
        /// How updates arrive.
        mode: Discovery,
    },
}

/// Settings of a pool that don't refer to other resources.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSettings {
    /// Protocol of the endpoints.
    pub protocol: Protocol,
    /// `SCRIPT_NAME` of a FastCGI application: a prefix of paths without a trailing slash, or empty.
    pub script_name: String,
    /// `DOCUMENT_ROOT` of a FastCGI application; empty if it has none.
    pub document_root: String,
    /// Slow start: time from the start of an endpoint until it has its full capacity, in nanoseconds.
    pub warmup_duration: Nanos,
    /// Slow start: fraction of its capacity that an endpoint has when it starts, 0 to 1.
    pub warmup_initial_fraction: f64,
    /// Slow start: load, as a multiple of its current capacity, under which an endpoint collapses if the load
    /// lasts for `overload_duration`.
    pub overload_multiple: f64,
    /// Slow start: time for which an endpoint must be loaded `overload_multiple` times its current capacity
    /// until it collapses, in nanoseconds.
    pub overload_duration: Nanos,
    /// Time after which an attempt to connect has failed, in nanoseconds.
    pub connect_timeout: Nanos,
    /// Time after which endpoints close an idle connection, in nanoseconds.
    pub idle_timeout: Nanos,
    /// Maximum number of attempts for one request, including the first.
    pub max_attempts: u32,
    /// Whether two attempts of a request that may be sent more than once may be in flight at the same time
    /// (hedging).
    pub concurrent_attempts: bool,
    /// Cost of an attempt to another zone, as a fraction of a request.
    pub cross_zone_cost: f64,
}

/// Endpoints that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Name of the pool.
    pub name: Name,
    /// Where its endpoints are listed.
    pub endpoint_source: EndpointSource,
    /// All other settings.
    pub settings: PoolSettings,
}

/// An endpoint of a pool. Its name is unique within the pool, so a move to another pool is a removal and an
/// addition.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Name of its pool.
    pub pool: Name,
    /// Its name.
    pub name: Name,
    /// Its address.
    pub address: Address,
    /// Its zone, one of the node's.
    pub zone: Name,
    /// Its capacity relative to that of others.
    pub weight: f64,
    /// Number of its group of endpoints that know each other's idempotency keys.
    pub cell: u16,
}
