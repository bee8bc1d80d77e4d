//! A forwarder's rates towards endpoints in slow start.
//!
//! Each forwarder owns a share of the capacity of each such endpoint that it uses; the shares of all
//! forwarders add up to the whole without any coordination. It may lend its share to planners, which grant it
//! to the forwarders that gain most: among a thousand forwarders a share is less than a request a minute. A
//! lent share is not used until the loan has ended, and a grant ends before every loan that it can be made
//! of. So the rates of all forwarders never add up to more than all of them own, or owned within the duration
//! of a loan, whatever fails, and a forwarder without planners gets its own share back.

use std::collections::{BTreeMap, VecDeque};

use pumicehead_policy::{EndpointId, Nanos};
use rustc_hash::FxHashMap;
use thiserror::Error;

use crate::lease_terms::LeaseTerms;
use crate::rate_promise::{Rate, RatePromises};
use crate::{PlanNumber, PlannerId, ReportNumber};

/// Reports whose time of sending is remembered. A plan that answers an older one has expired.
const MAX_REMEMBERED_REPORTS: usize = 64;

/// Most endpoints in slow start of which a forwarder lends its share.
pub const MAX_LENT_ENDPOINTS: usize = 1_024;

/// The loans in a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoanReport {
    /// Number of the report; 0 where the planner is not known.
    pub number: ReportNumber,
    /// The last plan that was accepted from this planner.
    pub last_plan: Option<(PlannerId, PlanNumber)>,
    /// What the forwarder does not use for the duration of a loan from now, by endpoint.
    pub lent: Vec<(EndpointId, Rate)>,
}

/// The leases in a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeasePlan {
    /// The planner that sent it.
    pub planner: PlannerId,
    /// Number of the plan.
    pub number: PlanNumber,
    /// The last report that the planner has accepted.
    pub answered_report: ReportNumber,
    /// Rates that the forwarder may use until the lease ends, by endpoint. They replace all earlier grants.
    pub grants: Vec<(EndpointId, Rate)>,
}

/// Why a plan is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PlanError {
    /// It answers a report that was not sent, or not lately.
    #[error("the plan answers an unknown report")]
    UnknownReport,
    /// Its lease has ended.
    #[error("the lease of the plan has ended")]
    Expired,
    /// A later plan was accepted before.
    #[error("the plan is older than the last one")]
    Outdated,
}

/// State between a forwarder and one planner.
#[derive(Debug, Default)]
struct PlannerLink {
    /// Number of the last report; `RETIRED` where the planner was removed.
    last_report: u64,
    sent_reports: VecDeque<(ReportNumber, Nanos)>,
    last_plan: Option<(PlannerId, PlanNumber)>,
    /// When the lease of the last plan ends.
    lease_end: Nanos,
    lent: FxHashMap<EndpointId, RatePromises>,
    grants: FxHashMap<EndpointId, Rate>,
}

/// Marks a link whose planner was removed and whose loans have not ended.
const RETIRED: u64 = u64::MAX;

impl PlannerLink {
    fn lent(&self, endpoint: EndpointId, now: Nanos) -> Rate {
        self.lent.get(&endpoint).map_or(Rate::ZERO, |promises| promises.rate_at(now))
    }

    fn is_live(&self, now: Nanos) -> bool {
        now < self.lease_end
    }

    /// Records a report that lends these rates until a time, and returns its number.
    fn record_report(&mut self, lent: &[(EndpointId, Rate)], now: Nanos, until: Nanos) -> ReportNumber {
        self.last_report += 1;
        let number = ReportNumber(self.last_report);
        self.sent_reports.push_back((number, now));
        if self.sent_reports.len() > MAX_REMEMBERED_REPORTS {
            self.sent_reports.pop_front();
        }
        self.lent.retain(|_, promises| promises.expire(now));
        for &(endpoint, rate) in lent {
            self.lent.entry(endpoint).or_default().add(rate, until);
        }
        number
    }
}

/// The rates of a forwarder.
#[derive(Debug)]
pub struct LeaseHolder {
    own: BTreeMap<EndpointId, Rate>,
    terms: LeaseTerms,
    /// When the forwarder may begin to use and lend its own share: an earlier process may have lent it.
    own_from: Nanos,
    links: Vec<PlannerLink>,
}

impl LeaseHolder {
    /// The rates of a forwarder that starts `now`, with this number of planners.
    #[must_use]
    pub fn new(terms: LeaseTerms, planners: usize, now: Nanos) -> Self {
        Self {
            own: BTreeMap::new(),
            terms,
            own_from: now + LeaseTerms::max_local_span(terms.loan),
            links: (0..planners).map(|_| PlannerLink::default()).collect(),
        }
    }

    /// Sets the shares that this forwarder owns now, of the endpoints that it uses. Loans that exceed a share
    /// run on, and nothing of the share is left to use until they end.
    pub fn set_own(&mut self, own: impl IntoIterator<Item = (EndpointId, Rate)>) {
        self.own = own.into_iter().take(MAX_LENT_ENDPOINTS).collect();
    }

