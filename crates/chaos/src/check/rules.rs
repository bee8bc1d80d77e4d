//! The four rules.

use std::collections::{BTreeMap, BTreeSet};

use super::{Asked, Checker, Find, drains, excused, lied_to, requests, touches};
use crate::history::{ClientOutcome, Event, EventKind, History, ProcessState, ReadFailure, RequestClass};
use crate::scenario::Scenario;
use crate::{MS, Nanos, SECOND};

/// A node answers at its client's deadline at the latest, and a little more; the clients here run on a busy machine.
const ANSWERED_WITHIN: Nanos = 500 * MS;
/// Nothing is sent to a server so long after the node was told that it leaves ...
const GRACE: Nanos = 2 * SECOND;
/// ... and what was sent by then has arrived after so long on a link without a fault.
const ON_THE_WAY: Nanos = 250 * MS;
/// A cold server falls over when it is sent this multiple of what it can do for [`FALL_SPAN`]; as the nodes are told.
pub const FALL_MULTIPLE: f64 = 4.0;
/// See [`FALL_MULTIPLE`].
pub const FALL_SPAN: Nanos = 1_500 * MS;

fn find(checker: &str, at: Nanos, text: String) -> Find {
    Find { checker: checker.into(), at, text }
}

/// No request lost: each has one end, in time, from a node that lives and can be reached; and what is served is what was made
/// for it.
pub struct NoneLost;

impl Checker for NoneLost {
    fn name(&self) -> &'static str {
        "none lost"
    }

    fn check(&self, _: &Scenario, history: &History) -> Vec<Find> {
        let mut finds = Vec::new();
        let mut ended = BTreeSet::new();
        for event in &history.events {
            if let EventKind::RequestEnded { id, .. } = event.kind
                && !ended.insert(id)
            {
                finds.push(find(self.name(), event.at, format!("request {id:x} ended twice")));
            }
        }
        let requests = requests(history);
        let lied_to = lied_to(history);
        let nodes: BTreeSet<_> = requests.iter().map(|asked| asked.node).collect();
        let excused: BTreeMap<_, _> =
            nodes.into_iter().map(|node| (node, excused(history, node, true))).collect();
        for Asked { id, node, at, patience, end, .. } in requests {
            let due = at + patience + ANSWERED_WITHIN;
            let Some((when, end)) = end else {
                finds.push(find(self.name(), at, format!("request {id:x} at node {node} has no end")));
                continue;
            };
            if let ClientOutcome::Answered { matches_request: false, status: 200 } = end
                && !lied_to.contains(&id)
            {
                finds.push(find(self.name(), when, format!("request {id:x} got an answer made for another")));
            }
            // On a connection that was opened before a fault the end of it may come a little after.
            let free = touches(&excused[&node], at.saturating_sub(SECOND), when.max(due));
            let lost = match end {
                ClientOutcome::Answered { .. } => when > due,
                ClientOutcome::ConnectionBroken | ClientOutcome::ConnectFailed | ClientOutcome::TimedOut => {
                    true
                }
            };
            if lost && !free {
                let took = (when - at) / MS;
                finds.push(find(
                    self.name(),
                    when,
                    format!("request {id:x} at node {node}: {end} after {took} ms"),
                ));
            }
        }
        finds
    }
}

/// No effect twice: a submit takes effect once at the most, whatever its client was told; and not at all where the client
/// was told that nothing happened. What a lying server had may be sent once more: the node was told that nothing was done.
pub struct EffectsOnce;

impl Checker for EffectsOnce {
    fn name(&self) -> &'static str {
        "effects once"
    }

    fn check(&self, _: &Scenario, history: &History) -> Vec<Find> {
        let submits: BTreeMap<_, _> = requests(history)
            .into_iter()
            .filter(|asked| asked.class == RequestClass::Submit)
            .map(|asked| (asked.id, asked))
            .collect();
        let lied_to = lied_to(history);
        let mut seen: BTreeMap<u64, (usize, u32)> = BTreeMap::new();
        let mut finds = Vec::new();
        for event in &history.events {
            let EventKind::RequestExecuted { id, server, epoch, .. } = event.kind else { continue };
            let Some(asked) = submits.get(&id).filter(|_| !lied_to.contains(&id)) else { continue };
            if let Some((first, first_epoch)) = seen.insert(id, (server, epoch)) {
                let text = format!(
                    "submit {id:x} took effect at server {first} (start {first_epoch}) and at server {server} (start {epoch})"
                );
                finds.push(find(self.name(), event.at, text));
            }
            if asked.end.is_some_and(|(_, end)| end.is_rejected()) {
                let text = format!(
                    "submit {id:x} was refused as harmless to repeat, and took effect at server {server}"
                );
                finds.push(find(self.name(), event.at, text));
            }
        }
        finds
    }
}

