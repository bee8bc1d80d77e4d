//! Deterministic subsetting: which endpoints this node uses.

use std::ops::{Index, IndexMut};

use crate::balancer::Balancer;
use crate::concurrency_limit::{INITIAL_ENDPOINT_LIMIT, MIN_ENDPOINT_LIMIT};
use crate::endpoints::EndpointIndex;
use crate::hash_ring::node_position;
use crate::outlier_detection::OutlierCount;
use crate::{Nanos, SECOND, ZoneId};

/// Interval between updates of the subset and of the sums over it.
pub(crate) const REFRESH_INTERVAL: Nanos = SECOND / 20;
/// Minimum number of endpoints that a node uses.
const MIN_WIDTH: usize = 5;
/// The same if connections cost the endpoints capacity.
const MIN_WIDTH_WITH_CONNECTION_COST: usize = 3;
/// Number of endpoints used per attempt that a node has in flight on average.
const WIDTH_PER_IN_FLIGHT: f64 = 1.5;
/// Cost of crossing zones, as a fraction of a request, from which the node's own zone is preferred. A lower
/// cost is less than that of overloading the own zone.
const MIN_PREFERENCE_COST: f64 = 0.05;

/// Location of an endpoint relative to this node. If crossing zones costs little, all endpoints are local.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Locality {
    /// In this node's zone.
    Local,
    /// In another zone.
    Remote,
}

impl Locality {
    /// All localities, in order of preference.
    pub const ALL: [Self; 2] = [Self::Local, Self::Remote];
}

/// The endpoints of one locality.
#[derive(Default)]
pub(crate) struct LocalitySubset {
    /// All ready endpoints, in this node's order of preference.
    pub preference_order: Vec<EndpointIndex>,
    /// The endpoints in use: a prefix of `preference_order`.
    pub active: Vec<EndpointIndex>,
    /// Sum of the limits of the endpoints in use, without outliers.
    pub limit: f64,
    /// This node's attempts in flight at these endpoints.
    pub in_flight: usize,
    /// Fraction of a limit that is left to this node. Less than 1 if more nodes than usual use the same
    /// endpoints, because many endpoints are in slow start.
    pub limit_share: f64,
}

/// The endpoints in use.
#[derive(Default)]
pub(crate) struct Subset {
    local: LocalitySubset,
    remote: LocalitySubset,
    /// Number of endpoints to be used.
    pub width: usize,
    pub refreshed_at: Nanos,
    /// Sum of the limits of both localities.
    pub limit: f64,
    /// Mean limit of the endpoints in use, without outliers.
    pub typical_limit: f64,
    /// Rate at which a warm endpoint serves this node, in requests of mean cost per second.
    pub warm_endpoint_rate: f64,
}

impl Subset {
    /// Returns the endpoints in use, local ones first.
    pub fn active(&self) -> impl Iterator<Item = EndpointIndex> {
        self.local.active.iter().chain(&self.remote.active).copied()
    }

    /// Returns the number of this node's attempts in flight at endpoints in use.
    pub fn in_flight(&self) -> usize {
        self.local.in_flight + self.remote.in_flight
    }

    /// Returns the number of ready endpoints.
    pub fn ready_count(&self) -> usize {
        self.local.preference_order.len() + self.remote.preference_order.len()
    }

    /// Returns whether there are ready endpoints in other zones that are expensive to use.
    pub fn has_remote(&self) -> bool {
        !self.remote.preference_order.is_empty()
    }

    /// Returns how many endpoints with full capacity are to be used in a locality. Some remote ones are kept
    /// in use in case the own zone lacks capacity.
    fn target_width(&self, locality: Locality) -> usize {
        let spare = if self.has_remote() { (self.width / 2).max(1) } else { 0 };
        match locality {
            Locality::Local => self.width,
            Locality::Remote => self.width.saturating_sub(self.local.preference_order.len()).max(spare),
        }
    }

    fn clear_active(&mut self) {
        self.local.active.clear();
        self.remote.active.clear();
        self.limit = 0.0;
    }
}

impl Index<Locality> for Subset {
    type Output = LocalitySubset;

    fn index(&self, locality: Locality) -> &LocalitySubset {
        match locality {
            Locality::Local => &self.local,
            Locality::Remote => &self.remote,
        }
    }
}

impl IndexMut<Locality> for Subset {
    fn index_mut(&mut self, locality: Locality) -> &mut LocalitySubset {
        match locality {
            Locality::Local => &mut self.local,
            Locality::Remote => &mut self.remote,
        }
    }
}

