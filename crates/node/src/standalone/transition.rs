//! The transition from one revision of the configuration to the next, which is prepared outside the event loop thread.

use std::fmt;
use std::sync::Arc;

use pumicehead_config::model::Config;
use pumicehead_policy::tenant_ids::TenantIds;
use pumicehead_policy::{Nanos, Settings};

use super::affected_pools::AffectedPools;
use super::config_diff::ConfigDiff;
use super::config_revision::ConfigRevision;
use super::configured_endpoints::ConfiguredEndpoints;
use super::error::ApplyError;
use super::pool_identity::PoolIdentity;

/// What a transition does with a pool.
pub enum PoolStep {
    /// The pool is unchanged, and its event loop gets no message.
    Keep,
    /// The event loop adopts the changes and keeps what it has learned.
    Update {
        /// New settings, if they changed.
        settings: Option<Box<Settings>>,
        /// New endpoints, if they changed.
        endpoints: Option<ConfiguredEndpoints>,
    },
    /// A new event loop starts. A former pool with this name only finishes the requests that it already has.
    Start(ConfiguredEndpoints),
}

/// Numbers of pools that a transition keeps, updates and starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolCounts {
    /// See [`PoolStep::Keep`].
    pub kept: usize,
    /// See [`PoolStep::Update`].
    pub updated: usize,
    /// See [`PoolStep::Start`].
    pub started: usize,
}

impl PoolCounts {
    fn new(steps: &[PoolStep]) -> Self {
        let mut counts = Self::default();
        for step in steps {
            match step {
                PoolStep::Keep => counts.kept += 1,
                PoolStep::Update { .. } => counts.updated += 1,
                PoolStep::Start(_) => counts.started += 1,
            }
        }
        counts
    }
}

impl fmt::Display for PoolCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { kept, updated, started } = self;
        write!(f, "pools: {kept} kept, {updated} updated, {started} started")
    }
}

/// The transition from one revision to the next.
pub struct Transition {
    /// The next revision.
    pub next: Arc<ConfigRevision>,
    /// The step of each pool, in the order of the next revision.
    pub steps: Vec<PoolStep>,
    /// Counts of the steps, for the log.
    pub counts: PoolCounts,
    /// Descriptions, for the log, of changed settings that take effect only at the next start.
    pub restart_required: Vec<&'static str>,
}

impl Transition {
    /// Prepares the transition from the revision in force to a configuration that differs from it by `diff`. `now` is the
    /// event loop's time.
    ///
    /// # Errors
    /// Returns [`ApplyError::InvalidSettings`] if the settings of a pool are invalid.
    pub fn prepare(
        current: &ConfigRevision,
        config: &Config,
        diff: &ConfigDiff,
        now: Nanos,
    ) -> Result<Self, ApplyError> {
        let revision = if diff.is_empty { current.revision } else { current.revision.next() };
        let mut tenants = current.tenants.clone();
        tenants.update(config.policy_tenants(), now);
        let mut pool_identities = Vec::with_capacity(config.pools.len());
        let mut steps = Vec::with_capacity(config.pools.len());
        for pool_index in 0..config.pools.len() {
            let planned = plan_pool(current, config, pool_index, &diff.affected_pools, &tenants)?;
            pool_identities.push(planned.identity);
            steps.push(planned.step);
        }
        let counts = PoolCounts::new(&steps);
        let next = ConfigRevision::new(revision, diff.digest, config, pool_identities, tenants);
        Ok(Self { next: Arc::new(next), steps, counts, restart_required: diff.restart_required.clone() })
    }
}

/// Identity and step of a pool of the next revision.
struct PlannedPool {
    identity: Arc<PoolIdentity>,
    step: PoolStep,
}

fn plan_pool(
    current: &ConfigRevision,
    config: &Config,
    pool_index: usize,
    affected: &AffectedPools,
    tenants: &TenantIds,
) -> Result<PlannedPool, ApplyError> {
    let name = &config.pools[pool_index].name;
    let former_index = current.pool_index(name);
    if let Some(former) = former_index.filter(|_| !affected.contains(name)) {
        return Ok(PlannedPool { identity: current.pool_identities[former].clone(), step: PoolStep::Keep });
    }
    let identity = PoolIdentity::new(config, pool_index, tenants.shares())?;
    let endpoints = ConfiguredEndpoints::new(config, pool_index);
    let Some(former_index) = former_index else {
        return Ok(PlannedPool { identity: Arc::new(identity), step: PoolStep::Start(endpoints) });
    };
    let former = &current.pool_identities[former_index];
    let in_place = identity.clone().with_class_order_of(former);
    if !former.can_update_to(&in_place) {
        return Ok(PlannedPool { identity: Arc::new(identity), step: PoolStep::Start(endpoints) });
    }
    let settings = (former.settings != in_place.settings).then(|| Box::new(in_place.settings.clone()));
    let former_endpoints = ConfiguredEndpoints::new(current.config.settings(), former_index);
    let endpoints = Some(endpoints).filter(|new| *new != former_endpoints);
    let step = match (settings, endpoints) {
        (None, None) => PoolStep::Keep,
        (settings, endpoints) => PoolStep::Update { settings, endpoints },
    };
    Ok(PlannedPool { identity: Arc::new(in_place), step })
}
