//! A resource of any kind, and how it is identified.

use std::fmt;
use std::sync::Arc;

use crate::class::{Class, Tenant};
use crate::name::Name;
use crate::node::{Listener, Node};
use crate::pool::{Endpoint, Pool};
use crate::route::Route;

/// A kind of resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// [`Node`].
    Node,
    /// [`Listener`].
    Listener,
    /// [`Pool`].
    Pool,
    /// [`Endpoint`]; printed as `backend`.
    Endpoint,
    /// [`Class`].
    Class,
    /// [`Tenant`].
    Tenant,
    /// [`Route`].
    Route,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Node => "node",
            Self::Listener => "listener",
            Self::Pool => "pool",
            Self::Endpoint => "backend",
            Self::Class => "class",
            Self::Tenant => "tenant",
            Self::Route => "route",
        })
    }
}

/// Identifies a resource; it does not change while the resource exists.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ResourceId {
    /// The node itself.
    Node,
    /// A listener, by name.
    Listener(Name),
    /// A pool, by name.
    Pool(Name),
    /// An endpoint, by its name within its pool.
    Endpoint {
        /// The pool that it belongs to.
        pool: Name,
        /// Its name in the pool.
        name: Name,
    },
    /// A class, by name.
    Class(Name),
    /// A tenant, by name.
    Tenant(Name),
    /// A route, by name.
    Route(Name),
}

impl ResourceId {
    /// The kind of the resource.
    #[must_use]
    pub fn kind(&self) -> Kind {
        match self {
            Self::Node => Kind::Node,
            Self::Listener(_) => Kind::Listener,
            Self::Pool(_) => Kind::Pool,
            Self::Endpoint { .. } => Kind::Endpoint,
            Self::Class(_) => Kind::Class,
            Self::Tenant(_) => Kind::Tenant,
            Self::Route(_) => Kind::Route,
        }
    }
}

impl fmt::Display for ResourceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Node => write!(f, "{}", self.kind()),
            Self::Endpoint { pool, name } => write!(f, "{} {name} of pool {pool}", self.kind()),
            Self::Listener(name)
            | Self::Pool(name)
            | Self::Class(name)
            | Self::Tenant(name)
            | Self::Route(name) => write!(f, "{} {name}", self.kind()),
        }
    }
}

/// A resource of any kind. Clones share it.
#[derive(Clone, Debug, PartialEq)]
pub enum Resource {
    /// The settings of the node itself.
    Node(Arc<Node>),
    /// A listener.
    Listener(Arc<Listener>),
    /// A pool.
    Pool(Arc<Pool>),
    /// An endpoint of a pool.
    Endpoint(Arc<Endpoint>),
    /// A class of requests.
    Class(Arc<Class>),
    /// A tenant.
    Tenant(Arc<Tenant>),
    /// A route.
    Route(Arc<Route>),
}

impl Resource {
    /// The identity of the resource.
    #[must_use]
    pub fn id(&self) -> ResourceId {
        match self {
            Self::Node(_) => ResourceId::Node,
            Self::Listener(listener) => ResourceId::Listener(listener.name.clone()),
            Self::Pool(pool) => ResourceId::Pool(pool.name.clone()),
            Self::Endpoint(endpoint) => {
                ResourceId::Endpoint { pool: endpoint.pool.clone(), name: endpoint.name.clone() }
            }
            Self::Class(class) => ResourceId::Class(class.name.clone()),
            Self::Tenant(tenant) => ResourceId::Tenant(tenant.name.clone()),
            Self::Route(route) => ResourceId::Route(route.name.clone()),
        }
    }
}
