//! The servers of a loop, by the names of the list and the ids of the module.

use std::hash::Hasher;
use std::rc::Rc;
use std::sync::Arc;

use pumicehead_admin::disabled_backends::BackendState;
use pumicehead_policy::{CellId, EndpointId, EndpointInfo, EndpointState, EndpointUpdate, Nanos, ZoneId};
use rustc_hash::{FxHashMap, FxHashSet, FxHasher};
use thiserror::Error;

use crate::net::admin_overrides::AdminOverrides;
use crate::net::discovery::{EndpointList, ListedEndpoint, ListedState};
use crate::net::upstream::transport::{EndpointConnector, Transport};

/// An entry that can't be used.
#[derive(Debug, Error)]
#[error("unknown site `{0}`")]
pub struct UnknownZoneError(String);

struct EndpointEntry {
    name: String,
    /// As it was listed, whatever staff have said since.
    listed: ListedEndpoint,
    born_ms: u64,
    server: Rc<dyn EndpointConnector>,
    /// As the module was told last.
    info: EndpointInfo,
    /// Its address refused a connection, and nothing has been heard of it since.
    down: bool,
}

/// The servers.
pub struct EndpointDirectory {
    zones: Vec<String>,
    transport: Rc<dyn Transport>,
    servers: FxHashMap<EndpointId, EndpointEntry>,
    ids: FxHashMap<String, EndpointId>,
    hands: Rc<AdminOverrides>,
    /// The version of the list.
    pub seq: u64,
}

impl EndpointDirectory {
    /// No servers yet.
    pub fn new(zones: Vec<String>, transport: Rc<dyn Transport>, hands: Rc<AdminOverrides>) -> Self {
        Self { zones, transport, servers: FxHashMap::default(), ids: FxHashMap::default(), hands, seq: 0 }
    }

    /// All servers.
    pub fn ids(&self) -> impl Iterator<Item = EndpointId> + Clone {
        self.servers.keys().copied()
    }

    /// Whether a server takes work, as far as the list and staff say.
    pub fn is_ready(&self, id: EndpointId) -> bool {
        self.servers.get(&id).is_some_and(|known| known.info.state == EndpointState::Ready)
    }

    /// The book has changed for these names: what that means for those that are listed.
    pub fn restate(&mut self, names: &[String]) -> Option<EndpointUpdate> {
        let known = names.iter().filter_map(|name| self.servers.get(self.ids.get(name)?));
        let known: Vec<_> = known.map(|known| (known.listed.clone(), known.info.zone)).collect();
        let infos: Arc<[EndpointInfo]> =
            known.into_iter().map(|(host, zone)| self.learn(host, zone)).collect();
        (!infos.is_empty()).then_some(EndpointUpdate::Delta(infos))
    }

    /// A listed server as staff have it.
    fn by_hand(&self, listed: &ListedEndpoint) -> ListedEndpoint {
        let mut host = listed.clone();
        match self.hands.disabled.borrow().state(&host.name, host.started_at_ms) {
            BackendState::Disabled if host.state == ListedState::Ready => host.state = ListedState::Draining,
            BackendState::Disabled => {}
            BackendState::Enabled { started_ms: born_ms } => host.started_at_ms = born_ms,
        }
        host
    }

    /// How attempts travel to its servers.
    pub fn transport(&self) -> &dyn Transport {
        &*self.transport
    }

    /// A server's name.
    pub fn name(&self, id: EndpointId) -> Option<&str> {
        self.servers.get(&id).map(|known| known.name.as_str())
    }

    /// A server by its id.
    pub fn server(&self, id: EndpointId) -> Option<&Rc<dyn EndpointConnector>> {
        self.servers.get(&id).map(|known| &known.server)
    }

