//! What a configuration means: checked values, each with its place.

use std::fmt;
use std::net::SocketAddr;
use std::ops::Index;
use std::path::PathBuf;

use pumicehead_policy::tenant_shares::TenantShares;
use pumicehead_policy::{
    Class as PolicyClass, DedupScope, Discovery, Idempotency, Nanos, Settings, Tenant as PolicyTenant, ZoneId,
};
use pumicehead_route::{Matcher, Route as Pattern};

use crate::span::Span;

/// A node's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The node.
    pub node: Node,
    /// Where clients connect; at least one.
    pub listeners: Vec<Listener>,
    /// Servers; at least one pool.
    pub pools: Vec<Pool>,
    /// Classes of requests; at least one.
    pub classes: Vec<Class>,
    /// Tenants, possibly none.
    pub tenants: Vec<Tenant>,
    /// Routes, the first that fits wins; at least one.
    pub routes: Vec<Route>,
    /// Bounds.
    pub limits: Limits,
    /// What the node tells of itself.
    pub observe: Observe,
    /// The nodes that it belongs to, where it knows of others.
    pub fleet: Option<Fleet>,
}

/// Places of an entry: of its name, and of each value that is written.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Places {
    /// Its name.
    pub name: Span,
    /// Values, by the names of their settings.
    pub values: ValuePlaces,
}

/// Places of values by the names of their settings: a sorted list, since an entry has a few and there may be
/// thousands of entries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ValuePlaces(Vec<(&'static str, Span)>);

impl ValuePlaces {
    /// The place of a value that is written.
    #[must_use]
    pub fn get(&self, setting: &str) -> Option<&Span> {
        let found = self.search(setting).ok()?;
        Some(&self.0[found].1)
    }

    /// Adds the place of a value; that of a setting's first value stays.
    pub fn insert_first(&mut self, setting: &'static str, span: Span) {
        if let Err(place) = self.search(setting) {
            self.0.insert(place, (setting, span));
        }
    }

    fn search(&self, setting: &str) -> Result<usize, usize> {
        self.0.binary_search_by(|(name, _)| (*name).cmp(setting))
    }
}

impl Index<&str> for ValuePlaces {
    type Output = Span;

    /// The place of a value that is known to be written.
    fn index(&self, setting: &str) -> &Span {
        self.get(setting).expect("the setting is written")
    }
}

/// The node among others.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Its name, in logs and in `Via`.
    pub name: String,
    /// All zones, by name; one without a name where none are written.
    pub zones: Vec<String>,
    /// Its own, among them.
    pub zone: usize,
    /// How many nodes send to the same servers.
    pub nodes: u32,
    /// Its number among them, from 0.
    pub number: u32,
    /// Places.
    pub at: Places,
}

/// What is spoken on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1.
    Http,
    /// FastCGI 1.0.
    FastCgi,
}

impl Protocol {
    /// As it is written.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Http => "http",
            Self::FastCgi => "fastcgi",
        }
    }
}

/// Where a server listens.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Address {
    /// Over TCP.
    Tcp(SocketAddr),
    /// On a socket of this machine.
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

/// Where clients connect.
#[derive(Clone, Debug, PartialEq)]
pub struct Listener {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// What clients speak.
    pub protocol: Protocol,
    /// Places.
    pub at: Places,
}

/// Servers that do the same work.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// Which servers.
    pub members: Members,
    /// What they speak.
    pub protocol: Protocol,
    /// The part of paths that names a FastCGI application; without a slash at its end, or empty.
    pub script: String,
    /// The folder of a FastCGI application's files; empty where there is none.
    pub root: String,
    /// A fresh server is warm after this span.
    pub warm_up: Nanos,
    /// Share of its capacity that a fresh server has at least.
    pub cold_from: f64,
    /// Multiple of its present capacity that pushes a cold server over ...
    pub tips_at: f64,
    /// ... when it lasts so long.
    pub tips_within: Nanos,
    /// A connection that is not up by then has failed.
    pub connect_timeout: Nanos,
    /// Servers close a connection that has been idle for this long.
    pub idle: Nanos,
    /// Attempts that one request may make.
    pub attempts: u32,
    /// Whether a second copy of what may be repeated may go out while the first is.
    pub hedge: bool,
    /// What an attempt that crosses zones costs, as a share of a request.
    pub crossing: f64,
    /// Places.
    pub at: Places,
}

/// Where a pool's servers come from.
#[derive(Clone, Debug, PartialEq)]
pub enum Members {
    /// From the file.
    Static(Vec<Server>),
    /// From a service that lists them.
    Discovery {
        /// Its address.
        address: SocketAddr,
        /// How the list arrives.
        mode: Discovery,
    },
}

/// A server that the file names.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: Address,
    /// Its zone, among the node's.
    pub zone: usize,
    /// Its weight among others.
    pub weight: f64,
    /// A small group of servers that know each other's idempotency keys.
    pub cell: u16,
    /// Places.
    pub at: Places,
}

/// What repeats of a request may do.
#[derive(Clone, Debug, PartialEq)]
pub enum Repeats {
    /// Nothing.
    Safe,
    /// Servers discard them.
    Keyed {
        /// The header that holds the key, in lower case.
        header: String,
        /// Which servers do.
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
    pub name: String,
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
    /// Places.
    pub at: Places,
}

/// Whose requests count together.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its share of the service.
    pub share: f64,
    /// Requests a second over all nodes that are within its share.
    pub rate: f64,
    /// Places.
    pub at: Places,
}

/// How a request's tenant is known.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum TenantOf {
    /// Not at all.
    None,
    /// It is this one, by its place.
    Fixed(usize),
    /// A header names it.
    Header(String),
}

