//! Validation of a snapshot: what every node requires of a state, whatever its source. The configuration
//! language has stricter rules, such as the spelling of names and the range of each value, which are checked
//! when files are read.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::class::{Class, Idempotency};
use crate::error::ValidationError;
use crate::pool::{EndpointSource, Pool};
use crate::resource::{Kind, ResourceId};
use crate::route::{Route, TenantSource};
use crate::snapshot::Snapshot;

impl Snapshot {
    /// Checks that a node can use this state.
    ///
    /// # Errors
    /// The first problem, in the order of kinds and names.
    pub fn validate(&self) -> Result<(), ValidationError> {
        self.validate_counts()?;
        self.validate_names()?;
        self.validate_node()?;
        self.validate_listeners()?;
        self.validate_pools()?;
        self.validate_endpoints()?;
        self.validate_classes()?;
        self.validate_tenants()?;
        self.routes.values().try_for_each(|route| self.validate_route(route))
    }

    fn validate_counts(&self) -> Result<(), ValidationError> {
        let counts = [
            (Kind::Listener, self.listeners.len()),
            (Kind::Pool, self.pools.len()),
            (Kind::Class, self.classes.len()),
            (Kind::Route, self.routes.len()),
        ];
        match counts.into_iter().find(|(_, count)| *count == 0) {
            Some((kind, _)) => Err(ValidationError::NoneOfKind(kind)),
            None => Ok(()),
        }
    }

    fn validate_names(&self) -> Result<(), ValidationError> {
        let unnamed = [
            (Kind::Listener, self.listeners.contains_key("")),
            (Kind::Pool, self.pools.contains_key("")),
            (Kind::Endpoint, self.endpoints.keys().any(|(_, name)| name.is_empty())),
            (Kind::Class, self.classes.contains_key("")),
            (Kind::Tenant, self.tenants.contains_key("")),
            (Kind::Route, self.routes.contains_key("")),
        ];
        match unnamed.into_iter().find(|(_, unnamed)| *unnamed) {
            Some((kind, _)) => Err(ValidationError::EmptyName(kind)),
            None => Ok(()),
        }
    }

    fn validate_node(&self) -> Result<(), ValidationError> {
        let id = || ResourceId::Node;
        if !self.node.zones.contains(&self.node.zone) {
            return Err(ValidationError::UnknownZone { from: id(), zone: self.node.zone.to_string() });
        }
        in_range(self.node.node_index < self.node.node_count, id, "number")
    }

    fn validate_listeners(&self) -> Result<(), ValidationError> {
        let mut seen = BTreeMap::new();
        for listener in self.listeners.values().filter(|listener| listener.address.port() != 0) {
            if let Some(other) = seen.insert(listener.address, listener.name.clone()) {
                let listener = ResourceId::Listener(listener.name.clone());
                return Err(ValidationError::DuplicateAddress(ResourceId::Listener(other), listener));
            }
        }
        Ok(())
    }

    fn validate_pools(&self) -> Result<(), ValidationError> {
        for Pool { name, settings, .. } in self.pools.values().map(Arc::as_ref) {
            let id = || ResourceId::Pool(name.clone());
            in_range(settings.max_attempts > 0, id, "attempts")?;
            in_range(is_fraction(settings.warmup_initial_fraction), id, "cold_from")?;
            in_range(is_not_negative(settings.overload_multiple), id, "tips_at")?;
            in_range(is_not_negative(settings.cross_zone_cost), id, "crossing")?;
        }
        Ok(())
    }

    fn validate_endpoints(&self) -> Result<(), ValidationError> {
        for endpoint in self.endpoints.values() {
            let id = || ResourceId::Endpoint { pool: endpoint.pool.clone(), name: endpoint.name.clone() };
            let Some(pool) = self.pools.get(&endpoint.pool) else {
                return Err(ValidationError::DanglingReference {
                    from: id(),
                    to: ResourceId::Pool(endpoint.pool.clone()),
                });
            };
            if pool.endpoint_source != EndpointSource::Static {
                return Err(ValidationError::EndpointOfDiscoveredPool(id()));
            }
            if !self.node.zones.contains(&endpoint.zone) {
                return Err(ValidationError::UnknownZone { from: id(), zone: endpoint.zone.to_string() });
            }
            in_range(endpoint.weight.is_finite() && endpoint.weight > 0.0, id, "weight")?;
        }
        Ok(())
    }

    fn validate_classes(&self) -> Result<(), ValidationError> {
        for Class { name, settings } in self.classes.values().map(Arc::as_ref) {
            let id = || ResourceId::Class(name.clone());
            in_range(settings.deadline > 0, id, "deadline")?;
            in_range(settings.latency_objective <= settings.deadline, id, "aim")?;
            in_range(is_not_negative(settings.priority_weight), id, "worth")?;
            in_range(is_fraction(settings.late_weight), id, "late_worth")?;
            if let Idempotency::IdempotencyKey { header, .. } = &settings.idempotency {
                in_range(!header.is_empty(), id, "header")?;
            }
        }
        Ok(())
    }

    fn validate_tenants(&self) -> Result<(), ValidationError> {
        for tenant in self.tenants.values() {
            let id = || ResourceId::Tenant(tenant.name.clone());
            in_range(is_fraction(tenant.share), id, "share")?;
            in_range(is_not_negative(tenant.allowance_per_s), id, "rate")?;
        }
        Ok(())
    }

    fn validate_route(&self, route: &Route) -> Result<(), ValidationError> {
        let tenant = match &route.tenant {
            TenantSource::Fixed(name) if !self.tenants.contains_key(name) => {
                Some(ResourceId::Tenant(name.clone()))
            }
            TenantSource::None | TenantSource::Fixed(_) | TenantSource::Header(_) => None,
        };
        let class = Some(&route.class).filter(|name| !self.classes.contains_key(*name));
        let pool = Some(&route.pool).filter(|name| !self.pools.contains_key(*name));
        let dangling = class.map(|name| ResourceId::Class(name.clone()));
        let dangling = dangling.or_else(|| pool.map(|name| ResourceId::Pool(name.clone()))).or(tenant);
        match dangling {
            Some(to) => {
                Err(ValidationError::DanglingReference { from: ResourceId::Route(route.name.clone()), to })
            }
            None => Ok(()),
        }
    }
}

/// Returns an error if a setting is out of range. `setting` is its name in error messages.
fn in_range(
    is_in_range: bool,
    id: impl Fn() -> ResourceId,
    setting: &'static str,
) -> Result<(), ValidationError> {
    if is_in_range { Ok(()) } else { Err(ValidationError::OutOfRange { resource: id(), setting }) }
}

/// Whether a value is a fraction from 0 to 1.
fn is_fraction(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

/// Whether a value is finite and not negative.
fn is_not_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}
