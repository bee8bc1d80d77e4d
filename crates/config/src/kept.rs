//! A configuration as a running node keeps it, for the difference against the next one.

use std::sync::Arc;

use crate::model::{Config, Members, Places, Pool, Server, Tenant};
use crate::route_table::RouteTable;

/// A configuration whose routes are compact. Of routes, servers and tenants, of which there may be thousands, the
/// places in files are dropped: the texts that they point into are not kept either.
#[derive(Debug)]
pub struct KeptConfig {
    /// Without routes.
    settings: Config,
    routes: Arc<RouteTable>,
}

impl KeptConfig {
    /// Of a configuration and the table of its routes, which may be shared with what serves requests.
    #[must_use]
    pub fn new(config: &Config, routes: Arc<RouteTable>) -> Self {
        debug_assert_eq!(config.routes.len(), routes.len(), "the table is of this configuration");
        let settings = Config {
            node: config.node.clone(),
            listeners: config.listeners.clone(),
            pools: config.pools.iter().map(without_places_of_servers).collect(),
            classes: config.classes.clone(),
            tenants: config.tenants.iter().map(without_places).collect(),
            routes: Vec::new(),
            limits: config.limits.clone(),
            observe: config.observe.clone(),
            fleet: config.fleet.clone(),
        };
        Self { settings, routes }
    }

    /// All but the routes: the list of these is empty here.
    #[must_use]
    pub fn settings(&self) -> &Config {
        &self.settings
    }

    /// The routes.
    #[must_use]
    pub fn routes(&self) -> &Arc<RouteTable> {
        &self.routes
    }

    /// The configuration again, with all values and without the places that were dropped.
    #[must_use]
    pub fn restore(&self) -> Config {
        Config { routes: self.routes.routes().collect(), ..self.settings.clone() }
    }
}

fn without_places_of_servers(pool: &Pool) -> Pool {
    let mut pool = pool.clone();
    if let Members::Static(servers) = &mut pool.members {
        let bare = |server: &Server| Server { at: Places::default(), ..server.clone() };
        *servers = servers.iter().map(bare).collect();
    }
    pool
}

fn without_places(tenant: &Tenant) -> Tenant {
    Tenant { name: tenant.name.clone(), share: tenant.share, rate: tenant.rate, at: Places::default() }
}
