//! The endpoints of a pool, by the names of the list and by the ids of the decision module.

use std::hash::Hasher;
use std::rc::Rc;
use std::sync::Arc;

use pumicehead_admin::disabled_backends::BackendState;
use pumicehead_policy::{CellId, EndpointId, EndpointInfo, EndpointState, EndpointUpdate, Nanos, ZoneId};
use rustc_hash::{FxHashMap, FxHashSet, FxHasher};
use thiserror::Error;

use crate::net::admin_overrides::AdminOverrides;
use crate::net::clock::MILLISECOND;
use crate::net::discovery::{EndpointList, ListedEndpoint, ListedState};
use crate::net::upstream::transport::{EndpointConnector, Transport};

/// An endpoint's zone is not one of the configuration's.
#[derive(Debug, Error)]
#[error("unknown zone `{0}`")]
pub struct UnknownZoneError(String);

struct EndpointEntry {
    name: String,
    /// As it was listed, without overrides.
    listed: ListedEndpoint,
    /// When its process started, in Unix milliseconds.
    started_at_ms: u64,
    connector: Rc<dyn EndpointConnector>,
    /// As the decision module has it.
    info: EndpointInfo,
    /// Its address refused the last connection.
    last_connect_refused: bool,
}

/// The endpoints of a pool.
pub struct EndpointDirectory {
    /// Names of the zones, by zone id.
    zones: Vec<String>,
    transport: Rc<dyn Transport>,
    entries: FxHashMap<EndpointId, EndpointEntry>,
    ids: FxHashMap<String, EndpointId>,
    overrides: Rc<AdminOverrides>,
    /// Version of the list that was applied last.
    pub version: u64,
}

impl EndpointDirectory {
    /// Returns an empty directory.
    pub fn new(zones: Vec<String>, transport: Rc<dyn Transport>, overrides: Rc<AdminOverrides>) -> Self {
        Self {
            zones,
            transport,
            entries: FxHashMap::default(),
            ids: FxHashMap::default(),
            overrides,
            version: 0,
        }
    }

    /// Ids of all endpoints.
    pub fn ids(&self) -> impl Iterator<Item = EndpointId> + Clone {
        self.entries.keys().copied()
    }

    /// Whether an endpoint takes requests, by the list and by the admin overrides.
    pub fn is_ready(&self, id: EndpointId) -> bool {
        self.entries.get(&id).is_some_and(|entry| entry.info.state == EndpointState::Ready)
    }

    /// How attempts reach the endpoints.
    pub fn transport(&self) -> &dyn Transport {
        &*self.transport
    }

    /// An endpoint's name.
    pub fn name(&self, id: EndpointId) -> Option<&str> {
        self.entries.get(&id).map(|entry| entry.name.as_str())
    }

    /// An endpoint's connector.
    pub fn connector(&self, id: EndpointId) -> Option<&Rc<dyn EndpointConnector>> {
        self.entries.get(&id).map(|entry| &entry.connector)
    }

    /// Applies a list, or the changes to one; `is_restored` marks the complete list of an earlier process.
    ///
    /// # Errors
    /// A zone is unknown; then nothing is changed.
    pub fn apply(
        &mut self,
        list: EndpointList,
        is_restored: bool,
    ) -> Result<EndpointUpdate, UnknownZoneError> {
        let zones = self.zone_ids(&list)?;
        let is_complete = list.complete || is_restored;
        if is_complete {
            self.remove_unlisted(&list);
        }
        let infos: Arc<[EndpointInfo]> = list
            .endpoints
            .into_iter()
            .zip(zones)
            .map(|(endpoint, zone)| self.upsert(endpoint, zone))
            .collect();
        self.version = list.version;
        Ok(match (is_restored, is_complete) {
            (true, _) => EndpointUpdate::Restored(infos),
            (_, true) => EndpointUpdate::Snapshot(infos),
            _ => EndpointUpdate::Delta(infos),
        })
    }

    fn zone_ids(&self, list: &EndpointList) -> Result<Vec<ZoneId>, UnknownZoneError> {
        let zone_id = |endpoint: &ListedEndpoint| {
            let index = self.zones.iter().position(|zone| *zone == endpoint.zone);
            index.map(|index| ZoneId(index as u16)).ok_or_else(|| UnknownZoneError(endpoint.zone.clone()))
        };
        list.endpoints.iter().map(zone_id).collect()
    }

    fn remove_unlisted(&mut self, list: &EndpointList) {
        let listed: FxHashSet<_> = list.endpoints.iter().map(|endpoint| endpoint.name.as_str()).collect();
        let unlisted = self.ids.keys().filter(|name| !listed.contains(name.as_str()));
        let unlisted: Vec<_> = unlisted.cloned().collect();
        unlisted.iter().for_each(|name| self.remove(name));
    }

