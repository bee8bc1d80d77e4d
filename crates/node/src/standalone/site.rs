//! What runs: a loop for each pool, a front for each listener, and how a new file changes them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pumicehead_lang::Span;
use pumicehead_lang::diff::{Change, What, diff};
use pumicehead_lang::kept::KeptConfig;
use pumicehead_lang::model::{Config, Limits, Members, Pool, Protocol};
use pumicehead_policy::interface::{Nanos, SECOND, Settings, Sharing};
use pumicehead_policy::tenant_ids::TenantIds;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::{self, JoinHandle};
use tracing::{info, warn};

use super::admission::{Gateway, Live};
use super::record::Recorder;
use crate::calls::MOST_CALLERS;
use crate::eyes::Eyes;
use crate::fleet;
use crate::net::connections::Connections;
use crate::net::core::{Core, Setup, Source};
use crate::net::discovery::{Health, Host, List};
use crate::net::front::budget::Budget;
use crate::net::front::{self, Ending, Front, Options};
use crate::net::handle::{Handle, Held};
use crate::net::http::answer::Reader;
use crate::net::room::Room;
use crate::net::transport::Transport;
use crate::net::verdict::Reading;
use crate::net::{fastcgi, http};
use crate::places::Places;

/// Long answers may take this part of the memory: the rest of it is for connections and requests.
const LONG_SHARE: u64 = 4;

/// Classes that a pool no longer serves stay in its settings, so that the others keep their places: so many more than
/// there are in the file, then the pool begins anew.
const MOST_SPARE_CLASSES: usize = 32;

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
    /// Settings that the decision module can't use.
    #[error("pool {pool}: {source}")]
    Settings {
        /// Which.
        pool: String,
        /// Why not.
        source: pumicehead_policy::interface::SettingsError,
    },
}

/// What a pool's knowledge rests on: while this stays the same, so does its loop.
#[derive(Clone, PartialEq)]
struct Footing {
    settings: Settings,
    /// Names of its classes, in the order of the settings.
    classes: Vec<String>,
    zones: Vec<String>,
    fixed: bool,
    connect_timeout: Nanos,
    idle: Nanos,
    answer_body: u64,
    protocol: Protocol,
    script: String,
    root: String,
}

impl Footing {
    /// The same with the classes of a former one in their places, and new ones behind.
    fn behind(mut self, former: &Self) -> Self {
        let spare = former.classes.iter().filter(|name| !self.classes.contains(name)).count();
        if spare > MOST_SPARE_CLASSES {
            return self;
        }
        let own = std::mem::take(&mut self.classes);
        let settings = std::mem::take(&mut self.settings.classes);
        let mut own: Vec<_> = own.into_iter().zip(settings).collect();
        for (name, class) in former.classes.iter().zip(&former.settings.classes) {
            let place = own.iter().position(|(other, _)| other == name);
            let class = place.map_or_else(|| class.clone(), |place| own.remove(place).1);
            self.classes.push(name.clone());
            self.settings.classes.push(class);
        }
        for (name, class) in own {
            self.classes.push(name);
            self.settings.classes.push(class);
        }
        self
    }

    /// Whether a loop may go over to another one with what it has learned.
    fn retunes_to(&self, new: &Self) -> bool {
        let settings = new.settings.clone();
        let classes = new.classes.clone();
        let same_names = self.classes.iter().zip(&classes).all(|(old, new)| old == new);
        let rest = Self { settings, classes, ..self.clone() };
        same_names && self.settings.retunes_to(&new.settings) && rest == *new
    }
}

struct RunningPool {
    footing: Footing,
    handle: Handle,
}

struct RunningFront {
    /// As the file has it.
    address: SocketAddr,
    front: Rc<Front>,
    stop: oneshot::Sender<Ending>,
    done: JoinHandle<()>,
}

struct Running {
    config: KeptConfig,
    pools: HashMap<String, RunningPool>,
    fronts: Vec<RunningFront>,
    tenants: TenantIds,
}

/// A running node.
pub struct Site {
    gateway: Rc<Gateway>,
    held: Held,
    budget: Rc<Budget>,
    connections: Rc<Connections>,
    room: std::sync::Arc<Room>,
    seed: u64,
    eyes: Rc<Eyes>,
    running: RefCell<Running>,
    /// How many nodes share the servers, where the fleet says so.
    sharing: Cell<Option<Sharing>>,
    /// Staff empty this node.
    lame: Cell<bool>,
}

