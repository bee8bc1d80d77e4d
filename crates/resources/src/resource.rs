//! The kinds of resources. Each is known by its name, and names others by theirs.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use pumicehead_policy::{DedupScope, Discovery, Nanos};
use pumicehead_route::Route as Pattern;

/// A resource's name. Clones share the text.
pub type Name = Arc<str>;

/// What is spoken on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1.
    Http,
    /// FastCGI 1.0.
    FastCgi,
}

/// Where a backend listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Address {
    /// Over TCP.
    Tcp(SocketAddr),
    /// On a socket of this machine.
    Unix(PathBuf),
}

/// Where clients connect.
#[derive(Clone, Debug, PartialEq)]
pub struct Listener {
    /// Its name.
    pub name: Name,
    /// Its address.
    pub address: SocketAddr,
    /// What clients speak.
    pub protocol: Protocol,
}

/// Where a pool's backends come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoints {
    /// They are resources themselves.
    Listed,
    /// A service at this address lists them.
    Discovered(SocketAddr, Discovery),
}

/// Backends that do the same work.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Its name.
    pub name: Name,
    /// Where its backends come from.
    pub endpoints: Endpoints,
    /// What they speak.
    pub protocol: Protocol,
    /// The part of paths that names a FastCGI application.
    pub script: String,
    /// The folder of a FastCGI application's files.
    pub root: String,
    /// A fresh backend is warm after this span.
    pub warm_up: Nanos,
    /// Share of its capacity that a fresh backend has at least.
    pub cold_from: f64,
    /// Multiple of its present capacity that overloads a fresh backend ...
    pub tips_at: f64,
    /// ... when it lasts so long.
    pub tips_within: Nanos,
    /// A connection that is not up by then has failed.
    pub connect_timeout: Nanos,
    /// Backends close a connection that has been idle for this long.
    pub idle: Nanos,
    /// Attempts that one request may make.
    pub attempts: u32,
    /// Whether a second copy of a repeatable request may go out while the first is.
    pub hedge: bool,
    /// What an attempt that crosses zones costs, as a share of a request.
    pub crossing: f64,
}

/// A server of a pool. Its name is unique within its pool: one that moves to another pool is removed there and set here.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// Its pool.
    pub pool: Name,
    /// Its name.
    pub name: Name,
    /// Its address.
    pub address: Address,
    /// Its zone.
    pub zone: Name,
    /// Its weight among others.
    pub weight: f64,
    /// A small group of backends that know each other's idempotency keys.
    pub cell: u16,
}

/// What repeats of a request may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Repeats {
    /// Nothing.
    Safe,
    /// Backends discard them.
    Keyed {
        /// The header that holds the key, in lower case.
        header: String,
        /// Which backends do.
        group: DedupScope,
        /// For how long.
        window: Nanos,
    },
    /// They may take effect again.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: Name,
    /// Answers within this span earn the full worth.
    pub aim: Nanos,
    /// How long a client waits.
    pub deadline: Nanos,
    /// Worth of one request.
    pub worth: f64,
    /// Share of the worth that an answer after the aim keeps.
    pub late_worth: f64,
    /// What repeats may do.
    pub repeats: Repeats,
    /// Requests with one key run one at a time, in order.
    pub ordered: bool,
}

/// Whose requests count together.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: Name,
    /// Its share of the service.
    pub share: f64,
    /// Requests a second over all nodes that are within its share.
    pub rate: f64,
}

/// How a request's tenant is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TenantSource {
    /// Not at all.
    None,
    /// It is this one.
    Fixed(Name),
    /// A header names it.
    Header(String),
}

/// What a request is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeySource {
    /// Not known.
    None,
    /// A segment of the path, from 0.
    Segment(usize),
    /// The last segment.
    Last,
    /// A header, in lower case.
    Header(String),
}

/// Where requests go. Routes have an order: the first that fits a request wins.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Name,
    /// What it wants of requests.
    pub pattern: Pattern,
    /// Their class.
    pub class: Name,
    /// Their pool.
    pub pool: Name,
    /// Their tenant.
    pub tenant: TenantSource,
    /// Their key.
    pub key: KeySource,
}

