//! The endpoints known to this node, kept up to date with discovery.

use std::collections::VecDeque;
use std::ops::{Index, IndexMut};

use rustc_hash::FxHashMap;

use crate::balancer::Balancer;
use crate::hash_ring::mix64;
use crate::latency::LatencyRatio;
use crate::outlier_detection::OutlierDetector;
use crate::slow_start::SlowStart;
use crate::timer::Timer;
use crate::traffic_stats::Rate;
use crate::{
    Action, CellId, Discovery, EndpointId, EndpointInfo, EndpointState, EndpointUpdate, Nanos, RequestId,
    ZoneId,
};

/// Utilization of an endpoint before its first sample.
const INITIAL_UTILIZATION: f64 = 0.5;

/// Index of an endpoint in the [`EndpointTable`]; valid until [`EndpointTable::remove_departed`] is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EndpointIndex(pub usize);

/// An attempt of this node that is in flight at an endpoint.
#[derive(Clone, Copy)]
pub(crate) struct InFlightAttempt {
    pub request: RequestId,
    /// Its index among the request's attempts.
    pub attempt: usize,
    pub sent_at: Nanos,
    /// In seconds.
    pub expected_latency: f64,
}

/// An endpoint and what this node has learned about it.
#[derive(Default)]
pub(crate) struct Endpoint {
    pub id: EndpointId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub weight: f64,
    pub ready: bool,
    /// Start time of its process; 0 means long ago.
    pub started_at: Nanos,
    /// Attempts of this node in flight, oldest first.
    pub in_flight: VecDeque<InFlightAttempt>,
    pub latency_ratio: LatencyRatio,
    /// Smoothed latency relative to its target.
    pub utilization: f64,
    /// Maximum number of attempts of this node in flight; 0 means that the endpoint has no limit value yet.
    pub concurrency_limit: f64,
    pub outlier: OutlierDetector,
    /// Send time of the latest attempt that succeeded.
    pub last_success_sent_at: Nanos,
    /// Whether the attempt that ended last was rejected.
    pub last_attempt_rejected: bool,
    /// Rate of work sent, in requests of mean cost per second.
    pub sent_rate: Rate,
    pub slow_start: SlowStart,
    /// Position on the ring that all nodes share.
    pub ring_position: u64,
}

impl Endpoint {
    pub fn new(id: EndpointId, now: Nanos) -> Self {
        Self {
            id,
            ready: true,
            latency_ratio: LatencyRatio::new(now),
            utilization: INITIAL_UTILIZATION,
            slow_start: SlowStart::new(now),
            ring_position: mix64(u64::from(id.0)),
            ..Self::default()
        }
    }

    /// Discards state that only applies to an earlier process. `jitter` is a random number from 0 to 1.
    fn on_restart(&mut self, started_at: Nanos, jitter: f64, now: Nanos) {
        self.started_at = started_at;
        self.latency_ratio.reset();
        self.outlier.on_restart();
        self.slow_start = SlowStart::restarted(jitter, now);
    }
}

/// All endpoints that are ready or have attempts in flight.
#[derive(Default)]
pub(crate) struct EndpointTable {
    endpoints: Vec<Endpoint>,
    by_id: FxHashMap<EndpointId, EndpointIndex>,
}

impl EndpointTable {
    pub fn find(&self, id: EndpointId) -> Option<EndpointIndex> {
        self.by_id.get(&id).copied()
    }

    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.iter()
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        self.endpoints.iter_mut()
    }

    pub fn indices(&self) -> impl Iterator<Item = EndpointIndex> + use<> {
        (0..self.endpoints.len()).map(EndpointIndex)
    }

    pub fn insert(&mut self, endpoint: Endpoint) -> EndpointIndex {
        let index = EndpointIndex(self.endpoints.len());
        self.by_id.insert(endpoint.id, index);
        self.endpoints.push(endpoint);
        index
    }

    /// Removes the endpoints that are not ready and have no attempt in flight. Invalidates indices.
    pub fn remove_departed(&mut self) {
        let is_departed = |endpoint: &Endpoint| !endpoint.ready && endpoint.in_flight.is_empty();
        if self.endpoints.iter().any(is_departed) {
            self.endpoints.retain(|endpoint| !is_departed(endpoint));
            let indexed = self.endpoints.iter().enumerate();
            self.by_id = indexed.map(|(index, endpoint)| (endpoint.id, EndpointIndex(index))).collect();
        }
    }
}

