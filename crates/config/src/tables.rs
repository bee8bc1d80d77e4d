//! A configuration as tables of typed resources: what two files of one meaning share, whatever their form.

use std::sync::Arc;

use pumicehead_resources as resources;
use pumicehead_resources::{Fault, Name, Resource, Snapshot};
use pumicehead_route::Methods;

use crate::model::{
    Address, Class, Config, Fleet, KeyOf, Limits, Listener, Members, Observe, Pool, Protocol, Repeats, Route,
    Server, Tenant, TenantOf,
};

impl Config {
    /// The tables. Lists whose order has no meaning are sorted.
    ///
    /// # Errors
    /// What the tables don't allow; a configuration that was read from files has passed stricter checks.
    pub fn snapshot(&self) -> Result<Snapshot, Fault> {
        Snapshot::build(Tables::of(self).resources())
    }
}

/// A configuration with the names that its entries refer to by place. Resources share them.
struct Tables<'a> {
    config: &'a Config,
    zones: Vec<Name>,
    pools: Vec<Name>,
    classes: Vec<Name>,
    tenants: Vec<Name>,
}

impl<'a> Tables<'a> {
    fn of(config: &'a Config) -> Self {
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
        let listeners = listeners.iter().map(|one| Resource::Listener(Arc::new(listener(one))));
        let backends = pools.iter().enumerate().flat_map(|(place, pool)| self.backends(place, pool));
        let pools =
            pools.iter().enumerate().map(|(place, one)| Resource::Pool(Arc::new(self.pool(place, one))));
        let classes =
            classes.iter().enumerate().map(|(place, one)| Resource::Class(Arc::new(self.class(place, one))));
        let tenants = tenants
            .iter()
            .enumerate()
            .map(|(place, one)| Resource::Tenant(Arc::new(self.tenant(place, one))));
        let routes = routes.iter().map(|one| Resource::Route(Arc::new(self.route(one))));
        node.chain(listeners).chain(pools).chain(backends).chain(classes).chain(tenants).chain(routes)
    }

    fn node(&self) -> resources::Node {
        let Config { node, limits, observe, fleet, .. } = self.config;
        resources::Node {
            name: node.name.as_str().into(),
            zones: self.zones.clone(),
            zone: self.zones[node.zone].clone(),
            nodes: node.nodes,
            number: node.number,
            limits: node_limits(limits),
            observe: node_observe(observe),
            fleet: fleet.as_ref().map(node_fleet),
        }
    }

    fn pool(&self, place: usize, pool: &Pool) -> resources::Pool {
        resources::Pool {
            name: self.pools[place].clone(),
            endpoints: match &pool.members {
                Members::Static(_) => resources::Endpoints::Listed,
                Members::Discovery { address, mode } => resources::Endpoints::Discovered(*address, *mode),
            },
            protocol: protocol(pool.protocol),
            script: pool.script.clone(),
            root: pool.root.clone(),
            warm_up: pool.warm_up,
            cold_from: pool.cold_from,
            tips_at: pool.tips_at,
            tips_within: pool.tips_within,
            connect_timeout: pool.connect_timeout,
            idle: pool.idle,
            attempts: pool.attempts,
            hedge: pool.hedge,
            crossing: pool.crossing,
        }
    }

    fn backends(&self, place: usize, pool: &'a Pool) -> impl Iterator<Item = Resource> {
        let servers = match &pool.members {
            Members::Static(servers) => servers.as_slice(),
            Members::Discovery { .. } => &[],
        };
        servers.iter().map(move |server| Resource::Backend(Arc::new(self.backend(place, server))))
    }

    fn backend(&self, pool: usize, server: &Server) -> resources::Backend {
        resources::Backend {
            pool: self.pools[pool].clone(),
            name: server.name.as_str().into(),
            address: match &server.address {
                Address::Tcp(address) => resources::Address::Tcp(*address),
                Address::Unix(path) => resources::Address::Unix(path.clone()),
            },
            zone: self.zones[server.zone].clone(),
            weight: server.weight,
            cell: server.cell,
        }
    }

    fn class(&self, place: usize, class: &Class) -> resources::Class {
        resources::Class {
            name: self.classes[place].clone(),
            aim: class.aim,
            deadline: class.deadline,
            worth: class.worth,
            late_worth: class.late_worth,
            repeats: match &class.repeats {
                Repeats::Safe => resources::Repeats::Safe,
                Repeats::Unsafe => resources::Repeats::Unsafe,
                Repeats::Keyed { header, group, window } => {
                    resources::Repeats::Keyed { header: header.clone(), group: *group, window: *window }
                }
            },
            ordered: class.ordered,
        }
    }

    fn tenant(&self, place: usize, tenant: &Tenant) -> resources::Tenant {
        resources::Tenant { name: self.tenants[place].clone(), share: tenant.share, rate: tenant.rate }
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
                TenantOf::None => resources::TenantSource::None,
                TenantOf::Fixed(place) => resources::TenantSource::Fixed(self.tenants[*place].clone()),
                TenantOf::Header(name) => resources::TenantSource::Header(name.clone()),
            },
            key: match &route.key {
                KeyOf::None => resources::KeySource::None,
                KeyOf::Segment(place) => resources::KeySource::Segment(*place),
                KeyOf::Last => resources::KeySource::Last,
                KeyOf::Header(name) => resources::KeySource::Header(name.clone()),
            },
        }
    }
}

fn listener(listener: &Listener) -> resources::Listener {
    resources::Listener {
        name: listener.name.as_str().into(),
        address: listener.address,
        protocol: protocol(listener.protocol),
    }
}

fn protocol(protocol: Protocol) -> resources::Protocol {
    match protocol {
        Protocol::Http => resources::Protocol::Http,
        Protocol::FastCgi => resources::Protocol::FastCgi,
    }
}

fn node_limits(limits: &Limits) -> resources::Limits {
    resources::Limits {
        memory: limits.memory,
        descriptors: limits.descriptors as u64,
        held: limits.held as u64,
        request_body: limits.request_body,
        answer_body: limits.answer_body,
        request_time: limits.request_time,
        idle: limits.idle,
        retry_after: limits.retry_after,
    }
}

fn node_observe(observe: &Observe) -> resources::Observe {
    resources::Observe {
        calls: observe.calls,
        log: observe.log.clone(),
        json: observe.json,
        recorder: observe.recorder,
        recordings: observe.recordings.clone(),
    }
}

fn node_fleet(fleet: &Fleet) -> resources::Fleet {
    let mut seeds = fleet.seeds.clone();
    seeds.sort_unstable();
    let mut reach = fleet.reach.clone();
    reach.sort_unstable();
    resources::Fleet {
        name: fleet.name.clone(),
        address: fleet.address,
        advertise: fleet.told_as,
        seeds,
        reach,
    }
}