    /// Applies changed admin overrides for endpoints of these names; `None` where none of them is listed.
    pub fn refresh_overrides(&mut self, names: &[String]) -> Option<EndpointUpdate> {
        let entries = names.iter().filter_map(|name| self.entries.get(self.ids.get(name)?));
        let listed: Vec<_> = entries.map(|entry| (entry.listed.clone(), entry.info.zone)).collect();
        let infos: Arc<[EndpointInfo]> =
            listed.into_iter().map(|(endpoint, zone)| self.upsert(endpoint, zone)).collect();
        (!infos.is_empty()).then_some(EndpointUpdate::Delta(infos))
    }

    /// Sets the start times of endpoints from a configuration: one that is known under its name and address has not
    /// restarted, any other may just have been started.
    pub fn assign_start_times(&self, list: &mut EndpointList, now_ms: u64) {
        for endpoint in &mut list.endpoints {
            let entry = self.ids.get(&endpoint.name).and_then(|id| self.entries.get(id));
            let same_process = entry.filter(|entry| *entry.connector.address() == endpoint.address);
            endpoint.started_at_ms = same_process.map_or(now_ms, |entry| entry.started_at_ms);
        }
    }

    /// Takes what an attempt showed of an endpoint that no discovery service watches: one that accepts connections after
    /// it refused them has restarted, and gets a new start time.
    pub fn observe_connect_result(
        &mut self,
        id: EndpointId,
        refused: bool,
        connected: bool,
        now_ms: u64,
    ) -> Option<EndpointUpdate> {
        let entry = self.entries.get_mut(&id)?;
        if refused {
            entry.last_connect_refused = true;
            return None;
        }
        if !connected || !std::mem::take(&mut entry.last_connect_refused) {
            return None;
        }
        entry.started_at_ms = now_ms;
        entry.listed.started_at_ms = now_ms;
        entry.info.started_at = nanos(now_ms);
        Some(EndpointUpdate::Delta(Arc::from([entry.info.clone()])))
    }

    /// Adds an endpoint or changes it; returns what the decision module needs to know of it. Another start time or
    /// address means another process, which gets a connector of its own: what is on its way to the old process must not
    /// reach the new one.
    fn upsert(&mut self, listed: ListedEndpoint, zone: ZoneId) -> EndpointInfo {
        self.overrides.known.borrow_mut().add(&listed.name);
        let endpoint = self.with_override(&listed);
        let id = self.id_for(&endpoint.name);
        let info = endpoint_info(id, zone, &endpoint);
        let transport = &self.transport;
        let new_entry = || EndpointEntry {
            name: endpoint.name.clone(),
            listed: listed.clone(),
            started_at_ms: endpoint.started_at_ms,
            connector: transport.connector(&endpoint.address),
            info: info.clone(),
            last_connect_refused: false,
        };
        let entry = self.entries.entry(id).or_insert_with(new_entry);
        if entry.started_at_ms != endpoint.started_at_ms
            || *entry.connector.address() != endpoint.address
            || !entry.connector.is_usable()
        {
            entry.connector.retire();
            *entry = new_entry();
        }
        entry.info = info.clone();
        entry.listed = listed.clone();
        self.ids.insert(endpoint.name.clone(), id);
        if endpoint.state != ListedState::Ready {
            entry.connector.retire();
        }
        if endpoint.state == ListedState::Removed {
            self.remove(&endpoint.name);
        }
        info
    }

    /// Returns a listed endpoint with the admin overrides applied.
    fn with_override(&self, listed: &ListedEndpoint) -> ListedEndpoint {
        let mut endpoint = listed.clone();
        match self.overrides.disabled.borrow().state(&endpoint.name, endpoint.started_at_ms) {
            BackendState::Disabled if endpoint.state == ListedState::Ready => {
                endpoint.state = ListedState::Draining
            }
            BackendState::Disabled => {}
            BackendState::Enabled { started_ms } => endpoint.started_at_ms = started_ms,
        }
        endpoint
    }

    fn remove(&mut self, name: &str) {
        if let Some(id) = self.ids.remove(name)
            && let Some(entry) = self.entries.remove(&id)
        {
            entry.connector.retire();
        }
    }

    /// Returns an id that is the same at every node, since nodes order endpoints by id on a ring that they share.
    fn id_for(&self, name: &str) -> EndpointId {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let mut id = EndpointId(unseeded_hash(name.as_bytes()) as u32);
        while self.entries.get(&id).is_some_and(|entry| entry.name != name) {
            id.0 = id.0.wrapping_add(1);
        }
        id
    }
}

fn endpoint_info(id: EndpointId, zone: ZoneId, endpoint: &ListedEndpoint) -> EndpointInfo {
    EndpointInfo {
        id,
        zone,
        cell: CellId(endpoint.cell),
        state: match endpoint.state {
            ListedState::Ready => EndpointState::Ready,
            ListedState::Draining => EndpointState::Draining,
            ListedState::Removed => EndpointState::Removed,
        },
        weight: endpoint.weight,
        started_at: nanos(endpoint.started_at_ms),
    }
}

fn nanos(unix_ms: u64) -> Nanos {
    unix_ms.saturating_mul(MILLISECOND)
}

/// A hash that is the same in every process.
pub fn unseeded_hash(bytes: &[u8]) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(bytes);
    hasher.finish()
}