    /// Takes a list or its changes; `cached` is an old whole one.
    ///
    /// # Errors
    /// A zone that does not exist; then nothing is changed.
    pub fn apply(&mut self, list: EndpointList, cached: bool) -> Result<EndpointUpdate, UnknownZoneError> {
        let zone = |host: &ListedEndpoint| {
            let place = self.zones.iter().position(|zone| *zone == host.zone);
            place.map(|place| ZoneId(place as u16)).ok_or_else(|| UnknownZoneError(host.zone.clone()))
        };
        // All or nothing: a list that is half understood must not be half believed.
        let zones = list.endpoints.iter().map(zone).collect::<Result<Vec<_>, _>>()?;
        let whole = list.complete || cached;
        if whole {
            let named: FxHashSet<_> = list.endpoints.iter().map(|host| host.name.as_str()).collect();
            let missing = self.ids.keys().filter(|name| !named.contains(name.as_str()));
            let missing: Vec<_> = missing.cloned().collect();
            missing.iter().for_each(|name| self.forget(name));
        }
        let infos: Arc<[EndpointInfo]> =
            list.endpoints.into_iter().zip(zones).map(|(host, zone)| self.learn(host, zone)).collect();
        self.seq = list.version;
        Ok(match (cached, whole) {
            (true, _) => EndpointUpdate::Restored(infos),
            (_, true) => EndpointUpdate::Snapshot(infos),
            _ => EndpointUpdate::Delta(infos),
        })
    }

    /// Gives the servers of a file their births: one that is known under its name and address has not restarted, and
    /// any other may just have been started for the new file.
    pub fn date(&self, list: &mut EndpointList, now_ms: u64) {
        for host in &mut list.endpoints {
            let known = self.ids.get(&host.name).and_then(|id| self.servers.get(id));
            let known = known.filter(|known| *known.server.address() == host.address);
            host.started_at_ms = known.map_or(now_ms, |known| known.born_ms);
        }
    }

    /// What an attempt tells of a server that no discovery tells of: one whose address refused connections and that
    /// takes them again has restarted, and is cold.
    pub fn heard(
        &mut self,
        id: EndpointId,
        refused: bool,
        connected: bool,
        now_ms: u64,
    ) -> Option<EndpointUpdate> {
        let known = self.servers.get_mut(&id)?;
        if refused {
            known.down = true;
            return None;
        }
        if !connected || !std::mem::take(&mut known.down) {
            return None;
        }
        known.born_ms = now_ms;
        known.listed.started_at_ms = now_ms;
        known.info.started_at = millis(now_ms);
        Some(EndpointUpdate::Delta(Arc::from([known.info.clone()])))
    }

    fn learn(&mut self, listed: ListedEndpoint, zone: ZoneId) -> EndpointInfo {
        self.hands.known.borrow_mut().add(&listed.name);
        let host = self.by_hand(&listed);
        let id = self.id(&host.name);
        let info = EndpointInfo {
            id,
            zone,
            cell: CellId(host.cell),
            state: match host.state {
                ListedState::Ready => EndpointState::Ready,
                ListedState::Draining => EndpointState::Draining,
                ListedState::Removed => EndpointState::Removed,
            },
            weight: host.weight,
            started_at: millis(host.started_at_ms),
        };
        let transport = &self.transport;
        let fresh = || EndpointEntry {
            name: host.name.clone(),
            listed: listed.clone(),
            born_ms: host.started_at_ms,
            server: transport.connector(&host.address),
            info: info.clone(),
            down: false,
        };
        let known = self.servers.entry(id).or_insert_with(fresh);
        if known.born_ms != host.started_at_ms
            || *known.server.address() != host.address
            || !known.server.is_usable()
        {
            // Another process: what is still on its way to the old one must not reach the cold new one.
            known.server.retire();
            *known = fresh();
        }
        known.info = info.clone();
        known.listed = listed.clone();
        self.ids.insert(host.name.clone(), id);
        if host.state != ListedState::Ready {
            known.server.retire();
        }
        if host.state == ListedState::Removed {
            self.forget(&host.name);
        }
        info
    }

    fn forget(&mut self, name: &str) {
        if let Some(id) = self.ids.remove(name)
            && let Some(known) = self.servers.remove(&id)
        {
            known.server.retire();
        }
    }

    /// The same at every node, since nodes order servers by id on a ring that they share.
    fn id(&self, name: &str) -> EndpointId {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let mut id = EndpointId(unseeded_hash(name.as_bytes()) as u32);
        while self.servers.get(&id).is_some_and(|known| known.name != name) {
            id.0 = id.0.wrapping_add(1);
        }
        id
    }
}

fn millis(unix_ms: u64) -> Nanos {
    unix_ms.saturating_mul(1_000_000)
}

/// A hash without a seed.
pub fn unseeded_hash(bytes: &[u8]) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(bytes);
    hasher.finish()
}
