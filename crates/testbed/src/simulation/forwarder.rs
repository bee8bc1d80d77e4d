//! A node's exchange with the planners: its reports to each, over the real codec, and the advice it derives from their plans.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use prost::Message as _;
use pumicehead_capacity_leases::lease_holder::{LeaseHolder, LeasePlan};
use pumicehead_capacity_leases::lease_terms::LeaseTerms;
use pumicehead_capacity_leases::rate_promise::Rate;
use pumicehead_capacity_leases::table_sync::{Table, TableDelta, TableReplica, TableSender};
use pumicehead_capacity_leases::wire::{Body, EndpointObservation, FrameDecoder, Report, encode_frame};
use pumicehead_policy::{CapacityAdvice, EndpointId, Nanos, SECOND};

/// Interval between the reports of a node to a planner.
pub const REPORT_INTERVAL: Nanos = SECOND / 2;
/// Limit of the bytes of table changes in one message.
pub(super) const MAX_DELTA_BYTES: usize = 64 << 10;

/// Durations of leases and loans.
pub(super) const TERMS: LeaseTerms = LeaseTerms { lease: 2 * SECOND, loan: 6 * SECOND };

/// A node's exchange with its planners.
pub struct Forwarder {
    holder: LeaseHolder,
    /// Results of the attempts at each server's current process.
    observations: BTreeMap<u32, EndpointObservation>,
    planners: Vec<PlannerLink>,
}

/// The state of the exchange with one planner.
#[derive(Default)]
struct PlannerLink {
    sent: TableSender,
    advice: TableReplica,
    /// When the last valid plan arrived; 0 before the first.
    last_plan_at: Nanos,
}

impl Forwarder {
    pub fn new(planners: usize, now: Nanos) -> Self {
        Self {
            holder: LeaseHolder::new(TERMS, planners, now),
            observations: BTreeMap::new(),
            planners: (0..planners).map(|_| PlannerLink::default()).collect(),
        }
    }

    /// Counts the end of an attempt at a server's process.
    pub fn attempt_ended(&mut self, server: u32, incarnation: Nanos, failed: bool) {
        let observation = self.observations.entry(server).or_default();
        if observation.incarnation != incarnation {
            *observation = EndpointObservation { incarnation, ..EndpointObservation::default() };
        }
        observation.succeeded += u64::from(!failed);
        observation.failed += u64::from(failed);
    }

    /// Records that the endpoint list has a server as draining.
    pub fn set_draining(&mut self, server: u32, incarnation: Nanos) {
        *self.observations.entry(server).or_default() =
            EndpointObservation { incarnation, draining: true, ..EndpointObservation::default() };
    }

    /// Returns the next report to a planner, framed. `shares` are the node's own slow-start rates in requests per second.
    pub fn report(
        &mut self,
        planner: usize,
        shares: impl Iterator<Item = (EndpointId, f64)>,
        now: Nanos,
    ) -> Bytes {
        self.holder
            .set_own_shares(shares.map(|(server, rate)| (server, Rate::from_requests_per_second_f64(rate))));
        let loans = self.holder.next_report(planner, now);
        let table: Table =
            self.observations.iter().map(|(&server, seen)| (server, seen.encode_to_vec().into())).collect();
        let changes = self.planners[planner].sent.delta(&table, MAX_DELTA_BYTES).map(Into::into);
        encode_frame(Body::Report(Report { endpoints: changes, ..Report::from(&loans) }))
    }

    /// Restarts the exchange with a planner whose process was replaced.
    pub fn reconnect(&mut self, planner: usize) {
        self.planners[planner] =
            PlannerLink { last_plan_at: self.planners[planner].last_plan_at, ..PlannerLink::default() };
    }

    /// Processes a planner's plan. Returns whether it is valid.
    pub fn accept_plan(&mut self, planner: usize, bytes: &[u8], now: Nanos) -> bool {
        let mut frames = FrameDecoder::default();
        frames.feed(bytes);
        let Ok(Some(Body::Plan(plan))) = frames.next_message() else { return false };
        if self.holder.accept_plan(planner, &LeasePlan::from(&plan), now).is_err() {
            return false;
        }
        let link = &mut self.planners[planner];
        link.last_plan_at = now;
        plan.endpoints.is_none_or(|changes| link.advice.apply(&TableDelta::from(changes)).is_ok())
    }

    /// Returns the merged advice of all planners with an unexpired plan. A server is avoided where any of them advises so.
    pub fn advice(&self, now: Nanos) -> CapacityAdvice {
        let lease = LeaseTerms::min_local_span(TERMS.lease);
        let (mut avoid, mut draining) = (BTreeSet::new(), BTreeMap::new());
        let in_force =
            self.planners.iter().filter(|link| link.last_plan_at > 0 && now < link.last_plan_at + lease);
        let latest = in_force.clone().map(|link| link.last_plan_at).max().unwrap_or(now);
        for (&server, value) in in_force.flat_map(|link| link.advice.table()) {
            let Ok(observation) = EndpointObservation::decode(value.clone()) else { continue };
            if observation.failed > 0 {
                avoid.insert(EndpointId(server));
            }
            if observation.draining {
                draining.insert(EndpointId(server), observation.incarnation);
            }
        }
        let rates = |rates: BTreeMap<EndpointId, Rate>| {
            rates.into_iter().map(|(id, rate)| (id, rate.requests_per_second()))
        };
        let (granted, granted_for) = self.holder.granted_rates(now);
        CapacityAdvice {
            age: now - latest,
            valid_for: lease,
            avoid: avoid.into_iter().collect(),
            draining: draining.into_iter().collect(),
            lent: rates(self.holder.lent_rates(now)).collect(),
            granted: rates(granted).collect(),
            granted_for,
        }
    }
}
