//! The servers of a loop, by the names of the list and the ids of the module.

use std::hash::Hasher;
use std::rc::Rc;
use std::sync::Arc;

use pumicehead_admin::book::Stand;
use pumicehead_policy::{CellId, EndpointId, EndpointInfo, EndpointState, EndpointUpdate, Nanos, ZoneId};
use rustc_hash::{FxHashMap, FxHashSet, FxHasher};
use thiserror::Error;

use super::discovery::{Health, Host, List};
use super::hands::Hands;
use super::transport::{Server, Transport};

/// An entry that can't be used.
#[derive(Debug, Error)]
#[error("unknown site `{0}`")]
pub struct UnknownSite(String);

struct Known {
    name: String,
    /// As it was listed, whatever staff have said since.
    listed: Host,
    born_ms: u64,
    server: Rc<dyn Server>,
    /// As the module was told last.
    info: EndpointInfo,
    /// Its address refused a connection, and nothing has been heard of it since.
    down: bool,
}

/// The servers.
pub struct Roster {
    zones: Vec<String>,
    transport: Rc<dyn Transport>,
    servers: FxHashMap<EndpointId, Known>,
    ids: FxHashMap<String, EndpointId>,
    hands: Rc<Hands>,
    /// The version of the list.
    pub seq: u64,
}

impl Roster {
    /// No servers yet.
    pub fn new(zones: Vec<String>, transport: Rc<dyn Transport>, hands: Rc<Hands>) -> Self {
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
    fn by_hand(&self, listed: &Host) -> Host {
        let mut host = listed.clone();
        match self.hands.book.borrow().stand(&host.host, host.born_ms) {
            Stand::Out if host.health == Health::Active => host.health = Health::Leaving,
            Stand::Out => {}
            Stand::In { born_ms } => host.born_ms = born_ms,
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
    pub fn server(&self, id: EndpointId) -> Option<&Rc<dyn Server>> {
        self.servers.get(&id).map(|known| &known.server)
    }

    /// Takes a list or its changes; `cached` is an old whole one.
    ///
    /// # Errors
    /// A zone that does not exist; then nothing is changed.
    pub fn apply(&mut self, list: List, cached: bool) -> Result<EndpointUpdate, UnknownSite> {
        let zone = |host: &Host| {
            let place = self.zones.iter().position(|zone| *zone == host.site);
            place.map(|place| ZoneId(place as u16)).ok_or_else(|| UnknownSite(host.site.clone()))
        };
        // All or nothing: a list that is half understood must not be half believed.
        let zones = list.hosts.iter().map(zone).collect::<Result<Vec<_>, _>>()?;
        let whole = list.whole || cached;
        if whole {
            let named: FxHashSet<_> = list.hosts.iter().map(|host| host.host.as_str()).collect();
            let missing = self.ids.keys().filter(|name| !named.contains(name.as_str()));
            let missing: Vec<_> = missing.cloned().collect();
            missing.iter().for_each(|name| self.forget(name));
        }
        let infos: Arc<[EndpointInfo]> =
            list.hosts.into_iter().zip(zones).map(|(host, zone)| self.learn(host, zone)).collect();
        self.seq = list.seq;
        Ok(match (cached, whole) {
            (true, _) => EndpointUpdate::Restored(infos),
            (_, true) => EndpointUpdate::Snapshot(infos),
            _ => EndpointUpdate::Delta(infos),
        })
    }

    /// Gives the servers of a file their births: one that is known under its name and address has not restarted, and
    /// any other may just have been started for the new file.
    pub fn date(&self, list: &mut List, now_ms: u64) {
        for host in &mut list.hosts {
            let known = self.ids.get(&host.host).and_then(|id| self.servers.get(id));
            let known = known.filter(|known| *known.server.dial() == host.dial);
            host.born_ms = known.map_or(now_ms, |known| known.born_ms);
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
        known.listed.born_ms = now_ms;
        known.info.started_at = millis(now_ms);
        Some(EndpointUpdate::Delta(Arc::from([known.info.clone()])))
    }

    fn learn(&mut self, listed: Host, zone: ZoneId) -> EndpointInfo {
        self.hands.listed.borrow_mut().add(&listed.host);
        let host = self.by_hand(&listed);
        let id = self.id(&host.host);
        let info = EndpointInfo {
            id,
            zone,
            cell: CellId(host.block),
            state: match host.health {
                Health::Active => EndpointState::Ready,
                Health::Leaving => EndpointState::Draining,
                Health::Left => EndpointState::Removed,
            },
            weight: host.share,
            started_at: millis(host.born_ms),
        };
        let transport = &self.transport;
        let fresh = || Known {
            name: host.host.clone(),
            listed: listed.clone(),
            born_ms: host.born_ms,
            server: transport.server(&host.dial),
            info: info.clone(),
            down: false,
        };
        let known = self.servers.entry(id).or_insert_with(fresh);
        if known.born_ms != host.born_ms || *known.server.dial() != host.dial || !known.server.is_usable() {
            // Another process: what is still on its way to the old one must not reach the cold new one.
            known.server.retire();
            *known = fresh();
        }
        known.info = info.clone();
        known.listed = listed.clone();
        self.ids.insert(host.host.clone(), id);
        if host.health != Health::Active {
            known.server.retire();
        }
        if host.health == Health::Left {
            self.forget(&host.host);
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
        let mut id = EndpointId(hash(name.as_bytes()) as u32);
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
pub fn hash(bytes: &[u8]) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(bytes);
    hasher.finish()
}
