//! Lookup tables that admission uses for each request, one set for each revision of the configuration.

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

/// The routes of one revision and what requests need of their classes and pools. Immutable and `Send`: it is built off the
/// event loop's thread.
pub struct RequestTable {
    revision: Revision,
    routes: Arc<RouteTable>,
    /// For each route the index of its target.
    target_of: Box<[u32]>,
    targets: Box<[RouteTarget]>,
    /// Ids of the configuration's tenants, by their indices in it.
    tenants: Box<[Option<TenantId>]>,
    /// Ids of the tenants that headers may name.
    tenants_by_name: Arc<IdsByName>,
    /// This node's `Via` entry for messages of HTTP/1.0.
    via_http_1_0: Option<HeaderValue>,
    /// This node's `Via` entry for messages of HTTP/1.1.
    via_http_1_1: Option<HeaderValue>,
}

/// A class of requests at a pool: what all routes that lead there have in common.
pub struct RouteTarget {
    /// Index of the pool in the configuration.
    pub pool: usize,
    /// Index of the class in the pool's settings.
    pub class: usize,
    /// Deadline of the class.
    pub deadline: Duration,
    /// Header with the idempotency key, where the class requires one.
    pub idempotency_key_header: Option<HeaderName>,
    /// The endpoints get a decoded path, in which an encoded slash would become a separator.
    pub decodes_path: bool,
}

impl RouteTarget {
    /// `pool_classes` are the names of the pool's classes, in the order of its settings.
    fn new(config: &Config, class: usize, pool: usize, pool_classes: &[String]) -> Self {
        let class = &config.classes[class];
        let idempotency_key_header = match &class.settings.idempotency {
            Idempotency::IdempotencyKey { header, .. } => HeaderName::from_bytes(header.as_bytes()).ok(),
            Idempotency::Idempotent | Idempotency::NotIdempotent => None,
        };
        Self {
            pool,
            // The classes of a pool include those of all its routes.
            class: pool_classes.iter().position(|name| *name == class.name).unwrap_or_default(),
            deadline: Duration::from_nanos(class.settings.deadline),
            idempotency_key_header,
            decodes_path: config.pools[pool].settings.protocol == Protocol::FastCgi,
        }
    }
}

impl RequestTable {
    /// Table of a configuration. `pool_classes` has for each pool the names of its classes in the order of its settings.
    pub fn new(revision: Revision, config: &Config, pool_classes: &[&[String]], tenants: &TenantIds) -> Self {
        let mut targets = Vec::new();
        let mut indices: HashMap<(usize, usize), u32> = HashMap::new();
        let target_of = config.routes.iter().map(|route| {
            let (class, pool) = (route.class, route.pool);
            *indices.entry((class, pool)).or_insert_with(|| {
                targets.push(RouteTarget::new(config, class, pool, pool_classes[pool]));
                targets.len() as u32 - 1
            })
        });
        Self {
            revision,
            target_of: target_of.collect(),
            targets: targets.into(),
            routes: Arc::new(RouteTable::new(&config.routes)),
            tenants: config.tenants.iter().map(|tenant| tenants.get(&tenant.name)).collect(),
            tenants_by_name: tenants.by_name().clone(),
            via_http_1_0: header_fields::via(Version::HTTP_10, &config.node.name),
            via_http_1_1: header_fields::via(Version::HTTP_11, &config.node.name),
        }
    }

    /// The revision that the table belongs to.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The routes.
    pub fn routes(&self) -> &Arc<RouteTable> {
        &self.routes
    }

    /// Target of the route at this index.
    pub fn target(&self, route: usize) -> &RouteTarget {
        &self.targets[self.target_of[route] as usize]
    }

    /// Id of the tenant at this index of the configuration.
    pub fn tenant(&self, index: usize) -> Option<TenantId> {
        self.tenants[index]
    }

    /// Id of the tenant of this name.
    pub fn tenant_by_name(&self, name: &str) -> Option<TenantId> {
        self.tenants_by_name.get(name).copied()
    }

    /// This node's `Via` entry for messages of a version.
    pub fn via(&self, version: Version) -> Option<HeaderValue> {
        if version == Version::HTTP_10 { self.via_http_1_0.clone() } else { self.via_http_1_1.clone() }
    }
}
