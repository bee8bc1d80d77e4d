//! Events of the simulation, ordered by the time they are due.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use pumicehead_policy::{AttemptOutcome, Nanos};

use super::server::Job;

/// Outcomes of attempts that the simulation produces; an [`OutcomeCode`] is an index.
const OUTCOMES: [AttemptOutcome; 6] = [
    AttemptOutcome::Success,
    AttemptOutcome::Error,
    AttemptOutcome::Rejected,
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::TimedOut,
    AttemptOutcome::Cancelled,
];

/// An attempt's outcome in a form that can be ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct OutcomeCode(u8);

impl From<AttemptOutcome> for OutcomeCode {
    fn from(outcome: AttemptOutcome) -> Self {
        Self(OUTCOMES.iter().position(|known| *known == outcome).unwrap_or(1) as u8)
    }
}

impl From<OutcomeCode> for AttemptOutcome {
    fn from(code: OutcomeCode) -> Self {
        OUTCOMES[usize::from(code.0)]
    }
}

/// An event of the simulation. `node`, `server` and `planner` are indexes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ScheduledEvent {
    /// A request arrives at some node.
    RequestArrives,
    /// An attempt reaches its server.
    AttemptReaches { job: Job, server: usize },
    /// A server completes a job.
    JobCompletes { server: usize, job: u64 },
    /// An attempt's outcome reaches its node.
    AttemptEnds { job: Job, outcome: OutcomeCode },
    /// A timer of a decision module.
    TimerFires { node: usize, token: u64 },
    /// The time by which a request must have a final answer.
    AnswerOverdue { node: usize, id: u32 },
    /// A load report reaches another node.
    LoadReportArrives { to: usize, from: usize, report: usize },
    /// A change of a server reaches a node.
    EndpointUpdateArrives { node: usize, server: usize },
    /// A node reports to a planner.
    ReportDue { node: usize, planner: usize },
    /// A node's report reaches a planner.
    ReportArrives { node: usize, planner: usize, message: usize },
    /// A planner's plan reaches a node.
    PlanArrives { node: usize, planner: usize, message: usize },
    /// A second of the counters ends.
    SecondEnds,
}

/// Scheduled events; those of the same time come in the order in which they were scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<(Nanos, u64, ScheduledEvent)>>,
    scheduled: u64,
}

impl EventQueue {
    pub(super) fn schedule(&mut self, at: Nanos, event: ScheduledEvent) {
        self.scheduled += 1;
        self.heap.push(Reverse((at, self.scheduled, event)));
    }

    /// Removes and returns the next event where it is due at or before `until`.
    pub(super) fn pop_until(&mut self, until: Nanos) -> Option<(Nanos, ScheduledEvent)> {
        self.heap.peek().filter(|Reverse((at, ..))| *at <= until)?;
        self.heap.pop().map(|Reverse((at, _, event))| (at, event))
    }
}
