//! Lookup tables that admission uses for each request. Each revision of the configuration has its own.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hyper::Version;
use hyper::header::{HeaderName, HeaderValue};
use pumicehead_config::model::{Config, Idempotency, Protocol};
use pumicehead_config::route_table::RouteTable;
use pumicehead_policy::TenantId;
use pumicehead_policy::tenant_ids::{IdsByName, TenantIds};
use pumicehead_resources::Revision;

use crate::net::header_fields;

/// The routes of one revision, and the properties of their classes and pools that requests need. Immutable and `Send`, as it
/// is built outside the event loop thread.
pub struct RequestTable {
    revision: Revision,
    routes: Arc<RouteTable>,
    /// For each route, the index of its target in `targets`.
    target_indices: Box<[u32]>,
    targets: Box<[RouteTarget]>,
    /// Tenant ids, by the index of the tenant in the configuration.
    tenants: Box<[Option<TenantId>]>,
    /// Ids of the tenants that request headers may name.
    tenants_by_name: Arc<IdsByName>,
    /// This node's `Via` entry for HTTP/1.0 messages.
    via_http_1_0: Option<HeaderValue>,
    /// This node's `Via` entry for HTTP/1.1 messages.
    via_http_1_1: Option<HeaderValue>,
}

/// A combination of pool and service class, with the properties that all its routes have in common.
pub struct RouteTarget {
    /// Index of the pool in the configuration.
    pub pool: usize,
    /// Index of the class in the pool's settings.
    pub class: usize,
    /// Deadline of the class.
    pub deadline: Duration,
    /// Header with the idempotency key, if the class requires one.
    pub idempotency_key_header: Option<HeaderName>,
    /// Whether the endpoints get the path decoded, in which case an encoded slash would become a separator.
    pub decodes_path: bool,
}

impl RouteTarget {
    /// Creates a target. `pool_classes` are the names of the pool's classes, in the order of its settings.
    fn new(config: &Config, class: usize, pool: usize, pool_classes: &[String]) -> Self {
        let class = &config.classes[class];
        let idempotency_key_header = match &class.settings.idempotency {
            Idempotency::IdempotencyKey { header, .. } => HeaderName::from_bytes(header.as_bytes()).ok(),
            Idempotency::Idempotent | Idempotency::NotIdempotent => None,
        };
        Self {
            pool,
            // Always found: the classes of a pool include those of all its routes.
            class: pool_classes.iter().position(|name| *name == class.name).unwrap_or_default(),
            deadline: Duration::from_nanos(class.settings.deadline),
            idempotency_key_header,
            decodes_path: config.pools[pool].settings.protocol == Protocol::FastCgi,
        }
    }
}

impl RequestTable {
    /// Builds the table of a configuration. `pool_classes` holds, for each pool, the names of its classes in the order of its
    /// settings.
    pub fn new(revision: Revision, config: &Config, pool_classes: &[&[String]], tenants: &TenantIds) -> Self {
        let mut targets = Vec::new();
        let mut indices: HashMap<(usize, usize), u32> = HashMap::new();
        let target_indices = config.routes.iter().map(|route| {
            let (class, pool) = (route.class, route.pool);
            *indices.entry((class, pool)).or_insert_with(|| {
                targets.push(RouteTarget::new(config, class, pool, pool_classes[pool]));
                targets.len() as u32 - 1
            })
        });
        Self {
            revision,
            target_indices: target_indices.collect(),
            targets: targets.into(),
            routes: Arc::new(RouteTable::new(&config.routes)),
            tenants: config.tenants.iter().map(|tenant| tenants.get(&tenant.name)).collect(),
            tenants_by_name: tenants.by_name().clone(),
            via_http_1_0: header_fields::via(Version::HTTP_10, &config.node.name),
            via_http_1_1: header_fields::via(Version::HTTP_11, &config.node.name),
        }
    }

    /// Returns the revision that the table belongs to.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    pub fn routes(&self) -> &Arc<RouteTable> {
        &self.routes
    }

    /// Returns the target of the route at this index.
    pub fn target(&self, route: usize) -> &RouteTarget {
        &self.targets[self.target_indices[route] as usize]
    }

    /// Returns the id of the tenant at this index of the configuration.
    pub fn tenant(&self, index: usize) -> Option<TenantId> {
        self.tenants[index]
    }

    /// Returns the id of the tenant with this name.
    pub fn tenant_by_name(&self, name: &str) -> Option<TenantId> {
        self.tenants_by_name.get(name).copied()
    }

    /// Returns this node's `Via` entry for messages of an HTTP version.
    pub fn via(&self, version: Version) -> Option<HeaderValue> {
        if version == Version::HTTP_10 { self.via_http_1_0.clone() } else { self.via_http_1_1.clone() }
    }
}
