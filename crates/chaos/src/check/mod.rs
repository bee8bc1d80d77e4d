//! Checkers: each reads a history and says what it found. They know nothing of the program but what its rules promise.

mod rules;
mod service;
mod views;

use serde::{Deserialize, Serialize};

pub use rules::{ColdServers, Crashes, Drains, EffectsOnce, NoneLost, Recordings};
pub use service::{Lag, Resources, Service, Summary};
pub use views::{Views, ViewsSettle, views};

use crate::Nanos;
use crate::history::{ClientOutcome, EventKind, History, ListedHealth, ProcessState, RequestClass};
use crate::scenario::Scenario;

/// Something that should not be.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Find {
    /// The checker.
    pub checker: String,
    /// When, from the start of the storm.
    pub at: Nanos,
    /// What.
    pub text: String,
}

/// A checker. Those of later subsystems (views, sums, copies) implement it as well and join [`all`].
pub trait Checker {
    /// Its name.
    fn name(&self) -> &'static str;
    /// Everything that it finds.
    fn check(&self, scenario: &Scenario, history: &History) -> Vec<Find>;
}

/// All checkers of rules; finds of any of them break a run.
#[must_use]
pub fn all() -> Vec<Box<dyn Checker>> {
    vec![
        Box::new(NoneLost),
        Box::new(EffectsOnce),
        Box::new(Drains),
        Box::new(ColdServers),
        Box::new(Crashes),
        Box::new(Recordings),
        Box::new(Resources),
        Box::new(ViewsSettle),
        Box::new(Lag),
    ]
}

/// What all of them find, in the order of time.
#[must_use]
pub fn run(scenario: &Scenario, history: &History) -> Vec<Find> {
    let mut finds: Vec<_> = all().iter().flat_map(|checker| checker.check(scenario, history)).collect();
    finds.sort_by_key(|find| find.at);
    finds
}

/// A server has a request for so long at the most that its answer matters: some times what work takes here.
const AT_A_SERVER: Nanos = 500 * crate::MS;

/// A request as its client saw it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Asked {
    pub id: u64,
    pub class: RequestClass,
    pub node: usize,
    pub at: Nanos,
    pub patience: Nanos,
    pub end: Option<(Nanos, ClientOutcome)>,
}

/// All requests, by id.
pub(crate) fn requests(history: &History) -> Vec<Asked> {
    let mut all = std::collections::BTreeMap::new();
    for event in &history.events {
        match event.kind {
            EventKind::RequestStarted { id, class, node, patience_ms } => {
                let patience = patience_ms * crate::MS;
                all.insert(id, Asked { id, class, node, at: event.at, patience, end: None });
            }
            EventKind::RequestEnded { id, end } => {
                if let Some(asked) = all.get_mut(&id) {
                    // A second end is no end of ours: the first counts, and `NoneLost` names the second.
                    asked.end = asked.end.or(Some((event.at, end)));
                }
            }
            _ => {}
        }
    }
    all.into_values().collect()
}

/// Spans in which a node can't do as it should: its process is down, ending or stands still, or a fault concerns its links
/// (those from clients alone, where only they matter: whoever can't reach servers has to answer all the same).
pub(crate) fn excused(history: &History, node: usize, from_clients: bool) -> Vec<(Nanos, Nanos)> {
    let mut spans = Vec::new();
    let mut open: std::collections::BTreeMap<usize, Nanos> = std::collections::BTreeMap::new();
    let mut down: Option<Nanos> = Some(0);
    for event in &history.events {
        match &event.kind {
            EventKind::NodeState { node: of, state } if *of == node => match state {
                ProcessState::Running | ProcessState::Resumed => {
                    spans.extend(down.take().map(|from| (from, event.at)))
                }
                ProcessState::Down | ProcessState::Paused | ProcessState::Stopping => {
                    drop(down.get_or_insert(event.at))
                }
            },
            EventKind::Fault { number, begins, nodes, clients, .. }
                if nodes.contains(&node) && (*clients || !from_clients) =>
            {
                if *begins {
                    open.insert(*number, event.at);
                } else {
                    spans.extend(open.remove(number).map(|from| (from, event.at)));
                }
            }
            _ => {}
        }
    }
    spans.extend(down.into_iter().chain(open.into_values()).map(|from| (from, Nanos::MAX)));
    spans
}

/// Requests that a server had while it said what is not so: nobody can be held to what came of them but for their end.
pub(crate) fn lied_to(history: &History) -> std::collections::BTreeSet<u64> {
    let mut lies: Vec<(usize, Nanos, Nanos)> = Vec::new();
    for event in &history.events {
        let EventKind::Fault { begins, liars, .. } = &event.kind else { continue };
        for &server in liars {
            if *begins {
                // What it had before, it answers now; what it has at the end, a little later.
                lies.push((server, event.at.saturating_sub(AT_A_SERVER), Nanos::MAX));
            } else if let Some(lie) = lies.iter_mut().find(|(of, _, to)| *of == server && *to == Nanos::MAX) {
                lie.2 = event.at + AT_A_SERVER;
            }
        }
    }
    let had = history.events.iter().filter_map(|event| match event.kind {
        EventKind::RequestExecuted { id, server, .. } => Some((id, server, event.at)),
        _ => None,
    });
    had.filter(|(_, server, at)| lies.iter().any(|(of, from, to)| of == server && from <= at && at <= to))
        .map(|(id, ..)| id)
        .collect()
}

pub(crate) fn touches(spans: &[(Nanos, Nanos)], from: Nanos, to: Nanos) -> bool {
    spans.iter().any(|(start, end)| *start <= to && from <= *end)
}

/// What discovery told: node, server, and from when to when it was listed as leaving.
pub(crate) fn drains(history: &History) -> Vec<(usize, usize, Nanos, Nanos)> {
    let mut open = std::collections::BTreeMap::new();
    let mut all = Vec::new();
    for event in &history.events {
        if let EventKind::DiscoveryUpdate { node, server, listed } = event.kind {
            match listed {
                ListedHealth::Draining => drop(open.entry((node, server)).or_insert(event.at)),
                ListedHealth::Active => {
                    all.extend(open.remove(&(node, server)).map(|from| (node, server, from, event.at)));
                }
            }
        }
    }
    all.extend(open.into_iter().map(|((node, server), from)| (node, server, from, Nanos::MAX)));
    all
}
