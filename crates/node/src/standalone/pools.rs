//! What a pool of servers is made of, when it can take a new configuration in place, and how its loop is started.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use pumicehead_config::model::{Config, Members, Protocol};
use pumicehead_policy::tenant_shares::TenantShares;
use pumicehead_policy::{Nanos, Settings};
use tokio::task;

use super::site::SiteError;
use crate::eyes::Eyes;
use crate::net::discovery::{EndpointList, ListedEndpoint, ListedState};
use crate::net::memory_budget::MemoryBudget;
use crate::net::pool_handle::{ActiveRequestIds, PoolHandle};
use crate::net::pool_loop::{EndpointSource, PoolConfig, PoolLoop};
use crate::net::upstream::connection_registry::ConnectionRegistry;
use crate::net::upstream::http::response_reader::ResponseReader;
use crate::net::upstream::response_classification::StatusPolicy;
use crate::net::upstream::transport::Transport;
use crate::net::upstream::{fastcgi, http};

/// Classes that a pool no longer serves stay in its settings, so that the others keep their places: so many more than
/// there are in the file, then the pool begins anew.
const MOST_SPARE_CLASSES: usize = 32;

/// What a pool's learned state rests on. A pool whose identity changes only in what [`PoolIdentity::retunes_to`] allows
/// keeps its loop with its queues, connections and learned limits; any other change begins it anew.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolIdentity {
    /// What the decision module is told.
    pub settings: Settings,
    /// Names of its classes, in the order of the settings.
    pub classes: Vec<String>,
    connection: ConnectionSettings,
}

/// The part of a pool's identity that its connections and its list of servers depend on.
#[derive(Clone, Debug, PartialEq)]
struct ConnectionSettings {
    zones: Vec<String>,
    /// Its servers stand in the file.
    fixed: bool,
    connect_timeout: Nanos,
    idle: Nanos,
    /// Longest body of an answer, in bytes.
    answer_body: u64,
    protocol: Protocol,
    script: String,
    root: String,
}

impl PoolIdentity {
    /// That of a pool of a configuration, by its place, with the shares of all tenants.
    ///
    /// # Errors
    /// Settings that the decision module can't use.
    pub fn of(config: &Config, place: usize, tenants: &TenantShares) -> Result<Self, SiteError> {
        let pool = &config.pools[place];
        let settings = config.settings_with(place, tenants.clone());
        // A pool that no route leads to has no classes, and needs no decisions.
        if !settings.classes.is_empty() {
            settings.check().map_err(|source| SiteError::Settings { pool: pool.name.clone(), source })?;
        }
        let classes = config.classes_of(place).into_iter();
        Ok(Self {
            settings,
            classes: classes.map(|class| config.classes[class].name.clone()).collect(),
            connection: ConnectionSettings {
                zones: config.node.zones.clone(),
                fixed: matches!(pool.members, Members::Static(_)),
                connect_timeout: pool.connect_timeout,
                idle: pool.idle,
                answer_body: config.limits.answer_body,
                protocol: pool.protocol,
                script: pool.script.clone(),
                root: pool.root.clone(),
            },
        })
    }

    /// The same with the classes of a former identity in their places, and new ones behind: requests in the pool know
    /// their class by its place.
    #[must_use]
    pub fn behind(mut self, former: &Self) -> Self {
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

    /// Whether a loop may go over to another identity with what it has learned.
    #[must_use]
    pub fn retunes_to(&self, new: &Self) -> bool {
        let same_names = self.classes.iter().zip(&new.classes).all(|(old, new)| old == new);
        same_names && self.connection == new.connection && self.settings.can_update_to(&new.settings)
    }
}

/// Where a pool's servers come from, in the form that its loop takes.
#[derive(Clone, Debug, PartialEq)]
pub enum Endpoints {
    /// The file has them.
    Fixed(EndpointList),
    /// A service at this address lists them.
    Discovery(std::net::SocketAddr),
}

impl Endpoints {
    /// Those of a pool of a configuration, by its place.
    #[must_use]
    pub fn of(config: &Config, place: usize) -> Self {
        let servers = match &config.pools[place].members {
            Members::Discovery { address, .. } => return Self::Discovery(*address),
            Members::Static(servers) => servers,
        };
        let hosts = servers.iter().map(|server| ListedEndpoint {
            name: server.name.clone(),
            address: server.address.clone(),
            zone: config.node.zones[server.zone].clone(),
            cell: server.cell,
            state: ListedState::Ready,
            weight: server.weight as f32,
            started_at_ms: 0,
        });
        Self::Fixed(EndpointList { version: 0, complete: true, endpoints: hosts.collect() })
    }
}

/// What all pools of a node share.
pub struct PoolContext {
    /// Connections to servers.
    pub connections: Rc<ConnectionRegistry>,
    /// Memory for the held parts of long bodies.
    pub room: Arc<MemoryBudget>,
    /// Requests without a final answer.
    pub held: ActiveRequestIds,
    /// Recorder and log.
    pub eyes: Rc<Eyes>,
    /// For random numbers.
    pub seed: u64,
}

impl PoolContext {
    /// Starts the loop of a pool that is at `place` in its configuration.
    pub fn start(
        &self,
        name: &str,
        place: usize,
        identity: &PoolIdentity,
        endpoints: Endpoints,
    ) -> PoolHandle {
        let setup = PoolConfig {
            settings: identity.settings.clone(),
            seed: self.seed.wrapping_add(place as u64),
            zones: identity.connection.zones.clone(),
            endpoints: match endpoints {
                Endpoints::Fixed(list) => EndpointSource::Fixed(list),
                Endpoints::Discovery(discovery) => {
                    EndpointSource::Watch { address: discovery, last_list: None, poll_at_start: false }
                }
            },
            transport: self.transport(&identity.connection),
            overrides: Rc::default(),
            warm_state: None,
            clock: self.eyes.clock(),
            recorder: Some(self.eyes.tap(name, &identity.settings, &identity.classes)),
        };
        let (core, handle) = PoolLoop::new(setup, self.held.clone());
        task::spawn_local(core.run());
        handle
    }

    fn transport(&self, settings: &ConnectionSettings) -> Rc<dyn Transport> {
        let dial_timeout = Duration::from_nanos(settings.connect_timeout);
        let conn_idle = Duration::from_nanos(settings.idle);
        let (connections, room) = (self.connections.clone(), self.room.clone());
        match settings.protocol {
            Protocol::Http => {
                let reader = ResponseReader {
                    status_policy: StatusPolicy::Gateway,
                    max_body: settings.answer_body,
                    max_unsized_body: settings.answer_body,
                    streaming: false,
                    memory: room,
                };
                http::transport::HttpTransport::new(
                    connections,
                    dial_timeout,
                    conn_idle,
                    reader,
                    Rc::default(),
                )
            }
            Protocol::FastCgi => {
                let settings = fastcgi::transport::FastCgiSettings {
                    connect_timeout: dial_timeout,
                    server_idle_timeout: conn_idle,
                    max_body: settings.answer_body,
                    memory: room,
                    script: settings.script.clone(),
                    root: settings.root.clone(),
                };
                fastcgi::transport::FastCgiTransport::new(connections, settings)
            }
        }
    }
}
