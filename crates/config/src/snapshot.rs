//! Converts a configuration to a snapshot of typed resources. Files with the same meaning give equal
//! snapshots.

use std::sync::Arc;

use pumicehead_resources as resources;
use pumicehead_resources::{Name, Resource, Snapshot, ValidationError};
use pumicehead_route::Methods;

use crate::model::{
    Class, Cluster, Config, Endpoint, Listener, Pool, PoolEndpoints, Route, Tenant, TenantSource,
};

impl Config {
    /// Builds the snapshot. Lists whose order has no meaning are sorted.
    ///
    /// # Errors
    /// Configurations that are invalid as a snapshot; one that was read from files has passed stricter
    /// checks.
    pub fn snapshot(&self) -> Result<Snapshot, ValidationError> {
        Snapshot::build(Converter::new(self).resources())
    }
}

/// A configuration, and the names that its entries refer to by index. Resources share the names.
struct Converter<'a> {
    config: &'a Config,
    zones: Vec<Name>,
    pools: Vec<Name>,
    classes: Vec<Name>,
    tenants: Vec<Name>,
}

impl<'a> Converter<'a> {
    fn new(config: &'a Config) -> Self {
        Self {
            config,
            zones: config.node.zones.iter().map(|name| name.as_str().into()).collect(),
            pools: config.pools.iter().map(|pool| pool.name.as_str().into()).collect(),
            classes: config.classes.iter().map(|class| class.name.as_str().into()).collect(),
            tenants: config.tenants.iter().map(|tenant| tenant.name.as_str().into()).collect(),
        }
    }

    fn resources(&self) -> impl Iterator<Item = Resource> {
        let Config { listeners, pools, classes, tenants, routes, .. } = self.config;
        let node = std::iter::once_with(|| Resource::Node(Arc::new(self.node())));
        let listeners = listeners.iter().map(|entry| Resource::Listener(Arc::new(listener(entry))));
        let endpoints = pools.iter().enumerate().flat_map(|(index, pool)| self.endpoints(index, pool));
        let pools = pools.iter().enumerate();
        let pools = pools.map(|(index, entry)| Resource::Pool(Arc::new(self.pool(index, entry))));
        let classes = classes.iter().enumerate();
        let classes = classes.map(|(index, entry)| Resource::Class(Arc::new(self.class(index, entry))));
        let tenants = tenants.iter().enumerate();
        let tenants = tenants.map(|(index, entry)| Resource::Tenant(Arc::new(self.tenant(index, entry))));
        let routes = routes.iter().map(|entry| Resource::Route(Arc::new(self.route(entry))));
        node.chain(listeners).chain(pools).chain(endpoints).chain(classes).chain(tenants).chain(routes)
    }

    fn node(&self) -> resources::Node {
        let Config { node, limits, observability, cluster, .. } = self.config;
        resources::Node {
            name: node.name.as_str().into(),
            zones: self.zones.clone(),
            zone: self.zones[node.zone].clone(),
            node_count: node.node_count,
            node_index: node.node_index,
            limits: limits.value.clone(),
            observability: observability.value.clone(),
            cluster: cluster.as_ref().map(|cluster| sorted_cluster(&cluster.value)),
        }
    }

    fn pool(&self, index: usize, pool: &Pool) -> resources::Pool {
        resources::Pool {
            name: self.pools[index].clone(),
            endpoint_source: match &pool.endpoints {
                PoolEndpoints::Static(_) => resources::EndpointSource::Static,
                &PoolEndpoints::Discovered { address, mode } => {
                    resources::EndpointSource::Discovered { address, mode }
                }
            },
            settings: pool.settings.clone(),
        }
    }

    fn endpoints(&self, pool_index: usize, pool: &'a Pool) -> impl Iterator<Item = Resource> {
        let endpoints = pool.endpoints.listed().iter();
        endpoints.map(move |entry| Resource::Endpoint(Arc::new(self.endpoint(pool_index, entry))))
    }

    fn endpoint(&self, pool_index: usize, endpoint: &Endpoint) -> resources::Endpoint {
        resources::Endpoint {
            pool: self.pools[pool_index].clone(),
            name: endpoint.name.as_str().into(),
            address: endpoint.address.clone(),
            zone: self.zones[endpoint.zone].clone(),
            weight: endpoint.weight,
            cell: endpoint.cell,
        }
    }

    fn class(&self, index: usize, class: &Class) -> resources::Class {
        resources::Class { name: self.classes[index].clone(), settings: class.settings.clone() }
    }

    fn tenant(&self, index: usize, tenant: &Tenant) -> resources::Tenant {
        resources::Tenant {
            name: self.tenants[index].clone(),
            share: tenant.share,
            allowance_per_s: tenant.allowance_per_s,
        }
    }

    fn route(&self, route: &Route) -> resources::Route {
        let mut pattern = route.pattern.clone();
        if let Methods::Only(methods) = &mut pattern.methods {
            methods.sort_unstable_by(|one, other| one.as_str().cmp(other.as_str()));
        }
        pattern.headers.sort_unstable();
        resources::Route {
            name: route.name.as_str().into(),
            pattern,
            class: self.classes[route.class].clone(),
            pool: self.pools[route.pool].clone(),
            tenant: match &route.tenant {
                TenantSource::None => resources::TenantSource::None,
                TenantSource::Fixed(index) => resources::TenantSource::Fixed(self.tenants[*index].clone()),
                TenantSource::Header(name) => resources::TenantSource::Header(name.clone()),
            },
            key: route.key.clone(),
        }
    }
}

fn listener(listener: &Listener) -> resources::Listener {
    resources::Listener {
        name: listener.name.as_str().into(),
        address: listener.address,
        protocol: listener.protocol,
    }
}

/// The cluster with sorted lists: their order has no meaning.
fn sorted_cluster(cluster: &Cluster) -> Cluster {
    let mut cluster = cluster.clone();
    cluster.seeds.sort_unstable();
    cluster.peer_addresses.sort_unstable();
    cluster
}
