//! Load reports between the nodes of a group: each says how many attempts its sender has in flight, by
//! endpoint.
//!
//! A report replaces the sender's previous one, so lost, duplicated and late reports do no lasting harm.
//! Where reports are missing, a node selects endpoints by its own attempts alone.

use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::balancer::Balancer;
use crate::endpoints::EndpointIndex;
use crate::hash_ring::ring;
use crate::subsetting::Locality;
use crate::{Action, EndpointId, Nanos, nanos};

/// Version of the encoding; reports of other versions are ignored.
const VERSION: u8 = 1;
/// Longest report that may be sent, in bytes.
const MAX_BYTES: usize = 256;
/// Bytes of version and sequence number.
const HEADER_BYTES: usize = 2;
/// Bytes of an entry: endpoint and number of attempts.
const ENTRY_BYTES: usize = 5;

/// Reports that cost more than this fraction of a request are not sent.
const MAX_REPORT_COST: f64 = 0.05;
/// Bytes of reports for each request and member of the group: two reports with two endpoints each.
const BYTES_PER_REQUEST_AND_PEER: f64 = 2.0 * 12.0;
/// Least mean size of a group. Smaller ones would be too uneven, and such nodes see enough alone.
const MIN_GROUP_SIZE: usize = 4;
/// Largest mean size of a group, since each member reports to each other.
const MAX_GROUP_SIZE: usize = 12;
/// A report is valid for this multiple of the mean latency; it is then repeated if it still holds.
const VALIDITY_LATENCIES: f64 = 2.5;
/// A peer that sent nothing for so many times the validity is no longer counted as reporting.
const SILENT_PEER_VALIDITIES: Nanos = 10;

#[derive(Debug)]
struct LoadReport {
    sequence: u8,
    received_at: Nanos,
    in_flight: Vec<(EndpointId, u8)>,
}

/// The last report of each peer, and their sums by endpoint.
#[derive(Debug, Default)]
pub struct PeerReports {
    by_peer: FxHashMap<u32, LoadReport>,
    sums: FxHashMap<EndpointId, u32>,
}

/// Encodes a report. Endpoints without attempts are left out, and so are those beyond the largest size.
#[must_use]
pub fn encode(sequence: u8, in_flight: impl IntoIterator<Item = (EndpointId, usize)>) -> Vec<u8> {
    let mut body = vec![VERSION, sequence];
    let used = in_flight.into_iter().filter(|&(_, count)| count > 0);
    for (endpoint, count) in used.take((MAX_BYTES - HEADER_BYTES) / ENTRY_BYTES) {
        body.extend_from_slice(&endpoint.0.to_le_bytes());
        body.push(u8::try_from(count).unwrap_or(u8::MAX));
    }
    body
}

fn decode_entry(entry: &[u8]) -> (EndpointId, u8) {
    (EndpointId(u32::from_le_bytes([entry[0], entry[1], entry[2], entry[3]])), entry[4])
}

/// Returns the other nodes of a node's group, where `node_count` nodes form `groups` groups.
#[must_use]
pub fn peers_in_group(node_index: u32, node_count: u32, groups: usize) -> Vec<u32> {
    let own = ring(node_index, groups);
    (0..node_count).filter(|&node| node != node_index && ring(node, groups) == own).collect()
}

impl PeerReports {
    /// Records a peer's report; one of unknown form, or no newer than the last, is ignored.
    pub fn record(&mut self, from: u32, body: &[u8], now: Nanos) {
        let [VERSION, sequence, entries @ ..] = body else { return };
        if !entries.len().is_multiple_of(ENTRY_BYTES) {
            return;
        }
        let is_old = |last: &LoadReport| (sequence.wrapping_sub(last.sequence) as i8) <= 0;
        if self.by_peer.get(&from).is_some_and(is_old) {
            return;
        }
        self.discard_counts(from);
        let in_flight: Vec<_> = entries.chunks_exact(ENTRY_BYTES).map(decode_entry).collect();
        for &(endpoint, count) in &in_flight {
            *self.sums.entry(endpoint).or_default() += u32::from(count);
        }
        self.by_peer.insert(from, LoadReport { sequence: *sequence, received_at: now, in_flight });
    }

    /// Takes a peer's counts out of the sums.
    fn discard_counts(&mut self, peer: u32) {
        let report = self.by_peer.get_mut(&peer);
        for (endpoint, count) in report.map_or(Vec::new(), |report| std::mem::take(&mut report.in_flight)) {
            if let Some(sum) = self.sums.get_mut(&endpoint) {
                *sum = sum.saturating_sub(u32::from(count));
                if *sum == 0 {
                    self.sums.remove(&endpoint);
                }
            }
        }
    }

    /// Discards the counts of reports received before `counts_since`, and the peers whose last report was
    /// received before `peers_since`.
    pub fn expire(&mut self, counts_since: Nanos, peers_since: Nanos) {
        let old = self.by_peer.iter().filter(|(_, report)| report.received_at < counts_since);
        let old: Vec<u32> = old.map(|(&peer, _)| peer).collect();
        for peer in old {
            self.discard_counts(peer);
        }
        self.by_peer.retain(|_, report| report.received_at >= peers_since);
    }

