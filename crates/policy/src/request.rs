//! A request that has no final answer yet, or that has attempts in flight.

use crate::priority::PriorityTier;
use crate::request_queue::QueueEntry;
use crate::{CellId, ClassId, EndpointId, Nanos, ZoneId};

/// What is known about the execution of an attempt.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Execution {
    /// The attempt has not ended.
    InFlight,
    /// The attempt has provably not been executed.
    NotExecuted,
    /// The attempt has ended and may have been executed.
    MaybeExecuted,
}

/// An attempt of a request.
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
    /// Cost relative to the class's mean; 1 without a cost hint.
    pub relative_cost: f64,
    /// Time after which a response is late.
    pub objective_deadline: Nanos,
    /// Time at which the client stops waiting.
    pub deadline: Nanos,
    /// In order of start.
    pub attempts: Vec<Attempt>,
    /// Number of attempts in flight.
    pub in_flight: usize,
    /// Its queue entry while it is queued.
    pub queued: Option<QueueEntry>,
    /// Whether it has its final answer or needs none.
    pub done: bool,
    /// Its key, if its class is ordered by key.
    pub key: Option<u64>,
}

impl Request {
    /// Returns the first attempt that may have executed; attempts in flight count.
    pub fn first_maybe_executed(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.execution != Execution::NotExecuted)
    }
}
