//! Checkers: each reads a history and reports violations of one rule. They depend on the rules alone, not on the proxy's code.

mod begun_responses;
mod completion;
mod crashes;
mod drains;
mod execution;
mod exemptions;
mod harness_lag;
mod membership;
mod membership_history;
mod recordings;
mod requests;
mod resources;
mod service;
mod slow_start;
mod terminations;

use serde::{Deserialize, Serialize};

pub use begun_responses::BegunResponsesArrive;
pub use completion::EveryRequestAnswered;
pub use crashes::NoCrashes;
pub use drains::DrainsRespected;
pub use execution::AtMostOnceExecution;
pub use harness_lag::{HARNESS_LAG_CHECKER, HarnessOnTime, MAX_HARNESS_LAG, is_void};
pub use membership::{MembershipConverges, MembershipSummary, membership_summary};
pub use recordings::RecordingsReadable;
pub(crate) use requests::client_requests;
pub use resources::ResourcesReleased;
pub use service::{SecondOfService, ServiceSummary};
pub use slow_start::{OVERLOAD_MULTIPLE, OVERLOAD_SPAN, SlowStartRespected};
pub use terminations::TerminatedNodesAnswer;

use crate::Nanos;
use crate::history::History;
use crate::scenario::Scenario;

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    /// Name of the checker that found it.
    pub checker: String,
    /// Nanoseconds since the start of the run.
    pub at: Nanos,
    /// Human-readable description.
    pub text: String,
}

/// A checker of one rule.
pub trait Checker {
    /// Returns the checker's name, which its violations carry.
    fn name(&self) -> &'static str;

    /// Returns all violations of the rule.
    fn check(&self, scenario: &Scenario, history: &History) -> Vec<Violation>;

    /// Creates a violation with the name of this checker.
    fn violation(&self, at: Nanos, text: String) -> Violation {
        Violation { checker: self.name().into(), at, text }
    }
}

/// Returns all checkers; a run fails if any of them reports a violation.
#[must_use]
pub fn all_checkers() -> Vec<Box<dyn Checker>> {
    vec![
        Box::new(EveryRequestAnswered),
        Box::new(BegunResponsesArrive),
        Box::new(TerminatedNodesAnswer),
        Box::new(AtMostOnceExecution),
        Box::new(DrainsRespected),
        Box::new(SlowStartRespected),
        Box::new(NoCrashes),
        Box::new(RecordingsReadable),
        Box::new(ResourcesReleased),
        Box::new(MembershipConverges),
        Box::new(HarnessOnTime),
    ]
}

/// Runs all checkers and returns the violations, ascending by time.
#[must_use]
pub fn find_violations(scenario: &Scenario, history: &History) -> Vec<Violation> {
    let checkers = all_checkers();
    let mut violations: Vec<_> =
        checkers.iter().flat_map(|checker| checker.check(scenario, history)).collect();
    violations.sort_by_key(|violation| violation.at);
    violations
}
