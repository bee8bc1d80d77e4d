//! Storms over a fleet: processes of the shipped program with crashes, stalls and bad links between them, a history of
//! what clients and servers saw, and checkers that read it.
//!
//! Nothing in the program knows of the storm. What decides (scenarios, conditions of links, checkers) is free of I/O and
//! is handed its random numbers and times; `relay`, `keeper`, `stand` and `run` do the rest.

pub mod check;
pub mod cli;
pub mod clock;
pub mod cost;
mod draw;
pub mod faults;
pub mod history;
pub mod keeper;
mod kind;
pub mod link;
pub mod relay;
pub mod relay_udp;
pub mod report;
pub mod run;
pub mod scenario;
pub mod shrink;
pub mod stand;
pub mod standing;

/// Nanoseconds on the machine's monotonic clock, which all processes here share.
pub type Nanos = u64;
/// A millisecond.
pub const MS: Nanos = 1_000_000;
/// A second.
pub const SECOND: Nanos = 1_000_000_000;
