//! Load reports between the nodes of a group. A report holds the number of attempts that its sender has in
//! flight at each endpoint.
//!
//! A report replaces the sender's previous one, so lost, duplicated and late reports have no lasting effect.
//! Without reports, a node selects endpoints by its own attempts alone.

use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::balancer::Balancer;
use crate::endpoints::EndpointIndex;
use crate::hash_ring::node_position;
use crate::subsetting::Locality;
use crate::{Action, EndpointId, Nanos, nanos};

/// Version of the encoding. Reports with another version are ignored.
const VERSION: u8 = 1;
/// Maximum size of a report, in bytes.
const MAX_BYTES: usize = 256;
/// Size of the header (version and sequence number), in bytes.
const HEADER_BYTES: usize = 2;
/// Size of an entry (endpoint and number of attempts), in bytes.
const ENTRY_BYTES: usize = 5;

/// No reports are sent if the reports per request would cost more than this fraction of a request.
const MAX_REPORT_COST: f64 = 0.05;
/// Bytes of reports per request and peer of the group: two reports with two endpoints each.
const BYTES_PER_REQUEST_AND_PEER: f64 = 2.0 * 12.0;
/// Minimum mean group size. Smaller groups would be too uneven in size, and the nodes in them see enough of
/// the load without reports.
const MIN_GROUP_SIZE: usize = 4;
/// Maximum mean group size, since each member sends reports to every other member.
const MAX_GROUP_SIZE: usize = 12;
/// Validity of a report as a multiple of the mean latency. After that it is repeated if it still holds.
const VALIDITY_LATENCIES: f64 = 2.5;
/// A peer that has sent nothing for this many validity periods no longer counts as reporting.
const SILENT_PEER_VALIDITIES: Nanos = 10;

#[derive(Debug)]
struct LoadReport {
    sequence: u8,
    received_at: Nanos,
    in_flight: Vec<(EndpointId, u8)>,
}

/// The last report of each peer, and the sums of their counts by endpoint.
#[derive(Debug, Default)]
pub struct PeerReports {
    by_peer: FxHashMap<u32, LoadReport>,
    sums: FxHashMap<EndpointId, u32>,
}

/// Encodes a report. Endpoints without attempts are omitted, and so are entries beyond the maximum size.
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

/// Returns the other nodes in a node's group, where `node_count` nodes form `groups` groups.
#[must_use]
pub fn peers_in_group(node_index: u32, node_count: u32, groups: usize) -> Vec<u32> {
    let own = node_position(node_index, groups);
    (0..node_count).filter(|&node| node != node_index && node_position(node, groups) == own).collect()
}

impl PeerReports {
    /// Records a peer's report. A report that is malformed or not newer than the last one is ignored.
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

    /// Subtracts a peer's counts from the sums.
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

    /// Returns the number of attempts that peers have in flight at an endpoint.
    #[must_use]
    pub fn in_flight(&self, endpoint: EndpointId) -> usize {
        self.sums.get(&endpoint).map_or(0, |&sum| sum as usize)
    }

    /// Returns the number of peers that have reported recently.
    #[must_use]
    pub fn reporting_peers(&self) -> usize {
        self.by_peer.len()
    }
}

/// Recipients of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Recipients {
    /// Every other peer, alternating between the two halves of the group. That is enough after the end of an
    /// attempt, since counts also expire.
    EveryOtherPeer,
    AllPeers,
}

/// Load reports of this node and of its peers.
#[derive(Default)]
pub(crate) struct LoadReporting {
    pub peers: PeerReports,
    /// The other nodes of this node's group; empty if this node sends no reports.
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

    /// Returns whether more than half of the peers have reported recently.
    fn most_peers_reported(&self) -> bool {
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
    /// Decides which nodes exchange reports. Where reports are allowed and cheap, the nodes of a group share
    /// one subset and know each other's attempts. Otherwise many nodes with little traffic each would select
    /// endpoints blindly, and some endpoints would be overloaded while others are idle.
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
        let is_too_expensive = self.settings.load_report_cost * bytes / MAX_BYTES as f64 > MAX_REPORT_COST;
        if is_too_expensive || (node_count as usize) < MIN_GROUP_SIZE * groups {
            return;
        }
        self.reporting.group = group;
        // All nodes of the group start at the same endpoint of the ring.
        let order = &mut self.subset[Locality::Local].preference_order;
        order.rotate_right(node_position(node, endpoints));
        order.rotate_left(node_position(node, groups) * endpoints / groups);
    }

    /// Sends a report if one is due and this node has a group.
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

    /// Discards expired reports of peers. Schedules a new report of this node if its last one has expired and
    /// attempts are in flight.
    pub(crate) fn expire_load_reports(&mut self) {
        let validity = nanos(VALIDITY_LATENCIES * self.latencies.mean_of_classes());
        let counts_since = self.now.saturating_sub(validity);
        let peers_since = self.now.saturating_sub(SILENT_PEER_VALIDITIES * validity);
        self.reporting.peers.expire(counts_since, peers_since);
        if self.traffic.total_in_flight > 0 && self.now > self.reporting.sent_at + validity {
            self.reporting.due = Some(Recipients::AllPeers);
        }
    }

    /// Returns whether limits can be applied to the attempts of the whole group. If not, each node applies
    /// its own share of them.
    pub(crate) fn knows_group_load(&self) -> bool {
        self.reporting.most_peers_reported()
    }

    /// Returns the number of attempts known to be in flight at an endpoint: this node's own and those
    /// reported by the group.
    pub(crate) fn known_in_flight(&self, index: EndpointIndex) -> usize {
        let endpoint = &self.endpoints[index];
        endpoint.in_flight.len() + self.reporting.peers.in_flight(endpoint.id)
    }
}

#[cfg(test)]
#[path = "../tests/unit/load_reports.rs"]
mod tests;