impl Site {
    /// Starts all that a configuration names.
    ///
    /// # Errors
    /// An address that can't be listened on, or settings that can't be used.
    pub fn start(config: &Config, recorder: Option<Recorder>, eyes: Rc<Eyes>) -> Result<Rc<Self>, SiteError> {
        let listeners = bind(config, &[])?;
        let limits = &config.limits;
        let calls = if config.observe.calls.is_some() { 1 + MOST_CALLERS } else { 0 };
        let others = calls + if config.fleet.is_some() { fleet::DESCRIPTORS } else { 0 };
        let places = Places::of(limits.descriptors, config.listeners.len() + others);
        let connections = Connections::new(places.servers);
        // Hash tables are seeded from the system's source of randomness.
        let seed = RandomState::new().build_hasher().finish();
        let held = Held::default();
        let room = Room::new((limits.memory / LONG_SHARE) as usize);
        let mut tenants = TenantIds::default();
        tenants.update(config.policy_tenants(), eyes.clock().now());
        name_tenants(&tenants, &eyes);
        let mut pools = HashMap::new();
        let mut cores = Vec::new();
        for place in 0..config.pools.len() {
            let footing = footing(config, place, &tenants)?;
            let handle = start_pool(config, place, &footing, (&connections, &room), seed, &held, &eyes);
            cores.push((handle.clone(), footing.classes.clone()));
            pools.insert(config.pools[place].name.clone(), RunningPool { footing, handle });
        }
        let gateway = Gateway::new(Live::new(config, &cores, &tenants), seed, recorder);
        let kept = KeptConfig::new(config, gateway.routes());
        let budget = Budget::new(places.clients, limits.descriptors);
        let site = Rc::new(Self {
            gateway,
            held,
            budget,
            connections,
            room,
            seed,
            eyes,
            running: RefCell::new(Running { config: kept, pools, fronts: Vec::new(), tenants }),
            sharing: Cell::new(None),
            lame: Cell::new(false),
        });
        site.start_fronts(config, listeners);
        site.set_protocols(config);
        Ok(site)
    }

    fn set_protocols(&self, config: &Config) {
        for front in &self.running.borrow().fronts {
            let listener = config.listeners.iter().find(|listener| listener.address == front.address);
            front.front.set_protocol(listener.map_or(Protocol::Http, |listener| listener.protocol));
        }
    }

    /// Goes over to another configuration, or changes nothing. Pools keep what they have learned, and take servers that
    /// changed as a list that changed. Where the rules for repeats or what knowledge rests on are others, they begin
    /// anew, and the old loops serve what they have. Listeners that are gone end in order.
    ///
    /// # Errors
    /// An address that can't be listened on, or settings that can't be used.
    pub fn reload(self: &Rc<Self>, config: &Config) -> Result<Vec<Change>, SiteError> {
        let mut running = self.running.borrow_mut();
        let mut changes = diff(&running.config.restore(), config);
        // What is gone stood in texts that are gone as well.
        let gone = changes.iter_mut().filter(|change| change.what == What::Removed);
        gone.for_each(|change| change.place = Span::default());
        // All that can fail comes first.
        let mut tenants = running.tenants.clone();
        tenants.update(config.policy_tenants(), self.eyes.clock().now());
        let footings = (0..config.pools.len())
            .map(|place| footing(config, place, &tenants))
            .collect::<Result<Vec<_>, _>>()?;
        let bound: Vec<_> = running.fronts.iter().map(|front| front.address).collect();
        let listeners = bind(config, &bound)?;
        let (old, new) = (&running.config.settings().limits, &config.limits);
        if (old.memory, old.descriptors) != (new.memory, new.descriptors) {
            warn!(target: "settings", "reload: `memory` and `descriptors` wait for the next start");
        }
        let (old, new) = (&running.config.settings().observe, &config.observe);
        if (old.calls, old.recorder, &old.recordings) != (new.calls, new.recorder, &new.recordings) {
            warn!(target: "settings", "reload: `calls`, `recorder` and `recordings` wait for the next start");
        }
        if running.config.settings().fleet != config.fleet {
            warn!(target: "settings", "reload: `fleet` waits for the next start");
        }
        super::set_log(self.eyes.log(), new);
        let mut pools = HashMap::new();
        let mut cores = Vec::new();
        for (place, footing) in footings.into_iter().enumerate() {
            let pool = &config.pools[place];
            let former = running.pools.remove(&pool.name);
            let in_place = former.as_ref().map(|former| footing.clone().behind(&former.footing));
            let (kept, replaced, footing) = match (former, in_place) {
                (Some(former), Some(new)) if former.footing.retunes_to(&new) => (Some(former), None, new),
                (former, _) => (None, former, footing),
            };
            let handle = match kept {
                Some(kept) => {
                    if kept.footing.settings != footing.settings {
                        kept.handle.retune(footing.settings.clone());
                    }
                    match &pool.members {
                        Members::Static(_) => kept.handle.set_servers(servers(config, pool)),
                        Members::Discovery { address, .. } => kept.handle.move_discovery(*address),
                    }
                    kept.handle
                }
                None => {
                    let shared = (&self.connections, &self.room);
                    let fresh =
                        start_pool(config, place, &footing, shared, self.seed, &self.held, &self.eyes);
                    if let Some(sharing) = self.sharing.get() {
                        fresh.share(sharing);
                    }
                    fresh
                }
            };
            if let Some(replaced) = replaced {
                // Its servers are still there: what it holds may go to them.
                replaced.handle.retire(false);
            }
            cores.push((handle.clone(), footing.classes.clone()));
            pools.insert(pool.name.clone(), RunningPool { footing, handle });
        }
        for (_, gone) in running.pools.drain() {
            gone.handle.retire(true);
        }
        self.gateway.set_live(Live::new(config, &cores, &tenants));
        name_tenants(&tenants, &self.eyes);
        running.tenants = tenants;
        running.pools = pools;
        let stays = |front: &RunningFront| config.listeners.iter().any(|l| l.address == front.address);
        let (kept, gone): (Vec<_>, Vec<_>) = running.fronts.drain(..).partition(stays);
        running.fronts = kept;
        for front in gone {
            // It goes on by itself until its last answer.
            let _ = front.stop.send(Ending::Listener);
        }
        running.config = KeptConfig::new(config, self.gateway.routes());
        drop(running);
        self.start_fronts(config, listeners);
        let options = options(config);
        self.running.borrow().fronts.iter().for_each(|front| front.front.set_options(options));
        self.set_protocols(config);
        Ok(changes)
    }

