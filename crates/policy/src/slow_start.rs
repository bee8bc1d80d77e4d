//! Slow start: an endpoint whose process has just started gets a growing share of what a warm one gets.

use crate::balancer::Balancer;
use crate::endpoints::{Endpoint, EndpointIndex};
use crate::{EndpointId, Nanos, Settings, seconds};

/// Share of a warm endpoint's traffic, times the warm-up fraction, that an endpoint in slow start gets.
const TRAFFIC_SHARE: f64 = 0.8;
/// The budget that may be saved up, as a share of what is earned within the time in which overload makes an
/// endpoint collapse.
const MAX_SAVED_SHARE: f64 = 0.25;
/// Least budget that may be saved up, in requests.
const MIN_SAVED_BUDGET: f64 = 0.01;

/// The budget of an endpoint in slow start, in requests of mean cost; it may become negative.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct SlowStart {
    budget: f64,
    updated_at: Nanos,
}

impl SlowStart {
    pub fn new(now: Nanos) -> Self {
        Self { budget: 0.0, updated_at: now }
    }

    /// After a restart each node owes a random part of a request, so that nodes take turns. `jitter` is a
    /// random number from 0 to 1.
    pub fn restarted(jitter: f64, now: Nanos) -> Self {
        Self { budget: -jitter, updated_at: now }
    }

    /// Earns `rate_per_s` since the last call, up to `max`; returns whether the endpoint may get an attempt.
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

/// Returns the fraction of its full capacity that a process has at least, `age` after its start.
fn warmup_fraction_at(age: Nanos, settings: &Settings) -> f64 {
    if age >= settings.warmup_duration {
        return 1.0;
    }
    let elapsed = age as f64 / settings.warmup_duration as f64;
    settings.warmup_initial_fraction + (1.0 - settings.warmup_initial_fraction) * elapsed
}

impl Balancer {
    /// Returns the fraction of its full capacity that an endpoint has at least; 1 if it isn't in slow start.
    pub(crate) fn warmup_fraction(&self, endpoint: &Endpoint) -> f64 {
        if endpoint.started_at == 0 {
            return 1.0;
        }
        warmup_fraction_at(self.now.saturating_sub(endpoint.started_at), &self.settings)
    }

    /// Earns an endpoint its budget and returns whether slow start allows an attempt. The budget is a share
    /// of what this node sends to a warm endpoint, changed by what was lent and granted. Each node alone
    /// keeps to that share, so all nodes together do, however uneven their traffic is.
    pub(crate) fn earn_warmup_budget(&mut self, index: EndpointIndex) -> bool {
        let endpoint = &self.endpoints[index];
        let fraction = self.warmup_fraction(endpoint);
        if fraction >= 1.0 {
            return true;
        }
        let own_rate = self.subset.warm_endpoint_rate;
        let rate = TRAFFIC_SHARE * fraction * self.advice.slow_start_rate(endpoint.id, own_rate, self.now);
        let max = rate * seconds(self.settings.overload_duration) * MAX_SAVED_SHARE;
        self.endpoints[index].slow_start.earn(rate, max.max(MIN_SAVED_BUDGET), self.now)
    }

    /// Endpoints in slow start that this node uses, with the rate that it sends to a warm endpoint, in
    /// requests of mean cost a second. This part of an endpoint may be lent to other nodes.
    pub fn slow_start_rates(&self) -> impl Iterator<Item = (EndpointId, f64)> {
        let active = self.subset.active().map(|index| &self.endpoints[index]);
        let in_slow_start = active.filter(|endpoint| self.warmup_fraction(endpoint) < 1.0);
        in_slow_start.map(|endpoint| (endpoint.id, self.subset.warm_endpoint_rate))
    }
}

#[cfg(test)]
#[path = "../tests/unit/slow_start.rs"]
mod tests;
