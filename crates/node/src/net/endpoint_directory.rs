//! The endpoints of a pool, by the names in the list and by the ids that the decision module uses.

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

/// The zone of an endpoint is not in the configuration.
#[derive(Debug, Error)]
#[error("unknown zone `{0}`")]
pub struct UnknownZoneError(String);

struct EndpointEntry {
    name: String,
    /// The endpoint as listed, without admin overrides.
    listed: ListedEndpoint,
    /// When the endpoint's process started, in Unix milliseconds.
    started_at_ms: u64,
    connector: Rc<dyn EndpointConnector>,
    /// The endpoint as last reported to the decision module.
    info: EndpointInfo,
    /// Whether the endpoint's address refused the last connection.
    last_connect_refused: bool,
}

/// The endpoints of a pool.
pub struct EndpointDirectory {
    /// Zone names by zone id.
    zones: Vec<String>,
    transport: Rc<dyn Transport>,
    entries: FxHashMap<EndpointId, EndpointEntry>,
    ids: FxHashMap<String, EndpointId>,
    overrides: Rc<AdminOverrides>,
    /// Version of the last list that was applied.
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

    /// Whether an endpoint takes requests according to the list and the admin overrides.
    pub fn is_ready(&self, id: EndpointId) -> bool {
        self.entries.get(&id).is_some_and(|entry| entry.info.state == EndpointState::Ready)
    }

    /// Returns the transport through which attempts reach the endpoints.
    pub fn transport(&self) -> &dyn Transport {
        &*self.transport
    }

    /// Returns the name of an endpoint.
    pub fn name(&self, id: EndpointId) -> Option<&str> {
        self.entries.get(&id).map(|entry| entry.name.as_str())
    }

    /// Returns the connector of an endpoint.
    pub fn connector(&self, id: EndpointId) -> Option<&Rc<dyn EndpointConnector>> {
        self.entries.get(&id).map(|entry| &entry.connector)
    }

    /// Applies a complete list or a list of changes. `is_restored` marks the complete list that an earlier process
    /// had.
    ///
    /// # Errors
    /// A zone is unknown. Nothing is changed in this case.
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

    /// Applies changed admin overrides to the endpoints with these names; returns `None` if none of them is listed.
    pub fn refresh_overrides(&mut self, names: &[String]) -> Option<EndpointUpdate> {
        let entries = names.iter().filter_map(|name| self.entries.get(self.ids.get(name)?));
        let listed: Vec<_> = entries.map(|entry| (entry.listed.clone(), entry.info.zone)).collect();
        let infos: Arc<[EndpointInfo]> =
            listed.into_iter().map(|(endpoint, zone)| self.upsert(endpoint, zone)).collect();
        (!infos.is_empty()).then_some(EndpointUpdate::Delta(infos))
    }

    /// Sets the start times of endpoints from a configuration. An endpoint that is known under the same name and
    /// address has not been restarted; any other one may just have been started.
    pub fn assign_start_times(&self, list: &mut EndpointList, now_ms: u64) {
        for endpoint in &mut list.endpoints {
            let entry = self.ids.get(&endpoint.name).and_then(|id| self.entries.get(id));
            let same_process = entry.filter(|entry| *entry.connector.address() == endpoint.address);
            endpoint.started_at_ms = same_process.map_or(now_ms, |entry| entry.started_at_ms);
        }
    }

    /// Processes the connection result of an attempt, for endpoints without a discovery service. An endpoint that
    /// accepts connections again after refusing them has been restarted, and gets a new start time.
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

    /// Adds or updates an endpoint; returns what the decision module needs to know about it. A different start time
    /// or address means a different process, which gets a connector of its own, so that requests in flight to the old
    /// process can't reach the new one.
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

    /// Returns an id that is the same on every node, unless the hashes of two names collide, because nodes order
    /// endpoints by id on a shared ring.
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

/// Returns a hash that is the same in every process.
pub fn unseeded_hash(bytes: &[u8]) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(bytes);
    hasher.finish()
}
