//! Whether this node has capacity for another attempt: the sum of its endpoints' limits.

use crate::balancer::Balancer;
use crate::subsetting::Locality;

/// While the mean number of attempts in flight is under this fraction of the capacity, bursts are allowed.
const MAX_MEAN_USE_FOR_BURST: f64 = 0.8;
/// How far a burst may exceed a limit, in square roots of the limit.
const BURST_ROOTS: f64 = 2.0;
/// Utilization from which a limit under one attempt is no longer rounded up.
const CONGESTED_UTILIZATION: f64 = 1.25;

impl Balancer {
    /// Sums up the limits and the attempts in flight of the endpoints in use, but for outliers, and computes
    /// what a warm endpoint serves this node.
    ///
    /// That rate is computed from what was served: what was sent is several times that in an overload, and
    /// the rate of a single endpoint is too uncertain. If no endpoint is warm, the arrivals stand in.
    pub(crate) fn sum_limits(&mut self) {
        let (mut warmup_sum, mut any_warm) = (0.0, false);
        for locality in Locality::ALL {
            let subset = &self.subset[locality];
            let (mut limit, mut in_flight) = (0.0, 0);
            for &index in &subset.active {
                if !self.panic_mode && self.is_outlier(index) {
                    continue;
                }
                let endpoint = &self.endpoints[index];
                let warmup = self.warmup_fraction(endpoint);
                in_flight += endpoint.in_flight.len();
                limit += endpoint.concurrency_limit * warmup * subset.share_of_slot;
                warmup_sum += warmup;
                any_warm |= warmup >= 1.0;
            }
            let subset = &mut self.subset[locality];
            (subset.limit, subset.in_flight) = (limit, in_flight);
        }
        self.subset.limit = self.subset[Locality::Local].limit + self.subset[Locality::Remote].limit;
        let rate = if any_warm { &self.traffic.served } else { &self.traffic.arrivals };
        self.subset.warm_endpoint_rate = rate.low(self.now) / warmup_sum.max(1.0);
    }

    /// Returns whether another attempt fits. The sum of the limits is what counts, so that fractions of an
    /// attempt count too.
    pub(crate) fn has_capacity(&self) -> bool {
        if self.knows_group_load() {
            let active = self.subset[Locality::Local].active.iter();
            let known: usize = active.map(|&index| self.known_in_flight(index)).sum();
            return (known as f64) < self.subset.limit * self.nodes_per_endpoint();
        }
        self.fits(self.subset.in_flight(), self.subset.limit)
    }

    /// Returns whether a locality has no capacity left, where other zones are dear to use. Limits of single
    /// endpoints are rounded up and would hide that.
    pub(crate) fn is_locality_full(&self, locality: Locality) -> bool {
        let subset = &self.subset[locality];
        self.subset.has_remote() && !self.fits(subset.in_flight, subset.limit)
    }

    /// Returns whether another attempt fits beside `in_flight` ones under a limit.
    ///
    /// Limits bound the mean. A node with a limit of one or two must be able to serve two requests that come
    /// together, so while its mean is low it may exceed the limit by as much as chance alone brings about;
    /// that evens out over the nodes. A limit under 1 is rounded up, but not while endpoints are congested:
    /// many nodes with one attempt each would keep them so.
    fn fits(&self, in_flight: usize, limit: f64) -> bool {
        let mean = self.traffic.mean_in_flight;
        let allows_burst = mean < MAX_MEAN_USE_FOR_BURST * self.subset.limit;
        let burst = if allows_burst { BURST_ROOTS * limit.sqrt() } else { 0.0 };
        let is_uncongested = self.limiter.utilization < CONGESTED_UTILIZATION;
        let rounds_up = in_flight == 0 && (mean < limit || is_uncongested);
        rounds_up || (in_flight > 0 || limit >= 1.0) && (in_flight as f64) < limit + burst
    }
}
