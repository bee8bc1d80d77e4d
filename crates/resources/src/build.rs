//! Builds a snapshot from resources.

use crate::error::ValidationError;
use crate::resource::Resource;
use crate::snapshot::Snapshot;

impl Snapshot {
    /// Builds the state that has these resources, with the routes in this order. Of two resources with the
    /// same identity the later one is kept.
    ///
    /// # Errors
    /// The first reason why a node can't use the state.
    pub fn build(resources: impl IntoIterator<Item = Resource>) -> Result<Self, ValidationError> {
        let mut snapshot = Self::default();
        for resource in resources {
            if let Resource::Route(route) = &resource
                && !snapshot.routes.contains_key(&route.name)
            {
                snapshot.route_order.push(route.name.clone());
            }
            snapshot.insert(resource);
        }
        snapshot.validate()?;
        Ok(snapshot)
    }
}
