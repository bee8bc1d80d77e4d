//! Fault injection on a fleet of real processes: several nodes of the proxy run on loopback, faults are injected into their
//! processes, files and links, and checkers verify the history of what clients and endpoints observed.
//!
//! Scenarios, schedules, link directions and checkers do no I/O and take times and random numbers as arguments. The proxy
//! itself contains no code for fault injection.

pub mod builtin_scenarios;
pub mod check;
pub mod cli;
pub mod clock;
mod fault_description;
pub mod fault_effects;
pub mod fault_kind;
pub mod fault_schedule;
pub mod history;
pub mod link;
pub mod link_overhead;
pub mod report;
pub mod response_bursts;
pub mod run;
pub mod scenario;
mod scenario_generator;
pub mod shrink;
pub mod stand_ins;
pub mod supervisor;
mod task;

/// Nanoseconds on the machine's monotonic clock, which all processes share.
pub type Nanos = u64;
/// Nanoseconds in a millisecond.
pub const MS: Nanos = 1_000_000;
/// Nanoseconds in a second.
pub const SECOND: Nanos = 1_000_000_000;
