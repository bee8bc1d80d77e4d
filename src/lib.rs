#![forbid(unsafe_code)]
#![warn(missing_docs)]
#![doc = include_str!("../README.md")]

pub mod boot;
pub mod interface;
pub mod meter;
pub mod peers;
pub mod policy;
mod state;
pub mod turns;
pub mod wire;

pub use interface::{Action, Event, Settings};
pub use policy::Balancer;
