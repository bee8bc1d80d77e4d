//! How well it went: service by second, time to recover, what is held, and the storm's own lag.

use serde::{Deserialize, Serialize};

use super::{Checker, Find, requests};
use crate::history::{EventKind, History};
use crate::scenario::Scenario;
use crate::{MS, Nanos, SECOND};

/// Service counts as recovered from the first second on after which it stays at this share of the calm's.
const RECOVERED: f64 = 0.95;
/// Descriptors over the calm's that a node may hold at the end: connections that the pool keeps for a while.
const MORE_DESCRIPTORS: u64 = 64;
/// Memory over the calm's that a node may hold at the end.
const MORE_MEMORY_KIB: u64 = 24 << 10;
/// A relay that is later than this is itself what is slow, and the run says nothing.
pub const MOST_LAG: Nanos = 250 * MS;

/// How well it went.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Requests.
    pub asked: u64,
    /// Share of worth served (a submit is worth ten reads): in the calm before, while faults last, after.
    pub served: [f64; 3],
    /// The least share of worth served over 1 s, 5 s and 10 s.
    pub worst: [f64; 3],
    /// Seconds from the end of the last fault until service is back for good; `None`: it is not.
    pub recovered_s: Option<f64>,
    /// Refused, failed, and without an answer.
    pub refused: u64,
    /// Answered with another status than a refusal's.
    pub failed: u64,
    /// Broken, silent or no connection.
    pub unanswered: u64,
    /// Most lag of the storm's own relay, in microseconds.
    pub lag_us: u64,
    /// How the members' views of each other went, where they have any.
    #[serde(default)]
    pub views: Option<super::Views>,
    /// By second: worth asked and worth served.
    pub by_second: Vec<(f64, f64)>,
}

/// Sums up service.
pub struct Service;

impl Service {
    /// Of a history.
    #[must_use]
    pub fn of(scenario: &Scenario, history: &History) -> Summary {
        let start = history
            .events
            .iter()
            .find(|event| matches!(event.kind, EventKind::RequestStarted { .. }))
            .map_or(0, |event| event.at);
        let mut summary = Summary::default();
        for asked in requests(history) {
            let worth = match asked.class {
                crate::history::RequestClass::Submit => 10.0,
                crate::history::RequestClass::Read => 1.0,
            };
            let second = ((asked.at - start.min(asked.at)) / SECOND) as usize;
            if summary.by_second.len() <= second {
                summary.by_second.resize(second + 1, (0.0, 0.0));
            }
            summary.asked += 1;
            summary.by_second[second].0 += worth;
            match asked.end {
                Some((_, end)) if end.is_served() => summary.by_second[second].1 += worth,
                Some((_, end)) if end.is_rejected() => summary.refused += 1,
                Some((_, crate::history::ClientOutcome::Answered { .. })) => summary.failed += 1,
                _ => summary.unanswered += 1,
            }
        }
        let last = summary.by_second.len();
        let seconds = &summary.by_second;
        let share = |from: usize, to: usize| {
            let part = &seconds[from.min(last)..to.min(last)];
            let asked: f64 = part.iter().map(|(asked, _)| asked).sum();
            if asked > 0.0 { part.iter().map(|(_, served)| served).sum::<f64>() / asked } else { 1.0 }
        };
        let (calm, over) = (scenario.calm_s[0] as usize, scenario.faults_end_s().ceil() as usize);
        let served = [share(0, calm), share(calm, over), share(over, last)];
        let worst = [1, 5, 10].map(|width| {
            (0..=last.saturating_sub(width)).map(|from| share(from, from + width)).fold(1.0, f64::min)
        });
        // Back for good: two seconds and all that come after are as good as the calm, by pairs since one is few requests.
        let back =
            (over..last).rfind(|&at| share(at, at + 2) < RECOVERED * served[0]).map_or(over, |at| at + 1);
        summary.recovered_s = (back + 2 <= last).then(|| (back - over) as f64);
        (summary.served, summary.worst) = (served, worst);
        summary.views = super::views(scenario, history);
        summary.lag_us = lags(history).map(|(_, lag)| lag).max().unwrap_or_default();
        summary
    }
}

fn lags(history: &History) -> impl Iterator<Item = (Nanos, u64)> {
    history.events.iter().filter_map(|event| match event.kind {
        EventKind::HarnessLag { most_us } => Some((event.at, most_us)),
        _ => None,
    })
}

/// What nodes hold goes back to where it was.
pub struct Resources;

impl Checker for Resources {
    fn name(&self) -> &'static str {
        "resources"
    }

    fn check(&self, scenario: &Scenario, history: &History) -> Vec<Find> {
        let mut finds = Vec::new();
        for node in 0..scenario.fleet.nodes {
            let held: Vec<_> = history
                .events
                .iter()
                .filter_map(|event| match event.kind {
                    EventKind::ResourceUsage { node: of, descriptors, memory_kib } if of == node => {
                        Some((event.at, descriptors, memory_kib))
                    }
                    _ => None,
                })
                .collect();
            let start = held.first().map_or(0, |first| first.0);
            let calm = start + (scenario.calm_s[0] * SECOND as f64) as Nanos;
            let before = held.iter().take_while(|(at, ..)| *at <= calm);
            let most = before.fold((0, 0), |most: (u64, u64), held| (most.0.max(held.1), most.1.max(held.2)));
            let Some(&(at, descriptors, memory)) = held.last() else { continue };
            if descriptors > most.0 + MORE_DESCRIPTORS || memory > most.1 + MORE_MEMORY_KIB {
                let text = format!(
                    "node {node} holds {descriptors} descriptors and {memory} KiB at the end, at most {} and {} in the calm",
                    most.0, most.1
                );
                finds.push(Find { checker: self.name().into(), at, text });
            }
        }
        finds
    }
}

/// The storm's own relay was never what was slow.
pub struct Lag;

impl Checker for Lag {
    fn name(&self) -> &'static str {
        "lag"
    }

    fn check(&self, _: &Scenario, history: &History) -> Vec<Find> {
        let over = lags(history).filter(|(_, lag)| lag * 1_000 > MOST_LAG);
        let text = |lag: u64| format!("VOID: the storm's own relay was {} ms late", lag / 1_000);
        over.map(|(at, lag)| Find { checker: self.name().into(), at, text: text(lag) }).collect()
    }
}
