//! Checks that nodes that run and can be reached are not considered dead, and that the views of all nodes converge.

use serde::{Deserialize, Serialize};

use super::membership_history::{DetectionTimes, FAULT_AFTERMATH, MembershipHistory};
use super::{Checker, Violation};
use crate::history::History;
use crate::scenario::Scenario;
use crate::{Nanos, SECOND};

/// Time after the last fault within which views must converge. Convergence is not checked in runs whose fault-free time at
/// the end is shorter than this and [`POLL_DELAY`] together.
pub const CONVERGENCE_LIMIT: Nanos = FAULT_AFTERMATH;
/// Longest time between a change of a view and the poll that reads it.
const POLL_DELAY: Nanos = SECOND;

/// Summary of failure detection and convergence in the nodes' membership views.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MembershipSummary {
    /// Seconds from the first kill until the first other node considers all killed nodes dead, and until all others do.
    #[serde(rename = "found_s")]
    pub detected_s: Option<(f64, f64)>,
    /// Seconds from the end of the last fault until all views are equal and stay so, with all running nodes alive in them.
    #[serde(rename = "settled_s")]
    pub converged_s: Option<f64>,
    /// How often a node was newly considered dead although it ran and no fault affected it or the observer.
    #[serde(rename = "wronged")]
    pub false_positives: u64,
}

/// Summarizes the membership views of a run; `None` without membership.
#[must_use]
pub fn membership_summary(scenario: &Scenario, history: &History) -> Option<MembershipSummary> {
    if !scenario.fleet.membership {
        return None;
    }
    let membership = MembershipHistory::new(scenario, history);
    let seconds = |span: Nanos| span as f64 / SECOND as f64;
    let detected = |times: DetectionTimes| (seconds(times.first), seconds(times.last));
    let faults_end = membership.faults_end();
    Some(MembershipSummary {
        detected_s: membership.detection_times(scenario).map(detected),
        converged_s: membership.converged_since().map(|at| seconds(at.saturating_sub(faults_end))),
        false_positives: membership.false_positives().len() as u64,
    })
}

/// No node is wrongly considered dead, and views converge after the last fault.
pub struct MembershipConverges;

impl Checker for MembershipConverges {
    fn name(&self) -> &'static str {
        "views"
    }

    fn check(&self, scenario: &Scenario, history: &History) -> Vec<Violation> {
        if !scenario.fleet.membership {
            return Vec::new();
        }
        let membership = MembershipHistory::new(scenario, history);
        let mut violations: Vec<_> = membership
            .false_positives()
            .into_iter()
            .map(|found| {
                let text = format!(
                    "node {} considers node {} dead, which runs and is not affected by a fault",
                    found.observer, found.subject
                );
                self.violation(found.at, text)
            })
            .collect();
        let fault_free_at_end = (scenario.fault_free_s[1] * SECOND as f64) as Nanos;
        if fault_free_at_end >= CONVERGENCE_LIMIT + POLL_DELAY {
            violations.extend(self.late_convergence(&membership));
        }
        violations
    }
}

impl MembershipConverges {
    fn late_convergence(&self, membership: &MembershipHistory) -> Option<Violation> {
        let faults_end = membership.faults_end();
        let text = match membership.converged_since() {
            Some(at) if at <= faults_end + CONVERGENCE_LIMIT + POLL_DELAY => return None,
            Some(at) => {
                format!("views converged only {} s after the last fault", (at - faults_end) / SECOND)
            }
            None => "views did not converge after the last fault".to_owned(),
        };
        Some(self.violation(faults_end, text))
    }
}
