//! Stand-in servers, scripted peers, faults and measurements, all on loopback. The node must not depend on this crate.

pub mod barrier;
pub mod cli;
pub mod client;
pub mod client_disconnect;
pub mod hollow;
pub mod measure;
pub mod parity;
pub mod program;
pub mod report;
pub mod scripted;
pub mod scripted_backend;
pub mod simulation;
pub mod slow_connect;
pub mod standin;
mod tcp_state;
