//! Settings of the decision module. All durations are in nanoseconds.

use thiserror::Error;

use crate::ids::ZoneId;
use crate::tenant_shares::TenantShares;
use crate::time::Nanos;

/// Which endpoints discard a repeated request with the same idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All endpoints of the pool.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// Whether a request may be sent more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may: further executions have no effect.
    Idempotent,
    /// It may, with the same key, within `scope` and for `window` after the first attempt that may have
    /// executed.
    IdempotencyKey {
        /// The endpoints that discard repeats.
        scope: DedupScope,
        /// How long they do so, in nanoseconds.
        window: Nanos,
    },
    /// It may not: a second execution would take effect again.
    NotIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// A response within this time counts in full.
    pub latency_objective: Nanos,
    /// The objective grows by this multiple of the request's cost hint.
    pub objective_per_work: f64,
    /// How long a client waits over all its retries.
    pub deadline: Nanos,
    /// Weight of one request in the choice of its priority tier; not negative.
    pub priority_weight: f64,
    /// Share of the weight that a response after the objective keeps, 0 to 1.
    pub late_weight: f64,
    /// Whether its requests may be sent more than once.
    pub idempotency: Idempotency,
    /// Requests with the same key run one at a time, in the order of their arrival at this node.
    pub ordered_by_key: bool,
}

/// A tenant and its share.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Fraction of the capacity, 0 to 1.
    pub share: f64,
    /// Requests a second, over all nodes, that are always within its share.
    pub allowance_per_s: f64,
}

/// How a node learns of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Updates arrive by themselves.
    Push,
    /// Updates arrive after [`Action::Subscribe`](crate::Action::Subscribe).
    Poll,
}

/// What a [`Balancer`](crate::Balancer) is configured with. Durations are in nanoseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Index of this node, from 0 to one less than [`Settings::node_count`].
    pub node_index: u32,
    /// How many nodes there are.
    pub node_count: u32,
    /// Zone of this node.
    pub zone: ZoneId,
    /// How many zones there are.
    pub zone_count: u16,
    /// The classes of requests, at least one.
    pub classes: Vec<Class>,
    /// The tenants, possibly none; shared between all pools of a node.
    pub tenants: TenantShares,
    /// Factor on the priority weight of requests beyond their tenant's share, 0 to 1.
    pub over_share_weight: f64,
    /// Priority weights are per unit of work, not per request.
    pub weight_by_work: bool,
    /// How updates of the endpoints arrive.
    pub discovery: Discovery,
    /// Least time between two batches of events: the resolution of timers.
    pub tick: Nanos,
    /// Most attempts for one request, the first included.
    pub max_attempts: u32,
    /// Two attempts of a request may be in flight at once (hedging).
    pub concurrent_attempts: bool,
    /// [`Action::CancelAttempt`](crate::Action::CancelAttempt) may be used.
    pub cancellation: bool,
    /// Rejections say when to retry.
    pub retry_after: bool,
    /// Longest such delay that clients follow.
    pub max_retry_after: Nanos,
    /// Open connections or new ones cost the endpoints capacity.
    pub connections_have_cost: bool,
    /// Cost of an attempt to another zone, as a fraction of a request.
    pub cross_zone_cost: f64,
    /// Weights of endpoints are relative capacities.
    pub weight_is_capacity: bool,
    /// Nodes may send each other load reports ([`Action::SendLoadReport`](crate::Action::SendLoadReport)).
    pub load_reports: bool,
    /// Cost of a report of 256 bytes to one node, as a fraction of a request.
    pub load_report_cost: f64,
    /// A node without a watch must poll discovery this often.
    pub poll_interval: Nanos,
    /// Attempts to a draining or removed endpoint must have ceased this long after the node was notified.
    pub drain_grace: Nanos,
    /// Slow start: fraction of its capacity that an endpoint has when it starts.
    pub warmup_initial_fraction: f64,
    /// Slow start: time from an endpoint's start until it has its full capacity.
    pub warmup_duration: Nanos,
    /// Multiple of its present capacity at which an endpoint in slow start collapses ...
    pub overload_multiple: f64,
    /// ... when it is sustained for this long.
    pub overload_duration: Nanos,
    /// An attempt that an endpoint rejected may have executed all the same.
    pub rejection_may_execute: bool,
    /// Pause for a key after an attempt that may still execute, for classes that are ordered by key.
    pub key_cooldown: Nanos,
    /// How long an idle connection to a draining endpoint may stay open; `None` is without limit.
    pub drain_idle_close: Option<Nanos>,
}

/// Why settings can't be used.
#[derive(Debug, Error, PartialEq)]
pub enum SettingsError {
    /// No class of requests.
    #[error("settings name no class of requests")]
    NoClass,
    /// A value outside of its range; the name of the setting.
    #[error("settings: `{0}` is out of range")]
    OutOfRange(&'static str),
}

impl Settings {
    /// The delay that rejections ask clients to keep, well within what they follow; `None` where none may be
    /// given.
    #[must_use]
    pub fn retry_after_hint(&self) -> Option<Nanos> {
        self.retry_after.then_some(self.max_retry_after / 4)
    }

    /// Checks that the values can be used together.
    ///
    /// # Errors
    /// The first value that is missing, out of range or not finite.
    pub fn check(&self) -> Result<(), SettingsError> {
        require(!self.classes.is_empty(), SettingsError::NoClass)?;
        in_range(self.node_count > 0, "number of nodes")?;
        in_range(self.zone.0 < self.zone_count.max(1), "zone")?;
        in_range(is_fraction(self.over_share_weight), "over-share worth")?;
        in_range(is_fraction(self.warmup_initial_fraction), "cold share")?;
        in_range(is_amount(self.overload_multiple) && self.overload_multiple > 0.0, "fall multiple")?;
        in_range(is_amount(self.load_report_cost), "price of notes")?;
        in_range(is_amount(self.cross_zone_cost), "price of crossing zones")?;
        in_range(self.max_attempts > 0, "attempts")?;
        self.classes.iter().try_for_each(Class::check)?;
        in_range(self.tenants.is_sound(), "tenant share")
    }
}

impl Class {
    fn check(&self) -> Result<(), SettingsError> {
        in_range(is_amount(self.priority_weight), "worth")?;
        in_range(is_fraction(self.late_weight), "late worth")?;
        in_range(is_amount(self.objective_per_work), "aim stretch")?;
        in_range(self.latency_objective > 0 && self.deadline > 0, "aim or deadline")
    }
}

fn require(holds: bool, error: SettingsError) -> Result<(), SettingsError> {
    if holds { Ok(()) } else { Err(error) }
}

/// An error that names a setting, by its key's words in files, unless the value is in range.
fn in_range(holds: bool, setting: &'static str) -> Result<(), SettingsError> {
    require(holds, SettingsError::OutOfRange(setting))
}

fn is_fraction(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

/// Whether a value is finite and not negative.
fn is_amount(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}
