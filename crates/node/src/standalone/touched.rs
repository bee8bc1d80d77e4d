//! Which pools a delta has to do with: the others are not even looked at.

use std::collections::HashSet;

use pumicehead_resources::{Change, Delta, Name, Resource, ResourceId, Snapshot};

/// The pools that a change has to do with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Touched {
    /// All of them.
    All,
    /// Those of these names.
    Some(HashSet<Name>),
}

impl Touched {
    /// Those of a delta between two states.
    #[must_use]
    pub fn by(delta: &Delta, old: &Snapshot, new: &Snapshot) -> Self {
        let mut pools = HashSet::new();
        let mut classes = HashSet::new();
        for change in &delta.changes {
            let id = match change {
                Change::Set(resource) => resource.id(),
                Change::Remove(id) => id.clone(),
                // Which of two routes is asked first is the matcher's concern alone.
                Change::MoveRoute { .. } => continue,
            };
            match id {
                // Every pool knows the zones, the tenants and some of the bounds.
                ResourceId::Node | ResourceId::Tenant(_) => return Self::All,
                ResourceId::Listener(_) => {}
                ResourceId::Pool(name) | ResourceId::Endpoint { pool: name, .. } => drop(pools.insert(name)),
                ResourceId::Class(name) => drop(classes.insert(name)),
                // A pool's classes are those of the routes that lead to it.
                id @ ResourceId::Route(_) => {
                    pools.extend([old, new].into_iter().filter_map(|state| pool_of(state, &id)));
                }
            }
        }
        for route in old.routes().chain(new.routes()).filter(|route| classes.contains(&route.class)) {
            pools.insert(route.pool.clone());
        }
        Self::Some(pools)
    }

    /// Whether a pool is among them.
    #[must_use]
    pub fn contains(&self, pool: &str) -> bool {
        match self {
            Self::All => true,
            Self::Some(pools) => pools.contains(pool),
        }
    }
}

/// The pool that a route leads to.
fn pool_of(state: &Snapshot, route: &ResourceId) -> Option<Name> {
    match state.get(route) {
        Some(Resource::Route(route)) => Some(route.pool.clone()),
        _ => None,
    }
}

#[cfg(test)]
#[path = "../../tests/unit/touched.rs"]
mod tests;
