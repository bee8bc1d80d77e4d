//! Classes of requests, and tenants.

use pumicehead_policy::{DedupScope, Nanos};

use crate::name::Name;

/// Whether the requests of a class may be sent more than once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// They may: further executions have no effect.
    Idempotent,
    /// They may, with the same key, within `scope` and for `window` after the first attempt that may have
    /// executed.
    IdempotencyKey {
        /// The header that holds the key, in lower case.
        header: String,
        /// The endpoints that discard repeats.
        scope: DedupScope,
        /// How long they do so, in nanoseconds.
        window: Nanos,
    },
    /// They may not: a second execution would take effect again.
    NotIdempotent,
}

/// Settings of a class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// A response within this time counts in full, in nanoseconds.
    pub latency_objective: Nanos,
    /// How long a client waits over all retries, in nanoseconds.
    pub deadline: Nanos,
    /// Weight of one request in the choice of its priority tier; not negative.
    pub priority_weight: f64,
    /// Share of the weight that a response after the objective keeps, 0 to 1.
    pub late_weight: f64,
    /// Whether its requests may be sent more than once.
    pub idempotency: Idempotency,
    /// Requests with the same key run one at a time, in the order of their arrival.
    pub ordered_by_key: bool,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name of the class.
    pub name: Name,
    /// Its settings.
    pub settings: ClassSettings,
}

/// A tenant, whose requests count together against its share.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: Name,
    /// Fraction of the capacity, 0 to 1.
    pub share: f64,
    /// Requests a second, over all nodes, that are always within its share.
    pub allowance_per_s: f64,
}
