//! The rates of a forwarder towards endpoints in slow start.
//!
//! Each forwarder owns a share of the capacity of each such endpoint that it uses. The shares of all
//! forwarders add up to the whole capacity without coordination. Among a thousand forwarders a share is less
//! than one request per minute, so a forwarder may lend its share to planners, which grant it to the
//! forwarders that benefit most.
//!
//! A forwarder does not use a lent share until the loan has ended, and a grant ends before all loans that it
//! may be made of. Whatever fails, the rates of all forwarders therefore never add up to more than the shares
//! that they own, or owned within the duration of a loan. A forwarder without planners gets its own share
//! back.

use std::collections::{BTreeMap, VecDeque};

use pumicehead_policy::{EndpointId, Nanos};
use rustc_hash::FxHashMap;
use thiserror::Error;

use crate::lease_terms::LeaseTerms;
use crate::rate_promise::{Rate, RatePromises};
use crate::{PlanNumber, PlannerId, ReportNumber};

/// Number of reports per planner whose time of sending is kept. A plan that answers an older report has
/// expired.
const MAX_RECORDED_REPORTS: usize = 64;

/// Maximum number of endpoints in slow start of which a forwarder owns, and can lend, a share.
pub const MAX_LENT_ENDPOINTS: usize = 1_024;

/// The loans in a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoanReport {
    /// Number of the report; 0 if the planner is unknown.
    pub number: ReportNumber,
    /// The last plan that was accepted from this planner.
    pub last_plan: Option<(PlannerId, PlanNumber)>,
    /// Rates by endpoint that the forwarder does not use for the duration of a loan, starting now.
    pub lent: Vec<(EndpointId, Rate)>,
}

/// The leases in a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeasePlan {
    /// The planner that sent the plan.
    pub planner: PlannerId,
    /// Number of the plan.
    pub number: PlanNumber,
    /// The last report that the planner has accepted.
    pub answered_report: ReportNumber,
    /// Rates by endpoint that the forwarder may use until the lease ends. They replace all earlier grants of
    /// the planner.
    pub grants: Vec<(EndpointId, Rate)>,
}

/// Why a plan is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PlanError {
    /// The planner is unknown, or the plan answers a report that was not sent to it or too long ago.
    #[error("the plan answers an unknown or too old report")]
    UnknownReport,
    /// The lease of the plan has ended.
    #[error("the lease of the plan has expired")]
    Expired,
    /// The plan was accepted before, or a later one was.
    #[error("the plan is not newer than the last accepted one")]
    Outdated,
}

/// State of a forwarder for one planner.
#[derive(Debug, Default)]
struct PlannerLink {
    /// Number of the last report; `RETIRED` if the planner was removed.
    last_report: u64,
    sent_reports: VecDeque<(ReportNumber, Nanos)>,
    last_plan: Option<(PlannerId, PlanNumber)>,
    /// When the lease of the last plan ends.
    lease_end: Nanos,
    lent: FxHashMap<EndpointId, RatePromises>,
    grants: FxHashMap<EndpointId, Rate>,
}

/// Marks the link of a removed planner whose loans have not ended yet.
const RETIRED: u64 = u64::MAX;

impl PlannerLink {
    fn lent(&self, endpoint: EndpointId, now: Nanos) -> Rate {
        self.lent.get(&endpoint).map_or(Rate::ZERO, |promises| promises.rate_at(now))
    }

    fn is_live(&self, now: Nanos) -> bool {
        now < self.lease_end
    }

