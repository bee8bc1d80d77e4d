//! One state of the configuration.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::check::Fault;
use crate::resource::{Backend, Class, Listener, Name, Node, Pool, Resource, ResourceId, Route, Tenant};

/// One state of the configuration: a table for each kind of resource, by name. Clones share the resources.
///
/// Two snapshots are equal where all resources and the order of the routes are.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    pub(crate) node: Arc<Node>,
    pub(crate) listeners: BTreeMap<Name, Arc<Listener>>,
    pub(crate) pools: BTreeMap<Name, Arc<Pool>>,
    /// By pool and name.
    pub(crate) backends: BTreeMap<(Name, Name), Arc<Backend>>,
    pub(crate) classes: BTreeMap<Name, Arc<Class>>,
    pub(crate) tenants: BTreeMap<Name, Arc<Tenant>>,
    pub(crate) routes: BTreeMap<Name, Arc<Route>>,
    /// Names of all routes; the first that fits a request wins.
    pub(crate) route_order: Vec<Name>,
}

impl Snapshot {
    /// A state of these resources, with the routes in this order. Of two that have one name the later one counts.
    ///
    /// # Errors
    /// What keeps a node from using it.
    pub fn build(resources: impl IntoIterator<Item = Resource>) -> Result<Self, Fault> {
        let mut snapshot = Self::default();
        for resource in resources {
            if let Resource::Route(route) = &resource
                && !snapshot.routes.contains_key(&route.name)
            {
                snapshot.route_order.push(route.name.clone());
            }
            snapshot.put(resource);
        }
        snapshot.check()?;
        Ok(snapshot)
    }

    /// The node's own settings.
    #[must_use]
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// The listeners, by name.
    pub fn listeners(&self) -> impl Iterator<Item = &Arc<Listener>> {
        self.listeners.values()
    }

    /// The pools, by name.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<Pool>> {
        self.pools.values()
    }

    /// The backends of a pool, by name.
    pub fn backends<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a Arc<Backend>> {
        let from = (Name::from(pool), Name::from(""));
        let of_pool = self.backends.range(from..).take_while(move |((of, _), _)| **of == *pool);
        of_pool.map(|(_, backend)| backend)
    }

    /// The classes, by name.
    pub fn classes(&self) -> impl Iterator<Item = &Arc<Class>> {
        self.classes.values()
    }

    /// The tenants, by name.
    pub fn tenants(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.tenants.values()
    }

    /// The routes in their order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.route_order.iter().filter_map(|name| self.routes.get(name))
    }

    /// A resource.
    #[must_use]
    pub fn get(&self, id: &ResourceId) -> Option<Resource> {
        Some(match id {
            ResourceId::Node => Resource::Node(self.node.clone()),
            ResourceId::Listener(name) => Resource::Listener(self.listeners.get(name)?.clone()),
            ResourceId::Pool(name) => Resource::Pool(self.pools.get(name)?.clone()),
            ResourceId::Backend { pool, name } => {
                Resource::Backend(self.backends.get(&(pool.clone(), name.clone()))?.clone())
            }
            ResourceId::Class(name) => Resource::Class(self.classes.get(name)?.clone()),
            ResourceId::Tenant(name) => Resource::Tenant(self.tenants.get(name)?.clone()),
            ResourceId::Route(name) => Resource::Route(self.routes.get(name)?.clone()),
        })
    }

    /// Puts a resource into its table, without the order of routes.
    pub(crate) fn put(&mut self, resource: Resource) {
        match resource {
            Resource::Node(one) => self.node = one,
            Resource::Listener(one) => drop(self.listeners.insert(one.name.clone(), one)),
            Resource::Pool(one) => drop(self.pools.insert(one.name.clone(), one)),
            Resource::Backend(one) => {
                drop(self.backends.insert((one.pool.clone(), one.name.clone()), one));
            }
            Resource::Class(one) => drop(self.classes.insert(one.name.clone(), one)),
            Resource::Tenant(one) => drop(self.tenants.insert(one.name.clone(), one)),
            Resource::Route(one) => drop(self.routes.insert(one.name.clone(), one)),
        }
    }

    /// Takes a resource out of its table, without the order of routes; whether it was there. The node's settings stay.
    pub(crate) fn take(&mut self, id: &ResourceId) -> bool {
        match id {
            ResourceId::Node => false,
            ResourceId::Listener(name) => self.listeners.remove(name).is_some(),
            ResourceId::Pool(name) => self.pools.remove(name).is_some(),
            ResourceId::Backend { pool, name } => {
                self.backends.remove(&(pool.clone(), name.clone())).is_some()
            }
            ResourceId::Class(name) => self.classes.remove(name).is_some(),
            ResourceId::Tenant(name) => self.tenants.remove(name).is_some(),
            ResourceId::Route(name) => self.routes.remove(name).is_some(),
        }
    }
}
