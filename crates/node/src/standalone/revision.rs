//! A revision of the configuration with all that is derived from it, and the way from one to the next. Both are built
//! off the loop's thread and hold nothing that belongs to it.

use std::fmt;
use std::sync::Arc;

use pumicehead_config::compact_config::CompactConfig;
use pumicehead_config::model::Config;
use pumicehead_policy::tenant_ids::TenantIds;
use pumicehead_policy::{Nanos, Settings};
use pumicehead_resources::{Digest, Revision};

use super::admission::RequestTable;
use super::difference::Difference;
use super::pools::{Endpoints, PoolIdentity};
use super::site::SiteError;
use super::touched::Touched;

/// A revision of the configuration, with all that is derived from it. Immutable, and free of texts and trees.
pub struct NodeConfig {
    /// Its number in this process.
    pub revision: Revision,
    /// Fingerprint of the whole state.
    pub digest: Digest,
    /// The file's meaning.
    pub config: CompactConfig,
    /// What each pool's learned state rests on, in the order of the configuration.
    pub identities: Vec<Arc<PoolIdentity>>,
    /// The routes, as requests meet them.
    pub table: Arc<RequestTable>,
    /// The tenants with their ids.
    pub tenants: TenantIds,
}

impl NodeConfig {
    /// The first one of a process.
    ///
    /// # Errors
    /// What keeps it from being used.
    pub fn first(config: &Config, digest: Digest, now: Nanos) -> Result<Self, SiteError> {
        let mut tenants = TenantIds::default();
        tenants.update(config.policy_tenants(), now);
        let identity = |place| PoolIdentity::of(config, place, tenants.shares()).map(Arc::new);
        let identities = (0..config.pools.len()).map(identity).collect::<Result<Vec<_>, _>>()?;
        Ok(Self::with(Revision::default().next(), digest, config, identities, tenants))
    }

    fn with(
        revision: Revision,
        digest: Digest,
        config: &Config,
        identities: Vec<Arc<PoolIdentity>>,
        tenants: TenantIds,
    ) -> Self {
        let classes: Vec<_> = identities.iter().map(|identity| identity.classes.as_slice()).collect();
        let table = Arc::new(RequestTable::new(revision, config, &classes, &tenants));
        let config = CompactConfig::new(config, table.routes().clone());
        Self { revision, digest, config, identities, table, tenants }
    }

    /// The pool of a name, by its place.
    fn pool(&self, name: &str) -> Option<usize> {
        self.config.settings().pools.iter().position(|pool| pool.name == name)
    }
}

/// What becomes of a pool.
pub enum PoolStep {
    /// Nothing about it has changed: its loop hears nothing.
    Keep,
    /// It goes on with what it has learned.
    Update {
        /// Other settings, where they changed.
        settings: Option<Box<Settings>>,
        /// Other servers, where they changed.
        endpoints: Option<Endpoints>,
    },
    /// A loop of its own begins, in place of any that there was: that one serves what it has.
    Start(Endpoints),
}

/// How many pools a revision leaves alone, changes in place and begins anew.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolCounts {
    /// Their loops hear nothing.
    pub kept: usize,
    /// They go on with what they have learned.
    pub updated: usize,
    /// They begin anew, or are new.
    pub started: usize,
}

impl PoolCounts {
    fn of(steps: &[PoolStep]) -> Self {
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
        write!(f, "pools: {kept} untouched, {updated} changed in place, {started} begun anew")
    }
}

/// The way from one revision to the next.
pub struct Transition {
    /// The next one.
    pub next: Arc<NodeConfig>,
    /// What becomes of each pool, in the order of the next one.
    pub steps: Vec<PoolStep>,
    /// The steps by their kinds, for the log.
    pub counts: PoolCounts,
    /// Settings that changed and are read at a start only.
    pub waiting: Vec<&'static str>,
}

impl Transition {
    /// From the revision in force to a configuration whose difference from it is known. `now` is the time of the loop.
    ///
    /// # Errors
    /// What keeps the configuration from being used.
    pub fn prepare(
        current: &NodeConfig,
        config: &Config,
        difference: &Difference,
        now: Nanos,
    ) -> Result<Self, SiteError> {
        let revision = if difference.is_empty { current.revision } else { current.revision.next() };
        let mut tenants = current.tenants.clone();
        tenants.update(config.policy_tenants(), now);
        let mut identities = Vec::with_capacity(config.pools.len());
        let mut steps = Vec::with_capacity(config.pools.len());
        for place in 0..config.pools.len() {
            let (identity, step) = pool_step(current, config, place, &difference.touched, &tenants)?;
            identities.push(identity);
            steps.push(step);
        }
        let counts = PoolCounts::of(&steps);
        let next = Arc::new(NodeConfig::with(revision, difference.digest, config, identities, tenants));
        Ok(Self { next, steps, counts, waiting: difference.waiting.clone() })
    }
}

/// The identity of the pool at `place`, and what becomes of it.
fn pool_step(
    current: &NodeConfig,
    config: &Config,
    place: usize,
    touched: &Touched,
    tenants: &TenantIds,
) -> Result<(Arc<PoolIdentity>, PoolStep), SiteError> {
    let former = current.pool(&config.pools[place].name);
    if let Some(former) = former.filter(|_| !touched.contains(&config.pools[place].name)) {
        return Ok((current.identities[former].clone(), PoolStep::Keep));
    }
    let identity = PoolIdentity::of(config, place, tenants.shares())?;
    let endpoints = Endpoints::of(config, place);
    let Some(former) = former else { return Ok((Arc::new(identity), PoolStep::Start(endpoints))) };
    let old = &current.identities[former];
    let in_place = identity.clone().behind(old);
    if !old.retunes_to(&in_place) {
        return Ok((Arc::new(identity), PoolStep::Start(endpoints)));
    }
    let settings = (old.settings != in_place.settings).then(|| Box::new(in_place.settings.clone()));
    let endpoints = Some(endpoints).filter(|new| *new != Endpoints::of(current.config.settings(), former));
    let step = match (settings, endpoints) {
        (None, None) => PoolStep::Keep,
        (settings, endpoints) => PoolStep::Update { settings, endpoints },
    };
    Ok((Arc::new(in_place), step))
}