    /// Records a report that lends rates until a time, and returns its number.
    fn record_report(&mut self, lent: &[(EndpointId, Rate)], now: Nanos, until: Nanos) -> ReportNumber {
        self.last_report += 1;
        let number = ReportNumber(self.last_report);
        self.sent_reports.push_back((number, now));
        if self.sent_reports.len() > MAX_RECORDED_REPORTS {
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
    own_shares: BTreeMap<EndpointId, Rate>,
    terms: LeaseTerms,
    /// When the forwarder may start to use and lend its own share. Before, loans of an earlier process may not
    /// have ended.
    own_usable_from: Nanos,
    links: Vec<PlannerLink>,
}

impl LeaseHolder {
    /// Creates the state of a forwarder that starts `now` with a number of planners.
    #[must_use]
    pub fn new(terms: LeaseTerms, planners: usize, now: Nanos) -> Self {
        Self {
            own_shares: BTreeMap::new(),
            terms,
            own_usable_from: now + LeaseTerms::max_local_span(terms.loan),
            links: (0..planners).map(|_| PlannerLink::default()).collect(),
        }
    }

    /// Sets the shares that this forwarder now owns of the endpoints it uses, up to [`MAX_LENT_ENDPOINTS`].
    /// Loans that exceed a share continue, and nothing of the share can be used until they end.
    pub fn set_own_shares(&mut self, shares: impl IntoIterator<Item = (EndpointId, Rate)>) {
        self.own_shares = shares.into_iter().take(MAX_LENT_ENDPOINTS).collect();
    }

    /// Replaces the planners. `kept` has, for each new index, the old index of the same planner, if any. Loans
    /// to removed planners continue until their end; grants from them end at once.
    pub fn replace_planners(&mut self, kept: &[Option<usize>], now: Nanos) {
        let mut old: Vec<Option<PlannerLink>> =
            std::mem::take(&mut self.links).into_iter().map(Some).collect();
        let mut take = |index: &Option<usize>| index.and_then(|index| old.get_mut(index)?.take());
        self.links = kept.iter().map(|index| take(index).unwrap_or_default()).collect();
        for mut removed in old.into_iter().flatten() {
            removed.lent.retain(|_, promises| promises.expire(now));
            if !removed.lent.is_empty() {
                // Loans are summed over all links, so the link is kept.
                let lent = removed.lent;
                self.links.push(PlannerLink { lent, last_report: RETIRED, ..PlannerLink::default() });
            }
        }
    }

    /// Returns the next report to a planner. Nothing is lent to a planner whose lease is not live.
    pub fn next_report(&mut self, planner: usize, now: Nanos) -> LoanReport {
        let lent = self.next_loans(planner, now);
        let until = now + LeaseTerms::max_local_span(self.terms.loan);
        let Some(link) = self.links.get_mut(planner).filter(|link| link.last_report < RETIRED) else {
            return LoanReport { number: ReportNumber::default(), last_plan: None, lent: Vec::new() };
        };
        let number = link.record_report(&lent, now, until);
        LoanReport { number, last_plan: link.last_plan, lent }
    }

    /// Returns the rates to lend to a planner: of each share, an equal part for each live planner.
    fn next_loans(&self, planner: usize, now: Nanos) -> Vec<(EndpointId, Rate)> {
        let is_live = self.links.get(planner).is_some_and(|link| link.is_live(now));
        if now < self.own_usable_from || !is_live {
            return Vec::new();
        }
        let live = self.live_planners(now) as u64;
        let mut loans = Vec::new();
        for (&endpoint, &own) in &self.own_shares {
            // Loans to other planners are subtracted from the current share, even if it has decreased.
            // Otherwise loans that are renewed one after another could outlast the share they were made from.
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
    /// Returns why the plan is not accepted. Nothing is changed in that case.
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

    /// Returns the rate at which this forwarder may now send to an endpoint in slow start, before the warm-up
    /// ramp is applied: the part of its own share that is not lent, and its grants.
    #[must_use]
    pub fn rate(&self, endpoint: EndpointId, now: Nanos) -> Rate {
        let live = self.links.iter().filter(|link| link.is_live(now));
        let granted: Rate = live.filter_map(|link| link.grants.get(&endpoint)).copied().sum();
        self.unlent(endpoint, now) + granted
    }

    /// Returns the currently granted rates by endpoint, and how long all of them stay valid.
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

    /// Returns the currently lent rates by endpoint.
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

    /// The rate of an endpoint that is currently lent.
    #[must_use]
    pub fn lent(&self, endpoint: EndpointId, now: Nanos) -> Rate {
        self.links.iter().map(|link| link.lent(endpoint, now)).sum()
    }

    /// The part of the own share of an endpoint that is currently not lent.
    fn unlent(&self, endpoint: EndpointId, now: Nanos) -> Rate {
        if now < self.own_usable_from {
            return Rate::ZERO;
        }
        let own = self.own_shares.get(&endpoint);
        own.map_or(Rate::ZERO, |own| own.saturating_sub(self.lent(endpoint, now)))
    }
}
