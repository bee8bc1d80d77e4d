//! Leases on the capacity of endpoints in slow start. Forwarders, each with the decision module of a node,
//! lend their shares of that capacity to planners. Planners grant it to the forwarders that can use it, and
//! give advice that requires the observations of several forwarders. Either side keeps working without the
//! other.
//!
//! The crate does no I/O and reads no clock. The design is described in `docs/design/fleet.md`.
//!
//! - `lease_terms`: durations of leases and loans, and clock drift;
//! - `rate_promise`: request rates, and promised rates with expiry;
//! - `lease_holder`: the rates of a forwarder: its own share, the part that is lent, and what it was granted;
//! - `lease_table`: the state of a planner: the rates lent to it, and the grants it makes from them;
//! - `wire`: encoding of reports and plans, in frames of limited size;
//! - `endpoint_health_view`: a planner's view of endpoints, merged from the reports of forwarders;
//! - `table_sync`: replicates a table over a connection with deltas and a digest.

pub mod endpoint_health_view;
pub mod lease_holder;
pub mod lease_table;
pub mod lease_terms;
pub mod rate_promise;
pub mod table_sync;
pub mod wire;

use std::fmt;

/// Identifies a process of a forwarder. Chosen at random at each start, so that a process never uses grants
/// that were made to an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ForwarderId(pub u64);

/// Identifies a process of a planner. Chosen at random at each start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlannerId(pub u64);

/// Number of a report from a forwarder to a planner, starting at 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReportNumber(pub u64);

/// Number of a plan of a planner, starting at 1 and counted over all its forwarders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlanNumber(pub u64);

impl fmt::Display for ForwarderId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "f-{:016x}", self.0)
    }
}

impl fmt::Display for PlannerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "p-{:016x}", self.0)
    }
}
