//! Capacity of this node for another attempt, from the sum of its endpoints' limits.

use crate::balancer::Balancer;
use crate::subsetting::Locality;

/// Bursts are allowed while the mean number of attempts in flight is below this fraction of the capacity.
const MAX_MEAN_USE_FOR_BURST: f64 = 0.8;
/// How far a burst may exceed a limit, in multiples of the limit's square root.
const BURST_PER_SQRT_LIMIT: f64 = 2.0;
/// Utilization from which a limit below one attempt is no longer rounded up.
const CONGESTED_UTILIZATION: f64 = 1.25;

impl Balancer {
    /// Computes the sums of limits and attempts in flight over the endpoints in use without outliers, and the
    /// rate at which a warm endpoint serves this node.
    ///
    /// That rate is based on what was served: in an overload, several times that is sent, and the rate of a
    /// single endpoint is too uncertain. If no endpoint is warm, the arrival rate is used instead.
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
                limit += endpoint.concurrency_limit * warmup * subset.limit_share;
                warmup_sum += warmup;
                any_warm |= warmup >= 1.0;
            }
            let subset = &mut self.subset[locality];
            (subset.limit, subset.in_flight) = (limit, in_flight);
        }
        self.subset.limit = self.subset[Locality::Local].limit + self.subset[Locality::Remote].limit;
        let rate = if any_warm { &self.traffic.served } else { &self.traffic.arrivals };
        self.subset.warm_endpoint_rate = rate.get_uncorrected(self.now) / warmup_sum.max(1.0);
    }

    /// Returns whether there is capacity for another attempt. Compares the sum of the limits, so that
    /// fractions of an attempt count too.
    pub(crate) fn has_capacity(&self) -> bool {
        if self.knows_group_load() {
            let active = self.subset[Locality::Local].active.iter();
            let known: usize = active.map(|&index| self.known_in_flight(index)).sum();
            return (known as f64) < self.subset.limit * self.nodes_per_endpoint();
        }
        self.limit_allows(self.subset.in_flight(), self.subset.limit)
    }

    /// Returns whether a locality has no capacity left, if other zones are expensive to use. The limits of
    /// single endpoints are rounded up and would hide that.
    pub(crate) fn is_locality_full(&self, locality: Locality) -> bool {
        let subset = &self.subset[locality];
        self.subset.has_remote() && !self.limit_allows(subset.in_flight, subset.limit)
    }

    /// Returns whether a limit allows another attempt besides `in_flight` ones.
    ///
    /// Limits apply to the mean. A node with a limit of one or two must be able to serve two requests that
    /// arrive together. While its mean is low it may therefore exceed the limit by as much as random
    /// variation explains, which evens out over the nodes. A limit below 1 is rounded up, unless endpoints
    /// are congested: one attempt from each of many nodes would keep them congested.
    fn limit_allows(&self, in_flight: usize, limit: f64) -> bool {
        let mean = self.traffic.mean_in_flight;
        let allows_burst = mean < MAX_MEAN_USE_FOR_BURST * self.subset.limit;
        let burst = if allows_burst { BURST_PER_SQRT_LIMIT * limit.sqrt() } else { 0.0 };
        let is_uncongested = self.limiter.utilization < CONGESTED_UTILIZATION;
        let rounds_up = in_flight == 0 && (mean < limit || is_uncongested);
        rounds_up || (in_flight > 0 || limit >= 1.0) && (in_flight as f64) < limit + burst
    }
}
