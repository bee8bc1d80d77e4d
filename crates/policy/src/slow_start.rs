//! Slow start: an endpoint whose process has just started gets a growing share of a warm endpoint's traffic.

use crate::balancer::Balancer;
use crate::endpoints::{Endpoint, EndpointIndex};
use crate::{EndpointId, Nanos, Settings, seconds};

/// Share of a warm endpoint's traffic that an endpoint in slow start gets, before the warm-up fraction is
/// applied.
const TRAFFIC_SHARE: f64 = 0.8;
/// Maximum accumulated budget, as a share of the earnings within [`Settings::overload_duration`], the time
/// after which a sustained overload makes an endpoint collapse.
const MAX_BUDGET_SHARE: f64 = 0.25;
/// Lower bound of the maximum accumulated budget, in requests.
const MIN_BUDGET_CAP: f64 = 0.01;

/// Budget of an endpoint in slow start, in requests of mean cost; may be negative.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct SlowStart {
    budget: f64,
    updated_at: Nanos,
}

impl SlowStart {
    pub fn new(now: Nanos) -> Self {
        Self { budget: 0.0, updated_at: now }
    }

    /// Budget after a restart of the endpoint's process. Each node starts with a debt of a random part of a
    /// request, so that the first attempts of the nodes are spread out. `jitter` is a random number from 0 to
    /// 1.
    pub fn restarted(jitter: f64, now: Nanos) -> Self {
        Self { budget: -jitter, updated_at: now }
    }

    /// Adds the earnings at `rate_per_s` since the last call, up to `max`. Returns whether the endpoint may
    /// get an attempt.
    pub fn earn(&mut self, rate_per_s: f64, max: f64, now: Nanos) -> bool {
        let earned = rate_per_s * seconds(now.saturating_sub(self.updated_at));
        self.updated_at = now;
        self.budget = (self.budget + earned).min(max);
        self.budget > 0.0
    }

    pub fn spend(&mut self, relative_cost: f64) {
        self.budget -= relative_cost;
    }
}

/// Returns the minimum fraction of its full capacity that a process has `age` after its start.
fn warmup_fraction_at(age: Nanos, settings: &Settings) -> f64 {
    if age >= settings.warmup_duration {
        return 1.0;
    }
    let elapsed = age as f64 / settings.warmup_duration as f64;
    settings.warmup_initial_fraction + (1.0 - settings.warmup_initial_fraction) * elapsed
}

impl Balancer {
    /// Returns the minimum fraction of its full capacity that an endpoint has; 1 if it is not in slow start.
    pub(crate) fn warmup_fraction(&self, endpoint: &Endpoint) -> f64 {
        if endpoint.started_at == 0 {
            return 1.0;
        }
        warmup_fraction_at(self.now.saturating_sub(endpoint.started_at), &self.settings)
    }

    /// Refills an endpoint's budget and returns whether slow start allows an attempt. The refill rate is a
    /// share of the rate at which a warm endpoint serves this node, adjusted by rates lent and granted. Each
    /// node keeps to its own share, so all nodes together do, however unevenly traffic is distributed among
    /// them.
    pub(crate) fn earn_warmup_budget(&mut self, index: EndpointIndex) -> bool {
        let endpoint = &self.endpoints[index];
        let fraction = self.warmup_fraction(endpoint);
        if fraction >= 1.0 {
            return true;
        }
        let own_rate = self.subset.warm_endpoint_rate;
        let rate = TRAFFIC_SHARE * fraction * self.advice.slow_start_rate(endpoint.id, own_rate, self.now);
        let max = rate * seconds(self.settings.overload_duration) * MAX_BUDGET_SHARE;
        self.endpoints[index].slow_start.earn(rate, max.max(MIN_BUDGET_CAP), self.now)
    }

    /// Returns the endpoints in slow start that this node uses, each with the rate at which a warm endpoint
    /// serves this node, in requests of mean cost per second. This part of an endpoint's capacity may be lent
    /// to other nodes.
    pub fn slow_start_rates(&self) -> impl Iterator<Item = (EndpointId, f64)> {
        let active = self.subset.active().map(|index| &self.endpoints[index]);
        let in_slow_start = active.filter(|endpoint| self.warmup_fraction(endpoint) < 1.0);
        in_slow_start.map(|endpoint| (endpoint.id, self.subset.warm_endpoint_rate))
    }
}

#[cfg(test)]
#[path = "../tests/unit/slow_start.rs"]
mod tests;
