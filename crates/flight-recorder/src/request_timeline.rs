//! Request classes and timelines, as the recorder keeps them.

use pumicehead_policy::Nanos;

use crate::bounded_text::BoundedName;
use crate::event::PoolId;
use crate::loss_cause::LossCause;

/// A request class of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassInfo {
    /// Its name.
    pub name: String,
    /// Latency objective: responses within it earn the whole weight.
    pub latency_objective: Nanos,
    /// How long clients wait.
    pub deadline: Nanos,
    /// Weight of a request.
    pub priority_weight: f64,
    /// Share of the weight that a late response earns.
    pub late_weight: f64,
}

/// All events of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestTimeline {
    /// Its pool.
    pub pool: PoolId,
    /// Index of its class in the pool.
    pub class: u16,
    /// The request id that its client gave it.
    pub name: BoundedName,
    /// When it ended, or the time of the recording if it has not.
    pub ended_at: Nanos,
    /// Cause of its loss, if it had one.
    pub cause: Option<LossCause>,
    /// Its events as a page for [`crate::event_ring::decode_records`].
    pub encoded_events: Box<[u8]>,
    /// Whether some events did not fit.
    pub truncated: bool,
}
