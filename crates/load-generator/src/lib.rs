//! An open-loop load generator. Arrival times are generated from a seed and never wait for responses. Each latency
//! counts from the intended time of its request, even if the request could not be sent at that time.
//!
//! Modules without I/O and clocks: [`shape`] and [`schedule`] (arrival times), [`mix`] (contents of requests),
//! [`trace`] (recorded traffic), [`outcome`] (results of requests), [`model`] (servers whose latency can be computed)
//! and [`virtual_time`] (an exact simulation of the generator against a model). [`engine`] sends requests, [`standin`]
//! and [`relay`] are targets for them, and [`report`], [`html`] and [`compare`] present the results.

pub mod compare;
pub mod engine;
pub mod html;
pub mod idle_time;
pub mod mix;
pub mod model;
pub mod outcome;
pub mod relay;
pub mod report;
pub mod schedule;
pub mod shape;
pub mod standin;
pub mod trace;
pub mod virtual_time;

/// A time since the start of a run, or a duration, in nanoseconds.
pub type Nanos = u64;
/// One second in [`Nanos`].
pub const SECOND: Nanos = 1_000_000_000;