/// Drains kept: nothing new at a server 2 s after the node was told that it leaves.
pub struct Drains;

impl Checker for Drains {
    fn name(&self) -> &'static str {
        "drains"
    }

    fn check(&self, scenario: &Scenario, history: &History) -> Vec<Find> {
        let drains = drains(history);
        // What a bad link held back was sent in time all the same, and nobody here saw when.
        let longest = scenario.fleet.links.delay_ms + 8.0 * scenario.fleet.links.jitter_ms;
        let way = ON_THE_WAY + (longest * MS as f64) as Nanos;
        let mut finds = Vec::new();
        for Event { at, kind } in &history.events {
            let EventKind::RequestExecuted { id, server, via, .. } = kind else { continue };
            let Some(node) = node_of(via) else { continue };
            let broken = drains
                .iter()
                .find(|(n, s, from, to)| *n == node && s == server && *at > from + GRACE + way && at < to);
            if let Some((.., from, _)) = broken
                && !touches(&excused(history, node, false), at.saturating_sub(SECOND), *at)
            {
                let text = format!(
                    "node {node} sent {id:x} to server {server} {} ms after it was told that it leaves",
                    (at - from) / MS
                );
                finds.push(find(self.name(), *at, text));
            }
        }
        finds
    }
}

/// The number in `1.1 n7`.
fn node_of(via: &str) -> Option<usize> {
    via.rsplit(' ').next()?.strip_prefix('n')?.parse().ok()
}

/// No process of the program ends by itself.
pub struct Crashes;

impl Checker for Crashes {
    fn name(&self) -> &'static str {
        "crashes"
    }

    fn check(&self, _: &Scenario, history: &History) -> Vec<Find> {
        let crash = |event: &Event| match &event.kind {
            EventKind::NodeCrashed { node, text } => {
                Some(find(self.name(), event.at, format!("node {node} ended: {text}")))
            }
            _ => None,
        };
        history.events.iter().filter_map(crash).collect()
    }
}

/// What nodes wrote can be read again: a recording that nobody harmed is whole, and a harmed one breaks no reader.
pub struct Recordings;

impl Checker for Recordings {
    fn name(&self) -> &'static str {
        "recordings"
    }

    fn check(&self, _: &Scenario, history: &History) -> Vec<Find> {
        let mut finds = Vec::new();
        for event in &history.events {
            let EventKind::RecordingRead { node, file, harmed, failed } = &event.kind else { continue };
            let bad = match failed {
                Some(ReadFailure::ReaderCrashed) => "breaks its reader",
                Some(ReadFailure::Rejected) if !harmed => "can't be read, and nobody harmed it",
                _ => continue,
            };
            finds.push(find(self.name(), event.at, format!("recording {file} of node {node} {bad}")));
        }
        finds
    }
}

/// No cold server pushed over: the sum of all nodes stays under the multiple of what it can do by its age.
pub struct ColdServers;

impl Checker for ColdServers {
    fn name(&self) -> &'static str {
        "cold servers"
    }

    fn check(&self, scenario: &Scenario, history: &History) -> Vec<Find> {
        let (span_s, from) = scenario.fleet.cold;
        let span = (span_s * SECOND as f64) as Nanos;
        // What a warm server can do, in requests a second.
        let able = scenario.fleet.places as f64 / (scenario.fleet.takes_ms / 1e3);
        let mut finds = Vec::new();
        let mut born: BTreeMap<(usize, u32), Nanos> = BTreeMap::new();
        for event in &history.events {
            if let EventKind::EndpointState { server, epoch, state: ProcessState::Running } = event.kind
                && epoch > 0
            {
                born.insert((server, epoch), event.at);
            }
        }
        for (&(server, epoch), &start) in &born {
            let came: Vec<_> = history
                .events
                .iter()
                .filter(|event| matches!(event.kind, EventKind::RequestExecuted { server: s, epoch: e, .. } if s == server && e == epoch))
                .map(|event| event.at)
                .take_while(|at| *at < start + span)
                .collect();
            for (place, &first) in came.iter().enumerate() {
                let end = first + FALL_SPAN;
                let count = came[place..].iter().take_while(|at| **at < end).count();
                let age = (first - start.min(first)) as f64 / span as f64;
                let may =
                    FALL_MULTIPLE * able * (from + (1.0 - from) * age) * FALL_SPAN as f64 / SECOND as f64;
                if count as f64 > may {
                    let text = format!(
                        "server {server} (start {epoch}), {:.1} s old, was sent {count} within {} ms; {may:.0} tip it over",
                        (first - start.min(first)) as f64 / SECOND as f64,
                        FALL_SPAN / MS
                    );
                    finds.push(find(self.name(), first, text));
                    break;
                }
            }
        }
        finds
    }
}
