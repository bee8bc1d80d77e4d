//! One state of the configuration: its tables, and access to them.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::class::{Class, Tenant};
use crate::name::Name;
use crate::node::{Listener, Node};
use crate::pool::{Endpoint, Pool};
use crate::resource::{Resource, ResourceId};
use crate::route::Route;

/// One state of the configuration: a table for each kind of resource, sorted by name. Clones share the
/// resources.
///
/// Two snapshots are equal if all resources and the order of the routes are equal.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    pub(crate) node: Arc<Node>,
    pub(crate) listeners: BTreeMap<Name, Arc<Listener>>,
    pub(crate) pools: BTreeMap<Name, Arc<Pool>>,
    /// By pool name and endpoint name.
    pub(crate) endpoints: BTreeMap<(Name, Name), Arc<Endpoint>>,
    pub(crate) classes: BTreeMap<Name, Arc<Class>>,
    pub(crate) tenants: BTreeMap<Name, Arc<Tenant>>,
    pub(crate) routes: BTreeMap<Name, Arc<Route>>,
    /// Names of all routes, in the order in which they are matched.
    pub(crate) route_order: Vec<Name>,
}

impl Snapshot {
    /// The settings of the node itself.
    #[must_use]
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// The listeners, sorted by name.
    pub fn listeners(&self) -> impl Iterator<Item = &Arc<Listener>> {
        self.listeners.values()
    }

    /// The pools, sorted by name.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<Pool>> {
        self.pools.values()
    }

    /// The endpoints of a pool, sorted by name.
    pub fn endpoints<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a Arc<Endpoint>> {
        let from = (Name::from(pool), Name::from(""));
        let of_pool = self.endpoints.range(from..).take_while(move |((of, _), _)| **of == *pool);
        of_pool.map(|(_, endpoint)| endpoint)
    }

    /// The classes, sorted by name.
    pub fn classes(&self) -> impl Iterator<Item = &Arc<Class>> {
        self.classes.values()
    }

    /// The tenants, sorted by name.
    pub fn tenants(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.tenants.values()
    }

    /// The routes, in the order in which they are matched.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.route_order.iter().filter_map(|name| self.routes.get(name))
    }

    /// The resource with this identity, if it exists.
    #[must_use]
    pub fn get(&self, id: &ResourceId) -> Option<Resource> {
        Some(match id {
            ResourceId::Node => Resource::Node(self.node.clone()),
            ResourceId::Listener(name) => Resource::Listener(self.listeners.get(name)?.clone()),
            ResourceId::Pool(name) => Resource::Pool(self.pools.get(name)?.clone()),
            ResourceId::Endpoint { pool, name } => {
                Resource::Endpoint(self.endpoints.get(&(pool.clone(), name.clone()))?.clone())
            }
            ResourceId::Class(name) => Resource::Class(self.classes.get(name)?.clone()),
            ResourceId::Tenant(name) => Resource::Tenant(self.tenants.get(name)?.clone()),
            ResourceId::Route(name) => Resource::Route(self.routes.get(name)?.clone()),
        })
    }

    /// Inserts a resource into its table, or replaces the one with the same identity. The caller updates the
    /// order of routes.
    pub(crate) fn insert(&mut self, resource: Resource) {
        match resource {
            Resource::Node(node) => self.node = node,
            Resource::Listener(listener) => drop(self.listeners.insert(listener.name.clone(), listener)),
            Resource::Pool(pool) => drop(self.pools.insert(pool.name.clone(), pool)),
            Resource::Endpoint(endpoint) => {
                let key = (endpoint.pool.clone(), endpoint.name.clone());
                drop(self.endpoints.insert(key, endpoint));
            }
            Resource::Class(class) => drop(self.classes.insert(class.name.clone(), class)),
            Resource::Tenant(tenant) => drop(self.tenants.insert(tenant.name.clone(), tenant)),
            Resource::Route(route) => drop(self.routes.insert(route.name.clone(), route)),
        }
    }

    /// Removes a resource from its table, and returns whether it existed. The settings of the node are never
    /// removed. The caller updates the order of routes.
    pub(crate) fn remove(&mut self, id: &ResourceId) -> bool {
        match id {
            ResourceId::Node => false,
            ResourceId::Listener(name) => self.listeners.remove(name).is_some(),
            ResourceId::Pool(name) => self.pools.remove(name).is_some(),
            ResourceId::Endpoint { pool, name } => {
                self.endpoints.remove(&(pool.clone(), name.clone())).is_some()
            }
            ResourceId::Class(name) => self.classes.remove(name).is_some(),
            ResourceId::Tenant(name) => self.tenants.remove(name).is_some(),
            ResourceId::Route(name) => self.routes.remove(name).is_some(),
        }
    }
}