impl Balancer {
    /// Removes departed endpoints, and orders the others on a ring that all nodes share, starting at this
    /// node's position on it. A subset then changes little when the list changes, and every endpoint is in as
    /// many subsets as any other; random subsets don't achieve that.
    pub(crate) fn rebuild_preference_order(&mut self) {
        self.endpoints.remove_departed();
        for locality in Locality::ALL {
            self.subset[locality].preference_order.clear();
        }
        for index in self.endpoints.indices().filter(|&index| self.endpoints[index].ready) {
            let locality = self.locality(self.endpoints[index].zone);
            self.subset[locality].preference_order.push(index);
        }
        for locality in Locality::ALL {
            let order = &mut self.subset[locality].preference_order;
            order.sort_unstable_by_key(|&index| self.endpoints[index].ring_position);
            let start = node_position(self.settings.node_index, order.len());
            order.rotate_left(start);
        }
        self.form_report_group();
    }

    /// Returns the locality of a zone.
    pub(crate) fn locality(&self, zone: ZoneId) -> Locality {
        let is_remote = self.settings.cross_zone_cost >= MIN_PREFERENCE_COST && zone != self.settings.zone;
        if is_remote { Locality::Remote } else { Locality::Local }
    }

    /// Recomputes which endpoints are in use, and the sums over them.
    pub(crate) fn refresh(&mut self) {
        self.subset.refreshed_at = self.now;
        self.traffic.update_mean(self.subset.in_flight(), self.now);
        self.expire_load_reports();
        if self.subset.ready_count() == 0 {
            self.subset.clear_active();
            return;
        }
        self.subset.width = self.width();
        let outliers = self.choose_active();
        self.update_typical_limit(outliers);
        self.update_panic_mode(outliers);
        self.adjust_all_limits();
        self.sum_limits();
        self.end_overload_when_queue_is_empty();
    }

    /// Returns how many endpoints this node uses: enough for its own traffic, and enough that the subsets of
    /// all nodes cover every endpoint. A lack of capacity doesn't widen the subset: if all nodes lacked
    /// capacity, each endpoint would be shared by many nodes that can't see each other's attempts.
    fn width(&self) -> usize {
        let ready = self.subset.ready_count();
        let for_own_traffic = (WIDTH_PER_IN_FLIGHT * self.traffic.mean_in_flight).ceil() as usize;
        self.min_width(ready).max(for_own_traffic).min(ready)
    }

    /// Returns the minimum width for this number of endpoints.
    pub(crate) fn min_width(&self, endpoints: usize) -> usize {
        let has_cost = self.settings.connections_have_cost;
        let min = if has_cost { MIN_WIDTH_WITH_CONNECTION_COST } else { MIN_WIDTH };
        min.max(endpoints.div_ceil(self.settings.node_count as usize))
    }

    /// Returns how many nodes use the same endpoint on average.
    pub(crate) fn nodes_per_endpoint(&self) -> f64 {
        if !self.reporting.group.is_empty() {
            return self.reporting.group.len() as f64 + 1.0;
        }
        let ready = self.subset.ready_count().max(1);
        (f64::from(self.settings.node_count) * self.subset.width as f64 / ready as f64).max(1.0)
    }

    /// Puts endpoints into use in the order of preference, until their capacity equals that of the target
    /// number of warm endpoints. Outliers count as none, endpoints in slow start by their current warm-up
    /// fraction.
    fn choose_active(&mut self) -> OutlierCount {
        let initial_limit = self.initial_limit();
        let mut count = OutlierCount::default();
        for locality in Locality::ALL {
            let target = self.subset.target_width(locality) as f64;
            let (mut warm_capacity, mut healthy) = (0.0, 0.0);
            self.subset[locality].active.clear();
            for position in 0..self.subset[locality].preference_order.len() {
                if warm_capacity >= target {
                    break;
                }
                let index = self.subset[locality].preference_order[position];
                self.subset[locality].active.push(index);
                let is_outlier = self.is_outlier(index);
                count.add(is_outlier);
                let health = if is_outlier { 0.0 } else { 1.0 };
                healthy += health;
                warm_capacity += health * self.warmup_fraction(&self.endpoints[index]);
                let limit = &mut self.endpoints[index].concurrency_limit;
                *limit = if *limit == 0.0 { initial_limit } else { *limit };
            }
            self.subset[locality].limit_share = (target / f64::max(healthy, 1.0)).min(1.0);
        }
        count
    }

    /// Returns the limit of an endpoint in use that has no limit value yet. Only the first subset starts with
    /// the usual limit. Endpoints added later start with the minimum, so that a wider subset adds no capacity
    /// by itself.
    fn initial_limit(&self) -> f64 {
        let nodes = self.nodes_per_endpoint();
        let is_first_subset = self.subset.limit == 0.0;
        if is_first_subset { INITIAL_ENDPOINT_LIMIT.min(nodes) / nodes } else { MIN_ENDPOINT_LIMIT / nodes }
    }

    fn update_typical_limit(&mut self, outliers: OutlierCount) {
        if outliers.outliers < outliers.total {
            let healthy = self.subset.active().filter(|&index| !self.is_outlier(index));
            let sum = healthy.map(|index| self.endpoints[index].concurrency_limit).sum::<f64>();
            self.subset.typical_limit = sum / f64::from(outliers.total - outliers.outliers);
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/subsetting.rs"]
mod tests;
