//! The second level in the same virtual time: each node reports to all planners over the real codec, and goes by what
//! they make of it.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use prost::Message as _;
use pumicehead_capacity_leases::endpoint_health_view::EndpointHealthView;
use pumicehead_capacity_leases::lease_holder::{LeaseHolder, LeasePlan, LoanReport};
use pumicehead_capacity_leases::lease_table::LeaseTable;
use pumicehead_capacity_leases::lease_terms::LeaseTerms;
use pumicehead_capacity_leases::rate_promise::Rate;
use pumicehead_capacity_leases::table_sync::{Table, TableDelta, TableReplica, TableSender};
use pumicehead_capacity_leases::wire::{Body, EndpointObservation, FrameDecoder, Plan, Report, encode_frame};
use pumicehead_capacity_leases::{ForwarderId, PlannerId};
use pumicehead_policy::{CapacityAdvice, EndpointId, Nanos, SECOND};

/// How often a node reports to each planner.
pub const PACE: Nanos = SECOND / 2;
/// Bytes of a table's changes in one message.
const MOST_CHANGES: usize = 64 << 10;

/// The spans of a simulated fleet.
const TERMS: LeaseTerms = LeaseTerms { lease: 2 * SECOND, loan: 6 * SECOND };

/// A node's side of its planners.
pub struct Forwarder {
    holder: LeaseHolder,
    /// Answers and failures by server, and the process they are of.
    seen: BTreeMap<u32, EndpointObservation>,
    sides: Vec<Side>,
}

#[derive(Default)]
struct Side {
    source: TableSender,
    advice: TableReplica,
    /// When the last plan was heard.
    heard: Nanos,
}

impl Forwarder {
    pub fn new(planners: usize, now: Nanos) -> Self {
        let sides = (0..planners).map(|_| Side::default()).collect();
        Self { holder: LeaseHolder::new(TERMS, planners, now), seen: BTreeMap::new(), sides }
    }

    /// An attempt at a server has ended.
    pub fn ended(&mut self, server: u32, incarnation: Nanos, failed: bool) {
        let seen = self.seen.entry(server).or_default();
        if seen.incarnation != incarnation {
            *seen = EndpointObservation { incarnation, ..EndpointObservation::default() };
        }
        seen.succeeded += u64::from(!failed);
        seen.failed += u64::from(failed);
    }

    /// The list says that a server is draining.
    pub fn draining(&mut self, server: u32, incarnation: Nanos) {
        *self.seen.entry(server).or_default() =
            EndpointObservation { incarnation, draining: true, ..EndpointObservation::default() };
    }

    /// The report to a planner, framed.
    pub fn report(
        &mut self,
        place: usize,
        shares: impl Iterator<Item = (EndpointId, f64)>,
        now: Nanos,
    ) -> Bytes {
        self.holder.set_own(shares.map(|(server, rate)| (server, Rate::from_requests_per_second_f64(rate))));
        let lending = self.holder.next_report(place, now);
        let table: Table =
            self.seen.iter().map(|(&server, seen)| (server, seen.encode_to_vec().into())).collect();
        let changes = self.sides[place].source.delta(&table, MOST_CHANGES).map(Into::into);
        encode_frame(Body::Report(Report { endpoints: changes, ..Report::from(&lending) }))
    }

    /// A planner was lost and is back as another process: both tables begin anew.
    pub fn reconnect(&mut self, place: usize) {
        self.sides[place] = Side { heard: self.sides[place].heard, ..Side::default() };
    }

    /// A plan has come; tells whether it is taken.
    pub fn plan(&mut self, place: usize, bytes: &[u8], now: Nanos) -> bool {
        let mut frames = FrameDecoder::default();
        frames.feed(bytes);
        let Ok(Some(Body::Plan(plan))) = frames.next_message() else { return false };
        if self.holder.accept_plan(place, &LeasePlan::from(&plan), now).is_err() {
            return false;
        }
        let side = &mut self.sides[place];
        side.heard = now;
        plan.endpoints.is_none_or(|changes| side.advice.apply(&TableDelta::from(changes)).is_ok())
    }

    /// What all planners together advise now: what any of them advises against is advised against.
    pub fn advice(&self, now: Nanos) -> CapacityAdvice {
        let lease = LeaseTerms::min_local_span(TERMS.lease);
        let (mut avoid, mut draining) = (BTreeSet::new(), BTreeMap::new());
        let live = self.sides.iter().filter(|side| side.heard > 0 && now < side.heard + lease);
        let latest = live.clone().map(|side| side.heard).max().unwrap_or(now);
        for (&server, value) in live.flat_map(|side| side.advice.table()) {
            let Ok(said) = EndpointObservation::decode(value.clone()) else { continue };
            if said.failed > 0 {
                avoid.insert(EndpointId(server));
            }
            if said.draining {
                draining.insert(EndpointId(server), said.incarnation);
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

/// A planner.
pub struct Planner {
    ledger: LeaseTable,
    view: EndpointHealthView,
    sides: BTreeMap<ForwarderId, (TableReplica, TableSender)>,
    /// The advice of now, made once for all that ask in a short while.
    table: (Nanos, Table),
}

impl Planner {
    pub fn new(id: PlannerId, now: Nanos) -> Self {
        Self {
            ledger: LeaseTable::new(id, TERMS, now),
            view: EndpointHealthView::default(),
            sides: BTreeMap::new(),
            table: (0, Table::new()),
        }
    }

    /// A report has come; the plan that answers it, framed.
    pub fn report(&mut self, from: ForwarderId, bytes: &[u8], now: Nanos) -> Option<Bytes> {
        let mut frames = FrameDecoder::default();
        frames.feed(bytes);
        let Ok(Some(Body::Report(report))) = frames.next_message() else { return None };
        self.ledger.accept_report(from, &LoanReport::from(&report), now);
        let (mirror, source) = self.sides.entry(from).or_default();
        if let Some(changes) = report.endpoints {
            let delta = TableDelta::from(changes);
            if mirror.apply(&delta).is_err() {
                return None;
            }
            for (server, value) in &delta.set {
                if let Ok(sighting) = EndpointObservation::decode(value.clone()) {
                    self.view.observe(from, EndpointId(*server), &sighting, now);
                }
            }
        }
        if now >= self.table.0 + PACE / 10 {
            self.ledger.expire(now);
            let merged =
                self.view.merged(now).into_iter().filter(|(_, server)| server.avoid || server.draining);
            let entry = |(id, server): (
                EndpointId,
                pumicehead_capacity_leases::endpoint_health_view::EndpointHealth,
            )| {
                let said = EndpointObservation {
                    incarnation: server.incarnation,
                    draining: server.draining,
                    failed: u64::from(server.avoid),
                    ..EndpointObservation::default()
                };
                (id.0, Bytes::from(said.encode_to_vec()))
            };
            self.table = (now, merged.map(entry).collect());
        }
        let changes = source.delta(&self.table.1, MOST_CHANGES).map(Into::into);
        let wishes = self.ledger.desired_grants(from, now);
        let granting = self.ledger.next_plan(from, &wishes, now)?;
        Some(encode_frame(Body::Plan(Plan { endpoints: changes, ..Plan::from(&granting) })))
    }
}
