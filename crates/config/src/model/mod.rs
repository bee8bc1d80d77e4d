//! A configuration as checked values, each with the spans at which it is written.

mod policy_settings;
mod spans;

use std::net::SocketAddr;

use pumicehead_policy::Discovery;
pub use pumicehead_resources::{
    Address, ClassSettings, Cluster, Idempotency, KeySource, Limits, Observability, PoolSettings, Protocol,
};
use pumicehead_route::{Matcher, Route as Pattern};

pub use spans::{EntrySpans, SettingSpans, Spanned};

/// A node's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The node among others.
    pub node: Node,
    /// Addresses on which the node accepts connections; at least one.
    pub listeners: Vec<Listener>,
    /// Pools of endpoints; at least one.
    pub pools: Vec<Pool>,
    /// Classes of requests; at least one.
    pub classes: Vec<Class>,
    /// Tenants, possibly none.
    pub tenants: Vec<Tenant>,
    /// Routes in order: the first that matches a request is taken. At least one.
    pub routes: Vec<Route>,
    /// Limits of the node.
    pub limits: Spanned<Limits>,
    /// Logging, recording and the admin listener.
    pub observability: Spanned<Observability>,
    /// The cluster that the node is a member of, if any.
    pub cluster: Option<Spanned<Cluster>>,
}

impl Config {
    /// Compiles the routes.
    #[must_use]
    pub fn matcher(&self) -> Matcher {
        Matcher::new(self.routes.iter().map(|route| &route.pattern))
    }
}

/// The node among others.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Name of the node, in logs and in `Via`.
    pub name: String,
    /// Names of all zones; a single one without a name where none are written.
    pub zones: Vec<String>,
    /// Index of the node's own zone.
    pub zone: usize,
    /// How many nodes send to the same endpoints.
    pub node_count: u32,
    /// Index of this node among them, from 0.
    pub node_index: u32,
    /// Where it is written.
    pub spans: EntrySpans,
}

/// An address on which the node accepts connections of clients.
#[derive(Clone, Debug, PartialEq)]
pub struct Listener {
    /// Name of the listener.
    pub name: String,
    /// Address that it is bound to; port 0 is any free port.
    pub address: SocketAddr,
    /// Protocol of its clients.
    pub protocol: Protocol,
    /// Where it is written.
    pub spans: EntrySpans,
}

/// Endpoints that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Name of the pool.
    pub name: String,
    /// Its endpoints.
    pub endpoints: PoolEndpoints,
    /// All other settings.
    pub settings: PoolSettings,
    /// Where it is written.
    pub spans: EntrySpans,
}

/// The endpoints of a pool, or where they are listed.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolEndpoints {
    /// In the configuration.
    Static(Vec<Endpoint>),
    /// By a discovery service.
    Discovered {
        /// Address of the service.
        address: SocketAddr,
        /// How updates arrive.
        mode: Discovery,
    },
}

impl PoolEndpoints {
    /// The endpoints that the configuration lists.
    #[must_use]
    pub fn listed(&self) -> &[Endpoint] {
        match self {
            Self::Static(endpoints) => endpoints,
            Self::Discovered { .. } => &[],
        }
    }
}

/// An endpoint that the configuration lists.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub name: String,
    /// Its address.
    pub address: Address,
    /// Index of its zone among the node's.
    pub zone: usize,
    /// Its capacity relative to that of others.
    pub weight: f64,
    /// Group of endpoints that know each other's idempotency keys.
    pub cell: u16,
    /// Where it is written.
    pub spans: EntrySpans,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// Its settings.
    pub settings: ClassSettings,
    /// Where it is written.
    pub spans: EntrySpans,
}

/// A tenant, whose requests count together against its share.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: String,
    /// Fraction of the capacity, 0 to 1.
    pub share: f64,
    /// Requests a second, over all nodes, that are always within its share.
    pub allowance_per_s: f64,
    /// Where it is written.
    pub spans: EntrySpans,
}

/// How the tenant of a request is found; a fixed one by its index.
pub type TenantSource = pumicehead_resources::TenantSource<usize>;

/// Which requests go to which pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// The requests that match.
    pub pattern: Pattern,
    /// Index of their class.
    pub class: usize,
    /// Index of their pool.
    pub pool: usize,
    /// Their tenant.
    pub tenant: TenantSource,
    /// Their key.
    pub key: KeySource,
    /// Where it is written.
    pub spans: EntrySpans,
}
