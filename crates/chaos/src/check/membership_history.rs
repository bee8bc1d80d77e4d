//! States of nodes and their membership views over the course of a run.

use std::collections::BTreeMap;

use super::exemptions::TimeSpan;
use crate::fault_kind::{Fault, FaultKind, LinkSide};
use crate::history::{EventKind, History, MemberState, ProcessState};
use crate::scenario::Scenario;
use crate::{Nanos, SECOND};

/// Time after the end of a fault for which it may still show in views.
pub(super) const FAULT_AFTERMATH: Nanos = 10 * SECOND;

/// A node that another node wrongly considers dead.
pub(super) struct FalsePositive {
    /// When it was newly considered dead.
    pub at: Nanos,
    /// The node whose view it is.
    pub observer: usize,
    /// The node that is considered dead.
    pub subject: usize,
}

/// Times from a failure to its detection.
pub(super) struct DetectionTimes {
    /// Until the first node detected it.
    pub first: Nanos,
    /// Until all nodes had detected it.
    pub last: Nanos,
}

/// A change of whether a process runs.
struct RunChange {
    at: Nanos,
    runs: bool,
}

/// The latest view of a node.
struct View<'a> {
    fingerprint: &'a str,
    members: &'a BTreeMap<usize, MemberState>,
}

/// The processes of nodes, the faults that affect them, and their views.
pub(super) struct MembershipHistory<'a> {
    history: &'a History,
    run_changes: Vec<Vec<RunChange>>,
    fault_spans: Vec<Vec<TimeSpan>>,
}

impl<'a> MembershipHistory<'a> {
    /// Collects process changes and fault spans from a history.
    pub fn new(scenario: &Scenario, history: &'a History) -> Self {
        let nodes = 0..scenario.fleet.nodes;
        Self {
            history,
            run_changes: nodes.clone().map(|node| run_changes(history, node)).collect(),
            fault_spans: nodes.map(|node| fault_spans(scenario, history, node)).collect(),
        }
    }

    /// Returns when the last fault ended; 0 if no fault ended.
    pub fn faults_end(&self) -> Nanos {
        let ended =
            |event: &&crate::history::Event| matches!(event.kind, EventKind::Fault { begins: false, .. });
        self.history.events.iter().filter(ended).map(|event| event.at).max().unwrap_or_default()
    }

    /// Returns whether a node ran throughout the last [`FAULT_AFTERMATH`] before `at`, and no fault affects it or may still show
    /// at `at`.
    fn is_unaffected(&self, node: usize, at: Nanos) -> bool {
        let recent = TimeSpan { from: at.saturating_sub(FAULT_AFTERMATH), to: at };
        runs_throughout(&self.run_changes[node], recent)
            && !self.fault_spans[node].iter().any(|span| span.contains(at))
    }

    /// Returns the nodes that were newly considered dead while no fault affected them or the observer.
    pub fn false_positives(&self) -> Vec<FalsePositive> {
        let nodes = self.run_changes.len();
        let mut last: BTreeMap<(usize, usize), MemberState> = BTreeMap::new();
        let mut found = Vec::new();
        for event in &self.history.events {
            let EventKind::MembershipView { node: observer, members, .. } = &event.kind else { continue };
            for (&subject, &state) in members {
                let before = last.insert((*observer, subject), state);
                let newly_dead = state == MemberState::Dead && before != Some(MemberState::Dead);
                let known = subject < nodes && *observer < nodes;
                if newly_dead
                    && known
                    && self.is_unaffected(subject, event.at)
                    && self.is_unaffected(*observer, event.at)
                {
                    found.push(FalsePositive { at: event.at, observer: *observer, subject });
                }
            }
        }
        found
    }

    /// Returns since when all views have been converged without a break until the end; `None` if they are not at the end.
    pub fn converged_since(&self) -> Option<Nanos> {
        let mut views: BTreeMap<usize, View> = BTreeMap::new();
        let mut running: BTreeMap<usize, bool> = BTreeMap::new();
        let mut since = None;
        for event in &self.history.events {
            match &event.kind {
                EventKind::NodeState { node, state } => {
                    running.insert(*node, state.is_running());
                    if *state == ProcessState::Running {
                        views.remove(node);
                    }
                }
                EventKind::MembershipView { node, fingerprint, members } => {
                    views.insert(*node, View { fingerprint, members });
                }
                _ => continue,
            }
            let converged = are_converged(&running, &views);
            since = if converged { since.or(Some(event.at)) } else { None };
        }
        since
    }

