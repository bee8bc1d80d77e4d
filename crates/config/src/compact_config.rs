//! The compact form of a configuration that a running node keeps to diff it with the next one.

use std::sync::Arc;

use crate::model::{Config, EntrySpans, Pool, PoolEndpoints, Tenant};
use crate::route_table::RouteTable;

/// A configuration with compact routes. Routes, endpoints and tenants, of which there may be thousands, have
/// no spans; the texts that spans refer to are not kept either.
#[derive(Debug)]
pub struct CompactConfig {
    /// Everything except for the routes.
    settings: Config,
    routes: Arc<RouteTable>,
}

impl CompactConfig {
    /// Builds the compact form from a configuration and the table of its routes, which may be shared with the
    /// request path.
    #[must_use]
    pub fn new(config: &Config, routes: Arc<RouteTable>) -> Self {
        debug_assert_eq!(
            config.routes.len(),
            routes.len(),
            "the route table must belong to the configuration"
        );
        let settings = Config {
            node: config.node.clone(),
            listeners: config.listeners.clone(),
            pools: config.pools.iter().map(without_endpoint_spans).collect(),
            classes: config.classes.clone(),
            tenants: config.tenants.iter().map(without_spans).collect(),
            routes: Vec::new(),
            limits: config.limits.clone(),
            observability: config.observability.clone(),
            cluster: config.cluster.clone(),
        };
        Self { settings, routes }
    }

    /// Everything except for the routes; the list of routes is empty.
    #[must_use]
    pub fn settings(&self) -> &Config {
        &self.settings
    }

    /// The routes.
    #[must_use]
    pub fn routes(&self) -> &Arc<RouteTable> {
        &self.routes
    }

    /// Restores the configuration with all values, but without the spans that were dropped.
    #[must_use]
    pub fn restore(&self) -> Config {
        Config { routes: self.routes.routes().collect(), ..self.settings.clone() }
    }
}

fn without_endpoint_spans(pool: &Pool) -> Pool {
    let mut pool = pool.clone();
    if let PoolEndpoints::Static(endpoints) = &mut pool.endpoints {
        endpoints.iter_mut().for_each(|endpoint| endpoint.spans = EntrySpans::default());
    }
    pool
}

fn without_spans(tenant: &Tenant) -> Tenant {
    Tenant {
        name: tenant.name.clone(),
        share: tenant.share,
        allowance_per_s: tenant.allowance_per_s,
        spans: EntrySpans::default(),
    }
}