    /// Replaces the planners: `kept` has, for each new index, the old index of the same planner. Loans to
    /// planners that are removed run until their end; grants from them end at once.
    pub fn replace_planners(&mut self, kept: &[Option<usize>], now: Nanos) {
        let mut old: Vec<Option<PlannerLink>> =
            std::mem::take(&mut self.links).into_iter().map(Some).collect();
        let mut take = |index: &Option<usize>| index.and_then(|index| old.get_mut(index)?.take());
        self.links = kept.iter().map(|index| take(index).unwrap_or_default()).collect();
        for mut removed in old.into_iter().flatten() {
            removed.lent.retain(|_, promises| promises.expire(now));
            if !removed.lent.is_empty() {
                // Kept among the others, since loans are summed over all links.
                let lent = removed.lent;
                self.links.push(PlannerLink { lent, last_report: RETIRED, ..PlannerLink::default() });
            }
        }
    }

    /// The next report to a planner. Nothing is lent to a planner without a live lease.
    pub fn next_report(&mut self, planner: usize, now: Nanos) -> LoanReport {
        let lent = self.next_loans(planner, now);
        let until = now + LeaseTerms::max_local_span(self.terms.loan);
        let Some(link) = self.links.get_mut(planner).filter(|link| link.last_report < RETIRED) else {
            return LoanReport { number: ReportNumber::default(), last_plan: None, lent: Vec::new() };
        };
        let number = link.record_report(&lent, now, until);
        LoanReport { number, last_plan: link.last_plan, lent }
    }

    /// The rates to lend to a planner: an equal part of each share for each live planner.
    fn next_loans(&self, planner: usize, now: Nanos) -> Vec<(EndpointId, Rate)> {
        let is_live = self.links.get(planner).is_some_and(|link| link.is_live(now));
        if now < self.own_from || !is_live {
            return Vec::new();
        }
        let live = self.live_planners(now) as u64;
        let mut loans = Vec::new();
        for (&endpoint, &own) in &self.own {
            // Loans to others count against the present share, even if that has become less: loans that are
            // renewed one by one would outlast the share that they were made of.
            let others = self.links.iter().enumerate().filter(|(other, _)| *other != planner);
            let others: Rate = others.map(|(_, link)| link.lent(endpoint, now)).sum();
            let rate = own.split(live).min(own.saturating_sub(others));
            if rate > Rate::ZERO {
                loans.push((endpoint, rate));
            }
        }
        loans
    }

    /// Accepts a plan from a planner.
    ///
    /// # Errors
    /// Why it is not accepted; nothing is changed then.
    pub fn accept_plan(&mut self, planner: usize, plan: &LeasePlan, now: Nanos) -> Result<(), PlanError> {
        let link = self.links.get_mut(planner).ok_or(PlanError::UnknownReport)?;
        let mut sent_reports = link.sent_reports.iter();
        let report = sent_reports.find(|(number, _)| *number == plan.answered_report);
        let (_, sent_at) = report.ok_or(PlanError::UnknownReport)?;
        let lease_end = sent_at + LeaseTerms::min_local_span(self.terms.lease);
        if now >= lease_end {
            return Err(PlanError::Expired);
        }
        if link.last_plan.is_some_and(|(planner, number)| planner == plan.planner && number >= plan.number) {
            return Err(PlanError::Outdated);
        }
        link.last_plan = Some((plan.planner, plan.number));
        link.lease_end = lease_end;
        link.grants = plan.grants.iter().copied().collect();
        Ok(())
    }

    /// The rate at which this forwarder may send to an endpoint in slow start now, before the warm-up ramp:
    /// what is left of its own share, and what it was granted.
    #[must_use]
    pub fn rate(&self, endpoint: EndpointId, now: Nanos) -> Rate {
        let live = self.links.iter().filter(|link| link.is_live(now));
        let granted: Rate = live.filter_map(|link| link.grants.get(&endpoint)).copied().sum();
        self.unlent(endpoint, now) + granted
    }

    /// The rates that are granted now, by endpoint, and how long all of them hold.
    #[must_use]
    pub fn granted_rates(&self, now: Nanos) -> (BTreeMap<EndpointId, Rate>, Nanos) {
        let mut granted: BTreeMap<EndpointId, Rate> = BTreeMap::new();
        let mut until = Nanos::MAX;
        for link in self.links.iter().filter(|link| link.is_live(now) && !link.grants.is_empty()) {
            until = until.min(link.lease_end);
            for (&endpoint, &rate) in &link.grants {
                *granted.entry(endpoint).or_default() += rate;
            }
        }
        (granted, until.saturating_sub(now))
    }

    /// The rates that are lent now, by endpoint.
    #[must_use]
    pub fn lent_rates(&self, now: Nanos) -> BTreeMap<EndpointId, Rate> {
        let mut lent: BTreeMap<EndpointId, Rate> = BTreeMap::new();
        for (&endpoint, promises) in self.links.iter().flat_map(|link| &link.lent) {
            *lent.entry(endpoint).or_default() += promises.rate_at(now);
        }
        lent
    }

    /// The number of planners with a live lease.
    #[must_use]
    pub fn live_planners(&self, now: Nanos) -> usize {
        self.links.iter().filter(|link| link.is_live(now)).count()
    }

    /// The part of the own share of an endpoint that is lent now.
    #[must_use]
    pub fn lent(&self, endpoint: EndpointId, now: Nanos) -> Rate {
        self.links.iter().map(|link| link.lent(endpoint, now)).sum()
    }

    /// The part of the own share of an endpoint that is not lent.
    fn unlent(&self, endpoint: EndpointId, now: Nanos) -> Rate {
        if now < self.own_from {
            return Rate::ZERO;
        }
        let own = self.own.get(&endpoint);
        own.map_or(Rate::ZERO, |own| own.saturating_sub(self.lent(endpoint, now)))
    }
}
