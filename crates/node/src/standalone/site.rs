//! What runs: a loop for each pool, a front for each listener, and how the next revision takes their place.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use pumicehead_config::model::Config;
use pumicehead_policy::{NodeShare, Settings};
use pumicehead_resources::Digest;
use thiserror::Error;
use tracing::{info, warn};

use super::admission::{Gateway, Live};
use super::listeners::{self, BoundListener, RunningListener};
use super::pools::{Endpoints, PoolContext};
use super::record::Recorder;
use super::revision::{NodeConfig, PoolStep, Transition};
use crate::calls::MOST_CALLERS;
use crate::eyes::Eyes;
use crate::fleet;
use crate::net::downstream::connection_budget::ConnectionBudget;
use crate::net::downstream::{DownstreamListener, DrainReason};
use crate::net::memory_budget::MemoryBudget;
use crate::net::pool_handle::{ActiveRequestIds, PoolHandle};
use crate::net::upstream::connection_registry::ConnectionRegistry;
use crate::places::Places;

/// Long answers may take this part of the memory: the rest of it is for connections and requests.
const LONG_SHARE: u64 = 4;

/// What keeps a configuration from being used.
#[derive(Debug, Error)]
pub enum SiteError {
    /// An address.
    #[error("listen on {address}: {source}")]
    Listen {
        /// Which.
        address: SocketAddr,
        /// Why not.
        source: std::io::Error,
    },
    /// A state that the tables don't allow.
    #[error(transparent)]
    Unsound(#[from] pumicehead_resources::Fault),
    /// Settings that the decision module can't use.
    #[error("pool {pool}: {source}")]
    Settings {
        /// Which.
        pool: String,
        /// Why not.
        source: pumicehead_policy::SettingsError,
    },
}

/// What belongs to the revision in force.
struct Running {
    active: Arc<NodeConfig>,
    /// The loops of its pools, by name.
    pools: HashMap<String, PoolHandle>,
    listeners: Vec<RunningListener>,
}

/// A running node.
pub struct Site {
    gateway: Rc<Gateway>,
    pools: PoolContext,
    budget: Rc<ConnectionBudget>,
    running: RefCell<Running>,
    /// How many nodes share the servers, where the fleet says so.
    sharing: Cell<Option<NodeShare>>,
    /// Staff empty this node.
    draining: Cell<bool>,
}

impl Site {
    /// Starts all that a configuration names.
    ///
    /// # Errors
    /// An address that can't be listened on, or settings that can't be used.
    pub fn start(
        config: &Config,
        digest: Digest,
        recorder: Option<Recorder>,
        eyes: Rc<Eyes>,
    ) -> Result<Rc<Self>, SiteError> {
        let bound = listeners::bind(config, &[])?;
        let active = Arc::new(NodeConfig::first(config, digest, eyes.clock().now())?);
        name_tenants(&active, &eyes);
        let places = descriptor_budget(config);
        // Hash tables are seeded from the system's source of randomness.
        let seed = RandomState::new().build_hasher().finish();
        let pools = PoolContext {
            connections: ConnectionRegistry::new(places.servers),
            room: MemoryBudget::new((config.limits.memory / LONG_SHARE) as usize),
            held: ActiveRequestIds::default(),
            eyes,
            seed,
        };
        let handles: Vec<_> = (0..config.pools.len())
            .map(|place| start_pool(&pools, &active, place, Endpoints::of(config, place)))
            .collect();
        let live = Live { table: active.table.clone(), pools: handles.clone() };
        let names = config.pools.iter().map(|pool| pool.name.clone());
        let running =
            Running { pools: names.zip(handles).collect(), listeners: Vec::new(), active: active.clone() };
        let site = Rc::new(Self {
            gateway: Gateway::new(live, seed, recorder),
            budget: ConnectionBudget::new(places.clients, config.limits.descriptors),
            pools,
            running: RefCell::new(running),
            sharing: Cell::new(None),
            draining: Cell::new(false),
        });
        site.start_listeners(config, bound);
        site.set_listener_options(config);
        Ok(site)
    }

    /// The configuration in force.
    pub fn active(&self) -> Arc<NodeConfig> {
        self.running.borrow().active.clone()
    }

