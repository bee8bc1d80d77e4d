//! What a recording is made of besides events: plain types that the recorder fills and files hold.

use pumicehead_policy::Nanos;

use crate::bounded_text::BoundedName;
use crate::event::PoolId;
use crate::loss_cause::LossCause;

/// What a pool's classes are.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassInfo {
    /// Its name.
    pub name: String,
    /// Answers within this earn all.
    pub latency_objective: Nanos,
    /// Clients wait so long.
    pub deadline: Nanos,
    /// What a request is worth.
    pub priority_weight: f64,
    /// The share of it that a late answer earns.
    pub late_weight: f64,
}

/// A request's story as it is kept.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestTimeline {
    /// Its pool.
    pub pool: PoolId,
    /// Its class, by its place in the pool.
    pub class: u16,
    /// What its client calls it.
    pub name: BoundedName,
    /// When it ended.
    pub ended_at: Nanos,
    /// What its loss was put down to, if it had one.
    pub cause: Option<LossCause>,
    /// Its events as a page, to be read by [`crate::event_ring::records`].
    pub encoded_events: Box<[u8]>,
    /// Some events did not fit.
    pub truncated: bool,
}