impl Index<EndpointIndex> for EndpointTable {
    type Output = Endpoint;

    fn index(&self, index: EndpointIndex) -> &Endpoint {
        &self.endpoints[index.0]
    }
}

impl IndexMut<EndpointIndex> for EndpointTable {
    fn index_mut(&mut self, index: EndpointIndex) -> &mut Endpoint {
        &mut self.endpoints[index.0]
    }
}

impl Balancer {
    /// Applies an update from discovery. From now on, an endpoint that is missing from a snapshot gets no
    /// attempts.
    pub(crate) fn on_endpoints_updated(&mut self, update: &EndpointUpdate, actions: &mut Vec<Action>) {
        match update {
            EndpointUpdate::Delta(list) => list.iter().for_each(|info| self.update_endpoint(info)),
            EndpointUpdate::Snapshot(list) | EndpointUpdate::Restored(list) => {
                self.endpoints.iter_mut().for_each(|endpoint| endpoint.ready = false);
                list.iter().for_each(|info| self.update_endpoint(info));
            }
            EndpointUpdate::WatchFailed => self.on_watch_failed(),
        }
        if self.settings.discovery == Discovery::Poll {
            self.schedule_poll(update, actions);
        }
        for index in self.endpoints.indices() {
            self.close_idle_if_draining(index, actions);
        }
        self.rebuild_preference_order();
        self.refresh();
    }

    /// Applies discovery's information about one endpoint. A new endpoint starts with the typical limit,
    /// since it often replaces others. A restarted process begins in slow start.
    pub(crate) fn update_endpoint(&mut self, info: &EndpointInfo) {
        let ready = info.state == EndpointState::Ready;
        let index = match self.endpoints.find(info.id) {
            Some(index) => index,
            None if !ready => return,
            None => {
                let concurrency_limit = self.subset.typical_limit;
                self.endpoints.insert(Endpoint { concurrency_limit, ..Endpoint::new(info.id, self.now) })
            }
        };
        let jitter = self.random();
        let endpoint = &mut self.endpoints[index];
        endpoint.ready = ready;
        endpoint.zone = info.zone;
        endpoint.cell = info.cell;
        endpoint.weight =
            if info.weight.is_finite() && info.weight > 0.0 { f64::from(info.weight) } else { 1.0 };
        if info.started_at > endpoint.started_at {
            endpoint.on_restart(info.started_at, jitter, self.now);
        }
    }

    /// Closes the idle connections to an endpoint that drains, since it waits for its connections to end.
    /// Called on the update and after each attempt there, and repeated after half of the allowed time, for
    /// connections that were just being opened.
    pub(crate) fn close_idle_if_draining(&self, index: EndpointIndex, actions: &mut Vec<Action>) {
        let endpoint = &self.endpoints[index];
        if let Some(within) = self.settings.drain_idle_close.filter(|_| !endpoint.ready) {
            actions.push(Action::CloseIdleConnections(endpoint.id));
            self.arm(self.now + within / 2, Timer::CloseIdleConnections(endpoint.id), actions);
        }
    }

    pub(crate) fn on_close_idle_timer(&self, id: EndpointId, actions: &mut Vec<Action>) {
        if self.endpoints.find(id).is_none_or(|index| !self.endpoints[index].ready) {
            actions.push(Action::CloseIdleConnections(id));
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/endpoints.rs"]
mod tests;
