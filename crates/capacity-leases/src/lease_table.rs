//! The lease table of a planner: the rates that forwarders have lent to it, and the grants made from them.

use std::collections::VecDeque;

use pumicehead_policy::{EndpointId, Nanos};
use rustc_hash::FxHashMap;

use crate::lease_holder::{LeasePlan, LoanReport, MAX_LENT_ENDPOINTS};
use crate::lease_terms::LeaseTerms;
use crate::rate_promise::{Rate, RatePromises};
use crate::table_sync::splitmix64;
use crate::{ForwarderId, PlanNumber, PlannerId, ReportNumber};

/// Number of plans per forwarder whose time of sending is kept.
const MAX_RECORDED_PLANS: usize = 64;
/// Minimum rate of a grant, if the loans suffice. With less, most forwarders would open connections that they
/// use only once in several seconds.
const MIN_GRANT: Rate = Rate::from_requests_per_second(1);
/// Maximum number of forwarders of a planner, at a few hundred bytes each. Further ones are rejected, and keep
/// their own shares.
pub const MAX_FORWARDERS: usize = 65_536;

/// State of a planner for one forwarder.
#[derive(Debug, Default)]
struct ForwarderState {
    sent_plans: VecDeque<(PlanNumber, Nanos)>,
    last_report: ReportNumber,
    lent: FxHashMap<EndpointId, RatePromises>,
}

impl ForwarderState {
    fn record_plan(&mut self, number: PlanNumber, now: Nanos) {
        self.sent_plans.push_back((number, now));
        if self.sent_plans.len() > MAX_RECORDED_PLANS {
            self.sent_plans.pop_front();
        }
    }
}

/// The loans to a planner and its grants.
#[derive(Debug)]
pub struct LeaseTable {
    planner: PlannerId,
    terms: LeaseTerms,
    /// When grants start. Before, grants of an earlier process may still be in use.
    grants_from: Nanos,
    /// Number of the last plan to any forwarder. It is shared by all forwarders, so that one that was removed
    /// from the table and returns never receives a number twice.
    last_plan: PlanNumber,
    forwarders: FxHashMap<ForwarderId, ForwarderState>,
    granted: FxHashMap<EndpointId, FxHashMap<ForwarderId, RatePromises>>,
}

impl LeaseTable {
    /// Creates the empty table of a planner that starts `now`.
    #[must_use]
    pub fn new(planner: PlannerId, terms: LeaseTerms, now: Nanos) -> Self {
        Self {
            planner,
            terms,
            grants_from: now + LeaseTerms::max_local_span(terms.lease),
            last_plan: PlanNumber::default(),
            forwarders: FxHashMap::default(),
            granted: FxHashMap::default(),
        }
    }

    /// Accepts a report. Returns `false` if the forwarder is new and the planner already has
    /// [`MAX_FORWARDERS`].
    pub fn accept_report(&mut self, forwarder: ForwarderId, report: &LoanReport, now: Nanos) -> bool {
        if !self.forwarders.contains_key(&forwarder) && self.forwarders.len() >= MAX_FORWARDERS {
            return false;
        }
        let state = self.forwarders.entry(forwarder).or_default();
        if report.number <= state.last_report {
            // A newer report has superseded this one.
            return true;
        }
        state.last_report = report.number;
        // The report may have been delayed beyond the end of its loans. It was sent after the plan that it
        // names, whose time of sending is known, so the loans are counted from that time.
        let last_plan = report.last_plan.filter(|(planner, _)| *planner == self.planner);
        let sent_plan =
            last_plan.and_then(|(_, plan)| state.sent_plans.iter().find(|(number, _)| *number == plan));
        if let Some((_, sent_at)) = sent_plan {
            let until = sent_at + LeaseTerms::min_local_span(self.terms.loan);
            state.lent.retain(|_, promises| promises.expire(now));
            for &(endpoint, rate) in report.lent.iter().take(MAX_LENT_ENDPOINTS) {
                state.lent.entry(endpoint).or_default().add(rate, until);
            }
        }
        true
    }