    fn start_fronts(self: &Rc<Self>, config: &Config, listeners: Vec<(SocketAddr, TcpListener)>) {
        for (address, listener) in listeners {
            if let Ok(bound) = listener.local_addr() {
                info!(target: "node", "{} listens on {bound}", config.node.name);
            }
            // The fronts belong to the site: it may not be kept by them.
            let site = Rc::downgrade(self);
            let give_up = move || {
                if let Some(site) = site.upgrade() {
                    site.running.borrow().pools.values().for_each(|pool| pool.handle.give_up());
                }
            };
            let (gateway, held) = (self.gateway.clone(), self.held.clone());
            let front = Front::new(
                gateway,
                held,
                options(config),
                self.budget.clone(),
                give_up,
                Rc::default(),
                self.room.clone(),
            );
            front.set_tap(self.eyes.front_tap());
            front.set_lame(self.lame.get());
            let (stop, stopped) = oneshot::channel();
            let stopped = async move { stopped.await.unwrap_or(Ending::Process) };
            let done = task::spawn_local(front.clone().run(listener, stopped));
            self.running.borrow_mut().fronts.push(RunningFront { address, front, stop, done });
        }
    }

    /// So many nodes share the servers of all pools from now on.
    pub fn share(&self, sharing: Sharing) {
        self.sharing.set(Some(sharing));
        self.running.borrow().pools.values().for_each(|pool| pool.handle.share(sharing));
    }

    /// Staff empty this node, or have it back at work: connections of clients end with their next answers.
    pub fn set_lame(&self, lame: bool) {
        self.lame.set(lame);
        self.running.borrow().fronts.iter().for_each(|front| front.front.set_lame(lame));
    }

    /// Whether staff empty it.
    pub fn is_lame(&self) -> bool {
        self.lame.get()
    }

    /// How much it has to do: requests in hand, in eighths of what it may hold.
    pub fn load(&self) -> u32 {
        let most = self.running.borrow().config.settings().limits.held.max(1);
        (self.held.count() * 8 / most).min(8) as u32
    }

    /// What the node can be asked about itself.
    pub fn eyes(&self) -> &Eyes {
        &self.eyes
    }

    /// What is in hand now.
    pub async fn gauges(&self) -> Vec<(&'static str, f64)> {
        let handles: Vec<_> = self.running.borrow().pools.values().map(|pool| pool.handle.clone()).collect();
        let (mut listed, mut unavailable) = (0, 0);
        for handle in handles {
            let members = handle.look().await;
            listed += members.listed;
            unavailable += members.unavailable;
        }
        vec![
            ("pumicehead_requests_open", self.held.count() as f64),
            ("pumicehead_servers", listed as f64),
            ("pumicehead_servers_unavailable", unavailable as f64),
        ]
    }

    /// Answers what was taken, and returns when all of it is.
    pub async fn end(&self) {
        let fronts = std::mem::take(&mut self.running.borrow_mut().fronts);
        let mut ending = Vec::new();
        for front in fronts {
            let _ = front.stop.send(Ending::Process);
            ending.push(front.done);
        }
        for done in ending {
            let _ = done.await;
        }
    }
}

