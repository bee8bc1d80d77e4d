//! Leases on the capacity of endpoints in slow start. Forwarders, each with the decision module of a node,
//! lend their shares of that capacity to planners; planners grant it to the forwarders that can use it, and
//! advise on what no forwarder can see alone. Either side goes on without the other.
//!
//! Nothing here does I/O or reads a clock. `docs/design/fleet.md` has the reasons.
//!
//! - `lease_terms`: durations of leases and loans, and the drift of clocks;
//! - `rate_promise`: request rates, and promises of rates that expire;
//! - `lease_holder`: a forwarder's rates: its own share, what it has lent, what it was granted;
//! - `lease_table`: a planner's side: what was lent to it, and what it grants from that;
//! - `wire`: reports and plans as bytes, in frames of bounded size;
//! - `endpoint_health_view`: a planner's view of endpoints, merged from the reports of forwarders;
//! - `table_sync`: keeps a table equal on both sides of a connection by deltas and a digest.

pub mod endpoint_health_view;
pub mod lease_holder;
pub mod lease_table;
pub mod lease_terms;
pub mod rate_promise;
pub mod table_sync;
pub mod wire;

use std::fmt;

/// Identifies a forwarder's process. Drawn at random at each start, so that a process never takes grants for
/// its own that an earlier one received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ForwarderId(pub u64);

/// Identifies a planner's process. Drawn at random at each start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlannerId(pub u64);

/// Number of a report from one forwarder to one planner, from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReportNumber(pub u64);

/// Number of a plan from one planner to one forwarder, from 1.
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
