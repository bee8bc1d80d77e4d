//! Classes of requests, and tenants.

use pumicehead_policy::{DedupScope, Nanos};

use crate::name::Name;

/// Whether the requests of a class may be sent more than once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Yes: further executions have no effect.
    Idempotent,
    /// Yes, with the same idempotency key, within `scope` and for `window` after the first attempt that may
    /// have been executed.
    IdempotencyKey {
        /// Name of the header with the key, in lower case.
        header: String,
        /// The endpoints among which repeats are recognized and discarded.
        scope: DedupScope,
        /// How long repeats are recognized, in nanoseconds.
        window: Nanos,
    },
    /// No: a second execution would take effect again.
    NotIdempotent,
}

/// Settings of a class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// A response within this time has its full weight, in nanoseconds.
    pub latency_objective: Nanos,
    /// How long a client waits for a response, over all attempts, in nanoseconds.
    pub deadline: Nanos,
    /// Weight of one request, from which its priority tier is chosen; not negative.
    pub priority_weight: f64,
    /// Fraction of the weight that a response after the objective still has, 0 to 1.
    pub late_weight: f64,
    /// Whether its requests may be sent more than once.
    pub idempotency: Idempotency,
    /// Whether requests with the same key run one at a time, in the order of their arrival.
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

/// A tenant. Its requests are counted together against its share.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: Name,
    /// Fraction of the capacity, 0 to 1.
    pub share: f64,
    /// Requests per second, over all nodes, that always count as within its share.
    pub allowance_per_s: f64,
}
