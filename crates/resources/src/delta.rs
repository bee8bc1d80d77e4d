//! Changes of a configuration: what they are, how a state takes them, and how two states differ.

use std::collections::BTreeMap;
use std::sync::Arc;

use thiserror::Error;

use crate::check::Fault;
use crate::order::{LinkedOrder, Move, moves};
use crate::resource::{Name, Resource, ResourceId};
use crate::snapshot::Snapshot;

/// One change.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The resource is there from now on, in place of any of its name. A new route comes last.
    Set(Resource),
    /// The resource is gone.
    Remove(ResourceId),
    /// A route stands before another, or last where there is no other.
    Place {
        /// The route.
        route: Name,
        /// The other.
        before: Option<Name>,
    },
}

/// Changes in the order in which they are made. They are checked together: a class may be removed before the routes
/// that used it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Delta {
    /// The changes.
    pub changes: Vec<Change>,
}

/// Why a delta is not applied. Nothing of it is then.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ApplyError {
    /// It removes or moves what is not there.
    #[error("there is no {0}")]
    Missing(ResourceId),
    /// It removes the settings of the node itself, which are always there.
    #[error("the settings of the node can't be removed")]
    NodeRemoved,
    /// The state that it leads to can't be used.
    #[error(transparent)]
    Unsound(#[from] Fault),
}

impl Snapshot {
    /// Makes all changes, or none where one of them can't be made or the state after all of them can't be used.
    ///
    /// # Errors
    /// Why none was made.
    pub fn apply(&mut self, delta: &Delta) -> Result<(), ApplyError> {
        // Resources are shared: a clone costs the tables, not what is in them.
        let mut next = self.clone();
        let mut order = LinkedOrder::new(&self.route_order);
        for change in &delta.changes {
            next.change(change, &mut order)?;
        }
        next.route_order = order.into_names();
        next.check()?;
        *self = next;
        Ok(())
    }

    fn change(&mut self, change: &Change, order: &mut LinkedOrder) -> Result<(), ApplyError> {
        match change {
            Change::Set(resource) => {
                if let Resource::Route(route) = resource
                    && !order.contains(&route.name)
                {
                    order.insert(route.name.clone(), None);
                }
                self.put(resource.clone());
            }
            Change::Remove(ResourceId::Node) => return Err(ApplyError::NodeRemoved),
            Change::Remove(id) => {
                if !self.take(id) {
                    return Err(ApplyError::Missing(id.clone()));
                }
                if let ResourceId::Route(name) = id {
                    order.remove(name);
                }
            }
            Change::Place { route, before } => place(order, route, before.as_ref())?,
        }
        Ok(())
    }

    /// The delta that makes this state into another one. Empty where they are equal.
    #[must_use]
    pub fn difference(&self, other: &Self) -> Delta {
        let mut changes = Vec::new();
        if self.node != other.node {
            changes.push(Change::Set(Resource::Node(other.node.clone())));
        }
        table(&self.listeners, &other.listeners, Resource::Listener, &mut changes);
        table(&self.pools, &other.pools, Resource::Pool, &mut changes);
        table(&self.backends, &other.backends, Resource::Backend, &mut changes);
        table(&self.classes, &other.classes, Resource::Class, &mut changes);
        table(&self.tenants, &other.tenants, Resource::Tenant, &mut changes);
        table(&self.routes, &other.routes, Resource::Route, &mut changes);
        let moves = moves(&self.route_order, &other.route_order).into_iter();
        changes.extend(moves.map(|Move { route, before }| Change::Place { route, before }));
        Delta { changes }
    }
}

impl Delta {
    /// Whether it changes nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}

fn place(order: &mut LinkedOrder, route: &Name, before: Option<&Name>) -> Result<(), ApplyError> {
    for name in [Some(route), before].into_iter().flatten() {
        if !order.contains(name) {
            return Err(ApplyError::Missing(ResourceId::Route(name.clone())));
        }
    }
    // Before itself: it stays where it is.
    if before == Some(route) {
        return Ok(());
    }
    order.remove(route);
    order.insert(route.clone(), before.cloned());
    Ok(())
}

/// The changes between two tables of one kind.
fn table<K: Ord, T: PartialEq>(
    old: &BTreeMap<K, Arc<T>>,
    new: &BTreeMap<K, Arc<T>>,
    resource: impl Fn(Arc<T>) -> Resource,
    changes: &mut Vec<Change>,
) {
    let gone = old.iter().filter(|(name, _)| !new.contains_key(name));
    changes.extend(gone.map(|(_, one)| Change::Remove(resource(one.clone()).id())));
    let set = new.iter().filter(|(name, one)| {
        let former = old.get(name);
        former.is_none_or(|former| !Arc::ptr_eq(former, one) && former != *one)
    });
    changes.extend(set.map(|(_, one)| Change::Set(resource(one.clone()))));
}
