//! The members' views of each other: nobody who lives and is reached is held dead for long, and views settle.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Checker, Find};
use crate::history::{EventKind, History, MemberState, ProcessState};
use crate::scenario::{Fault, Kind, Scenario, Side};
use crate::{Nanos, SECOND};

/// Views have settled so long after the last fault; a run whose calm at the end is shorter says nothing of that.
pub const SETTLED: Nanos = 10 * SECOND;
/// What a fault made of a view may last so long after it.
const AFTER: Nanos = SETTLED;
/// Between two views of a node as the storm reads them, and some.
const READ: Nanos = SECOND;

/// How views went.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Views {
    /// Seconds from the first kill until the first other node, and the last one, holds the killed dead.
    pub found_s: Option<(f64, f64)>,
    /// Seconds from the end of the last fault until all views are equal and hold who runs alive, for good.
    pub settled_s: Option<f64>,
    /// Times that a node was newly held dead that ran and that no fault concerned.
    pub wronged: u64,
}

/// Each node's process over time: since when it runs, or does not.
fn running(history: &History, node: usize) -> Vec<(Nanos, bool)> {
    let mut spans = vec![(0, false)];
    for event in &history.events {
        if let EventKind::NodeState { node: of, state } = event.kind
            && of == node
        {
            spans.push((event.at, matches!(state, ProcessState::Running | ProcessState::Resumed)));
        }
    }
    spans
}

/// Whether it ran all through a span.
fn ran(spans: &[(Nanos, bool)], from: Nanos, to: Nanos) -> bool {
    let place = spans.partition_point(|(at, _)| *at <= from);
    spans[..place].last().is_some_and(|(_, runs)| *runs)
        && spans[place..].iter().take_while(|(at, _)| *at <= to).all(|(_, runs)| *runs)
}

/// Whether a fault may change what others hold of a node, or what it holds.
fn concerns(fault: &Fault, node: usize) -> bool {
    let has = |side: &Side| matches!(side, Side::Nodes(nodes) if nodes.contains(&node));
    match &fault.kind {
        Kind::Link { from: from @ Side::Nodes(_), to: to @ Side::Nodes(_), .. } => has(from) || has(to),
        Kind::Link { .. } => false,
        Kind::Partition { groups } => groups.iter().any(|group| group.contains(&node)),
        kind => kind.nodes().contains(&node),
    }
}

/// Spans in which a fault that concerns a node lasts, or may show.
fn faulted(scenario: &Scenario, history: &History, node: usize) -> Vec<(Nanos, Nanos)> {
    let mut open = BTreeMap::new();
    let mut spans = Vec::new();
    for event in &history.events {
        let EventKind::Fault { number, begins, .. } = event.kind else { continue };
        if !scenario.fault.get(number).is_some_and(|fault| concerns(fault, node)) {
            continue;
        }
        if begins {
            open.insert(number, event.at);
        } else {
            spans.extend(open.remove(&number).map(|from| (from, event.at + AFTER)));
        }
    }
    spans.extend(open.into_values().map(|from| (from, Nanos::MAX)));
    spans
}

struct Of<'a> {
    history: &'a History,
    running: Vec<Vec<(Nanos, bool)>>,
    faulted: Vec<Vec<(Nanos, Nanos)>>,
}

impl<'a> Of<'a> {
    fn new(scenario: &Scenario, history: &'a History) -> Self {
        let nodes = 0..scenario.fleet.nodes;
        Self {
            history,
            running: nodes.clone().map(|node| running(history, node)).collect(),
            faulted: nodes.map(|node| faulted(scenario, history, node)).collect(),
        }
    }

    fn free(&self, node: usize, at: Nanos) -> bool {
        let ran = ran(&self.running[node], at.saturating_sub(AFTER), at);
        ran && !self.faulted[node].iter().any(|(from, to)| (*from..=*to).contains(&at))
    }

    /// Who was newly held dead by whom and when, though neither was concerned by anything.
    fn wronged(&self) -> Vec<(Nanos, usize, usize)> {
        let mut last: BTreeMap<(usize, usize), MemberState> = BTreeMap::new();
        let mut all = Vec::new();
        for event in &self.history.events {
            let EventKind::MembershipView { node, holds, .. } = &event.kind else { continue };
            for (&of, &held) in holds {
                let before = last.insert((*node, of), held);
                let newly = held == MemberState::Dead && before != Some(MemberState::Dead);
                let known = of < self.running.len() && *node < self.running.len();
                if newly && known && self.free(of, event.at) && self.free(*node, event.at) {
                    all.push((event.at, *node, of));
                }
            }
        }
        all
    }

