//! The running parts of a standalone node: an event loop for each pool and a listener for each address. Applies new
//! revisions of the configuration to them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use pumicehead_config::model::Config;
use pumicehead_policy::NodeShare;
use pumicehead_resources::Digest;
use tracing::{info, warn};

use super::config_revision::ConfigRevision;
use super::configured_endpoints::ConfiguredEndpoints;
use super::error::ApplyError;
use super::listeners::{self, BoundListener, RunningListener};
use super::pool_factory::PoolFactory;
use super::route_admission::{RouteAdmission, RoutingState};
use super::traffic_recorder::TrafficRecorder;
use super::transition::{PoolStep, Transition};
use crate::admin_listener;
use crate::descriptor_budget::DescriptorBudget;
use crate::fleet;
use crate::introspection::Introspection;
use crate::net::active_requests::ActiveRequestIds;
use crate::net::downstream::connection_budget::ConnectionBudget;
use crate::net::downstream::{DownstreamListener, DrainReason};
use crate::net::memory_budget::MemoryBudget;
use crate::net::pool_handle::PoolHandle;
use crate::net::pool_handle::Retirement;
use crate::net::upstream::connection_registry::ConnectionRegistry;

/// Streamed bodies may use the memory limit divided by this; the rest is for connections and requests.
const STREAMED_BODY_MEMORY_DIVISOR: u64 = 4;
/// Number of steps of [`Runtime::load`]: the load is in eighths.
const LOAD_STEPS: usize = 8;

/// The configuration in force with its pools and listeners.
struct ConfigInForce {
    revision: Arc<ConfigRevision>,
    /// Pool handles by pool name.
    pools: HashMap<String, PoolHandle>,
    listeners: Vec<RunningListener>,
}

/// A running standalone node.
pub struct Runtime {
    admission: Rc<RouteAdmission>,
    pool_factory: PoolFactory,
    connection_budget: Rc<ConnectionBudget>,
    in_force: RefCell<ConfigInForce>,
    /// This node's share of the endpoints; `None` until the fleet membership has determined it.
    node_share: Cell<Option<NodeShare>>,
    is_lame_duck: Cell<bool>,
}

