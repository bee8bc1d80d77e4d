//! Measurements that anyone can run, each in a module of its own.

pub mod capacity;
pub mod config;
pub mod cost;
pub mod eyes;
pub mod fastcgi;
pub mod fleet;
pub mod storm;
pub mod view;

use std::io;

use crate::report::Report;

/// How a measurement is run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// For random numbers.
    pub seed: u64,
    /// More of everything.
    pub long: bool,
}

/// A measurement by its name.
pub type Measurement = fn(Plan) -> io::Result<Report>;

/// All measurements that take no more than a plan; `capacity` and `storm` take more.
pub const ALL: [(&str, Measurement); 6] = [
    ("config", config::measure),
    ("cost", cost::measure),
    ("eyes", eyes::measure),
    ("fastcgi", fastcgi::measure),
    ("fleet", fleet::measure),
    ("view", view::measure),
];