    /// Goes over to the next revision, or changes nothing. All of it happens in one turn of the loop, between two
    /// requests; what takes long was done before. A pool whose step is [`PoolStep::Keep`] hears nothing, others keep
    /// what they have learned where they can, and a loop that is replaced serves what it has. Listeners that are gone
    /// end in order.
    ///
    /// # Errors
    /// An address that can't be listened on.
    pub fn apply(self: &Rc<Self>, transition: &mut Transition) -> Result<(), SiteError> {
        let next = transition.next.clone();
        let config = next.config.settings();
        // All that can fail comes first.
        let addresses: Vec<_> = self.running.borrow().listeners.iter().map(|one| one.address).collect();
        let bound = listeners::bind(config, &addresses)?;
        for setting in &transition.waiting {
            warn!(target: "settings", "reload: {setting} for the next start");
        }
        super::set_log(self.pools.eyes.log(), &config.observe);
        let former = self.active();
        if !Arc::ptr_eq(former.tenants.by_name(), next.tenants.by_name()) {
            name_tenants(&next, &self.pools.eyes);
        }
        let handles = self.change_pools(&next, std::mem::take(&mut transition.steps));
        self.gateway.set_live(Live { table: next.table.clone(), pools: handles });
        self.running.borrow_mut().active = next.clone();
        self.stop_listeners(config);
        self.start_listeners(config, bound);
        self.set_listener_options(config);
        Ok(())
    }

    /// Carries out what becomes of each pool; the loops, in the order of the configuration.
    fn change_pools(&self, next: &NodeConfig, steps: Vec<PoolStep>) -> Vec<PoolHandle> {
        let mut running = self.running.borrow_mut();
        let mut former = std::mem::take(&mut running.pools);
        let mut handles = Vec::with_capacity(steps.len());
        for (place, step) in steps.into_iter().enumerate() {
            let name = &next.config.settings().pools[place].name;
            let kept = former.remove(name);
            let handle = match (step, kept) {
                (PoolStep::Keep, Some(kept)) => kept,
                (PoolStep::Update { settings, endpoints }, Some(kept)) => {
                    update_pool(&kept, settings, endpoints);
                    kept
                }
                (PoolStep::Start(endpoints), replaced) => {
                    if let Some(replaced) = replaced {
                        // Its servers are still there: what it holds may go to them.
                        replaced.retire(false);
                    }
                    self.start_shared_pool(next, place, endpoints)
                }
                // A step that keeps a loop is prepared from the revision that has it.
                (PoolStep::Keep | PoolStep::Update { .. }, None) => {
                    self.start_shared_pool(next, place, Endpoints::of(next.config.settings(), place))
                }
            };
            running.pools.insert(name.clone(), handle.clone());
            handles.push(handle);
        }
        for gone in former.into_values() {
            gone.retire(true);
        }
        handles
    }

    /// Starts a pool that knows how many nodes share its servers.
    fn start_shared_pool(&self, next: &NodeConfig, place: usize, endpoints: Endpoints) -> PoolHandle {
        let handle = start_pool(&self.pools, next, place, endpoints);
        if let Some(sharing) = self.sharing.get() {
            handle.set_node_share(sharing);
        }
        handle
    }

    fn start_listeners(self: &Rc<Self>, config: &Config, bound: Vec<BoundListener>) {
        for bound in bound {
            if let Ok(address) = bound.listener.local_addr() {
                info!(target: "node", "{} listens on {address}", config.node.name);
            }
            let front = self.front(config);
            self.running.borrow_mut().listeners.push(RunningListener::start(bound, front));
        }
    }

    fn front(self: &Rc<Self>, config: &Config) -> Rc<DownstreamListener> {
        // The fronts belong to the site: it may not be kept by them.
        let site = Rc::downgrade(self);
        let give_up = move || {
            if let Some(site) = site.upgrade() {
                site.running.borrow().pools.values().for_each(PoolHandle::fail_all);
            }
        };
        let front = DownstreamListener::new(
            self.gateway.clone(),
            self.pools.held.clone(),
            listeners::options(config),
            self.budget.clone(),
            give_up,
            Rc::default(),
            self.pools.room.clone(),
        );
        front.set_recorder(self.pools.eyes.front_tap());
        front.set_lame_duck(self.draining.get());
        front
    }