    /// Returns the next plan for a forwarder. It grants the desired rates as far as the loans suffice. Returns
    /// `None` if there is no report of the forwarder.
    pub fn next_plan(
        &mut self,
        forwarder: ForwarderId,
        desired: &[(EndpointId, Rate)],
        now: Nanos,
    ) -> Option<LeasePlan> {
        let until = now + LeaseTerms::max_local_span(self.terms.lease);
        let state = self.forwarders.get_mut(&forwarder)?;
        self.last_plan.0 += 1;
        let number = self.last_plan;
        state.record_plan(number, now);
        let answered_report = state.last_report;
        let mut grants = Vec::new();
        let desired = desired.iter().filter(|_| now >= self.grants_from);
        for &(endpoint, rate) in desired {
            // Other grants and loans may end before this grant does. Grants to other forwarders are therefore
            // counted as of now, and loans as of the end of this grant. The forwarder's own earlier grant is
            // not counted, since it may be made of loans that end sooner.
            let lent = self.lent(endpoint, until);
            let holders = self.granted.entry(endpoint).or_default();
            let others = holders.iter().filter(|(id, _)| **id != forwarder);
            let taken: Rate = others.map(|(_, promises)| promises.rate_at(now)).sum();
            let grant = rate.min(lent.saturating_sub(taken));
            if grant > Rate::ZERO {
                holders.entry(forwarder).or_default().add(grant, until);
                grants.push((endpoint, grant));
            }
        }
        Some(LeasePlan { planner: self.planner, number, answered_report, grants })
    }

    /// Returns the rates that a forwarder should be granted. Each endpoint that it lends, and therefore uses,
    /// is divided equally among as many of its lenders as `MIN_GRANT` allows. These are chosen by rendezvous
    /// hashing of endpoint and forwarder, so that all planners choose the same ones.
    #[must_use]
    pub fn desired_grants(&self, forwarder: ForwarderId, now: Nanos) -> Vec<(EndpointId, Rate)> {
        let Some(state) = self.forwarders.get(&forwarder) else { return Vec::new() };
        let until = now + LeaseTerms::max_local_span(self.terms.lease);
        let mut endpoints: Vec<EndpointId> = state.lent.keys().copied().collect();
        endpoints.sort_unstable();
        let desired = |endpoint: EndpointId| {
            let lenders = self.forwarders.iter().filter(|(_, state)| state.lent.contains_key(&endpoint));
            let own_weight = rendezvous_weight(endpoint, forwarder);
            let (mut count, mut ahead) = (0_u64, 0_u64);
            for (id, _) in lenders {
                count += 1;
                ahead += u64::from(rendezvous_weight(endpoint, *id) > own_weight);
            }
            let lent = self.lent(endpoint, until);
            let parts = (lent.micro_requests() / MIN_GRANT.micro_requests()).clamp(1, count.max(1));
            (endpoint, if ahead < parts { lent.split(parts) } else { Rate::ZERO })
        };
        endpoints.into_iter().map(desired).collect()
    }

    /// Removes loans and grants that have ended, and forwarders that have no loans and were sent no plan for
    /// the duration of a loan.
    pub fn expire(&mut self, now: Nanos) {
        self.granted.retain(|_, holders| {
            holders.retain(|_, promises| promises.expire(now));
            !holders.is_empty()
        });
        let silent_since = now.saturating_sub(LeaseTerms::max_local_span(self.terms.loan));
        self.forwarders.retain(|_, state| {
            state.lent.retain(|_, promises| promises.expire(now));
            let answered_lately = state.sent_plans.back().is_some_and(|(_, sent)| *sent > silent_since);
            !state.lent.is_empty() || answered_lately
        });
    }

    /// The rate of an endpoint that is currently lent and stays lent until a time.
    #[must_use]
    pub fn lent(&self, endpoint: EndpointId, until: Nanos) -> Rate {
        let promises = self.forwarders.values().filter_map(|state| state.lent.get(&endpoint));
        promises.map(|promises| promises.rate_at(until)).sum()
    }

    /// The rate of an endpoint that is currently granted.
    #[must_use]
    pub fn granted(&self, endpoint: EndpointId, now: Nanos) -> Rate {
        let holders = self.granted.get(&endpoint);
        holders.map_or(Rate::ZERO, |holders| holders.values().map(|promises| promises.rate_at(now)).sum())
    }

    /// The number of forwarders.
    #[must_use]
    pub fn forwarder_count(&self) -> usize {
        self.forwarders.len()
    }
}

/// Weight of a forwarder in rendezvous hashing. A forwarder that joins or leaves changes the rank of each
/// other one by at most one.
fn rendezvous_weight(endpoint: EndpointId, forwarder: ForwarderId) -> (u64, ForwarderId) {
    (splitmix64(splitmix64(u64::from(endpoint.0)) ^ forwarder.0), forwarder)
}
