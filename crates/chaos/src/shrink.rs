//! Shrinks a failing scenario: faults are removed, then weakened, while the scenario still fails. Runs are not deterministic,
//! so the caller runs each candidate several times; this module only selects the next candidate and does no I/O.

use crate::fault_kind::{Fault, FaultKind};
use crate::link::LinkConditions;
use crate::scenario::Scenario;

/// Shortest duration of a fault, in seconds: a shorter one could fall between two samples of the run.
const MIN_FAULT_DURATION_S: f64 = 0.5;
/// Latencies under this many milliseconds are set to 0 instead of halved.
const MIN_LATENCY_MS: f64 = 1.0;
/// Loss shares under this value are set to 0 instead of halved.
const MIN_LOSS: f64 = 0.01;
/// Factors of load bursts are not reduced to this value or less.
const MIN_BURST_FACTOR: f64 = 1.1;

/// Greedy search for the smallest scenario that still fails.
#[derive(Clone, Debug)]
pub struct Shrinker {
    smallest: Scenario,
    /// Candidates not tried yet, each smaller than `smallest`; the last one is tried next.
    candidates: Vec<Scenario>,
    tried: usize,
}

impl Shrinker {
    /// Starts the search at a scenario that fails.
    #[must_use]
    pub fn new(failing: Scenario) -> Self {
        let candidates = smaller_scenarios(&failing);
        Self { smallest: failing, candidates, tried: 0 }
    }

    /// Returns the scenario to run next; `None` if no candidate is left.
    pub fn next_candidate(&mut self) -> Option<Scenario> {
        let candidate = self.candidates.last().cloned();
        self.tried += usize::from(candidate.is_some());
        candidate
    }

    /// Records whether the last candidate still fails.
    pub fn record_result(&mut self, fails: bool) {
        let Some(candidate) = self.candidates.pop() else { return };
        if fails {
            self.candidates = smaller_scenarios(&candidate);
            self.smallest = candidate;
        }
    }

    /// Returns the smallest scenario that is known to fail.
    #[must_use]
    pub fn smallest(&self) -> &Scenario {
        &self.smallest
    }

    /// Returns the number of candidates returned so far.
    #[must_use]
    pub fn tried(&self) -> usize {
        self.tried
    }
}

/// Returns smaller scenarios. Those with a fault removed come last, so that they are tried first.
fn smaller_scenarios(scenario: &Scenario) -> Vec<Scenario> {
    let mut smaller = Vec::new();
    for (index, fault) in scenario.faults.iter().enumerate() {
        for weaker in weaker_faults(fault) {
            let mut candidate = scenario.clone();
            candidate.faults[index] = weaker;
            smaller.push(candidate);
        }
    }
    if scenario.faults.len() > 1 {
        smaller.extend((0..scenario.faults.len()).map(|index| {
            let mut candidate = scenario.clone();
            candidate.faults.remove(index);
            candidate
        }));
    }
    smaller.retain(|candidate| candidate.validate().is_ok() && candidate != scenario);
    smaller
}

/// Returns weaker forms of a fault: with half the duration, then with a weaker kind.
fn weaker_faults(fault: &Fault) -> Vec<Fault> {
    let mut weaker = Vec::new();
    if fault.duration_s / 2.0 >= MIN_FAULT_DURATION_S {
        weaker.push(Fault { duration_s: fault.duration_s / 2.0, ..fault.clone() });
    }
    let mut kind = fault.kind.clone();
    if weaken(&mut kind) {
        weaker.push(Fault { kind, ..fault.clone() });
    }
    weaker
}

/// Weakens a fault by halving its targets, its conditions or its factor, or by removing a group; returns whether that was
/// possible.
fn weaken(kind: &mut FaultKind) -> bool {
    match kind {
        FaultKind::Kill { nodes: targets, .. }
        | FaultKind::DiskFull { nodes: targets }
        | FaultKind::WriteRecording { nodes: targets }
        | FaultKind::RollingRestart { nodes: targets }
        | FaultKind::Terminate { nodes: targets }
        | FaultKind::ConnectionFlood { nodes: targets, .. }
        | FaultKind::CrashLoop { nodes: targets, .. }
        | FaultKind::Pause { nodes: targets }
        | FaultKind::Throttle { nodes: targets, .. }
        | FaultKind::EndpointPause { endpoints: targets }
        | FaultKind::EndpointKill { endpoints: targets }
        | FaultKind::EndpointSlow { endpoints: targets, .. }
        | FaultKind::EndpointMisbehave { endpoints: targets, .. }
        | FaultKind::EndpointBursts { endpoints: targets }
        | FaultKind::EndpointDrain { endpoints: targets } => halve_targets(targets),
        FaultKind::Link { forward, reverse, .. } => {
            let forward_changed = weaken_conditions(forward);
            let reverse_changed = weaken_conditions(reverse);
            forward_changed || reverse_changed
        }
        FaultKind::Partition { groups } => groups.len() > 2 && groups.pop().is_some(),
        FaultKind::LoadBurst { factor } => {
            *factor = 1.0 + (*factor - 1.0) / 2.0;
            *factor > MIN_BURST_FACTOR
        }
    }
}

fn weaken_conditions(conditions: &mut LinkConditions) -> bool {
    let before = conditions.clone();
    conditions.latency_ms = halve_or_zero(conditions.latency_ms, MIN_LATENCY_MS);
    conditions.loss = halve_or_zero(conditions.loss, MIN_LOSS);
    *conditions != before
}

fn halve_or_zero(value: f64, min: f64) -> f64 {
    if value < min { 0.0 } else { value / 2.0 }
}

fn halve_targets(targets: &mut Vec<usize>) -> bool {
    let before = targets.len();
    targets.truncate(before.div_ceil(2));
    targets.len() < before
}