    /// Returns how long the other nodes took to consider all nodes of the first kill dead; `None` without a kill, or if not all
    /// of them did.
    pub fn detection_times(&self, scenario: &Scenario) -> Option<DetectionTimes> {
        let is_kill = |fault: &Fault| matches!(fault.kind, FaultKind::Kill { .. });
        let index = scenario.faults.iter().position(is_kill)?;
        let killed = scenario.faults[index].kind.nodes();
        let killed_at = self.history.events.iter().find_map(|event| match event.kind {
            EventKind::Fault { index: event_index, begins: true, .. } if event_index == index => {
                Some(event.at)
            }
            _ => None,
        })?;
        let mut detected: BTreeMap<usize, Nanos> = BTreeMap::new();
        for event in &self.history.events {
            let EventKind::MembershipView { node, members, .. } = &event.kind else { continue };
            let all_dead = killed.iter().all(|subject| members.get(subject) == Some(&MemberState::Dead));
            if event.at >= killed_at && all_dead && !killed.contains(node) {
                detected.entry(*node).or_insert(event.at);
            }
        }
        let others = (0..self.run_changes.len()).filter(|node| !killed.contains(node)).count();
        let (first, last) = (detected.values().min()?, detected.values().max()?);
        let times = DetectionTimes { first: first - killed_at, last: last - killed_at };
        (detected.len() == others).then_some(times)
    }
}

/// Returns whether the views of all running nodes are equal, with all running nodes alive in them.
fn are_converged(running: &BTreeMap<usize, bool>, views: &BTreeMap<usize, View>) -> bool {
    let live: Vec<_> = running.iter().filter(|(_, runs)| **runs).map(|(node, _)| *node).collect();
    let first = live.first().and_then(|node| views.get(node)).map(|view| view.fingerprint);
    live.iter().all(|node| {
        views.get(node).is_some_and(|view| {
            let is_alive = |subject| view.members.get(subject) == Some(&MemberState::Alive);
            Some(view.fingerprint) == first && live.iter().all(is_alive)
        })
    })
}

/// Returns all changes of whether a node runs, from "not running" at time 0 on.
fn run_changes(history: &History, node: usize) -> Vec<RunChange> {
    let change = |event: &crate::history::Event| match event.kind {
        EventKind::NodeState { node: event_node, state } if event_node == node => {
            Some(RunChange { at: event.at, runs: state.is_running() })
        }
        _ => None,
    };
    let mut changes = vec![RunChange { at: 0, runs: false }];
    changes.extend(history.events.iter().filter_map(change));
    changes
}

fn runs_throughout(changes: &[RunChange], span: TimeSpan) -> bool {
    let next = changes.partition_point(|change| change.at <= span.from);
    let ran_at_start = changes[..next].last().is_some_and(|change| change.runs);
    ran_at_start && changes[next..].iter().take_while(|change| change.at <= span.to).all(|change| change.runs)
}

/// Returns whether a fault may change a node's view, or how others see the node.
fn affects_membership(fault: &Fault, node: usize) -> bool {
    let contains = |side: &LinkSide| matches!(side, LinkSide::Nodes(nodes) if nodes.contains(&node));
    match &fault.kind {
        FaultKind::Link { from: from @ LinkSide::Nodes(_), to: to @ LinkSide::Nodes(_), .. } => {
            contains(from) || contains(to)
        }
        FaultKind::Link { .. } => false,
        FaultKind::Partition { groups } => groups.iter().any(|group| group.contains(&node)),
        kind => kind.nodes().contains(&node),
    }
}

/// Returns the spans in which a fault affects a node's membership, each extended by [`FAULT_AFTERMATH`].
fn fault_spans(scenario: &Scenario, history: &History, node: usize) -> Vec<TimeSpan> {
    let mut active = BTreeMap::new();
    let mut spans = Vec::new();
    for event in &history.events {
        let EventKind::Fault { index, begins, .. } = event.kind else { continue };
        if !scenario.faults.get(index).is_some_and(|fault| affects_membership(fault, node)) {
            continue;
        }
        if begins {
            active.insert(index, event.at);
        } else {
            let span = |from| TimeSpan { from, to: event.at + FAULT_AFTERMATH };
            spans.extend(active.remove(&index).map(span));
        }
    }
    spans.extend(active.into_values().map(|from| TimeSpan { from, to: Nanos::MAX }));
    spans
}
