//! Changes of a configuration: how a snapshot applies them, and the difference of two snapshots.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::error::ApplyError;
use crate::name::Name;
use crate::resource::{Resource, ResourceId};
use crate::route_order::{LinkedOrder, RouteMove, fewest_moves};
use crate::snapshot::Snapshot;

/// A change to one resource or to the order of routes.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Adds a resource, or replaces the one with the same identity. A new route is added at the end.
    Set(Resource),
    /// Removes a resource.
    Remove(ResourceId),
    /// Moves a route in the order of routes.
    MoveRoute {
        /// The route that moves.
        route: Name,
        /// The route that it is moved directly before; `None` moves it to the end.
        before: Option<Name>,
    },
}

/// Changes that are applied together, in order. Only the state after all of them is validated: a class may be
/// removed before the routes that used it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Delta {
    /// The changes, in order.
    pub changes: Vec<Change>,
}

impl Snapshot {
    /// Applies all changes, or none of them if one can't be applied or the resulting state is invalid.
    ///
    /// # Errors
    /// The reason why no change was applied.
    pub fn apply(&mut self, delta: &Delta) -> Result<(), ApplyError> {
        // Resources are shared: this copies the tables only.
        let mut next = self.clone();
        let mut order = LinkedOrder::new(&self.route_order);
        for change in &delta.changes {
            next.apply_change(change, &mut order)?;
        }
        next.route_order = order.into_names();
        next.validate()?;
        *self = next;
        Ok(())
    }

    fn apply_change(&mut self, change: &Change, order: &mut LinkedOrder) -> Result<(), ApplyError> {
        match change {
            Change::Set(resource) => {
                if let Resource::Route(route) = resource
                    && !order.contains(&route.name)
                {
                    order.insert(route.name.clone(), None);
                }
                self.insert(resource.clone());
            }
            Change::Remove(ResourceId::Node) => return Err(ApplyError::NodeRemoved),
            Change::Remove(id) => {
                if !self.remove(id) {
                    return Err(ApplyError::NotFound(id.clone()));
                }
                if let ResourceId::Route(name) = id {
                    order.remove(name);
                }
            }
            Change::MoveRoute { route, before } => move_route(order, route, before.as_ref())?,
        }
        Ok(())
    }

    /// Returns the delta that turns this state into another one; empty if they are equal.
    #[must_use]
    pub fn difference(&self, other: &Self) -> Delta {
        let mut changes = Vec::new();
        if self.node != other.node {
            changes.push(Change::Set(Resource::Node(other.node.clone())));
        }
        diff_table(&self.listeners, &other.listeners, Resource::Listener, &mut changes);
        diff_table(&self.pools, &other.pools, Resource::Pool, &mut changes);
        diff_table(&self.endpoints, &other.endpoints, Resource::Endpoint, &mut changes);
        diff_table(&self.classes, &other.classes, Resource::Class, &mut changes);
        diff_table(&self.tenants, &other.tenants, Resource::Tenant, &mut changes);
        diff_table(&self.routes, &other.routes, Resource::Route, &mut changes);
        let moves = fewest_moves(&self.route_order, &other.route_order).into_iter();
        changes.extend(moves.map(|RouteMove { route, before }| Change::MoveRoute { route, before }));
        Delta { changes }
    }
}

impl Delta {
    /// Whether there are no changes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}

/// Moves a route directly before another, or to the end.
fn move_route(order: &mut LinkedOrder, route: &Name, before: Option<&Name>) -> Result<(), ApplyError> {
    for name in [Some(route), before].into_iter().flatten() {
        if !order.contains(name) {
            return Err(ApplyError::NotFound(ResourceId::Route(name.clone())));
        }
    }
    // A move before itself has no effect.
    if before == Some(route) {
        return Ok(());
    }
    order.remove(route);
    order.insert(route.clone(), before.cloned());
    Ok(())
}

/// Appends the changes between two tables of one kind: first removals, then additions and replacements.
fn diff_table<K: Ord, T: PartialEq>(
    old: &BTreeMap<K, Arc<T>>,
    new: &BTreeMap<K, Arc<T>>,
    resource: impl Fn(Arc<T>) -> Resource,
    changes: &mut Vec<Change>,
) {
    let removed = old.iter().filter(|(name, _)| !new.contains_key(name));
    changes.extend(removed.map(|(_, value)| Change::Remove(resource(value.clone()).id())));
    let set = new.iter().filter(|(name, value)| {
        let old_value = old.get(name);
        old_value.is_none_or(|old_value| !Arc::ptr_eq(old_value, value) && old_value != *value)
    });
    changes.extend(set.map(|(_, value)| Change::Set(resource(value.clone()))));
}