/// Binds the listeners whose addresses are not bound yet.
fn bind(config: &Config, bound: &[SocketAddr]) -> Result<Vec<(SocketAddr, TcpListener)>, SiteError> {
    let new = config.listeners.iter().map(|listener| listener.address);
    let new = new.filter(|address| !bound.contains(address));
    new.map(|address| match front::listen(address) {
        Ok(listener) => Ok((address, listener)),
        Err(source) => Err(SiteError::Listen { address, source }),
    })
    .collect()
}

fn options(config: &Config) -> Options {
    let Limits { request_time, idle, request_body, held, .. } = config.limits;
    let longest = config.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
    Options {
        patience: Duration::from_nanos(request_time),
        keep: Duration::from_nanos(idle),
        longest_body: request_body as usize,
        passes: None,
        most_held: held,
        // A request may come in as slowly as it may, and then wait for its deadline.
        last_deadline: Duration::from_nanos(longest.saturating_add(request_time)),
        healthz: false,
        // A front has pools of its own settings each; these advise half a second.
        advice: Some(SECOND / 2),
    }
}

fn name_tenants(tenants: &TenantIds, eyes: &Eyes) {
    eyes.name_tenants(tenants.by_name().iter().map(|(name, id)| (*id, name.clone())));
}

fn footing(config: &Config, place: usize, tenants: &TenantIds) -> Result<Footing, SiteError> {
    let pool = &config.pools[place];
    let settings = config.settings_with(place, tenants.shares().clone());
    // A pool that no route leads to has no classes, and needs no decisions.
    if !settings.classes.is_empty() {
        settings.check().map_err(|source| SiteError::Settings { pool: pool.name.clone(), source })?;
    }
    Ok(Footing {
        settings,
        classes: config
            .classes_of(place)
            .into_iter()
            .map(|class| config.classes[class].name.clone())
            .collect(),
        zones: config.node.zones.clone(),
        fixed: matches!(pool.members, Members::Static(_)),
        connect_timeout: pool.connect_timeout,
        idle: pool.idle,
        answer_body: config.limits.answer_body,
        protocol: pool.protocol,
        script: pool.script.clone(),
        root: pool.root.clone(),
    })
}

fn start_pool(
    config: &Config,
    place: usize,
    footing: &Footing,
    (connections, room): (&Rc<Connections>, &std::sync::Arc<Room>),
    seed: u64,
    held: &Held,
    eyes: &Eyes,
) -> Handle {
    let pool = &config.pools[place];
    let (dial, idle) = (Duration::from_nanos(footing.connect_timeout), Duration::from_nanos(footing.idle));
    let transport: Rc<dyn Transport> = match footing.protocol {
        Protocol::Http => {
            let reader = Reader {
                reading: Reading::Gateway,
                longest: footing.answer_body,
                longest_unstated: footing.answer_body,
                passes: false,
                room: room.clone(),
            };
            http::upstream::Upstream::new(connections.clone(), dial, idle, reader, Rc::default())
        }
        Protocol::FastCgi => {
            let settings = fastcgi::upstream::Settings {
                dial_timeout: dial,
                conn_idle: idle,
                longest: footing.answer_body,
                room: room.clone(),
                script: footing.script.clone(),
                root: footing.root.clone(),
            };
            fastcgi::upstream::Upstream::new(connections.clone(), settings)
        }
    };
    let tap = eyes.tap(&pool.name, &footing.settings, &footing.classes);
    let setup = Setup {
        settings: footing.settings.clone(),
        seed: seed.wrapping_add(place as u64),
        zones: footing.zones.clone(),
        source: match &pool.members {
            Members::Static(_) => Source::Fixed(servers(config, pool)),
            Members::Discovery { address, .. } => {
                Source::Watch { discovery: *address, known: None, at_once: false }
            }
        },
        transport,
        hands: Rc::default(),
        learned: None,
        clock: eyes.clock(),
        tap: Some(tap),
    };
    let (core, handle) = Core::new(setup, held.clone());
    task::spawn_local(core.run());
    handle
}

/// A pool's servers as a list; none where discovery lists them.
fn servers(config: &Config, pool: &Pool) -> List {
    let Members::Static(servers) = &pool.members else { return List::default() };
    let hosts = servers.iter().map(|server| Host {
        host: server.name.clone(),
        dial: server.address.clone(),
        site: config.node.zones[server.zone].clone(),
        block: server.cell,
        health: Health::Active,
        share: server.weight as f32,
        born_ms: 0,
    });
    List { seq: 0, whole: true, hosts: hosts.collect() }
}