/// What a request is about.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum KeyOf {
    /// Not known.
    None,
    /// A segment of the path, from 0.
    Segment(usize),
    /// The last segment.
    Last,
    /// A header, in lower case.
    Header(String),
}

/// Where requests go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// What it wants of them.
    pub pattern: Pattern,
    /// Their class, by its place.
    pub class: usize,
    /// Their pool, by its place.
    pub pool: usize,
    /// Their tenant.
    pub tenant: TenantOf,
    /// Their key.
    pub key: KeyOf,
    /// Places.
    pub at: Places,
}

/// Bounds of the node.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Memory for bodies and connections, in bytes.
    pub memory: u64,
    /// Descriptors that it may hold.
    pub descriptors: usize,
    /// Requests without an answer that it may hold.
    pub held: usize,
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
    /// Places.
    pub at: Places,
}

/// What a node tells of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Observe {
    /// Where staff call, if anywhere.
    pub calls: Option<SocketAddr>,
    /// What the log tells: levels, of all or of rooms.
    pub log: String,
    /// Its lines are JSON.
    pub json: bool,
    /// Memory of the recorder, in bytes; nothing is recorded where it is 0.
    pub recorder: u64,
    /// Where recordings are put on a signal or in a crash; nowhere where it is empty.
    pub recordings: PathBuf,
    /// Places.
    pub at: Places,
}

/// The nodes that know of each other.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Its name: nodes of another one are refused.
    pub name: String,
    /// Where this node listens, for datagrams and streams; port 0 is any free one.
    pub address: SocketAddr,
    /// Where others reach it, if not there.
    pub told_as: Option<SocketAddr>,
    /// Whom it asks first; none: it is the first itself.
    pub seeds: Vec<SocketAddr>,
    /// Where this node reaches others, by name, in place of what they tell.
    pub reach: Vec<(String, SocketAddr)>,
    /// Places.
    pub at: Places,
}

impl Config {
    /// The compiled routes.
    #[must_use]
    pub fn matcher(&self) -> Matcher {
        Matcher::new(self.routes.iter().map(|route| &route.pattern))
    }

    /// Classes that lead to a pool, in the order of the file: a pool's decisions know of no other.
    #[must_use]
    pub fn classes_of(&self, pool: usize) -> Vec<usize> {
        let mut used = vec![false; self.classes.len()];
        for route in self.routes.iter().filter(|route| route.pool == pool) {
            used[route.class] = true;
        }
        (0..used.len()).filter(|class| used[*class]).collect()
    }

    /// The tenants by name, as the decision module is told of them.
    pub fn policy_tenants(&self) -> impl Iterator<Item = (&str, PolicyTenant)> {
        let told = |tenant: &Tenant| PolicyTenant { share: tenant.share, allowance_per_s: tenant.rate };
        self.tenants.iter().map(move |tenant| (tenant.name.as_str(), told(tenant)))
    }

    /// What the decision module of a pool is told; its classes are those of [`classes_of`](Self::classes_of), and
    /// the ids of tenants are their positions.
    #[must_use]
    pub fn settings(&self, pool: usize) -> Settings {
        self.settings_with(pool, self.policy_tenants().map(|(_, tenant)| tenant).collect())
    }

    /// The same with the tenants by ids that the host has given them, which all pools may share.
    #[must_use]
    pub fn settings_with(&self, pool: usize, tenants: TenantShares) -> Settings {
        let classes = self.classes_of(pool).into_iter().map(|class| self.classes[class].policy()).collect();
        let pool = &self.pools[pool];
        Settings {
            node_index: self.node.number,
            node_count: self.node.nodes,
            zone: ZoneId(self.node.zone as u16),
            zone_count: self.node.zones.len() as u16,
            classes,
            tenants,
            over_share_weight: OVER_SHARE_WORTH,
            weight_by_work: false,
            discovery: match pool.members {
                Members::Static(_) => Discovery::Push,
                Members::Discovery { mode, .. } => mode,
            },
            tick: TICK,
            max_attempts: pool.attempts,
            concurrent_attempts: pool.hedge,
            cancellation: true,
            retry_after: true,
            max_retry_after: self.limits.retry_after,
            connections_have_cost: true,
            cross_zone_cost: pool.crossing,
            weight_is_capacity: true,
            load_reports: false,
            load_report_cost: 0.0,
            poll_interval: ASK_EVERY,
            drain_grace: DRAIN_GRACE,
            warmup_initial_fraction: pool.cold_from,
            warmup_duration: pool.warm_up,
            overload_multiple: pool.tips_at,
            overload_duration: pool.tips_within,
            rejection_may_execute: false,
            key_cooldown: 0,
            drain_idle_close: Some(HANG_UP),
        }
    }
}

/// What is left of the worth of a request beyond its tenant's share.
const OVER_SHARE_WORTH: f64 = 0.1;
/// The node handles events as they come; this is the least time that the module may count on between two.
const TICK: Nanos = 1_000_000;
/// A node without a watch asks this often.
const ASK_EVERY: Nanos = 10_000_000_000;
/// Sends to a draining server cease within this.
const DRAIN_GRACE: Nanos = 2_000_000_000;
/// Idle connections to a draining server are closed within this.
const HANG_UP: Nanos = 1_000_000_000;

impl Class {
    fn policy(&self) -> PolicyClass {
        PolicyClass {
            latency_objective: self.aim,
            objective_per_work: 0.0,
            deadline: self.deadline,
            priority_weight: self.worth,
            late_weight: self.late_worth,
            idempotency: match self.repeats {
                Repeats::Safe => Idempotency::Idempotent,
                Repeats::Keyed { group, window, .. } => Idempotency::IdempotencyKey { scope: group, window },
                Repeats::Unsafe => Idempotency::NotIdempotent,
            },
            ordered_by_key: self.ordered,
        }
    }
}