    /// Stops listeners whose addresses the configuration no longer has; they go on by themselves until their last
    /// answers.
    fn stop_listeners(&self, config: &Config) {
        let mut running = self.running.borrow_mut();
        let stays = |one: &RunningListener| config.listeners.iter().any(|other| other.address == one.address);
        let (kept, gone): (Vec<_>, Vec<_>) = running.listeners.drain(..).partition(stays);
        running.listeners = kept;
        for listener in gone {
            listener.stop(DrainReason::Listener);
        }
    }

    fn set_listener_options(&self, config: &Config) {
        let options = listeners::options(config);
        for listener in &self.running.borrow().listeners {
            listener.front.set_options(options);
            listener.front.set_protocol(listeners::protocol(config, listener.address));
        }
    }

    /// So many nodes share the servers of all pools from now on.
    pub fn share(&self, sharing: NodeShare) {
        self.sharing.set(Some(sharing));
        self.running.borrow().pools.values().for_each(|pool| pool.set_node_share(sharing));
    }

    /// Staff empty this node, or have it back at work: connections of clients end with their next answers.
    pub fn set_draining(&self, draining: bool) {
        self.draining.set(draining);
        self.running.borrow().listeners.iter().for_each(|listener| listener.front.set_lame_duck(draining));
    }

    /// Whether staff empty it.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// How much it has to do: requests in hand, in eighths of what it may hold.
    pub fn load(&self) -> u32 {
        let most = self.running.borrow().active.config.settings().limits.held.max(1);
        (self.pools.held.count() * 8 / most).min(8) as u32
    }

    /// What the node can be asked about itself.
    pub fn eyes(&self) -> &Eyes {
        &self.pools.eyes
    }

    /// What is in hand now.
    pub async fn gauges(&self) -> Vec<(&'static str, f64)> {
        let handles: Vec<_> = self.running.borrow().pools.values().cloned().collect();
        let active = self.active();
        let (mut listed, mut unavailable) = (0, 0);
        for handle in handles {
            let members = handle.endpoint_counts().await;
            listed += members.listed;
            unavailable += members.unavailable;
        }
        vec![
            ("pumicehead_requests_open", self.pools.held.count() as f64),
            ("pumicehead_servers", listed as f64),
            ("pumicehead_servers_unavailable", unavailable as f64),
            ("pumicehead_config_revision", active.revision.0 as f64),
            ("pumicehead_config_digest", active.digest.short() as f64),
        ]
    }

    /// Answers what was taken, and returns when all of it is.
    pub async fn end(&self) {
        let listeners = std::mem::take(&mut self.running.borrow_mut().listeners);
        // All are told before any is waited for.
        let ending: Vec<_> =
            listeners.into_iter().map(|listener| listener.stop(DrainReason::Process)).collect();
        for done in ending {
            let _ = done.await;
        }
    }
}

fn start_pool(pools: &PoolContext, revision: &NodeConfig, place: usize, endpoints: Endpoints) -> PoolHandle {
    let name = &revision.config.settings().pools[place].name;
    pools.start(name, place, &revision.identities[place], endpoints)
}

fn update_pool(pool: &PoolHandle, settings: Option<Box<Settings>>, endpoints: Option<Endpoints>) {
    if let Some(settings) = settings {
        pool.update_settings(settings);
    }
    match endpoints {
        Some(Endpoints::Fixed(list)) => pool.set_endpoints(list),
        Some(Endpoints::Discovery(address)) => pool.move_discovery(address),
        None => {}
    }
}

/// What the tenants of a revision are called from now on.
fn name_tenants(revision: &NodeConfig, eyes: &Eyes) {
    eyes.name_tenants(revision.tenants.by_name().iter().map(|(name, id)| (*id, name.clone())));
}

/// Descriptors for clients and for servers, after what the node needs for itself.
fn descriptor_budget(config: &Config) -> Places {
    let calls = if config.observe.calls.is_some() { 1 + MOST_CALLERS } else { 0 };
    let others = calls + if config.fleet.is_some() { fleet::DESCRIPTORS } else { 0 };
    Places::of(config.limits.descriptors, config.listeners.len() + others)
}