impl Runtime {
    /// Starts the pools and listeners of the first configuration. `seed` is used for random numbers and correlation ids.
    ///
    /// # Errors
    /// Fails if an address can't be listened on, or if the settings of a pool are invalid.
    pub fn start(
        config: &Config,
        digest: Digest,
        seed: u64,
        traffic_recorder: Option<TrafficRecorder>,
        introspection: Rc<Introspection>,
    ) -> Result<Rc<Self>, ApplyError> {
        let bound = listeners::bind(config, &[])?;
        let revision = Arc::new(ConfigRevision::first(config, digest, introspection.clock().now())?);
        set_tenant_names(&revision, &introspection);
        let descriptors = descriptor_budget(config);
        let pool_factory = PoolFactory {
            connections: ConnectionRegistry::new(descriptors.upstream),
            memory: MemoryBudget::new((config.limits.memory_bytes / STREAMED_BODY_MEMORY_DIVISOR) as usize),
            active_requests: ActiveRequestIds::default(),
            response_counters: Rc::default(),
            introspection,
            seed,
        };
        let start_pool =
            |index| pool_factory.start(&revision, index, ConfiguredEndpoints::new(config, index));
        let handles: Vec<_> = (0..config.pools.len()).map(start_pool).collect();
        let routing = RoutingState { table: revision.table.clone(), pools: handles.clone() };
        let names = config.pools.iter().map(|pool| pool.name.clone());
        let in_force = ConfigInForce { pools: names.zip(handles).collect(), listeners: Vec::new(), revision };
        let runtime = Rc::new(Self {
            admission: RouteAdmission::new(routing, seed, traffic_recorder),
            connection_budget: ConnectionBudget::new(
                descriptors.downstream,
                config.limits.max_descriptors,
                config.limits.memory_bytes as usize,
            ),
            pool_factory,
            in_force: RefCell::new(in_force),
            node_share: Cell::new(None),
            is_lame_duck: Cell::new(false),
        });
        runtime.start_listeners(config, bound);
        runtime.update_listener_options(config);
        Ok(runtime)
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Arc<ConfigRevision> {
        self.in_force.borrow().revision.clone()
    }

    /// Puts the next revision in force, or fails without changing anything. The switch is a single step of the event loop,
    /// so that it falls between two requests; the expensive parts are in the prepared transition. Removed listeners drain in
    /// the background.
    ///
    /// # Errors
    /// Returns [`ApplyError::Listen`] if a new address can't be listened on.
    pub fn apply(self: &Rc<Self>, transition: &mut Transition) -> Result<(), ApplyError> {
        let next = transition.next.clone();
        let config = next.config.settings();
        // Binding is the only step that can fail, so it comes first.
        let addresses: Vec<_> =
            self.in_force.borrow().listeners.iter().map(|listener| listener.address).collect();
        let bound = listeners::bind(config, &addresses)?;
        for settings in &transition.restart_required {
            warn!(target: "settings", "reload: {settings} take effect at the next start");
        }
        super::configure_log(self.introspection().log(), &config.observability);
        if !Arc::ptr_eq(self.revision().tenants.by_name(), next.tenants.by_name()) {
            set_tenant_names(&next, self.introspection());
        }
        let pools = self.apply_pool_steps(&next, std::mem::take(&mut transition.steps));
        self.admission.set_routing(RoutingState { table: next.table.clone(), pools });
        self.in_force.borrow_mut().revision = next.clone();
        self.stop_removed_listeners(config);
        self.start_listeners(config, bound);
        self.update_listener_options(config);
        Ok(())
    }

    /// Applies the step of each pool and retires removed pools. Returns the pools in the order of the configuration.
    fn apply_pool_steps(&self, next: &ConfigRevision, steps: Vec<PoolStep>) -> Vec<PoolHandle> {
        let mut in_force = self.in_force.borrow_mut();
        let mut former = std::mem::take(&mut in_force.pools);
        let mut handles = Vec::with_capacity(steps.len());
        for (index, step) in steps.into_iter().enumerate() {
            let name = &next.config.settings().pools[index].name;
            let handle = self.apply_pool_step(next, index, step, former.remove(name));
            in_force.pools.insert(name.clone(), handle.clone());
            handles.push(handle);
        }
        for removed in former.into_values() {
            removed.retire(Retirement::Removed);
        }
        handles
    }

    fn apply_pool_step(
        &self,
        next: &ConfigRevision,
        index: usize,
        step: PoolStep,
        former: Option<PoolHandle>,
    ) -> PoolHandle {
        match (step, former) {
            (PoolStep::Keep, Some(pool)) => pool,
            (PoolStep::Update { settings, endpoints }, Some(pool)) => {
                if let Some(settings) = settings {
                    pool.update_settings(settings);
                }
                match endpoints {
                    Some(ConfiguredEndpoints::Static(list)) => pool.set_endpoints(list),
                    Some(ConfiguredEndpoints::Discovery(address)) => pool.move_discovery(address),
                    None => {}
                }
                pool
            }
            (PoolStep::Start(endpoints), replaced) => {
                if let Some(replaced) = replaced {
                    // Its endpoints still exist, so its queued requests may still be sent to them.
                    replaced.retire(Retirement::Replaced);
                }
                self.start_pool(next, index, endpoints)
            }
            // Not expected: a transition keeps or updates only pools of the revision in force, which are all running.
            (PoolStep::Keep | PoolStep::Update { .. }, None) => {
                self.start_pool(next, index, ConfiguredEndpoints::new(next.config.settings(), index))
            }
        }
    }

    fn start_pool(
        &self,
        revision: &ConfigRevision,
        index: usize,
        endpoints: ConfiguredEndpoints,
    ) -> PoolHandle {
        let pool = self.pool_factory.start(revision, index, endpoints);
        if let Some(node_share) = self.node_share.get() {
            pool.set_node_share(node_share);
        }
        pool
    }

    fn start_listeners(self: &Rc<Self>, config: &Config, bound: Vec<BoundListener>) {
        for bound in bound {
            if let Ok(address) = bound.socket.local_addr() {
                info!(target: "node", "{} listens on {address}", config.node.name);
            }
            let listener = self.new_listener(config);
            self.in_force.borrow_mut().listeners.push(RunningListener::start(bound, listener));
        }
    }

    fn new_listener(self: &Rc<Self>, config: &Config) -> Rc<DownstreamListener> {
        // The runtime owns its listeners, so a strong reference back would be a cycle and keep both alive.
        let runtime = Rc::downgrade(self);
        let fail_all = move || {
            if let Some(runtime) = runtime.upgrade() {
                runtime.in_force.borrow().pools.values().for_each(PoolHandle::fail_all);
            }
        };
        let listener = DownstreamListener::new(
            self.admission.clone(),
            self.pool_factory.active_requests.clone(),
            listeners::options(config),
            self.connection_budget.clone(),
            fail_all,
            Rc::default(),
            self.pool_factory.memory.clone(),
        );
        listener.set_recorder(self.introspection().node_recorder());
        listener.set_lame_duck(self.is_lame_duck.get());
        listener
    }

    fn stop_removed_listeners(&self, config: &Config) {
        let mut in_force = self.in_force.borrow_mut();
        let is_kept =
            |running: &RunningListener| config.listeners.iter().any(|kept| kept.address == running.address);
        let (kept, removed): (Vec<_>, Vec<_>) = in_force.listeners.drain(..).partition(is_kept);
        in_force.listeners = kept;
        for listener in removed {
            listener.stop(DrainReason::Listener);
        }
    }

    fn update_listener_options(&self, config: &Config) {
        let options = listeners::options(config);
        for running in &self.in_force.borrow().listeners {
            running.listener.set_options(options);
            running.listener.set_protocol(listeners::protocol(config, running.address));
        }
    }

    /// Sets this node's share of the endpoints for all current and future pools.
    pub fn set_node_share(&self, node_share: NodeShare) {
        self.node_share.set(Some(node_share));
        self.in_force.borrow().pools.values().for_each(|pool| pool.set_node_share(node_share));
    }

    /// Enters or leaves lame-duck mode, in which each client connection is closed with its next response.
    pub fn set_lame_duck(&self, is_lame_duck: bool) {
        self.is_lame_duck.set(is_lame_duck);
        for running in &self.in_force.borrow().listeners {
            running.listener.set_lame_duck(is_lame_duck);
        }
    }

    pub fn is_lame_duck(&self) -> bool {
        self.is_lame_duck.get()
    }

    /// Returns the number of requests in flight relative to the configured maximum, in steps of 1/[`LOAD_STEPS`], rounded
    /// down and at most [`LOAD_STEPS`].
    pub fn load(&self) -> u32 {
        let max_active = self.revision().config.settings().limits.max_active_requests.max(1);
        (self.pool_factory.active_requests.count() * LOAD_STEPS / max_active).min(LOAD_STEPS) as u32
    }

    /// Returns the recorder, metrics and log of the node.
    pub fn introspection(&self) -> &Introspection {
        &self.pool_factory.introspection
    }

    /// Returns the current gauges with their metric names.
    pub async fn gauges(&self) -> Vec<(&'static str, f64)> {
        let pools: Vec<_> = self.in_force.borrow().pools.values().cloned().collect();
        let revision = self.revision();
        let (mut listed, mut unavailable) = (0, 0);
        for pool in pools {
            let endpoints = pool.endpoint_counts().await;
            listed += endpoints.listed;
            unavailable += endpoints.unavailable;
        }
        let mut gauges = vec![
            ("pumicehead_requests_open", self.pool_factory.active_requests.count() as f64),
            ("pumicehead_servers", listed as f64),
            ("pumicehead_servers_unavailable", unavailable as f64),
            ("pumicehead_config_revision", revision.revision.0 as f64),
            ("pumicehead_config_digest", revision.digest.short() as f64),
        ];
        let response_counts = self.pool_factory.response_counters.metrics();
        gauges.extend(response_counts.map(|(name, count)| (name, count as f64)));
        gauges
    }

    /// Drains all listeners. Returns when all their requests have been answered, or when the time limit of the drain has
    /// passed.
    pub async fn drain(&self) {
        let listeners = std::mem::take(&mut self.in_force.borrow_mut().listeners);
        // All listeners start to drain before the first one is awaited.
        let draining: Vec<_> =
            listeners.into_iter().map(|listener| listener.stop(DrainReason::Process)).collect();
        for done in draining {
            let _ = done.await;
        }
    }
}

fn set_tenant_names(revision: &ConfigRevision, introspection: &Introspection) {
    introspection.set_tenant_names(revision.tenants.by_name().iter().map(|(name, id)| (*id, name.clone())));
}

/// Returns the descriptors available for connections, after deducting those of listeners, admin commands and the fleet.
fn descriptor_budget(config: &Config) -> DescriptorBudget {
    let admin =
        if config.observability.admin_address.is_some() { admin_listener::MAX_DESCRIPTORS } else { 0 };
    let fleet = if config.cluster.is_some() { fleet::DESCRIPTORS } else { 0 };
    DescriptorBudget::new(config.limits.max_descriptors, config.listeners.len() + admin + fleet)
}
