//! Determines which pools a configuration change affects. All other pools keep their identity without being compared.

use std::collections::HashSet;

use pumicehead_resources::{Change, Delta, Name, Resource, ResourceId, Snapshot};

/// Pools that a configuration change affects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AffectedPools {
    /// All pools.
    All,
    /// Only the pools with these names.
    Named(HashSet<Name>),
}

impl AffectedPools {
    /// Returns the pools that the delta between two states affects.
    #[must_use]
    pub fn of_delta(delta: &Delta, old: &Snapshot, new: &Snapshot) -> Self {
        let mut pools = HashSet::new();
        let mut classes = HashSet::new();
        for change in &delta.changes {
            let id = match change {
                Change::Set(resource) => resource.id(),
                Change::Remove(id) => id.clone(),
                // The order of routes affects only the route matcher.
                Change::MoveRoute { .. } => continue,
            };
            match id {
                // Zones, tenants and some limits are part of the settings of every pool.
                ResourceId::Node | ResourceId::Tenant(_) => return Self::All,
                ResourceId::Listener(_) => {}
                ResourceId::Pool(name) | ResourceId::Endpoint { pool: name, .. } => drop(pools.insert(name)),
                ResourceId::Class(name) => drop(classes.insert(name)),
                // A pool has the classes of its routes.
                id @ ResourceId::Route(_) => {
                    pools.extend([old, new].into_iter().filter_map(|state| pool_of(state, &id)));
                }
            }
        }
        for route in old.routes().chain(new.routes()).filter(|route| classes.contains(&route.class)) {
            pools.insert(route.pool.clone());
        }
        Self::Named(pools)
    }

    /// Whether the pool with this name is affected.
    #[must_use]
    pub fn contains(&self, pool: &str) -> bool {
        match self {
            Self::All => true,
            Self::Named(pools) => pools.contains(pool),
        }
    }
}

/// Returns the pool of a route, or `None` if there is no such route.
fn pool_of(state: &Snapshot, route: &ResourceId) -> Option<Name> {
    match state.get(route) {
        Some(Resource::Route(route)) => Some(route.pool.clone()),
        _ => None,
    }
}

#[cfg(test)]
#[path = "../../tests/unit/affected_pools.rs"]
mod tests;
