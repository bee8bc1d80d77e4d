//! A revision of the configuration and everything derived from it.

use std::sync::Arc;

use pumicehead_config::compact_config::CompactConfig;
use pumicehead_config::model::Config;
use pumicehead_policy::Nanos;
use pumicehead_policy::tenant_ids::TenantIds;
use pumicehead_resources::{Digest, Revision};

use super::error::ApplyError;
use super::pool_identity::PoolIdentity;
use super::request_table::RequestTable;

/// A revision of the configuration and everything derived from it. Immutable and `Send`; contains neither source texts nor
/// syntax trees.
pub struct ConfigRevision {
    /// Revision number, counted per process.
    pub revision: Revision,
    /// Digest of the whole configuration.
    pub digest: Digest,
    /// The configuration in compact form.
    pub config: CompactConfig,
    /// Pool identities, in the order of the configuration.
    pub pool_identities: Vec<Arc<PoolIdentity>>,
    /// Lookup tables for requests.
    pub table: Arc<RequestTable>,
    /// Ids of the tenants.
    pub tenants: TenantIds,
}

impl ConfigRevision {
    /// Creates the first revision of a process. `now` is the event loop's time.
    ///
    /// # Errors
    /// Returns [`ApplyError::InvalidSettings`] if the settings of a pool are invalid.
    pub fn first(config: &Config, digest: Digest, now: Nanos) -> Result<Self, ApplyError> {
        let mut tenants = TenantIds::default();
        tenants.update(config.policy_tenants(), now);
        let identity = |pool_index| PoolIdentity::new(config, pool_index, tenants.shares()).map(Arc::new);
        let pool_identities = (0..config.pools.len()).map(identity).collect::<Result<Vec<_>, _>>()?;
        Ok(Self::new(Revision::default().next(), digest, config, pool_identities, tenants))
    }

    /// Creates a revision. `pool_identities` are in the order of the pools in the configuration.
    pub fn new(
        revision: Revision,
        digest: Digest,
        config: &Config,
        pool_identities: Vec<Arc<PoolIdentity>>,
        tenants: TenantIds,
    ) -> Self {
        let classes: Vec<_> = pool_identities.iter().map(|identity| identity.classes.as_slice()).collect();
        let table = Arc::new(RequestTable::new(revision, config, &classes, &tenants));
        let config = CompactConfig::new(config, table.routes().clone());
        Self { revision, digest, config, pool_identities, table, tenants }
    }

    /// Returns the index of the pool with this name.
    pub fn pool_index(&self, name: &str) -> Option<usize> {
        self.config.settings().pools.iter().position(|pool| pool.name == name)
    }
}
