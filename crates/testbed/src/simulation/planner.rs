//! A planner: merges the reports of all nodes, and answers each with a plan over the real codec.

use std::collections::BTreeMap;

use bytes::Bytes;
use prost::Message as _;
use pumicehead_capacity_leases::endpoint_health_view::{EndpointHealth, EndpointHealthView};
use pumicehead_capacity_leases::lease_holder::LoanReport;
use pumicehead_capacity_leases::lease_table::LeaseTable;
use pumicehead_capacity_leases::table_sync::{Table, TableDelta, TableReplica, TableSender};
use pumicehead_capacity_leases::wire::{Body, EndpointObservation, FrameDecoder, Plan, encode_frame};
use pumicehead_capacity_leases::{ForwarderId, PlannerId};
use pumicehead_policy::{EndpointId, Nanos};

use super::forwarder::{MAX_DELTA_BYTES, REPORT_INTERVAL, TERMS};

/// Minimum interval between computations of the merged advice.
const ADVICE_INTERVAL: Nanos = REPORT_INTERVAL / 10;

/// A planner.
pub struct Planner {
    leases: LeaseTable,
    health: EndpointHealthView,
    forwarders: BTreeMap<ForwarderId, ForwarderLink>,
    /// Servers that nodes should avoid, and those that drain.
    advice: Table,
    /// When `advice` was computed.
    advice_at: Nanos,
}

/// The state of the exchange with one node.
#[derive(Default)]
struct ForwarderLink {
    received: TableReplica,
    sent: TableSender,
}

impl Planner {
    pub fn new(id: PlannerId, now: Nanos) -> Self {
        Self {
            leases: LeaseTable::new(id, TERMS, now),
            health: EndpointHealthView::default(),
            forwarders: BTreeMap::new(),
            advice: Table::new(),
            advice_at: 0,
        }
    }

    /// Processes a node's report. Returns the plan that answers it, framed; `None` where the report is invalid or there is no plan.
    pub fn accept_report(&mut self, from: ForwarderId, bytes: &[u8], now: Nanos) -> Option<Bytes> {
        let mut frames = FrameDecoder::default();
        frames.feed(bytes);
        let Ok(Some(Body::Report(report))) = frames.next_message() else { return None };
        self.leases.accept_report(from, &LoanReport::from(&report), now);
        let link = self.forwarders.entry(from).or_default();
        if let Some(changes) = report.endpoints {
            let delta = TableDelta::from(changes);
            if link.received.apply(&delta).is_err() {
                return None;
            }
            for (server, value) in &delta.set {
                if let Ok(observation) = EndpointObservation::decode(value.clone()) {
                    self.health.observe(from, EndpointId(*server), &observation, now);
                }
            }
        }
        if now >= self.advice_at + ADVICE_INTERVAL {
            self.leases.expire(now);
            self.advice = merged_advice(&mut self.health, now);
            self.advice_at = now;
        }
        let changes = link.sent.delta(&self.advice, MAX_DELTA_BYTES).map(Into::into);
        let desired = self.leases.desired_grants(from, now);
        let plan = self.leases.next_plan(from, &desired, now)?;
        Some(encode_frame(Body::Plan(Plan { endpoints: changes, ..Plan::from(&plan) })))
    }
}

/// The servers to avoid and those that drain, merged from the observations of all nodes.
fn merged_advice(health: &mut EndpointHealthView, now: Nanos) -> Table {
    let merged = health.merged(now).into_iter().filter(|(_, server)| server.avoid || server.draining);
    let entry = |(id, server): (EndpointId, EndpointHealth)| {
        let observation = EndpointObservation {
            incarnation: server.incarnation,
            draining: server.draining,
            failed: u64::from(server.avoid),
            ..EndpointObservation::default()
        };
        (id.0, Bytes::from(observation.encode_to_vec()))
    };
    merged.map(entry).collect()
}
