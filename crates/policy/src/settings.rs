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
    /// Yes: further executions have no effect.
    Idempotent,
    /// Yes, with the same key, within `scope` and for `window` after the first attempt that may have
    /// executed.
    IdempotencyKey {
        /// The endpoints that discard repeated requests.
        scope: DedupScope,
        /// How long they do so.
        window: Nanos,
    },
    /// No: a second execution would take effect again.
    NotIdempotent,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// A response within this time has its full value.
    pub latency_objective: Nanos,
    /// The objective is extended by this multiple of the request's cost hint.
    pub objective_per_work: f64,
    /// How long a client waits, including all its retries.
    pub deadline: Nanos,
    /// Weight of a request when its priority tier is chosen; not negative.
    pub priority_weight: f64,
    /// Fraction of the weight that a response after the objective keeps, 0 to 1.
    pub late_weight: f64,
    /// Whether its requests may be sent more than once.
    pub idempotency: Idempotency,
    /// Whether requests with the same key run one at a time, in the order of their arrival at this node.
    pub ordered_by_key: bool,
}

/// A tenant and its share.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Fraction of the capacity, 0 to 1.
    pub share: f64,
    /// Requests per second, over all nodes, that are always within its share.
    pub allowance_per_s: f64,
}

/// How a node is informed about endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Updates arrive unrequested.
    Push,
    /// Updates arrive once requested by [`Action::Subscribe`](crate::Action::Subscribe).
    Poll,
}

/// Configuration of a [`Balancer`](crate::Balancer). Durations are in nanoseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Index of this node, from 0 to one less than [`Settings::node_count`].
    pub node_index: u32,
    /// Number of nodes.
    pub node_count: u32,
    /// Zone of this node.
    pub zone: ZoneId,
    /// Number of zones.
    pub zone_count: u16,
    /// The request classes, at least one.
    pub classes: Vec<Class>,
    /// The tenants, if any; shared by all pools of a node.
    pub tenants: TenantShares,
    /// Factor applied to the priority weight of requests beyond their tenant's share, 0 to 1.
    pub over_share_weight: f64,
    /// Whether priority weights are per unit of work instead of per request.
    pub weight_by_work: bool,
    /// How updates of the endpoints arrive.
    pub discovery: Discovery,
    /// Minimum time between two batches of events, which is the resolution of timers.
    pub tick: Nanos,
    /// Maximum number of attempts per request, including the first.
    pub max_attempts: u32,
    /// Whether two attempts of a request may be in flight at once (hedging).
    pub concurrent_attempts: bool,
    /// Whether [`Action::CancelAttempt`](crate::Action::CancelAttempt) may be used.
    pub cancellation: bool,
    /// Whether rejections say when to retry.
    pub retry_after: bool,
    /// Longest such delay that clients honour.
    pub max_retry_after: Nanos,
    /// Whether open or new connections cost the endpoints capacity.
    pub connections_have_cost: bool,
    /// Cost of an attempt to another zone, as a fraction of a request.
    pub cross_zone_cost: f64,
    /// Whether the weights of endpoints are relative capacities.
    pub weight_is_capacity: bool,
    /// Whether nodes may send each other load reports
    /// ([`Action::SendLoadReport`](crate::Action::SendLoadReport)).
    pub load_reports: bool,
    /// Cost of a load report of 256 bytes to one node, as a fraction of a request.
    pub load_report_cost: f64,
    /// Interval at which a node without a watch must poll discovery.
    pub poll_interval: Nanos,
    /// Time after a node was notified within which attempts to a draining or removed endpoint must have
    /// ceased.
    pub drain_grace: Nanos,
    /// Slow start: fraction of its full capacity that an endpoint has when it starts.
    pub warmup_initial_fraction: f64,
    /// Slow start: time from the start of an endpoint until it has its full capacity.
    pub warmup_duration: Nanos,
    /// Slow start: load, as a multiple of an endpoint's current capacity, at which the endpoint collapses ...
    pub overload_multiple: f64,
    /// ... when it is sustained for this long.
    pub overload_duration: Nanos,
    /// Whether an attempt that an endpoint rejected may have executed anyway.
    pub rejection_may_execute: bool,
    /// Pause of a key after an attempt that may still execute, for classes that are ordered by key.
    pub key_cooldown: Nanos,
    /// How long an idle connection to a draining endpoint may stay open; `None` means no limit.
    pub drain_idle_close: Option<Nanos>,
}

/// Reason why settings are invalid.
#[derive(Debug, Error, PartialEq)]
pub enum SettingsError {
    /// There is no request class.
    #[error("settings: no class of requests is configured")]
    NoClass,
    /// A value is out of range; holds the name of the setting.
    #[error("settings: `{0}` is out of range")]
    OutOfRange(&'static str),
}

impl Settings {
    /// Returns the delay after which rejections ask clients to retry, well below the longest one that they
    /// honour; `None` if no delay may be given.
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
        in_range(self.node_count > 0, "replicas_of_me")?;
        in_range(self.zone.0 < self.zone_count.max(1), "zone")?;
        in_range(is_fraction(self.over_share_weight), "over_share_worth")?;
        in_range(is_fraction(self.warmup_initial_fraction), "cold_from")?;
        in_range(
            is_finite_non_negative(self.overload_multiple) && self.overload_multiple > 0.0,
            "fall_multiple",
        )?;
        in_range(is_finite_non_negative(self.load_report_cost), "prices.peer")?;
        in_range(is_finite_non_negative(self.cross_zone_cost), "prices.cross_zone")?;
        in_range(self.max_attempts > 0, "attempts")?;
        self.classes.iter().try_for_each(Class::check)?;
        in_range(self.tenants.is_valid(), "share` or `allowance_per_s")
    }
}

impl Class {
    fn check(&self) -> Result<(), SettingsError> {
        in_range(is_finite_non_negative(self.priority_weight), "worth")?;
        in_range(is_fraction(self.late_weight), "late_worth")?;
        in_range(is_finite_non_negative(self.objective_per_work), "aim_stretch")?;
        in_range(self.latency_objective > 0 && self.deadline > 0, "aim or deadline")
    }
}

fn require(holds: bool, error: SettingsError) -> Result<(), SettingsError> {
    if holds { Ok(()) } else { Err(error) }
}

/// Returns an error that names the setting, most by their keys in the platform's format, unless `holds`.
fn in_range(holds: bool, setting: &'static str) -> Result<(), SettingsError> {
    require(holds, SettingsError::OutOfRange(setting))
}

fn is_fraction(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

/// Returns whether a value is finite and not negative.
fn is_finite_non_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}