    /// Attempts that peers have in flight at an endpoint.
    #[must_use]
    pub fn in_flight(&self, endpoint: EndpointId) -> usize {
        self.sums.get(&endpoint).map_or(0, |&sum| sum as usize)
    }

    /// How many peers have reported lately.
    #[must_use]
    pub fn reporting_peers(&self) -> usize {
        self.by_peer.len()
    }
}

/// Who gets a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Recipients {
    /// Every other peer in turn: enough after the end of an attempt, since counts expire by themselves.
    EveryOtherPeer,
    AllPeers,
}

/// The reports of this node and of its peers.
#[derive(Default)]
pub(crate) struct LoadReporting {
    pub peers: PeerReports,
    /// The other nodes of this node's group; empty if it sends no reports.
    pub group: Vec<u32>,
    sequence: u8,
    sent_at: Nanos,
    due: Option<Recipients>,
}

impl LoadReporting {
    pub fn on_attempt_started(&mut self) {
        self.due = Some(Recipients::AllPeers);
    }

    pub fn on_attempt_ended(&mut self) {
        self.due.get_or_insert(Recipients::EveryOtherPeer);
    }

    /// Whether what most of the group has in flight is known.
    fn is_informed(&self) -> bool {
        !self.group.is_empty() && 2 * self.peers.reporting_peers() > self.group.len()
    }

    fn recipients(&self, recipients: Recipients) -> impl Iterator<Item = u32> {
        let (step, skip) = match recipients {
            Recipients::AllPeers => (1, 0),
            Recipients::EveryOtherPeer => (2, usize::from(self.sequence / 2 % 2)),
        };
        self.group.iter().copied().skip(skip).step_by(step)
    }
}

impl Balancer {
    /// Decides which nodes exchange reports. Where reports are allowed and cheap, groups of nodes share one
    /// subset each and know each other's attempts: many nodes with little traffic each would otherwise
    /// select blindly, and some endpoints would be crowded beside idle ones.
    pub(crate) fn form_report_group(&mut self) {
        self.reporting.group.clear();
        let endpoints = self.subset[Locality::Local].preference_order.len();
        if !self.settings.load_reports || endpoints == 0 || self.subset.has_remote() {
            return;
        }
        let (node, node_count) = (self.settings.node_index, self.settings.node_count);
        let by_width = endpoints / self.min_width(endpoints);
        let groups = by_width.max(node_count as usize / MAX_GROUP_SIZE).clamp(1, endpoints);
        let group = peers_in_group(node, node_count, groups);
        let bytes = BYTES_PER_REQUEST_AND_PEER * group.len() as f64;
        let is_dear = self.settings.load_report_cost * bytes / MAX_BYTES as f64 > MAX_REPORT_COST;
        if is_dear || (node_count as usize) < MIN_GROUP_SIZE * groups {
            return;
        }
        self.reporting.group = group;
        // The whole group takes the ring from the same endpoint on.
        let order = &mut self.subset[Locality::Local].preference_order;
        order.rotate_right(ring(node, endpoints));
        order.rotate_left(ring(node, groups) * endpoints / groups);
    }

    /// Sends a report if one is due and there is a group.
    pub(crate) fn send_due_load_report(&mut self, actions: &mut Vec<Action>) {
        let Some(recipients) = self.reporting.due.take() else { return };
        if self.reporting.group.is_empty() {
            return;
        }
        self.reporting.sequence = self.reporting.sequence.wrapping_add(1);
        self.reporting.sent_at = self.now;
        let active = self.subset[Locality::Local].active.iter().map(|&index| &self.endpoints[index]);
        let in_flight = active.map(|endpoint| (endpoint.id, endpoint.in_flight.len()));
        let body: Arc<[u8]> = encode(self.reporting.sequence, in_flight).into();
        let to = self.reporting.recipients(recipients);
        actions.extend(to.map(|to| Action::SendLoadReport { to, body: body.clone() }));
    }

    /// Discards old reports of peers, and repeats the own one if it is no longer valid but attempts are in
    /// flight.
    pub(crate) fn expire_load_reports(&mut self) {
        let validity = nanos(VALIDITY_LATENCIES * self.latencies.mean_of_classes());
        let counts_since = self.now.saturating_sub(validity);
        let peers_since = self.now.saturating_sub(SILENT_PEER_VALIDITIES * validity);
        self.reporting.peers.expire(counts_since, peers_since);
        if self.traffic.total_in_flight > 0 && self.now > self.reporting.sent_at + validity {
            self.reporting.due = Some(Recipients::AllPeers);
        }
    }

    /// Returns whether limits can be applied to the attempts of the whole group; else a node keeps to its own
    /// share of them.
    pub(crate) fn knows_group_load(&self) -> bool {
        self.reporting.is_informed()
    }

    /// Attempts known to be in flight at an endpoint: own ones and those that the group reported.
    pub(crate) fn known_in_flight(&self, index: EndpointIndex) -> usize {
        let endpoint = &self.endpoints[index];
        endpoint.in_flight.len() + self.reporting.peers.in_flight(endpoint.id)
    }
}

#[cfg(test)]
#[path = "../tests/unit/load_reports.rs"]
mod tests;
