//! An open-loop load generator. Arrivals are drawn ahead from a seed and never wait for answers; each latency counts
//! from the intended time of its request, also where it could not be sent then.
//!
//! Free of I/O and of clocks: [`shape`] and [`schedule`] (when requests come), [`mix`] (what they are), [`trace`]
//! (recorded days), [`outcome`] (what became of them), [`model`] (servers whose latency can be computed) and [`virtual_time`]
//! (the generator against a model, exactly). [`engine`] sends, [`standin`] and [`relay`] are to be sent to, [`report`],
//! [`html`] and [`compare`] show.

pub mod compare;
pub mod engine;
pub mod html;
pub mod mix;
pub mod model;
pub mod outcome;
pub mod relay;
pub mod report;
pub mod schedule;
pub mod shape;
pub mod slack;
pub mod standin;
pub mod trace;
pub mod virtual_time;

/// A time since the start of a run, or a span, in nanoseconds.
pub type Nanos = u64;
/// One second in [`Nanos`].
pub const SECOND: Nanos = 1_000_000_000;
