//! Checks that the event loop of the run itself is not late: otherwise its results say nothing about the proxy.

use super::{Checker, Violation};
use crate::history::{EventKind, History};
use crate::scenario::Scenario;
use crate::{MS, Nanos};

/// Name of the checker whose violations make a run void.
pub const HARNESS_LAG_CHECKER: &str = "lag";
/// Largest allowed lateness of the run's own event loop; a run with more is void.
pub const MAX_HARNESS_LAG: Nanos = 250 * MS;

/// The run's own links and clients are never later than [`MAX_HARNESS_LAG`].
pub struct HarnessOnTime;

/// A sample of the run's largest lateness since the sample before.
struct Lag {
    at: Nanos,
    max_us: u64,
}

fn lags(history: &History) -> impl Iterator<Item = Lag> {
    history.events.iter().filter_map(|event| match event.kind {
        EventKind::HarnessLag { max_us } => Some(Lag { at: event.at, max_us }),
        _ => None,
    })
}

/// Returns the largest lateness of the run, in microseconds.
pub(super) fn max_lag_us(history: &History) -> u64 {
    lags(history).map(|lag| lag.max_us).max().unwrap_or_default()
}

/// Returns whether a run is void: the machine was too busy for the run itself.
#[must_use]
pub fn is_void(violations: &[Violation]) -> bool {
    violations.iter().any(|violation| violation.checker == HARNESS_LAG_CHECKER)
}

impl Checker for HarnessOnTime {
    fn name(&self) -> &'static str {
        HARNESS_LAG_CHECKER
    }

    fn check(&self, _: &Scenario, history: &History) -> Vec<Violation> {
        let text = |lag: &Lag| format!("VOID: the event loop of the run was {} ms late", lag.max_us / 1_000);
        lags(history)
            .filter(|lag| lag.max_us * 1_000 > MAX_HARNESS_LAG)
            .map(|lag| self.violation(lag.at, text(&lag)))
            .collect()
    }
}