    /// When views had settled for good: equal for all who run, and each of those alive in them.
    fn settled(&self) -> Option<Nanos> {
        let mut views: BTreeMap<usize, (&str, &BTreeMap<usize, MemberState>)> = BTreeMap::new();
        let mut runs: BTreeMap<usize, bool> = BTreeMap::new();
        let mut since = None;
        for event in &self.history.events {
            match &event.kind {
                EventKind::NodeState { node, state } => {
                    let up = matches!(state, ProcessState::Running | ProcessState::Resumed);
                    runs.insert(*node, up);
                    if *state == ProcessState::Running {
                        views.remove(node);
                    }
                }
                EventKind::MembershipView { node, fingerprint, holds } => {
                    views.insert(*node, (fingerprint, holds));
                }
                _ => continue,
            }
            let live: Vec<_> = runs.iter().filter(|(_, up)| **up).map(|(node, _)| *node).collect();
            let first = live.first().and_then(|node| views.get(node)).map(|(print, _)| *print);
            let good = live.iter().all(|node| {
                views.get(node).is_some_and(|(print, holds)| {
                    Some(*print) == first && live.iter().all(|of| holds.get(of) == Some(&MemberState::Alive))
                })
            });
            since = if good { since.or(Some(event.at)) } else { None };
        }
        since
    }

    /// When the first and the last other node that ran held the first killed dead.
    fn found(&self, scenario: &Scenario) -> Option<(Nanos, Nanos)> {
        let kills = scenario.fault.iter().enumerate();
        let (number, killed) = kills
            .filter(|(_, fault)| matches!(fault.kind, Kind::Kill { .. }))
            .map(|(number, fault)| (number, fault.kind.nodes().to_vec()))
            .next()?;
        let begun = self.history.events.iter().find_map(|event| match event.kind {
            EventKind::Fault { number: of, begins: true, .. } if of == number => Some(event.at),
            _ => None,
        })?;
        let mut dead: BTreeMap<usize, Nanos> = BTreeMap::new();
        for event in &self.history.events {
            let EventKind::MembershipView { node, holds, .. } = &event.kind else { continue };
            let all = killed.iter().all(|of| holds.get(of) == Some(&MemberState::Dead));
            if event.at >= begun && all && !killed.contains(node) {
                dead.entry(*node).or_insert(event.at);
            }
        }
        let others = (0..self.running.len()).filter(|node| !killed.contains(node)).count();
        let (first, last) = (dead.values().min()?, dead.values().max()?);
        (dead.len() == others).then_some((first - begun, last - begun))
    }
}

/// How views went; `None` where nodes are no members.
#[must_use]
pub fn views(scenario: &Scenario, history: &History) -> Option<Views> {
    if !scenario.fleet.members {
        return None;
    }
    let of = Of::new(scenario, history);
    let seconds = |span: Nanos| span as f64 / SECOND as f64;
    let over = over(history);
    Some(Views {
        found_s: of.found(scenario).map(|(first, last)| (seconds(first), seconds(last))),
        settled_s: of.settled().map(|at| seconds(at.saturating_sub(over))),
        wronged: of.wronged().len() as u64,
    })
}

/// The end of the last fault.
fn over(history: &History) -> Nanos {
    let ends =
        history.events.iter().filter(|event| matches!(event.kind, EventKind::Fault { begins: false, .. }));
    ends.map(|event| event.at).max().unwrap_or_default()
}

/// The checker.
pub struct ViewsSettle;

impl Checker for ViewsSettle {
    fn name(&self) -> &'static str {
        "views"
    }

    fn check(&self, scenario: &Scenario, history: &History) -> Vec<Find> {
        if !scenario.fleet.members {
            return Vec::new();
        }
        let of = Of::new(scenario, history);
        let find = |at: Nanos, text: String| Find { checker: self.name().into(), at, text };
        let mut finds: Vec<_> = of
            .wronged()
            .into_iter()
            .map(|(at, by, of)| {
                find(at, format!("node {by} holds node {of} dead, which runs and no fault concerns"))
            })
            .collect();
        let calm = (scenario.calm_s[1] * SECOND as f64) as Nanos;
        let over = over(history);
        if calm >= SETTLED + READ {
            match of.settled() {
                Some(at) if at <= over + SETTLED + READ => {}
                at => {
                    let late =
                        at.map_or("not".to_owned(), |at| format!("only {} s later", (at - over) / SECOND));
                    finds.push(find(over, format!("views have settled {late} after the last fault")));
                }
            }
        }
        finds
    }
}
