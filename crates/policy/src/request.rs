//! A request that has no final answer yet or still has attempts in flight.

use crate::priority::PriorityTier;
use crate::request_queue::QueueEntry;
use crate::{CellId, ClassId, EndpointId, Nanos, ZoneId};

/// What is known of an attempt's execution.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Execution {
    /// The attempt has not ended.
    InFlight,
    /// It is proven that the attempt was not executed.
    NotExecuted,
    /// The attempt has ended and may have been executed.
    MaybeExecuted,
}

/// An attempt at a request.
#[derive(Clone)]
pub(crate) struct Attempt {
    pub endpoint: EndpointId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub sent_at: Nanos,
    pub execution: Execution,
}

/// A request and its attempts.
pub(crate) struct Request {
    pub class: ClassId,
    /// The class's weight, reduced if the tenant is over its share.
    pub priority_weight: f64,
    pub tier: PriorityTier,
    /// Work relative to the class's mean; 1 without a cost hint.
    pub relative_cost: f64,
    /// A response after this is late.
    pub objective_deadline: Nanos,
    /// The client stops waiting.
    pub deadline: Nanos,
    /// In the order in which they started.
    pub attempts: Vec<Attempt>,
    /// Number of attempts in flight.
    pub in_flight: usize,
    /// Its entry in the queue while it is queued.
    pub queued: Option<QueueEntry>,
    /// It has its final answer or needs none.
    pub done: bool,
    /// Its key, if its class is ordered by key.
    pub key: Option<u64>,
}

impl Request {
    /// The first attempt that may have executed; one in flight counts.
    pub fn first_maybe_executed(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.execution != Execution::NotExecuted)
    }
}
