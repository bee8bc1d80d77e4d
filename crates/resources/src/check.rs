//! What a state must be for a node to use it, whoever made it. What the language of files asks for beyond that, such as
//! the spelling of names and the range of each value, is checked where files are read.

use std::collections::BTreeMap;

use thiserror::Error;

use crate::resource::{Endpoints, Kind, Repeats, ResourceId, Route, TenantSource};
use crate::snapshot::Snapshot;

/// Why a state can't be used.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum Fault {
    /// A resource names one that is not there.
    #[error("{from} names {to}, which is not there")]
    Dangling {
        /// Who names it.
        from: ResourceId,
        /// What is not there.
        to: ResourceId,
    },
    /// A resource names a zone that the node does not have.
    #[error("{from} is in the zone {zone}, which is not there")]
    UnknownZone {
        /// Who names it.
        from: ResourceId,
        /// The zone.
        zone: String,
    },
    /// There must be at least one of a kind.
    #[error("there is no {0}")]
    NoneOf(Kind),
    /// A resource has an empty name.
    #[error("a {0} has no name")]
    Unnamed(Kind),
    /// Two listeners have one address; port 0 is any free one, and may be in both.
    #[error("{0} and {1} have one address")]
    SameAddress(ResourceId, ResourceId),
    /// A backend of a pool whose backends a service lists.
    #[error("{0} is in a pool whose backends a service lists")]
    NotListed(ResourceId),
    /// A value that no decision can be made with.
    #[error("{of}: {value} is out of range")]
    OutOfRange {
        /// Of this resource.
        of: ResourceId,
        /// Which value.
        value: &'static str,
    },
}

impl Snapshot {
    /// Checks the whole state.
    ///
    /// # Errors
    /// The first fault, by kind and name.
    pub fn check(&self) -> Result<(), Fault> {
        self.check_counts()?;
        self.check_names()?;
        self.check_node()?;
        self.check_listeners()?;
        self.check_pools()?;
        self.check_backends()?;
        self.check_classes()?;
        self.check_tenants()?;
        self.routes.values().try_for_each(|route| self.check_route(route))
    }

    fn check_counts(&self) -> Result<(), Fault> {
        let counts = [
            (Kind::Listener, self.listeners.len()),
            (Kind::Pool, self.pools.len()),
            (Kind::Class, self.classes.len()),
            (Kind::Route, self.routes.len()),
        ];
        match counts.into_iter().find(|(_, count)| *count == 0) {
            Some((kind, _)) => Err(Fault::NoneOf(kind)),
            None => Ok(()),
        }
    }

    fn check_names(&self) -> Result<(), Fault> {
        let unnamed = [
            (Kind::Listener, self.listeners.contains_key("")),
            (Kind::Pool, self.pools.contains_key("")),
            (Kind::Backend, self.backends.keys().any(|(_, name)| name.is_empty())),
            (Kind::Class, self.classes.contains_key("")),
            (Kind::Tenant, self.tenants.contains_key("")),
            (Kind::Route, self.routes.contains_key("")),
        ];
        match unnamed.into_iter().find(|(_, unnamed)| *unnamed) {
            Some((kind, _)) => Err(Fault::Unnamed(kind)),
            None => Ok(()),
        }
    }

    fn check_node(&self) -> Result<(), Fault> {
        let of = || ResourceId::Node;
        if !self.node.zones.contains(&self.node.zone) {
            return Err(Fault::UnknownZone { from: of(), zone: self.node.zone.to_string() });
        }
        in_range(self.node.number < self.node.nodes, of, "number")
    }

    fn check_listeners(&self) -> Result<(), Fault> {
        let mut known = BTreeMap::new();
        for listener in self.listeners.values().filter(|listener| listener.address.port() != 0) {
            if let Some(other) = known.insert(listener.address, listener.name.clone()) {
                let listener = ResourceId::Listener(listener.name.clone());
                return Err(Fault::SameAddress(ResourceId::Listener(other), listener));
            }
        }
        Ok(())
    }

    fn check_pools(&self) -> Result<(), Fault> {
        for pool in self.pools.values() {
            let of = || ResourceId::Pool(pool.name.clone());
            in_range(pool.attempts > 0, of, "attempts")?;
            in_range(is_share(pool.cold_from), of, "cold_from")?;
            in_range(pool.tips_at.is_finite() && pool.tips_at >= 0.0, of, "tips_at")?;
            in_range(pool.crossing.is_finite() && pool.crossing >= 0.0, of, "crossing")?;
        }
        Ok(())
    }

    fn check_backends(&self) -> Result<(), Fault> {
        for backend in self.backends.values() {
            let of = || ResourceId::Backend { pool: backend.pool.clone(), name: backend.name.clone() };
            let Some(pool) = self.pools.get(&backend.pool) else {
                return Err(Fault::Dangling { from: of(), to: ResourceId::Pool(backend.pool.clone()) });
            };
            if pool.endpoints != Endpoints::Listed {
                return Err(Fault::NotListed(of()));
            }
            if !self.node.zones.contains(&backend.zone) {
                return Err(Fault::UnknownZone { from: of(), zone: backend.zone.to_string() });
            }
            in_range(backend.weight.is_finite() && backend.weight > 0.0, of, "weight")?;
        }
        Ok(())
    }

    fn check_classes(&self) -> Result<(), Fault> {
        for class in self.classes.values() {
            let of = || ResourceId::Class(class.name.clone());
            in_range(class.deadline > 0, of, "deadline")?;
            in_range(class.aim <= class.deadline, of, "aim")?;
            in_range(class.worth.is_finite() && class.worth >= 0.0, of, "worth")?;
            in_range(is_share(class.late_worth), of, "late_worth")?;
            if let Repeats::Keyed { header, .. } = &class.repeats {
                in_range(!header.is_empty(), of, "header")?;
            }
        }
        Ok(())
    }

    fn check_tenants(&self) -> Result<(), Fault> {
        for tenant in self.tenants.values() {
            let of = || ResourceId::Tenant(tenant.name.clone());
            in_range(is_share(tenant.share), of, "share")?;
            in_range(tenant.rate.is_finite() && tenant.rate >= 0.0, of, "rate")?;
        }
        Ok(())
    }

    fn check_route(&self, route: &Route) -> Result<(), Fault> {
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
            Some(to) => Err(Fault::Dangling { from: ResourceId::Route(route.name.clone()), to }),
            None => Ok(()),
        }
    }
}

fn in_range(holds: bool, of: impl Fn() -> ResourceId, value: &'static str) -> Result<(), Fault> {
    if holds { Ok(()) } else { Err(Fault::OutOfRange { of: of(), value }) }
}

fn is_share(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}
