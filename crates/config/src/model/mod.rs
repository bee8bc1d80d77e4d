//! A configuration as checked values, with the spans of its entries.

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
    /// The identity of the node.
    pub node: Node,
    /// Addresses on which the node accepts connections; at least one.
    pub listeners: Vec<Listener>,
    /// Pools of endpoints; at least one.
    pub pools: Vec<Pool>,
    /// Classes of requests; at least one.
    pub classes: Vec<Class>,
    /// Tenants, possibly none.
    pub tenants: Vec<Tenant>,
    /// Routes in the order in which they are matched; at least one.
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

/// The identity of the node and its position among other nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Name of the node, in logs and in `Via`.
    pub name: String,
    /// Names of all zones; a single one with an empty name if none are configured.
    pub zones: Vec<String>,
    /// Index of the node's own zone.
    pub zone: usize,
    /// Number of nodes that send to the same endpoints.
    pub node_count: u32,
    /// Index of this node among them, from 0.
    pub node_index: u32,
    /// Its spans in the files.
    pub spans: EntrySpans,
}

/// An address on which the node accepts connections of clients.
#[derive(Clone, Debug, PartialEq)]
pub struct Listener {
    /// Name of the listener.
    pub name: String,
    /// Address that it is bound to; port 0 stands for any free port.
    pub address: SocketAddr,
    /// Protocol of its clients.
    pub protocol: Protocol,
    /// Its spans in the files.
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
    /// Its spans in the files.
    pub spans: EntrySpans,
}

/// The endpoints of a pool, or the source that lists them.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolEndpoints {
    /// Listed in the configuration.
    Static(Vec<Endpoint>),
    /// Listed by a discovery service.
    Discovered {
        /// Address of the service.
        address: SocketAddr,
        /// How updates arrive.
        mode: Discovery,
    },
}

impl PoolEndpoints {
    /// The endpoints that are listed in the configuration.
    #[must_use]
    pub fn listed(&self) -> &[Endpoint] {
        match self {
            Self::Static(endpoints) => endpoints,
            Self::Discovered { .. } => &[],
        }
    }
}

/// An endpoint that is listed in the configuration.
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
    /// Number of its group of endpoints that know each other's idempotency keys.
    pub cell: u16,
    /// Its spans in the files.
    pub spans: EntrySpans,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// Its settings.
    pub settings: ClassSettings,
    /// Its spans in the files.
    pub spans: EntrySpans,
}

/// A tenant. Its requests are counted together against its share.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: String,
    /// Fraction of the capacity, 0 to 1.
    pub share: f64,
    /// Requests per second, over all nodes, that always count as within its share.
    pub allowance_per_s: f64,
    /// Its spans in the files.
    pub spans: EntrySpans,
}

/// How the tenant of a request is determined; a fixed tenant is given by its index.
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
    /// How their tenant is determined.
    pub tenant: TenantSource,
    /// Where their key is taken from.
    pub key: KeySource,
    /// Its spans in the files.
    pub spans: EntrySpans,
}
