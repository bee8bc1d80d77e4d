//! A revision of the configuration with all that is derived from it, and the way from one to the next. Both are built
//! off the loop's thread and hold nothing that belongs to it.

use std::fmt;
use std::sync::Arc;

use pumicehead_lang::Span;
use pumicehead_lang::diff::{Change, What, diff_by};
use pumicehead_lang::model::Config;
use pumicehead_policy::interface::Settings;
use pumicehead_resources::{Delta, Digest, Revision, Snapshot};

use super::admission::RouteTable;
use super::pools::{Endpoints, PoolIdentity};
use super::site::SiteError;
use super::touched::Touched;

/// A revision of the configuration, with all that is derived from it. Immutable.
pub struct NodeConfig {
    /// Its number in this process.
    pub revision: Revision,
    /// Fingerprint of the whole state.
    pub digest: Digest,
    /// The file's meaning.
    pub config: Config,
    /// What each pool's learned state rests on, in the order of the configuration.
    pub identities: Vec<Arc<PoolIdentity>>,
    /// The routes, compiled.
    pub table: Arc<RouteTable>,
    /// Names of the tenants, in the order of the configuration.
    pub tenants: Arc<[String]>,
}

impl NodeConfig {
    /// The first one of a process.
    ///
    /// # Errors
    /// What keeps it from being used.
    pub fn first(config: Config) -> Result<Self, SiteError> {
        let digest = config.snapshot()?.digest();
        let places = 0..config.pools.len();
        let identities = places.map(|place| PoolIdentity::of(&config, place).map(Arc::new));
        let identities = identities.collect::<Result<Vec<_>, _>>()?;
        Ok(Self::with(Revision::default().next(), digest, config, identities))
    }

    fn with(revision: Revision, digest: Digest, config: Config, identities: Vec<Arc<PoolIdentity>>) -> Self {
        let tenants: Arc<[String]> = config.tenants.iter().map(|tenant| tenant.name.clone()).collect();
        let classes: Vec<_> = identities.iter().map(|identity| identity.classes.as_slice()).collect();
        let table = Arc::new(RouteTable::new(revision, &config, &classes, tenants.clone()));
        Self { revision, digest, config, identities, table, tenants }
    }

    /// The pool of a name, by its place.
    fn pool(&self, name: &str) -> Option<usize> {
        self.config.pools.iter().position(|pool| pool.name == name)
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
    /// What differs, for the log.
    pub changes: Vec<Change>,
}

impl Transition {
    /// Compares a configuration with the one in force.
    ///
    /// # Errors
    /// What keeps it from being used.
    pub fn prepare(current: &NodeConfig, config: Config) -> Result<Self, SiteError> {
        let Difference { digest, delta, touched, waiting } = Difference::of(current, &config)?;
        let changes = shown_changes(&current.config, &config, &delta);
        let revision = if delta.is_empty() { current.revision } else { current.revision.next() };
        drop(delta);
        let mut identities = Vec::with_capacity(config.pools.len());
        let mut steps = Vec::with_capacity(config.pools.len());
        for place in 0..config.pools.len() {
            let (identity, step) = pool_step(current, &config, place, &touched)?;
            identities.push(identity);
            steps.push(step);
        }
        let next = Arc::new(NodeConfig::with(revision, digest, config, identities));
        let counts = PoolCounts::of(&steps);
        Ok(Self { next, steps, counts, waiting, changes })
    }
}

/// How the tables of a configuration differ from those in force.
struct Difference {
    digest: Digest,
    delta: Delta,
    touched: Touched,
    /// As [`Transition::waiting`].
    waiting: Vec<&'static str>,
}

impl Difference {
    /// The tables of both are gone when it is known: the routes are not built beside them.
    fn of(current: &NodeConfig, config: &Config) -> Result<Self, SiteError> {
        let (old, new) = (current.config.snapshot()?, config.snapshot()?);
        let delta = old.difference(&new);
        Ok(Self {
            digest: new.digest(),
            touched: touched_pools(current, config, (&old, &new), &delta),
            waiting: waiting_settings(&old, &new),
            delta,
        })
    }
}

/// The pools that a delta has to do with.
fn touched_pools(
    current: &NodeConfig,
    config: &Config,
    (old, new): (&Snapshot, &Snapshot),
    delta: &Delta,
) -> Touched {
    let names = |config: &Config| config.tenants.iter().map(|tenant| tenant.name.clone()).collect::<Vec<_>>();
    // Pools know tenants by their places.
    if names(&current.config) != names(config) {
        return Touched::All;
    }
    Touched::by(delta, old, new)
}

/// The identity of the pool at `place`, and what becomes of it.
fn pool_step(
    current: &NodeConfig,
    config: &Config,
    place: usize,
    touched: &Touched,
) -> Result<(Arc<PoolIdentity>, PoolStep), SiteError> {
    let former = current.pool(&config.pools[place].name);
    if let Some(former) = former.filter(|_| !touched.contains(&config.pools[place].name)) {
        return Ok((current.identities[former].clone(), PoolStep::Keep));
    }
    let identity = PoolIdentity::of(config, place)?;
    let endpoints = Endpoints::of(config, place);
    let Some(former) = former else { return Ok((Arc::new(identity), PoolStep::Start(endpoints))) };
    let old = &current.identities[former];
    let in_place = identity.clone().behind(old);
    if !old.retunes_to(&in_place) {
        return Ok((Arc::new(identity), PoolStep::Start(endpoints)));
    }
    let settings = (old.settings != in_place.settings).then(|| Box::new(in_place.settings.clone()));
    let endpoints = Some(endpoints).filter(|new| *new != Endpoints::of(&current.config, former));
    let step = match (settings, endpoints) {
        (None, None) => PoolStep::Keep,
        (settings, endpoints) => PoolStep::Update { settings, endpoints },
    };
    Ok((Arc::new(in_place), step))
}

/// The differences as the log tells them, with their places in the file.
fn shown_changes(old: &Config, new: &Config, delta: &Delta) -> Vec<Change> {
    let mut changes = diff_by(old, new, delta);
    // What is gone stood in texts that are gone as well.
    let gone = changes.iter_mut().filter(|change| change.what == What::Removed);
    gone.for_each(|change| change.place = Span::default());
    changes
}

/// Settings that differ and are read at a start only, as the log names them.
fn waiting_settings(old: &Snapshot, new: &Snapshot) -> Vec<&'static str> {
    let (old, new) = (old.node(), new.node());
    let (limits, new_limits) = (&old.limits, &new.limits);
    let (observe, new_observe) = (&old.observe, &new.observe);
    let differ = [
        (
            (limits.memory, limits.descriptors) != (new_limits.memory, new_limits.descriptors),
            "`memory` and `descriptors` wait",
        ),
        (
            (observe.calls, observe.recorder, &observe.recordings)
                != (new_observe.calls, new_observe.recorder, &new_observe.recordings),
            "`calls`, `recorder` and `recordings` wait",
        ),
        (old.fleet != new.fleet, "`fleet` waits"),
    ];
    differ.into_iter().filter_map(|(differs, which)| differs.then_some(which)).collect()
}
