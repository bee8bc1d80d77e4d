//! Checks that draining endpoints get no new requests.

use std::collections::BTreeMap;

use super::exemptions::{TimeSpan, is_exempt, node_exemptions};
use super::{Checker, Violation};
use crate::history::{EventKind, History, ListedHealth};
use crate::scenario::Scenario;
use crate::{MS, Nanos, SECOND};

/// Time after a node learned that an endpoint drains, within which it may still send requests there.
const DRAIN_GRACE: Nanos = 2 * SECOND;
/// Longest transit of a request over a link without a fault, apart from the link's configured latency.
const MAX_TRANSIT: Nanos = 250 * MS;
/// Time after the end of a fault for which the node remains exempt.
const FAULT_AFTERMATH: Nanos = SECOND;
/// Multiple of a link's mean jitter that is allowed as transit time: jitter is exponentially distributed and has no maximum.
const JITTER_MULTIPLE: f64 = 8.0;

/// A node sends no request to an endpoint later than [`DRAIN_GRACE`] after it learned that the endpoint drains.
pub struct DrainsRespected;

/// A time span in which a node knew that an endpoint drains.
struct Drain {
    node: usize,
    endpoint: usize,
    span: TimeSpan,
}

impl Checker for DrainsRespected {
    fn name(&self) -> &'static str {
        "drains"
    }

    fn check(&self, scenario: &Scenario, history: &History) -> Vec<Violation> {
        let drains = drains(history);
        let grace = DRAIN_GRACE + max_transit(scenario);
        let mut violations = Vec::new();
        for event in &history.events {
            let EventKind::RequestExecuted { id, endpoint, via, .. } = &event.kind else { continue };
            let Some(node) = node_in_via(via) else { continue };
            let violated_drain = drains.iter().find(|drain| {
                drain.node == node
                    && drain.endpoint == *endpoint
                    && event.at > drain.span.from + grace
                    && event.at < drain.span.to
            });
            let Some(drain) = violated_drain else { continue };
            let recent = TimeSpan { from: event.at.saturating_sub(FAULT_AFTERMATH), to: event.at };
            if !is_exempt(&node_exemptions(history, node, false), recent) {
                let text = format!(
                    "node {node} sent request {id:x} to server {endpoint} {} ms after discovery listed it as draining",
                    (event.at - drain.span.from) / MS
                );
                violations.push(self.violation(event.at, text));
            }
        }
        violations
    }
}

/// Returns the longest transit of a request from a node to an endpoint. The history has no time of its sending.
fn max_transit(scenario: &Scenario) -> Nanos {
    let links = &scenario.fleet.links;
    let max_latency_ms = links.latency_ms + JITTER_MULTIPLE * links.jitter_ms;
    MAX_TRANSIT + (max_latency_ms * MS as f64) as Nanos
}

/// Returns the node of a `Via` header like `1.1 n7`.
fn node_in_via(via: &str) -> Option<usize> {
    via.rsplit(' ').next()?.strip_prefix('n')?.parse().ok()
}

/// Returns all time spans in which a node knew that an endpoint drains.
fn drains(history: &History) -> Vec<Drain> {
    let mut draining_since = BTreeMap::new();
    let mut drains = Vec::new();
    for event in &history.events {
        let EventKind::DiscoveryUpdate { node, endpoint, health } = event.kind else { continue };
        match health {
            ListedHealth::Draining => {
                draining_since.entry((node, endpoint)).or_insert(event.at);
            }
            ListedHealth::Active => {
                let since = draining_since.remove(&(node, endpoint));
                drains.extend(since.map(|from| Drain {
                    node,
                    endpoint,
                    span: TimeSpan { from, to: event.at },
                }));
            }
        }
    }
    drains.extend(draining_since.into_iter().map(|((node, endpoint), from)| Drain {
        node,
        endpoint,
        span: TimeSpan { from, to: Nanos::MAX },
    }));
    drains
}
