//! The measurements that the command line offers, one per module.

pub mod capacity;
pub mod chaos;
mod chaos_program;
pub mod config;
pub mod cost;
pub mod fastcgi;
pub mod fleet;
pub mod membership;
pub mod recorder;

use std::io;

use crate::report::Report;

/// How a measurement is run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Seed of random numbers.
    pub seed: u64,
    /// A longer run with more sizes and rounds.
    pub long: bool,
}

/// A measurement by its name.
pub type Measurement = fn(Plan) -> io::Result<Report>;

/// All measurements whose only argument is a plan; `capacity` and `chaos` have further options.
pub const ALL: [(&str, Measurement); 6] = [
    ("config", config::measure),
    ("cost", cost::measure),
    ("fastcgi", fastcgi::measure),
    ("fleet", fleet::measure),
    ("membership", membership::measure),
    ("recorder", recorder::measure),
];