/// Bounds of the node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Limits {
    /// Memory for bodies and connections, in bytes.
    pub memory: u64,
    /// Descriptors that it may hold.
    pub descriptors: u64,
    /// Requests without an answer that it may hold.
    pub held: u64,
    /// Longest body of a request, in bytes.
    pub request_body: u64,
    /// Longest body of an answer, in bytes.
    pub answer_body: u64,
    /// Longest that a client may take to send a request.
    pub request_time: Nanos,
    /// A client's connection closes when it has been idle for this long.
    pub idle: Nanos,
    /// Longest advice when to come back.
    pub retry_after: Nanos,
}

/// What the node tells of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Observe {
    /// Where staff call, if anywhere.
    pub calls: Option<SocketAddr>,
    /// Levels of the log.
    pub log: String,
    /// Its lines are JSON.
    pub json: bool,
    /// Memory of the recorder, in bytes.
    pub recorder: u64,
    /// Where recordings are put.
    pub recordings: PathBuf,
}

/// The nodes that know of each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Its name.
    pub name: String,
    /// Where this node listens.
    pub address: SocketAddr,
    /// Where others reach it, if not there.
    pub advertise: Option<SocketAddr>,
    /// Whom it asks first.
    pub seeds: Vec<SocketAddr>,
    /// Where this node reaches others, by name, in place of what they advertise.
    pub reach: Vec<(String, SocketAddr)>,
}

/// The settings of the node itself; there is one of these.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Node {
    /// Its name.
    pub name: Name,
    /// All zones; their order gives them their numbers.
    pub zones: Vec<Name>,
    /// Its own zone.
    pub zone: Name,
    /// How many nodes send to the same backends.
    pub nodes: u32,
    /// Its number among them, from 0.
    pub number: u32,
    /// Bounds.
    pub limits: Limits,
    /// Log, recorder and calls.
    pub observe: Observe,
    /// The nodes that it belongs to, where it knows of others.
    pub fleet: Option<Fleet>,
}

/// A kind of resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// [`TestNode`].
    Node,
    /// [`Listener`].
    Listener,
    /// [`Pool`].
    Pool,
    /// [`Backend`].
    Backend,
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
            Self::Backend => "backend",
            Self::Class => "class",
            Self::Tenant => "tenant",
            Self::Route => "route",
        })
    }
}

/// What a resource is known by for as long as it exists.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ResourceId {
    /// The node.
    Node,
    /// A listener.
    Listener(Name),
    /// A pool.
    Pool(Name),
    /// A backend.
    Backend {
        /// Its pool.
        pool: Name,
        /// Its name there.
        name: Name,
    },
    /// A class.
    Class(Name),
    /// A tenant.
    Tenant(Name),
    /// A route.
    Route(Name),
}

impl ResourceId {
    /// Its kind.
    #[must_use]
    pub fn kind(&self) -> Kind {
        match self {
            Self::Node => Kind::Node,
            Self::Listener(_) => Kind::Listener,
            Self::Pool(_) => Kind::Pool,
            Self::Backend { .. } => Kind::Backend,
            Self::Class(_) => Kind::Class,
            Self::Tenant(_) => Kind::Tenant,
            Self::Route(_) => Kind::Route,
        }
    }
}

impl fmt::Display for ResourceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Node => f.write_str("node"),
            Self::Backend { pool, name } => write!(f, "backend {name} of pool {pool}"),
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
    /// The node's own settings.
    Node(Arc<Node>),
    /// A listener.
    Listener(Arc<Listener>),
    /// A pool.
    Pool(Arc<Pool>),
    /// A backend.
    Backend(Arc<Backend>),
    /// A class.
    Class(Arc<Class>),
    /// A tenant.
    Tenant(Arc<Tenant>),
    /// A route.
    Route(Arc<Route>),
}

impl Resource {
    /// What it is known by.
    #[must_use]
    pub fn id(&self) -> ResourceId {
        match self {
            Self::Node(_) => ResourceId::Node,
            Self::Listener(one) => ResourceId::Listener(one.name.clone()),
            Self::Pool(one) => ResourceId::Pool(one.name.clone()),
            Self::Backend(one) => ResourceId::Backend { pool: one.pool.clone(), name: one.name.clone() },
            Self::Class(one) => ResourceId::Class(one.name.clone()),
            Self::Tenant(one) => ResourceId::Tenant(one.name.clone()),
            Self::Route(one) => ResourceId::Route(one.name.clone()),
        }
    }
}
