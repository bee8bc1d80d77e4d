//! Exemptions from rules: nodes while a fault affects them, and requests at misbehaving endpoints.

use std::collections::{BTreeMap, BTreeSet};

use crate::history::{EventKind, History, ProcessState};
use crate::{MS, Nanos};

/// Longest time that a request spends at an endpoint; its behavior may change meanwhile.
const MAX_TIME_AT_ENDPOINT: Nanos = 500 * MS;

/// A time span that includes both ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TimeSpan {
    pub from: Nanos,
    /// `Nanos::MAX` if the span has no end.
    pub to: Nanos,
}

impl TimeSpan {
    pub fn contains(&self, at: Nanos) -> bool {
        (self.from..=self.to).contains(&at)
    }

    /// Returns whether the spans have at least one instant in common.
    pub fn overlaps(&self, other: Self) -> bool {
        self.from <= other.to && other.from <= self.to
    }
}

/// Returns the spans in which a node is exempt: its process does not run, or a fault affects its links. With
/// `client_links_only`, only faults of links from clients count: a node that can't reach endpoints still has to answer.
pub(super) fn node_exemptions(history: &History, node: usize, client_links_only: bool) -> Vec<TimeSpan> {
    let mut spans = Vec::new();
    let mut active_faults: BTreeMap<usize, Nanos> = BTreeMap::new();
    let mut down_since: Option<Nanos> = Some(0);
    for event in &history.events {
        match &event.kind {
            EventKind::NodeState { node: event_node, state } if *event_node == node => match state {
                ProcessState::Running | ProcessState::Resumed => {
                    spans.extend(down_since.take().map(|from| TimeSpan { from, to: event.at }));
                }
                ProcessState::Down | ProcessState::Paused | ProcessState::Stopping => {
                    down_since.get_or_insert(event.at);
                }
            },
            EventKind::Fault { index, begins, nodes, affects_clients, .. }
                if nodes.contains(&node) && (*affects_clients || !client_links_only) =>
            {
                if *begins {
                    active_faults.insert(*index, event.at);
                } else {
                    spans.extend(active_faults.remove(index).map(|from| TimeSpan { from, to: event.at }));
                }
            }
            _ => {}
        }
    }
    let open = down_since.into_iter().chain(active_faults.into_values());
    spans.extend(open.map(|from| TimeSpan { from, to: Nanos::MAX }));
    spans
}

/// Returns the spans in which idle connections were held open at a node, so that it may close new ones unread.
pub(super) fn crowded_spans(history: &History, node: usize) -> Vec<TimeSpan> {
    let mut spans = Vec::new();
    let mut began: BTreeMap<usize, Nanos> = BTreeMap::new();
    for event in &history.events {
        let EventKind::Fault { index, begins, crowded, .. } = &event.kind else { continue };
        if crowded.contains(&node) && *begins {
            began.insert(*index, event.at);
        } else if let Some(from) = began.remove(index) {
            spans.push(TimeSpan { from, to: event.at });
        }
    }
    spans.extend(began.into_values().map(|from| TimeSpan { from, to: Nanos::MAX }));
    spans
}

/// Returns whether a span overlaps any exemption.
pub(super) fn is_exempt(exemptions: &[TimeSpan], span: TimeSpan) -> bool {
    exemptions.iter().any(|exemption| exemption.overlaps(span))
}

/// A time span in which an endpoint misbehaves.
struct MisbehaviorSpan {
    endpoint: usize,
    span: TimeSpan,
}

/// Returns the ids of requests that were at an endpoint while it misbehaved: their responses may be wrong.
pub(super) fn requests_at_misbehaving_endpoints(history: &History) -> BTreeSet<u64> {
    let spans = misbehavior_spans(history);
    let executed = history.events.iter().filter_map(|event| match event.kind {
        EventKind::RequestExecuted { id, endpoint, .. } => Some((id, endpoint, event.at)),
        _ => None,
    });
    executed
        .filter(|(_, endpoint, at)| {
            spans
                .iter()
                .any(|misbehavior| misbehavior.endpoint == *endpoint && misbehavior.span.contains(*at))
        })
        .map(|(id, ..)| id)
        .collect()
}

fn misbehavior_spans(history: &History) -> Vec<MisbehaviorSpan> {
    let mut spans: Vec<MisbehaviorSpan> = Vec::new();
    for event in &history.events {
        let EventKind::Fault { begins, misbehaving, .. } = &event.kind else { continue };
        for &endpoint in misbehaving {
            if *begins {
                let from = event.at.saturating_sub(MAX_TIME_AT_ENDPOINT);
                spans.push(MisbehaviorSpan { endpoint, span: TimeSpan { from, to: Nanos::MAX } });
            } else if let Some(open) =
                spans.iter_mut().find(|open| open.endpoint == endpoint && open.span.to == Nanos::MAX)
            {
                open.span.to = event.at + MAX_TIME_AT_ENDPOINT;
            }
        }
    }
    spans
}
