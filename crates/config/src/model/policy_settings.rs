//! Converts the settings of a pool to those of its decision module.

use pumicehead_policy::tenant_shares::TenantShares;
use pumicehead_policy::{
    Class as PolicyClass, Discovery, Idempotency as PolicyIdempotency, Nanos, SECOND, Settings,
    Tenant as PolicyTenant, ZoneId,
};

use super::{Class, Config, Idempotency, PoolEndpoints, Tenant};

/// Factor for the priority weight of a request beyond its tenant's share.
const OVER_SHARE_WEIGHT: f64 = 0.1;
/// Minimum time between two batches of events: the node handles events as they arrive.
const TICK: Nanos = SECOND / 1_000;
/// Time between two polls of a node that does not watch the discovery service.
const POLL_INTERVAL: Nanos = 10 * SECOND;
/// Time within which attempts to a draining endpoint must have ceased.
const DRAIN_GRACE: Nanos = 2 * SECOND;
/// Time within which idle connections to a draining endpoint are closed.
const DRAIN_IDLE_CLOSE: Nanos = SECOND;

impl Config {
    /// Indices of the classes of the routes to a pool, in the order of the file. The decision module of a
    /// pool has only these classes.
    #[must_use]
    pub fn classes_of(&self, pool: usize) -> Vec<usize> {
        let mut used = vec![false; self.classes.len()];
        for route in self.routes.iter().filter(|route| route.pool == pool) {
            used[route.class] = true;
        }
        (0..used.len()).filter(|class| used[*class]).collect()
    }

    /// The tenants with their names, in the form that the decision module takes.
    pub fn policy_tenants(&self) -> impl Iterator<Item = (&str, PolicyTenant)> {
        let policy =
            |tenant: &Tenant| PolicyTenant { share: tenant.share, allowance_per_s: tenant.allowance_per_s };
        self.tenants.iter().map(move |tenant| (tenant.name.as_str(), policy(tenant)))
    }

    /// The settings of a pool's decision module. Its classes are those of [`classes_of`](Self::classes_of),
    /// and the ids of tenants are their indices.
    #[must_use]
    pub fn settings(&self, pool: usize) -> Settings {
        self.settings_with(pool, self.policy_tenants().map(|(_, tenant)| tenant).collect())
    }

    /// Like [`settings`](Self::settings), with tenant ids assigned by the caller, so that all pools can share
    /// them.
    #[must_use]
    pub fn settings_with(&self, pool: usize, tenants: TenantShares) -> Settings {
        let classes = self.classes_of(pool).into_iter().map(|class| self.classes[class].policy()).collect();
        let endpoints = &self.pools[pool].endpoints;
        let pool = &self.pools[pool].settings;
        Settings {
            node_index: self.node.node_index,
            node_count: self.node.node_count,
            zone: ZoneId(self.node.zone as u16),
            zone_count: self.node.zones.len() as u16,
            classes,
            tenants,
            over_share_weight: OVER_SHARE_WEIGHT,
            weight_by_work: false,
            discovery: endpoints.discovery(),
            tick: TICK,
            max_attempts: pool.max_attempts,
            concurrent_attempts: pool.concurrent_attempts,
            cancellation: true,
            retry_after: true,
            max_retry_after: self.limits.max_retry_after,
            connections_have_cost: true,
            cross_zone_cost: pool.cross_zone_cost,
            weight_is_capacity: true,
            load_reports: false,
            load_report_cost: 0.0,
            poll_interval: POLL_INTERVAL,
            drain_grace: DRAIN_GRACE,
            warmup_initial_fraction: pool.warmup_initial_fraction,
            warmup_duration: pool.warmup_duration,
            overload_multiple: pool.overload_multiple,
            overload_duration: pool.overload_duration,
            rejection_may_execute: false,
            key_cooldown: 0,
            drain_idle_close: Some(DRAIN_IDLE_CLOSE),
        }
    }
}

impl PoolEndpoints {
    /// How updates of the endpoints arrive; those from a file are pushed.
    fn discovery(&self) -> Discovery {
        match self {
            Self::Static(_) => Discovery::Push,
            Self::Discovered { mode, .. } => *mode,
        }
    }
}

impl Class {
    fn policy(&self) -> PolicyClass {
        let settings = &self.settings;
        PolicyClass {
            latency_objective: settings.latency_objective,
            objective_per_work: 0.0,
            deadline: settings.deadline,
            priority_weight: settings.priority_weight,
            late_weight: settings.late_weight,
            idempotency: match settings.idempotency {
                Idempotency::Idempotent => PolicyIdempotency::Idempotent,
                Idempotency::IdempotencyKey { scope, window, .. } => {
                    PolicyIdempotency::IdempotencyKey { scope, window }
                }
                Idempotency::NotIdempotent => PolicyIdempotency::NotIdempotent,
            },
            ordered_by_key: settings.ordered_by_key,
        }
    }
}
