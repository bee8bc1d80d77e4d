//! Two levels that survive each other: forwarders, each with the decision module of a node, and planners that tell
//! them what no forwarder can see alone.
//!
//! Nothing here does I/O or reads a clock. `docs/design/fleet.md` has the reasons.
//!
//! - `terms`: spans, and how far clocks may drift;
//! - `room`: rates at which a cold server may be asked, and promises that end;
//! - `holder`: a forwarder's rights to cold servers: its own share, what it has lent, what it was granted;
//! - `ledger`: a planner's side of the same: what was lent to it, and what it grants from that;
//! - `wire`: reports and plans as bytes, in frames with a bound;
//! - `view`: what a planner makes of what forwarders have seen;
//! - `sync`: a table kept equal on two sides by deltas and a digest.

pub mod holder;
pub mod ledger;
pub mod room;
pub mod sync;
pub mod terms;
pub mod view;
pub mod wire;

use std::fmt;

/// A forwarder's loop, for the life of its process: a new one at each start, so that what an earlier process was
/// granted is never taken for its own. Drawn at random.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ForwarderId(pub u64);

/// A planner, for the life of its process. Drawn at random.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlannerId(pub u64);

/// Number of a report of one forwarder to one planner, from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReportNo(pub u64);

/// Number of a plan of one planner for one forwarder, from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlanNo(pub u64);

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
